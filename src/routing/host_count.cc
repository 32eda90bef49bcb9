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
    m_recent.push_back({ now, *count });
    while (m_recent.size() > 1 && m_recent[1].at + m_lag < now)
        m_recent.pop_front();
}

unsigned host_count::divisor(instant now) const
{
    unsigned highest = 0;
    bool confirmed = false;
    for (const confirmation& each : m_recent) {
        highest = std::max(highest, each.count);
        confirmed = confirmed || each.at + m_lag >= now;
    }
    const unsigned withHeadroom = highest + (highest + 3) / 4;
    const unsigned hosts = std::max(m_assumedHosts, withHeadroom);
    return confirmed ? hosts : 2 * hosts;
}

unsigned host_count::lastKnown(unsigned fallback) const
{
    return m_recent.empty() ? fallback : std::max(1U, m_recent.back().count);
}

unsigned host_count::share(instant now, unsigned connections) const
{
    return std::max(1U, connections / divisor(now));
}

} // namespace pimentomast::routing
