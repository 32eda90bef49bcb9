#include "host_count.h"

#include <algorithm>

namespace pimentomast::routing {

host_count::host_count(unsigned assumedHosts, duration lag)
    : m_assumedHosts(assumedHosts)
    , m_lag(lag)
{
}

void host_count::update(instant now, std::optional<unsigned> count)
{
    if (!count)
        return;
    m_lastConfirmed = now;
    if (m_changes.empty() || m_changes.back().count != *count)
        m_changes.push_back({ now, *count });
    while (m_changes.size() > 1 && m_changes[1].at + m_lag < now)
        m_changes.pop_front();
}

unsigned host_count::divisor(instant now) const
{
    unsigned highest = 0;
    for (const change& each : m_changes)
        highest = std::max(highest, each.count);
    const unsigned withHeadroom = highest + (highest + 3) / 4;
    const unsigned hosts = std::max(m_assumedHosts, withHeadroom);
    const bool confirmed = m_lastConfirmed && *m_lastConfirmed + m_lag >= now;
    return confirmed ? hosts : 2 * hosts;
}

unsigned host_count::lastKnown(unsigned fallback) const
{
    return m_changes.empty() ? fallback : std::max(1U, m_changes.back().count);
}

unsigned host_count::share(instant now, unsigned connections) const
{
    return shareOf(connections, divisor(now));
}

unsigned host_count::shareOf(unsigned connections, unsigned divisor) noexcept
{
    return std::max(1U, connections / divisor);
}

} // namespace pimentomast::routing
