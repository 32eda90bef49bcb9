#include "engine.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr duration drainingPause = std::chrono::milliseconds(200);
constexpr double trustGain = 0.01;

template <class Map, class Key>
void decrement(Map& counts, const Key& key)
{
    const auto found = counts.find(key);
    if (found != counts.end() && --found->second == 0)
        counts.erase(found);
}

} // namespace

/// Ends one attempt in the way that its result asks for.
struct finish_visitor {
    engine& self;
    pending& ended;
    target_state* target;

    void operator()(const answered& result) const
    {
        if (target != nullptr) {
            target->health.onAnswered(self.m_now, result);
            if (!self.m_settings.targetsReportLoad)
                target->window.onLatency(result.whole);
            else
                self.adaptWindow(*target, ended.taken, false);
            target->reportTrust = std::min(1.0, target->reportTrust + trustGain);
            self.ejectErrorOutlier(*target);
        }
        self.noteLatency(ended.taken, result);
        self.clearSuspect(ended);
        ++self.m_counts.answered;
        self.forget(ended.taken.number);
    }

    void operator()(const shed& result) const
    {
        ended.retryAfter = result.retryAfter.value_or(duration {});
        if (target != nullptr) {
            self.adaptWindow(*target, ended.taken, true);
            const auto pause = std::min<duration>(ended.retryAfter, self.m_settings.shedPauseMax);
            target->shedUntil = std::max(target->shedUntil, self.m_now + pause);
            target->distrustIfIdle();
        }
        self.retryOrEnd(ended, retry_reason::TargetShed, refusal_reason::TargetShed);
    }

    void operator()(const token_refused&) const
    {
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
        if (target != nullptr) {
            target->health.onFailure(self.m_now);
            if (result.refused)
                self.onRunEnded(*target);
            self.ejectIfFailing(*target);
        }
        self.retryOrEnd(ended, retry_reason::ConnectFailed, refusal_reason::ConnectFailed);
    }

    void operator()(const broken&) const
    {
        ended.mayHaveRun = true;
        if (target != nullptr) {
            target->health.onFailure(self.m_now);
            self.noteLoss(ended, *target);
            if (self.m_settings.targetsReportLoad)
                self.m_unsettled[ended.taken.print] = { target->row.id, self.m_now };
            else if (!ended.responded)
                target->window.onShed(false);
        }
        const bool mayRepeat = ended.taken.repeatable && !ended.responded
            && ended.attempt.value() < self.m_settings.attemptsMax;
        if (!mayRepeat || target == nullptr) {
            self.end(ended, outcome::Unknown, refusal_reason::ConnectionBroken);
            return;
        }
        if (self.m_settings.targetsReportLoad)
            self.awaitProbe(ended);
        else
            self.retryOrEnd(
                ended, retry_reason::ConnectionBroken, refusal_reason::ConnectionBroken);
    }

    void operator()(const timed_out&) const
    {
        if (target != nullptr) {
            target->health.onFailure(self.m_now);
            self.noteLoss(ended, *target);
        }
        ended.mayHaveRun = true;
        self.end(ended, outcome::Unknown, refusal_reason::DeadlineAfterDispatch);
    }

    void operator()(const cancelled&) const
    {
        ++self.m_counts.cancelled;
        self.forget(ended.taken.number);
    }
};

actions engine::sent(
    instant now, request_number number, attempt_number attempt, instant connectionOpened)
{
    m_now = now;
    if (pending* known = current(number, attempt)) {
        known->wasSent = true;
        ++known->sends;
        known->sent = now;
        known->reusedConnection = connectionOpened < known->dispatched;
    }
    return taken();
}

actions engine::responded(instant now, request_number number, attempt_number attempt)
{
    m_now = now;
    pending* known = current(number, attempt);
    if (known == nullptr)
        return taken();
    known->responded = true;
    target_state* target = findTarget(known->target);
    if (target != nullptr && target->isolated == number) {
        target->isolated.reset();
        pump(*findService(target->row.service));
    }
    return taken();
}

actions engine::finish(
    instant now, request_number number, attempt_number attempt, const attempt_result& ended)
{
    m_now = now;
    pending* known = current(number, attempt);
    if (known == nullptr)
        return taken();
    const service_id service = known->taken.service;
    target_state* target = leaveTarget(*known);
    const bool workersWereFull = m_inFlight + 1 >= m_settings.workers;
    std::visit(finish_visitor { *this, *known, target }, ended);
    service_state* own = findService(service);
    if (workersWereFull)
        pumpAll();
    else if (own != nullptr && own->row.keyed() && target != nullptr)
        pumpTarget(*target);
    else if (own != nullptr)
        pump(*own);
    return taken();
}

pending* engine::current(request_number number, attempt_number attempt)
{
    pending* known = find(number);
    const bool isCurrent
        = known != nullptr && known->where == phase::InFlight && known->attempt == attempt;
    return isCurrent ? known : nullptr;
}

target_state* engine::leaveTarget(pending& ended)
{
    const request& taken = ended.taken;
    --m_inFlight;
    decrement(m_inFlightPrints, taken.print);
    if (service_state* service = findService(taken.service)) {
        if (service->inFlight > 0)
            --service->inFlight;
    }
    target_state* target = findTarget(ended.target);
    if (target == nullptr)
        return nullptr;
    target->inFlight.erase(taken.number);
    if (target->isolated == taken.number)
        target->isolated.reset();
    return target;
}

// Callers below their share pass the window while another one floods, and say nothing about it.
void engine::adaptWindow(target_state& target, const request& taken, bool wasShed)
{
    const service_state& service = m_services.at(target.row.service);
    if (service.shares.isQuiet(taken.caller))
        return;
    const bool floods = service.shares.floods(taken.caller);
    if (wasShed)
        target.window.onShed(floods);
    else
        target.window.onAnswered(floods);
}

void engine::noteLatency(const request& taken, const answered& result)
{
    service_state* service = findService(taken.service);
    if (service == nullptr)
        return;
    service->latency.add(result.whole);
    service->firstByte.add(result.firstByte);
    service->callerLatency[taken.caller].add(result.whole);
}

// A request that was answered whole does not crash targets.
void engine::clearSuspect(const pending& ended)
{
    const fingerprint print = ended.taken.print;
    if (m_quarantine.judge(print) != quarantine::verdict::Suspected)
        return;
    const crash cleared { print, {}, {}, m_now, true };
    m_quarantine.add(cleared);
    m_out.emplace_back(tell_hosts { cleared });
}

} // namespace pimentomast::routing
