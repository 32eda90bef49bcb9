#include "engine.h"

#include <algorithm>

namespace pimentomast::routing {

actions engine::tick(instant now)
{
    m_now = now;
    m_quarantine.expire(now);
    expireDeadlines();
    endBackoffs();
    for (auto& [id, target] : m_targets)
        probeIfLate(target);
    startDueProbes();
    for (auto& [id, service] : m_services) {
        retryUnowned(service);
        refuseLateUnowned(service);
        resumeAwaitingBudget(service);
    }
    updateConnections();
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
    for (const auto& [id, target] : m_targets)
        due = std::min(due, nextDue(target));
    for (const auto& [id, service] : m_services)
        due = std::min(due, nextDue(service));
    return due;
}

instant engine::nextDue(const target_state& target) const
{
    instant due = target.health.probeDue();
    for (const request_number number : target.inFlight) {
        const pending_request& inFlight = m_requests.at(number);
        const instant late = lateAt(inFlight);
        if (inFlight.wasSent && !inFlight.responded && late > m_now)
            due = std::min(due, late);
    }
    if (!target.waiting.empty())
        due = std::min(due, opensAt(target));
    return due;
}

instant engine::nextDue(const service_state& service) const
{
    instant due = instant::max();
    const duration latency = service.latency.smoothed(initialLatency);
    for (const request_number number : service.unowned) {
        const pending_request& unowned = m_requests.at(number);
        due = std::min(due, unowned.heldUntil);
        if (unowned.submitted.objective != instant::max())
            due = std::min(due, unowned.submitted.objective - latency);
    }
    if (service.waiting.empty())
        return due;
    for (const target_id& id : service.targets)
        due = std::min(due, opensAt(m_targets.at(id)));
    return due;
}

// The time at which the target can take one more request without any other event.
instant engine::opensAt(const target_state& target) const
{
    if (target.health.ejected())
        return instant::max();
    const auto outstanding = static_cast<unsigned>(target.inFlight.size());
    const duration latency = target.health.latency().smoothed(initialLatency);
    const instant window = target.window.nextFraction(outstanding, latency);
    const instant opens = std::max(window, target.shedUntil);
    return std::max(opens, m_now + std::chrono::milliseconds(1));
}

} // namespace pimentomast::routing
