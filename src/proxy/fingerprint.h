#pragma once

#include "head.h"
#include "pimentomast/core.h"

#include <cstdint>
#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace pimentomast::proxy::detail {

/// Computes the fingerprint of a request from its method, host, target, caller and whole body,
/// which may arrive in pieces. The same request has the same fingerprint at every host, also if its
/// body comes in other pieces.
class fingerprint_builder {
public:
    /// routedHost: the Host by which the request was routed; empty if routing ignores it.
    fingerprint_builder(
        const checked_head& head, std::string_view routedHost, const caller_id& caller);

    void addBody(std::string_view piece);
    [[nodiscard]] std::uint64_t value() const;

private:
    struct state_deleter {
        void operator()(XXH3_state_s* state) const noexcept;
    };

    std::unique_ptr<XXH3_state_s, state_deleter> m_state;
};

} // namespace pimentomast::proxy::detail
