#include "engine.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr duration drainingPause = std::chrono::milliseconds(200);
constexpr double trustGain = 0.01;
constexpr int firstClientError = 400;

template <class Map, class Key>
void decrement(Map& counts, const Key& key)
{
    const auto found = counts.find(key);
    if (found != counts.end() && --found->second == 0)
        counts.erase(found);
}

} // namespace

/// Handles the end of an attempt according to its result.
struct finish_visitor {
    engine& self;
    pending_request& ended;
    target_state* target;

    void recordAnswer(const answered& result) const
    {
        if (target != nullptr) {
            target->health.onAnswered(self.m_now, result);
            engine::countAnswer(*target, result);
            if (!self.m_settings.targetsReportLoad)
                target->window.onLatency(self.m_now, result.total);
            else
                self.adaptWindow(*target, ended.submitted, false);
            target->reportTrust = std::min(1.0, target->reportTrust + trustGain);
            self.ejectErrorOutlier(*target);
        }
        self.recordLatency(ended.submitted, result);
        self.clearSuspect(ended, result);
    }

    void operator()(const answered& result) const
    {
        recordAnswer(result);
        ++self.m_counts.answered;
        self.forget(ended.submitted.number);
    }

    void operator()(const refusal_unproved& result) const
    {
        recordAnswer(result.answer);
        self.end(ended, outcome::Unknown, refusal_reason::RefusalUnproved);
    }

    void operator()(const shed& result) const
    {
        ended.retryAfter = result.retryAfter.value_or(duration {});
        if (target != nullptr) {
            ++target->speed.rejections;
            self.adaptWindow(*target, ended.submitted, true);
            const auto pause = std::min<duration>(ended.retryAfter, self.m_settings.shedPauseMax);
            target->shedUntil = std::max(target->shedUntil, self.m_now + pause);
            target->reduceTrustIfSlotsFree();
        }
        self.retryOrEnd(ended, retry_reason::TargetShed, refusal_reason::TargetShed);
    }

    void operator()(const token_refused&) const
    {
        giveBackQuota();
        self.holdForNewOwner(ended);
        self.retryOrEnd(ended, retry_reason::TokenRefused, refusal_reason::TokenRefused);
    }

    void operator()(const draining&) const
    {
        if (target != nullptr)
            target->shedUntil = std::max(target->shedUntil, self.m_now + drainingPause);
        self.retryOrEnd(ended, retry_reason::TargetDraining, refusal_reason::TargetDraining);
    }

    void operator()(const connect_failed& result) const
    {
        giveBackQuota();
        if (target != nullptr) {
            target->health.onFailure(self.m_now);
            self.indexProbe(*target);
            if (result.refused)
                self.onRunEnded(*target);
            self.ejectIfFailing(*target);
        }
        self.retryOrEnd(ended, retry_reason::ConnectFailed, refusal_reason::ConnectFailed);
    }

    void operator()(const broken& result) const
    {
        const auto refusal
            = result.silent ? refusal_reason::ConnectionSilent : refusal_reason::ConnectionBroken;
        ended.mayHaveRun = true;
        if (result.silent)
            ++self.m_counts.silentConnections;
        if (target != nullptr) {
            target->health.onFailure(self.m_now);
            self.indexProbe(*target);
            self.recordLoss(ended, *target);
            if (!result.silent && !ended.responded)
                ++target->speed.rejections;
            if (self.m_settings.targetsReportLoad)
                self.m_unresolvedLosses[ended.submitted.requestFingerprint]
                    = { target->row.id, self.m_now };
            else if (!ended.responded)
                target->window.onShed(self.m_now, false);
        }
        const bool mayRepeat = ended.submitted.repeatable && !ended.responded
            && ended.attempt.value() < self.m_settings.attemptsMax;
        if (!mayRepeat || target == nullptr) {
            self.end(ended, outcome::Unknown, refusal);
            return;
        }
        if (result.silent)
            self.retryOrEnd(ended, retry_reason::ConnectionSilent, refusal);
        else if (self.m_settings.targetsReportLoad)
            self.awaitProbe(ended);
        else
            self.retryOrEnd(ended, retry_reason::ConnectionBroken, refusal);
    }

    // The target did not receive the request, or refused it in the way that does not count.
    void giveBackQuota() const
    {
        if (target != nullptr)
            target->quota.giveBack(ended.wasSent ? ended.sent : self.m_now);
    }

    // A full target may not answer at all; its silence is the only sign.
    void shrinkIfSilent() const
    {
        const bool isSilent = ended.wasSent && !ended.responded && self.isOverdue(ended);
        if (target != nullptr && isSilent && !self.m_settings.targetsReportLoad)
            target->window.onShed(self.m_now, false);
    }

    void operator()(const timed_out&) const
    {
        shrinkIfSilent();
        if (target != nullptr) {
            target->health.onFailure(self.m_now);
            self.indexProbe(*target);
            self.recordLoss(ended, *target);
            self.countUnanswered(*target, ended);
        }
        ended.mayHaveRun = true;
        self.end(ended, outcome::Unknown, refusal_reason::DeadlineAfterDispatch);
    }

    void operator()(const cancelled&) const
    {
        shrinkIfSilent();
        if (target != nullptr)
            self.countUnanswered(*target, ended);
        ++self.m_counts.cancelled;
        self.forget(ended.submitted.number);
    }
};

actions engine::sent(
    instant now, request_number number, attempt_number attempt, instant connectionOpened)
{
    m_now = now;
    if (pending_request* known = currentAttempt(number, attempt)) {
        endAwaitedAnswer(*known);
        if (target_state* target = findTarget(known->target)) {
            if (known->wasSent)
                target->quota.onSentAgain(now);
            else
                target->quota.onSent(now);
        }
        known->wasSent = true;
        ++known->sends;
        known->sent = now;
        awaitAnswer(*known);
        known->reusedConnection = connectionOpened < known->dispatched;
    }
    return takeActions();
}

actions engine::responded(instant now, request_number number, attempt_number attempt)
{
    m_now = now;
    pending_request* known = currentAttempt(number, attempt);
    if (known == nullptr)
        return takeActions();
    known->responded = true;
    endAwaitedAnswer(*known);
    target_state* target = findTarget(known->target);
    if (target != nullptr && target->isolated == number) {
        target->isolated.reset();
        dispatchService(*findService(target->row.service));
    }
    return takeActions();
}

actions engine::identify(instant now, request_number number, fingerprint requestFingerprint)
{
    m_now = now;
    pending_request* known = find(number);
    if (known == nullptr)
        return takeActions();
    const bool isInFlight = known->currentPhase == phase::InFlight;
    if (isInFlight) {
        decrement(m_inFlightFingerprints, known->submitted.requestFingerprint);
        ++m_inFlightFingerprints[requestFingerprint];
    }
    known->submitted.requestFingerprint = requestFingerprint;
    const bool isRefused
        = m_quarantine.verdictOf(requestFingerprint) == quarantine::verdict::Refused;
    if (!isRefused || (isInFlight && known->responded))
        return takeActions();
    if (isInFlight)
        abandonAttempt(*known);
    end(*known, outcome::NotRun, refusal_reason::Quarantined);
    return takeActions();
}

actions engine::finish(
    instant now, request_number number, attempt_number attempt, const attempt_result& ended)
{
    m_now = now;
    pending_request* known = currentAttempt(number, attempt);
    if (known == nullptr)
        return takeActions();
    const service_id service = known->submitted.service;
    target_state* target = detachFromTarget(*known);
    const bool workersWereFull = m_inFlight + 1 >= m_settings.workers;
    std::visit(finish_visitor { *this, *known, target }, ended);
    service_state* own = findService(service);
    if (workersWereFull)
        dispatchAll();
    else if (own != nullptr && own->row.keyed() && target != nullptr)
        dispatchTarget(*target);
    else if (own != nullptr)
        dispatchService(*own);
    return takeActions();
}

pending_request* engine::currentAttempt(request_number number, attempt_number attempt)
{
    pending_request* known = find(number);
    const bool isCurrent
        = known != nullptr && known->currentPhase == phase::InFlight && known->attempt == attempt;
    return isCurrent ? known : nullptr;
}

target_state* engine::detachFromTarget(pending_request& ended)
{
    const request& submitted = ended.submitted;
    --m_inFlight;
    endAwaitedAnswer(ended);
    decrement(m_inFlightFingerprints, submitted.requestFingerprint);
    if (service_state* service = findService(submitted.service)) {
        if (service->inFlight > 0)
            --service->inFlight;
    }
    target_state* target = findTarget(ended.target);
    if (target == nullptr)
        return nullptr;
    target->inFlight.erase(submitted.number);
    if (!ended.wasSent)
        target->quota.onSent(m_now);
    if (target->isolated == submitted.number)
        target->isolated.reset();
    return target;
}

// While one caller floods, callers below their share bypass the window; their results do not adapt
// it.
void engine::adaptWindow(target_state& target, const request& submitted, bool wasShed)
{
    const service_state& service = m_services.at(target.row.service);
    if (service.shares.isQuiet(submitted.caller))
        return;
    const bool floods = service.shares.floods(submitted.caller);
    if (wasShed)
        target.window.onShed(m_now, floods);
    else
        target.window.onAnswered(m_now, floods);
}

void engine::recordLatency(const request& submitted, const answered& result)
{
    service_state* service = findService(submitted.service);
    if (service == nullptr)
        return;
    service->latency.add(result.total);
    service->firstByte.add(result.firstByte);
    service->callerLatency[submitted.caller].add(result.total);
}

// A request that got a complete answer does not crash targets. To clear one that is refused
// already, the answer must be that of a target that has run it.
void engine::clearSuspect(const pending_request& ended, const answered& result)
{
    const fingerprint requestFingerprint = ended.submitted.requestFingerprint;
    const auto verdict = m_quarantine.verdictOf(requestFingerprint);
    const bool isRefusedWrongly
        = verdict == quarantine::verdict::Refused && result.status < firstClientError;
    if (verdict == quarantine::verdict::Suspected || isRefusedWrongly)
        clear(requestFingerprint);
}

} // namespace pimentomast::routing
