#include "fingerprint.h"

#include <new>
#include <string>
#include <xxhash.h>

namespace pimentomast::proxy::detail {

void fingerprint_builder::state_deleter::operator()(XXH3_state_s* state) const noexcept
{
    XXH3_freeState(state);
}

fingerprint_builder::fingerprint_builder(
    const checked_head& head, std::string_view routedHost, const caller_id& caller)
    : m_state(XXH3_createState())
{
    if (!m_state)
        throw std::bad_alloc();
    const auto method = head.parser->get().method_string();
    std::string text(method.data(), method.size());
    text += " " + head.target + "\n";
    text += routedHost;
    text += "\n" + caller.value() + "\n";
    XXH3_64bits_reset(m_state.get());
    addBody(text);
}

void fingerprint_builder::addBody(std::string_view piece)
{
    XXH3_64bits_update(m_state.get(), piece.data(), piece.size());
}

std::uint64_t fingerprint_builder::value() const { return XXH3_64bits_digest(m_state.get()); }

} // namespace pimentomast::proxy::detail
