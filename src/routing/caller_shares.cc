#include "caller_shares.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr duration decayInterval = std::chrono::milliseconds(100);
constexpr double decayFactor = 0.95;
constexpr double negligibleCount = 0.01;
constexpr double floodFactor = 1.5;

} // namespace

void caller_shares::add(instant now, const caller_id& caller)
{
    if (now - m_lastDecay >= decayInterval)
        decay(now);
    double& count = m_counts[caller];
    count += 1;
    m_total += 1;
    m_highest = std::max(m_highest, count);
}

bool caller_shares::floods(const caller_id& caller) const
{
    return m_counts.size() > 1 && share(caller) > floodFactor;
}

bool caller_shares::isQuiet(const caller_id& caller) const
{
    const double equal = m_total / static_cast<double>(std::max<std::size_t>(1, m_counts.size()));
    return m_counts.size() > 1 && m_highest > floodFactor * equal && share(caller) <= 1;
}

void caller_shares::decay(instant now)
{
    m_lastDecay = now;
    m_total = 0;
    m_highest = 0;
    for (auto& [caller, count] : m_counts)
        count *= decayFactor;
    std::erase_if(m_counts, [](const auto& each) { return each.second < negligibleCount; });
    for (const auto& [caller, count] : m_counts) {
        m_total += count;
        m_highest = std::max(m_highest, count);
    }
}

// In multiples of an equal share.
double caller_shares::share(const caller_id& caller) const
{
    const auto found = m_counts.find(caller);
    if (found == m_counts.end() || m_total <= 0)
        return 0;
    return found->second * static_cast<double>(m_counts.size()) / m_total;
}

} // namespace pimentomast::routing
