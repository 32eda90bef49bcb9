#include "body-budget.h"

namespace pimentomast::proxy::detail {
namespace {

constexpr std::size_t eighths = 8;
constexpr std::size_t largeBodiesEighths = 7;
constexpr std::size_t oneKindEighths = 5;
constexpr std::size_t contendedEighths = 4;

std::size_t partOf(std::size_t limit, std::size_t count) { return limit / eighths * count; }

} // namespace

std::size_t body_budget::held() const
{
    const std::lock_guard lock(m_mutex);
    return m_total;
}

bool body_budget::fits(body_kind kind, std::size_t bytes, const connection_bytes& connection) const
{
    if (m_limit == 0)
        return true;
    const std::size_t total = m_total + bytes;
    const bool isContended = total > partOf(m_limit, contendedEighths);
    if (isContended && connection.held + bytes > partOf(m_limit, 1))
        return false;
    if (kind == body_kind::Replay)
        return total <= m_limit;
    return total <= partOf(m_limit, largeBodiesEighths)
        && m_kinds.at(static_cast<std::size_t>(kind)) + bytes <= partOf(m_limit, oneKindEighths);
}

void body_budget::add(body_kind kind, std::size_t bytes, connection_bytes& connection)
{
    m_total += bytes;
    m_kinds.at(static_cast<std::size_t>(kind)) += bytes;
    connection.held += bytes;
}

bool body_budget::take(body_kind kind, std::size_t bytes, connection_bytes& connection)
{
    const std::lock_guard lock(m_mutex);
    if (!fits(kind, bytes, connection))
        return false;
    add(kind, bytes, connection);
    return true;
}

void body_budget::takeAlways(body_kind kind, std::size_t bytes, connection_bytes& connection)
{
    const std::lock_guard lock(m_mutex);
    add(kind, bytes, connection);
}

void body_budget::giveBack(body_kind kind, std::size_t bytes, connection_bytes& connection)
{
    const std::lock_guard lock(m_mutex);
    m_total -= bytes;
    m_kinds.at(static_cast<std::size_t>(kind)) -= bytes;
    connection.held -= bytes;
}

} // namespace pimentomast::proxy::detail
