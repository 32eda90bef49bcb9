#include "engine.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr unsigned backoffDoublingsMax = 10;
constexpr duration quietBackoff = std::chrono::milliseconds(2);
constexpr duration crashUnresolvedMax = std::chrono::seconds(2);

} // namespace

// Precondition: the attempt did not run, or the request may run again.
void engine::retryOrEnd(pending_request& failed, retry_reason retry, refusal_reason reason)
{
    failed.retry = retry;
    failed.failure = reason;
    backOff(failed);
    const bool isOver = !allowsAttempt(failed) || failed.notBefore >= failed.submitted.deadline;
    if (isOver || failed.callerGone) {
        end(failed, outcome::NotRun, reason);
        return;
    }
    countWaiting(failed);
    m_backoffs.emplace(failed.notBefore, failed.submitted.number);
}

bool engine::allowsAttempt(const pending_request& inFlight)
{
    const service_state* service = findService(inFlight.submitted.service);
    return !m_stopping && service != nullptr && !service->targets.empty()
        && inFlight.sends < inFlight.submitted.attempts;
}

bool engine::mayAttemptAgain(const pending_request& inFlight)
{
    const request& submitted = inFlight.submitted;
    return submitted.repeatable && !inFlight.callerGone && allowsAttempt(inFlight)
        && inFlight.attempt.value() < m_settings.attemptsMax && mayRetry(inFlight)
        && m_now + m_settings.retryBackoffMax < submitted.deadline;
}

// Full jitter: M. Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015. After a
// shed answer the backoff does not grow, since the window already spaces out the attempts. The
// pause that the target requested applies to its window, not to the request, which another target
// may serve at once.
void engine::backOff(pending_request& failed)
{
    const bool wasShed = failed.retry == retry_reason::TargetShed;
    const duration bound = wasShed ? shedBackoff(failed) : failureBackoff(failed);
    std::uniform_int_distribution<duration::rep> jitter(0, bound.count());
    failed.currentPhase = phase::BackingOff;
    failed.notBefore = m_now + duration(jitter(m_random));
}

duration engine::failureBackoff(const pending_request& failed) const
{
    const auto doublings = std::min(failed.attempt.value() - 1, backoffDoublingsMax);
    return std::min<duration>(
        m_settings.retryBackoffMax, m_settings.retryBackoff * (1U << doublings));
}

duration engine::shedBackoff(const pending_request& failed) const
{
    const auto service = m_services.find(failed.submitted.service);
    const bool isQuiet
        = service != m_services.end() && service->second.shares.isQuiet(failed.submitted.caller);
    return isQuiet ? quietBackoff : duration(m_settings.retryBackoff);
}

// Whether the target crashed must be known before the request may be sent to another one.
void engine::awaitProbe(pending_request& failed)
{
    const request_number number = failed.submitted.number;
    retryOrEnd(failed, retry_reason::ConnectionBroken, refusal_reason::ConnectionBroken);
    if (pending_request* still = find(number))
        awaitCrashCheck(*still);
}

// A request whose connection just broke, or that the caller resends after that, waits until a probe
// has shown whether it may have crashed its target, but at most for crashUnresolvedMax. Returns
// whether it waits.
bool engine::awaitCrashCheck(pending_request& waiting)
{
    const auto found = m_unresolvedLosses.find(waiting.submitted.requestFingerprint);
    if (found == m_unresolvedLosses.end())
        return false;
    const instant until = found->second.at + crashUnresolvedMax;
    target_state* target = findTarget(found->second.target);
    if (target == nullptr || until <= m_now) {
        m_unresolvedLosses.erase(found);
        return false;
    }
    const request_number number = waiting.submitted.number;
    m_backoffs.erase({ waiting.notBefore, number });
    waiting.currentPhase = phase::BackingOff;
    waiting.notBefore = until;
    m_backoffs.emplace(until, number);
    target->awaitingProbe.push_back(number);
    return true;
}

void engine::releaseAwaitingProbe(target_state& target)
{
    const auto numbers = std::exchange(target.awaitingProbe, {});
    for (const request_number number : numbers) {
        pending_request* waiting = find(number);
        if (waiting != nullptr && waiting->currentPhase == phase::BackingOff)
            releaseAwaitingProbe(target, *waiting);
    }
}

void engine::releaseAwaitingProbe(target_state& target, pending_request& waiting)
{
    const request_number number = waiting.submitted.number;
    if (m_unresolvedLosses.contains(waiting.submitted.requestFingerprint)) {
        target.awaitingProbe.push_back(number);
        return;
    }
    m_backoffs.erase({ waiting.notBefore, number });
    if (!waiting.retry) {
        enqueue(waiting);
        return;
    }
    backOff(waiting);
    m_backoffs.emplace(waiting.notBefore, number);
}

// Retries of shed requests need no budget unless budgetsShed is set: shedding costs a target almost
// nothing, and the window limits how often the request is sent.
void engine::resume(pending_request& waiting)
{
    const bool isBudgeted = waiting.retry && !waiting.isRetryPaid
        && (m_settings.budgetsShed || waiting.retry != retry_reason::TargetShed);
    if (isBudgeted && !mayRetry(waiting) && !m_settings.waitsForBudget) {
        end(waiting, outcome::NotRun, refusal_reason::RetryBudget);
        return;
    }
    if (isBudgeted && !mayRetry(waiting)) {
        waiting.currentPhase = phase::AwaitingBudget;
        findService(waiting.submitted.service)->awaitingBudget.push_back(waiting.submitted.number);
        return;
    }
    if (isBudgeted)
        chargeRetryBudgets(waiting);
    enqueue(waiting);
}

void engine::resumeAwaitingBudget(service_state& service)
{
    if (service.awaitingBudget.empty() || !service.budget.allows())
        return;
    const auto numbers = std::exchange(service.awaitingBudget, {});
    for (const request_number number : numbers)
        resume(m_requests.at(number));
}

retry_budget& engine::callerBudget(const caller_id& caller)
{
    return m_callerBudgets.try_emplace(caller, m_settings.retryRatio, m_settings.retryBurst)
        .first->second;
}

bool engine::mayRetry(const pending_request& waiting)
{
    const retry_budget& service = findService(waiting.submitted.service)->budget;
    return service.allows() && callerBudget(waiting.submitted.caller).allows();
}

void engine::chargeRetryBudgets(const pending_request& waiting)
{
    findService(waiting.submitted.service)->budget.onRetry();
    callerBudget(waiting.submitted.caller).onRetry();
}

void engine::creditRetryBudgets(service_state& service, const caller_id& caller)
{
    service.budget.onFirstAttempt();
    callerBudget(caller).onFirstAttempt();
}

} // namespace pimentomast::routing
