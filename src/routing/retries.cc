#include "engine.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr unsigned backoffDoublingsMax = 10;
constexpr duration quietBackoff = std::chrono::milliseconds(2);
constexpr duration crashUnsettledMax = std::chrono::seconds(2);

} // namespace

// The attempt did not run, or may run again.
void engine::retryOrEnd(pending& failed, retry_reason retry, refusal_reason reason)
{
    failed.retry = retry;
    failed.failure = reason;
    const service_state* service = findService(failed.taken.service);
    const bool isOver = m_stopping || service == nullptr || service->targets.empty()
        || failed.sends >= failed.taken.attempts;
    backOff(failed);
    if (isOver || failed.callerGone || failed.notBefore >= failed.taken.deadline) {
        end(failed, outcome::NotRun, reason);
        return;
    }
    countWaiting(failed);
    m_backoffs.emplace(failed.notBefore, failed.taken.number);
}

// Full jitter: M. Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015. After a
// shed answer the window spaces out the attempts already. The pause that the target asked for holds
// back its window, not the request, which another target may serve at once.
void engine::backOff(pending& failed)
{
    const bool wasShed = failed.retry == retry_reason::TargetShed;
    const duration bound = wasShed ? shedBackoff(failed) : failureBackoff(failed);
    std::uniform_int_distribution<duration::rep> jitter(0, bound.count());
    failed.where = phase::BackingOff;
    failed.notBefore = m_now + duration(jitter(m_random));
}

duration engine::failureBackoff(const pending& failed) const
{
    const auto doublings = std::min(failed.attempt.value() - 1, backoffDoublingsMax);
    return std::min<duration>(
        m_settings.retryBackoffMax, m_settings.retryBackoff * (1U << doublings));
}

duration engine::shedBackoff(const pending& failed) const
{
    const auto service = m_services.find(failed.taken.service);
    const bool isQuiet
        = service != m_services.end() && service->second.shares.isQuiet(failed.taken.caller);
    return isQuiet ? quietBackoff : duration(m_settings.retryBackoff);
}

// Whether the target crashed must be known before the request may meet the next one.
void engine::awaitProbe(pending& failed)
{
    const request_number number = failed.taken.number;
    retryOrEnd(failed, retry_reason::ConnectionBroken, refusal_reason::ConnectionBroken);
    if (pending* still = find(number))
        awaitFate(*still);
}

// A request that was just lost with its connection, or that the caller sends again, waits until a
// probe has told whether it may have crashed its target, or for a bounded time. Returns whether it
// waits.
bool engine::awaitFate(pending& waiting)
{
    const auto found = m_unsettled.find(waiting.taken.print);
    if (found == m_unsettled.end())
        return false;
    const instant until = found->second.at + crashUnsettledMax;
    target_state* target = findTarget(found->second.target);
    if (target == nullptr || until <= m_now) {
        m_unsettled.erase(found);
        return false;
    }
    const request_number number = waiting.taken.number;
    m_backoffs.erase({ waiting.notBefore, number });
    waiting.where = phase::BackingOff;
    waiting.notBefore = until;
    m_backoffs.emplace(until, number);
    target->awaitingProbe.push_back(number);
    return true;
}

void engine::releaseAwaiting(target_state& target)
{
    const auto numbers = std::exchange(target.awaitingProbe, {});
    for (const request_number number : numbers) {
        pending* waiting = find(number);
        if (waiting != nullptr && waiting->where == phase::BackingOff)
            releaseAwaiting(target, *waiting);
    }
}

void engine::releaseAwaiting(target_state& target, pending& waiting)
{
    const request_number number = waiting.taken.number;
    if (m_unsettled.contains(waiting.taken.print)) {
        target.awaitingProbe.push_back(number);
        return;
    }
    m_backoffs.erase({ waiting.notBefore, number });
    if (!waiting.retry) {
        place(waiting);
        return;
    }
    backOff(waiting);
    m_backoffs.emplace(waiting.notBefore, number);
}

// A shed request cost its target next to nothing, and the window bounds how often it is sent.
void engine::resume(pending& waiting)
{
    const bool isBudgeted
        = waiting.retry && (m_settings.budgetsShed || waiting.retry != retry_reason::TargetShed);
    if (isBudgeted && !mayRetry(waiting) && !m_settings.waitsForBudget) {
        end(waiting, outcome::NotRun, refusal_reason::RetryBudget);
        return;
    }
    if (isBudgeted && !mayRetry(waiting)) {
        waiting.where = phase::Parked;
        findService(waiting.taken.service)->parked.push_back(waiting.taken.number);
        return;
    }
    if (isBudgeted)
        spendRetry(waiting);
    place(waiting);
}

void engine::unpark(service_state& service)
{
    if (service.parked.empty() || !service.budget.allows())
        return;
    const auto numbers = std::exchange(service.parked, {});
    for (const request_number number : numbers)
        resume(m_requests.at(number));
}

retry_budget& engine::callerBudget(const caller_id& caller)
{
    return m_callerBudgets.try_emplace(caller, m_settings.retryRatio, m_settings.retryBurst)
        .first->second;
}

bool engine::mayRetry(const pending& waiting)
{
    const retry_budget& service = findService(waiting.taken.service)->budget;
    return service.allows() && callerBudget(waiting.taken.caller).allows();
}

void engine::spendRetry(const pending& waiting)
{
    findService(waiting.taken.service)->budget.onRetry();
    callerBudget(waiting.taken.caller).onRetry();
}

void engine::earnRetries(service_state& service, const caller_id& caller)
{
    service.budget.onFirstAttempt();
    callerBudget(caller).onFirstAttempt();
}

} // namespace pimentomast::routing
