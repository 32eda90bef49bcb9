#include "pimentomast/assignment.h"

#include <algorithm>

namespace pimentomast::ownership {
namespace {

/// Longer than any hold.
constexpr duration holdMax = std::chrono::minutes(1);

/// Whether a key of the range has no token above the version yet.
bool waitsForMove(const assignment& current, const slice& range, token version)
{
    return std::any_of(current.slices.begin(), current.slices.end(),
        [&](const auto& each) { return overlap(each.range, range) && each.grant <= version; });
}

} // namespace

bool route_table::replaceIfNewer(const assignment& newer)
{
    if (newer.version() <= version())
        return false;
    m_current = newer;
    std::erase_if(m_holds, [&](const held& each) {
        return each.version.coordinator < newer.version().coordinator
            || !waitsForMove(newer, each.range, each.version);
    });
    return true;
}

const assignment* route_table::current() const noexcept
{
    return m_current ? &*m_current : nullptr;
}

token route_table::version() const noexcept { return m_current ? m_current->version() : token {}; }

void route_table::hold(slice range, token known, instant until)
{
    if (known.coordinator < version().coordinator)
        return;
    std::erase_if(m_holds,
        [&](const auto& each) { return each.range == range || each.until + holdMax < until; });
    m_holds.push_back({ range, known, until });
}

void route_table::renew(const renew_route& message, incarnation self)
{
    const bool isOld = message.version.coordinator < version().coordinator;
    if (message.run != self || isOld || version() < message.version)
        return;
    if (message.version < m_leaseVersion)
        return;
    const instant reading { std::chrono::microseconds(message.echoUs) };
    if (m_leaseVersion < message.version)
        m_leaseUntil = {};
    m_leaseVersion = message.version;
    m_leaseUntil = std::max(m_leaseUntil, reading + message.lease);
}

route_outcome route_table::find(key_hash hash, instant now) const
{
    if (!m_current)
        return no_route {};
    const auto* found = m_current->find(hash);
    for (const auto& each : m_holds) {
        const bool hasMoved = found && each.version < found->grant;
        if (each.range.contains(hash) && now < each.until && !hasMoved)
            return held_route { each.until };
    }
    if (!found)
        return no_route {};
    const bool leased = found->grant <= m_leaseVersion && now < m_leaseUntil;
    if (m_leaseRequired && !leased)
        return expired_route {};
    return route { found->owner, found->grant };
}

} // namespace pimentomast::ownership
