#include "pimentomast/assignment.h"

#include <algorithm>

namespace pimentomast::ownership {

bool route_table::replaceIfNewer(const assignment& newer)
{
    if (newer.version() <= version())
        return false;
    m_current = newer;
    std::erase_if(m_holds, [&](const held& each) { return each.version < newer.version(); });
    return true;
}

const assignment* route_table::current() const noexcept
{
    return m_current ? &*m_current : nullptr;
}

token route_table::version() const noexcept { return m_current ? m_current->version() : token {}; }

void route_table::hold(slice range, token known, instant until)
{
    if (known < version())
        return;
    std::erase_if(m_holds, [&](const auto& each) { return each.range == range; });
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
    for (const auto& each : m_holds) {
        if (each.range.contains(hash) && now < each.until)
            return held_route { each.until };
    }
    const auto* found = m_current->find(hash);
    if (!found)
        return no_route {};
    const bool leased = found->grant <= m_leaseVersion && now < m_leaseUntil;
    if (m_leaseRequired && !leased)
        return expired_route {};
    return route { found->owner, found->grant };
}

} // namespace pimentomast::ownership
