#include "engine.h"

#include <algorithm>
#include <limits>

namespace pimentomast::routing {

actions engine::tick(instant now)
{
    m_now = now;
    m_quarantine.expire(now);
    expireDeadlines();
    endBackoffs();
    requestLateProbes();
    startDueProbes();
    for (auto& [id, service] : m_services) {
        retryUnowned(service);
        refuseLateUnowned(service);
        resumeAwaitingBudget(service);
    }
    updateConnectionsIfHostsChanged();
    if (m_senders.expire(now))
        updateSenders();
    dispatchAll();
    return takeActions();
}

void engine::endBackoffs()
{
    while (!m_backoffs.empty() && m_backoffs.begin()->first <= m_now) {
        const request_number number = m_backoffs.begin()->second;
        m_backoffs.erase(m_backoffs.begin());
        resume(m_requests.at(number));
    }
}

void engine::expireDeadlines()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now) {
        const request_number number = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        pending_request& late = m_requests.at(number);
        if (late.currentPhase != phase::InFlight)
            end(late, outcome::NotRun, reasonAtDeadline(late));
    }
}

refusal_reason engine::reasonAtDeadline(const pending_request& late)
{
    if (late.currentPhase == phase::Unowned)
        return refusal_reason::NoOwner;
    if (late.currentPhase == phase::AwaitingBudget)
        return refusal_reason::RetryBudget;
    return late.failure;
}

instant engine::nextDue() const
{
    instant due = instant::max();
    if (!m_backoffs.empty())
        due = std::min(due, m_backoffs.begin()->first);
    if (!m_deadlines.empty())
        due = std::min(due, m_deadlines.begin()->first);
    if (!m_probes.empty())
        due = std::min(due, m_probes.begin()->first);
    due = std::min(due, nextLate());
    for (const auto& [id, service] : m_services)
        due = std::min({ due, nextUnowned(service), nextOpening(service) });
    return due;
}

instant engine::nextLate() const
{
    constexpr request_number last { std::numeric_limits<std::uint64_t>::max() };
    instant due = instant::max();
    for (const auto& [service, requests] : m_unanswered) {
        const duration after = lateAfter(service);
        const auto next = requests.upper_bound({ m_now - after, last });
        if (next != requests.end())
            due = std::min(due, next->first + after);
    }
    return due;
}

instant engine::nextUnowned(const service_state& service) const
{
    instant due = instant::max();
    const duration latency = service.latency.smoothed(initialLatency);
    for (const request_number number : service.unowned) {
        const pending_request& unowned = m_requests.at(number);
        due = std::min(due, unowned.heldUntil);
        if (unowned.submitted.objective != instant::max())
            due = std::min(due, unowned.submitted.objective - latency);
    }
    return due;
}

instant engine::nextOpening(const service_state& service) const
{
    instant due = instant::max();
    for (const auto& [position, target] : service.queued) {
        ++m_targetVisits;
        due = std::min(due, opensAt(*target));
    }
    if (service.waiting.empty())
        return due;
    for (const target_id& id : service.targets) {
        ++m_targetVisits;
        due = std::min(due, opensAt(m_targets.at(id)));
    }
    return due;
}

// The time at which the target can take one more request without any other event.
instant engine::opensAt(const target_state& target) const
{
    if (target.health.ejected())
        return instant::max();
    const auto outstanding = static_cast<unsigned>(target.inFlight.size());
    const duration latency = target.health.latency().smoothed(initialLatency);
    const instant window = target.window.nextFraction(m_now, outstanding, latency);
    const instant opens = std::max({ window, target.shedUntil, warmupOpensAt(target) });
    return std::max(opens, m_now + std::chrono::milliseconds(1));
}

} // namespace pimentomast::routing
