#include "pimentomast/link.h"

#include <algorithm>

namespace pimentomast::link {
namespace {

/// Time after which a call says nothing of the link.
constexpr std::chrono::milliseconds callWindow { 1500 };
/// Number of recent calls of which the least delayed one counts.
constexpr unsigned comparedCalls = 4;
/// Shortest round trips are those of the last one to two periods, since routes change.
constexpr std::chrono::seconds basePeriod { 30 };

} // namespace

call_number queueing_delay::begin(instant now, const endpoint& peer)
{
    removeOld(now);
    m_last = call_number { m_last.value() + 1 };
    m_calls.push_back({ m_last, peer, now });
    return m_last;
}

void queueing_delay::answered(instant now, call_number number)
{
    auto* ended = find(number);
    if (!ended)
        return;
    ended->roundTrip = now - ended->sentAt;
    auto& known = m_bases[ended->peer];
    known.current = std::min(known.current, *ended->roundTrip);
}

void queueing_delay::failed(call_number number, bool timedOut, instant now)
{
    auto* ended = find(number);
    if (ended && timedOut)
        ended->roundTrip = now - ended->sentAt;
    else
        std::erase_if(m_calls, [&](const call& each) { return each.number == number; });
}

duration queueing_delay::current(instant now) const
{
    std::optional<duration> least;
    unsigned ended = 0;
    unsigned running = 0;
    duration longestRunning {};
    for (auto each = m_calls.rbegin(); each != m_calls.rend() && ended < comparedCalls; ++each) {
        if (now - each->sentAt > callWindow)
            break;
        const duration delay = each->roundTrip.value_or(now - each->sentAt) - baseOf(each->peer);
        if (each->roundTrip) {
            least = std::min(least.value_or(delay), delay);
            ++ended;
        } else if (ended == 0) {
            longestRunning = delay;
            ++running;
        }
    }
    // None of so many calls since then was answered, so it is not one peer that is silent.
    const duration ofRunning = running >= comparedCalls ? longestRunning : duration {};
    return std::max({ least.value_or(duration {}), ofRunning, duration {} });
}

queueing_delay::call* queueing_delay::find(call_number number)
{
    const auto found = std::ranges::find(m_calls, number, &call::number);
    return found == m_calls.end() ? nullptr : &*found;
}

void queueing_delay::removeOld(instant now)
{
    while (!m_calls.empty() && now - m_calls.front().sentAt > callWindow)
        m_calls.pop_front();
    if (now - m_periodBegan < basePeriod)
        return;
    m_periodBegan = now;
    for (auto& [peer, known] : m_bases)
        known = { duration::max(), known.current };
    std::erase_if(
        m_bases, [](const auto& each) { return each.second.previous == duration::max(); });
}

duration queueing_delay::baseOf(const endpoint& peer) const
{
    const auto found = m_bases.find(peer);
    if (found == m_bases.end())
        return {};
    const auto least = std::min(found->second.current, found->second.previous);
    return least == duration::max() ? duration {} : least;
}

} // namespace pimentomast::link
