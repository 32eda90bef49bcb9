#include "engine.h"

#include <algorithm>

/// Requests whose answer is late: when they are, and whether their attempts are given up.
namespace pimentomast::routing {

namespace {

/// Time between two reports of an idle target after which a request that it did not answer is lost.
constexpr duration idleConfirmationTime = std::chrono::seconds(2);

} // namespace

bool engine::isOverdue(const pending_request& inFlight) const
{
    const auto found = m_services.find(inFlight.submitted.service);
    const duration bound
        = found == m_services.end() ? duration {} : found->second.firstByte.upperBound();
    return bound > duration {} && m_now - inFlight.sent >= bound;
}

duration engine::lateAfter(const service_id& service) const
{
    const auto found = m_services.find(service);
    const duration firstByteBound
        = found == m_services.end() ? duration {} : found->second.firstByte.upperBound();
    const auto scaled
        = std::chrono::duration_cast<duration>(firstByteBound * m_settings.lateFactor);
    return std::max<duration>(m_settings.lateMin, scaled);
}

instant engine::lateAt(const pending_request& inFlight) const
{
    return inFlight.sent + lateAfter(inFlight.submitted.service);
}

// A request whose target was dropped from the table, perhaps to return as another, is not awaited.
void engine::awaitAnswer(const pending_request& inFlight)
{
    const request& submitted = inFlight.submitted;
    const target_state* target = findTarget(inFlight.target);
    if (target != nullptr && !inFlight.responded && target->inFlight.contains(submitted.number))
        m_unanswered[submitted.service].emplace(inFlight.sent, submitted.number);
}

void engine::endAwaitedAnswer(const pending_request& inFlight)
{
    const auto found = m_unanswered.find(inFlight.submitted.service);
    if (found != m_unanswered.end())
        found->second.erase({ inFlight.sent, inFlight.submitted.number });
}

void engine::requestLateProbes()
{
    for (const auto& [service, requests] : m_unanswered) {
        const instant sentBefore = m_now - lateAfter(service);
        for (auto next = requests.begin(); next != requests.end() && next->first <= sentBefore;
             ++next) {
            ++m_targetVisits;
            target_state& target = *findTarget(m_requests.at(next->second).target);
            target.health.requestProbe(m_now);
            indexProbe(target);
        }
    }
}

bool engine::isUnansweredSince(const pending_request& inFlight, instant probeStarted) const
{
    return inFlight.wasSent && !inFlight.responded && probeStarted >= lateAt(inFlight);
}

// The target answered a probe over a new connection while requests got no answer. Those on
// connections that were opened before their dispatch or, if the target reports no work, all of them
// are tried again. The attempts may yet have been answered, so none is given up unless another can
// follow.
void engine::retryLateAttempts(
    target_state& target, instant probeStarted, const load_report& reported)
{
    const bool reportsWork = reported.running + reported.queued > 0;
    std::vector<request_number> late;
    for (const request_number number : target.inFlight) {
        const pending_request& inFlight = m_requests.at(number);
        const bool isSuspect = inFlight.reusedConnection || !reportsWork;
        if (isSuspect && isUnansweredSince(inFlight, probeStarted))
            late.push_back(number);
    }
    if (!late.empty())
        m_actions.emplace_back(close_idle { target.row.id, probeStarted });
    for (const request_number number : late) {
        pending_request& inFlight = m_requests.at(number);
        if (!mayAttemptAgain(inFlight))
            continue;
        ++m_counts.silentConnections;
        attemptAgain(inFlight, retry_reason::ConnectionSilent, refusal_reason::ConnectionSilent);
    }
}

// A request that may not be repeated ends only if the target itself reports, twice, that it works
// on nothing: the first probe may have been answered before the request was read. Targets that
// report no load may be at work on it for as long as their connection lives.
void engine::endLostAttempts(
    target_state& target, instant probeStarted, const load_report& reported)
{
    const bool isIdle = m_settings.targetsReportLoad && reported.running + reported.queued == 0;
    std::vector<request_number> lost;
    for (const request_number number : target.inFlight) {
        pending_request& inFlight = m_requests.at(number);
        if (inFlight.submitted.repeatable)
            continue;
        if (!isIdle || !isUnansweredSince(inFlight, probeStarted))
            inFlight.idleSince.reset();
        else if (probeStarted - inFlight.idleSince.value_or(probeStarted) >= idleConfirmationTime)
            lost.push_back(number);
        else if (!inFlight.idleSince)
            inFlight.idleSince = probeStarted;
    }
    if (!lost.empty())
        m_actions.emplace_back(close_idle { target.row.id, probeStarted });
    for (const request_number number : lost) {
        pending_request& inFlight = m_requests.at(number);
        ++m_counts.silentConnections;
        abandonAttempt(inFlight);
        end(inFlight, outcome::Unknown, refusal_reason::ConnectionSilent);
    }
}

// An ejected target is not expected to answer late requests; repeatable ones are retried on another
// target.
void engine::endLateAttempts(target_state& target)
{
    const auto numbers = target.inFlight;
    for (const request_number number : numbers) {
        pending_request& inFlight = m_requests.at(number);
        if (isUnansweredSince(inFlight, m_now) && mayAttemptAgain(inFlight))
            attemptAgain(
                inFlight, retry_reason::AttemptTimedOut, refusal_reason::DeadlineAfterDispatch);
    }
}

void engine::abandonAttempt(pending_request& inFlight)
{
    m_actions.emplace_back(abandon { inFlight.submitted.number, inFlight.attempt });
    if (target_state* target = detachFromTarget(inFlight)) {
        recordLoss(inFlight, *target);
        countUnanswered(*target, inFlight);
    }
    inFlight.mayHaveRun = true;
}

// Precondition: mayAttemptAgain(). The retry is paid for at once: later there may be no token.
void engine::attemptAgain(pending_request& inFlight, retry_reason retry, refusal_reason reason)
{
    abandonAttempt(inFlight);
    chargeRetryBudgets(inFlight);
    inFlight.isRetryPaid = true;
    retryOrEnd(inFlight, retry, reason);
}

} // namespace pimentomast::routing
