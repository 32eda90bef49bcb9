#include "engine.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr unsigned drainSamplesMin = 20;
constexpr double windowFloor = 0.05;
constexpr double costMin = 0.1;
constexpr double costMax = 20;
/// Time after which a target that refused a key is asked again although it still is the owner;
/// doubled after each refusal.
constexpr duration ownerPause = std::chrono::milliseconds(100);
constexpr unsigned ownerPauseDoublingsMax = 3;

} // namespace

actions engine::arrive(instant now, const request& submitted)
{
    m_now = now;
    ++m_counts.arrived;
    if (const auto reason = refusalAtArrival(submitted)) {
        ++m_counts.refusals.at(static_cast<std::size_t>(*reason));
        m_actions.emplace_back(refuse { submitted.number, outcome::NotRun, *reason, {}, {}, {} });
        return this->takeActions();
    }
    pending_request& known = m_requests[submitted.number];
    known.submitted = submitted;
    m_deadlines.emplace(submitted.deadline, submitted.number);
    service_state& service = *findService(submitted.service);
    service.shares.add(now, submitted.caller);
    countWaiting(known);
    // Repeatable requests do not wait: lookups of a busy key share a fingerprint, and holding them
    // back would stall all their callers.
    if (!submitted.repeatable && awaitCrashCheck(known))
        return this->takeActions();
    enqueue(known);
    if (refuseLate(submitted.number))
        return this->takeActions();
    if (pending_request* still = find(submitted.number); still != nullptr && service.row.keyed()) {
        if (target_state* target = findTarget(still->queuedTarget))
            dispatchTarget(*target);
    } else {
        dispatchService(service);
    }
    return this->takeActions();
}

duration retry_after_schedule::next(
    instant now, duration earliest, duration perRequest, instant until)
{
    const auto retryAt = std::max(m_nextFree, now + earliest);
    if (retryAt <= until)
        m_nextFree = retryAt + perRequest;
    return retryAt - now;
}

// Requests ahead in the queue are served at the rate that the target's window and latency allow.
engine::queue_estimate engine::targetQueueEstimate(
    const target_state& target, std::size_t ahead) const
{
    const auto outstanding = static_cast<double>(target.inFlight.size());
    const double size = std::max(target.window.size(m_now), windowFloor);
    const duration latency = target.health.latency().smoothed(initialLatency);
    const auto perRequest = std::chrono::duration<double, std::micro>(latency) / size;
    const auto pause = std::max(target.shedUntil - m_now, duration {});
    // Below a window of 1 the next dispatch is due a certain time after the last one.
    const bool isPaced = size < 1;
    const auto opens = isPaced ? target.window.nextFraction(m_now, 0, latency) : m_now;
    const double excess = isPaced ? static_cast<double>(ahead)
                                  : static_cast<double>(ahead) + outstanding + 1 - size;
    const auto queued = std::chrono::duration_cast<duration>(perRequest * std::max(excess, 0.0));
    const auto warming = warmupWait(target, ahead);
    const auto wait = std::max(pause, std::max(opens - m_now, duration {})) + queued + warming;
    return { wait, std::chrono::duration_cast<duration>(perRequest), latency, warming };
}

// Targets of a service without keys share its queue.
engine::queue_estimate engine::serviceQueueEstimate(const service_state& service) const
{
    double perSecond = 0;
    double room = 0;
    for (const target_id& id : service.targets) {
        const target_state& target = m_targets.at(id);
        if (target.row.state != table::mark::Active || target.health.ejected() || isCold(target))
            continue;
        const std::chrono::duration<double> latency(
            target.health.latency().smoothed(initialLatency));
        const double size = std::max(target.window.size(m_now), windowFloor);
        perSecond += size / latency.count();
        room += std::max(size - static_cast<double>(target.inFlight.size()), 0.0);
    }
    const duration latency = service.latency.smoothed(initialLatency);
    const double excess = static_cast<double>(service.waiting.size()) - std::max(room, 0.0);
    if (excess <= 0 || perSecond <= 0) {
        const auto warming = warmupWait(service);
        return { warming, {}, latency, warming };
    }
    const std::chrono::duration<double> perRequest(1 / perSecond);
    return { std::chrono::duration_cast<duration>(perRequest * excess),
        std::chrono::duration_cast<duration>(perRequest), latency };
}

// Under overload, a target's time goes only to requests that can still be answered in time.
// Returns whether the request was refused.
bool engine::refuseLate(request_number number)
{
    pending_request* arrived = find(number);
    if (arrived == nullptr || arrived->currentPhase != phase::Queued
        || arrived->submitted.objective == instant::max())
        return false;
    service_state& service = *findService(arrived->submitted.service);
    target_state* owner = service.row.keyed() ? findTarget(arrived->queuedTarget) : nullptr;
    const auto estimate = owner ? targetQueueEstimate(*owner, owner->waiting.size() - 1)
                                : serviceQueueEstimate(service);
    const duration slack
        = std::max(arrived->submitted.objective - m_now - estimate.latency, duration {});
    if (estimate.wait <= slack)
        return false;
    if (owner)
        arrived->target = arrived->queuedTarget;
    auto& retryAfterSchedule = owner ? owner->retryAfterSchedule : service.retryAfterSchedule;
    arrived->expectedWait = estimate.wait;
    arrived->retryAfter = retryAfterSchedule.next(m_now, estimate.wait - slack, estimate.perRequest,
        arrived->submitted.deadline - estimate.latency);
    const bool isWarming = estimate.wait - estimate.warming <= slack;
    end(*arrived, outcome::NotRun,
        isWarming ? refusal_reason::TargetWarming : refusal_reason::WaitTooLong);
    return true;
}

std::optional<refusal_reason> engine::refusalAtArrival(const request& submitted)
{
    if (m_stopping)
        return refusal_reason::HostStopping;
    service_state* service = findService(submitted.service);
    if (service == nullptr || service->row.keyed() != submitted.key.has_value())
        return refusal_reason::UnknownService;
    if (service->targets.empty())
        return refusal_reason::NoTarget;
    if (!m_confirmed && !service->row.keyed())
        return refusal_reason::TableUnconfirmed;
    if (submitted.deadline <= m_now)
        return refusal_reason::DeadlineBeforeDispatch;
    if (m_quarantine.verdictOf(submitted.requestFingerprint) == quarantine::verdict::Refused)
        return refusal_reason::Quarantined;
    if (missesDeadline(submitted, *service))
        return refusal_reason::DeadlineUnreachable;
    if (service->waitingCount >= service->row.queue && !makeRoom(*service, submitted.caller))
        return refusal_reason::QueueFull;
    return std::nullopt;
}

// The caller's own queue is served once per round over all waiting callers.
bool engine::missesDeadline(const request& submitted, const service_state& service) const
{
    const auto own = service.waitingByCaller.find(submitted.caller);
    if (own == service.waitingByCaller.end() || service.drainSamples < drainSamplesMin)
        return false;
    const auto ahead
        = static_cast<duration::rep>(own->second.size() * service.waitingByCaller.size());
    return m_now + ahead * service.drainGap.smoothed({}) > submitted.deadline;
}

// Refuses the newest request of the caller with the most waiting requests.
bool engine::makeRoom(service_state& service, const caller_id& arriving)
{
    const auto longest
        = std::max_element(service.waitingByCaller.begin(), service.waitingByCaller.end(),
            [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
    if (longest == service.waitingByCaller.end())
        return false;
    const auto own = service.waitingByCaller.find(arriving);
    const std::size_t ownCount = own == service.waitingByCaller.end() ? 0 : own->second.size();
    if (ownCount + 1 >= longest->second.size())
        return false;
    const request_number newest = *longest->second.rbegin();
    end(m_requests.at(newest), outcome::NotRun, refusal_reason::QueueFull);
    return true;
}

void engine::enqueue(pending_request& waiting)
{
    if (m_quarantine.verdictOf(waiting.submitted.requestFingerprint)
        == quarantine::verdict::Refused) {
        end(waiting, outcome::NotRun, refusal_reason::Quarantined);
        return;
    }
    service_state& service = *findService(waiting.submitted.service);
    if (!service.row.keyed()) {
        pushToQueue(waiting, service.waiting);
        return;
    }
    const owner_answer answer = m_owners.find(
        m_now, waiting.submitted.service, waiting.submitted.key.value_or(key_hash {}));
    const auto* owned = std::get_if<owned_by>(&answer);
    target_state* target = owned == nullptr ? nullptr : findTarget(owned->target);
    if (target == nullptr || hasLeft(*target)) {
        const auto* held = std::get_if<held_until>(&answer);
        waiting.heldUntil = held == nullptr ? instant::max() : held->until;
        enqueueUnowned(waiting);
        return;
    }
    if (isRefusedOwner(waiting, *owned)) {
        waiting.heldUntil = waiting.refusedUntil;
        enqueueUnowned(waiting);
        return;
    }
    waiting.queuedTarget = owned->target;
    pushToQueue(waiting, target->waiting);
    indexQueue(*target);
    refuseWarming(waiting, *target, target->waiting.size() - 1);
}

// The target does not hold the key, and this host has yet to learn which one does. Sending the
// request there again at once would only use up its attempts and the retry budgets.
void engine::holdForNewOwner(pending_request& refused)
{
    if (!refused.grant)
        return;
    const unsigned doublings = std::min(refused.ownerRefusals++, ownerPauseDoublingsMax);
    refused.refusedOwner = owned_by { refused.target, *refused.grant };
    refused.refusedUntil = m_now + ownerPause * (1U << doublings);
}

bool engine::isRefusedOwner(const pending_request& waiting, const owned_by& owner) const
{
    return waiting.refusedOwner && waiting.refusedOwner->target == owner.target
        && waiting.refusedOwner->grant == owner.grant && m_now < waiting.refusedUntil;
}

void engine::pushToQueue(pending_request& waiting, fair_queue& in)
{
    const request& submitted = waiting.submitted;
    const double price = cost(*findService(submitted.service), submitted.caller);
    waiting.currentPhase = phase::Queued;
    if (waiting.retry)
        in.pushFront(submitted.number, submitted.caller, price);
    else
        in.push(submitted.number, submitted.caller, price);
}

void engine::enqueueUnowned(pending_request& waiting)
{
    waiting.currentPhase = phase::Unowned;
    findService(waiting.submitted.service)->unowned.push_back(waiting.submitted.number);
}

// The owner of a key may leave before the key gets another owner.
bool engine::hasLeft(const target_state& target) const
{
    const auto& evacuatedBy = target.row.evacuatedBy;
    if (evacuatedBy && m_now >= *evacuatedBy)
        return true;
    // The grace of an evacuation is longer, since many keys move at once.
    const bool onlyEvacuated = evacuatedBy && !target.row.leavingSince;
    return target.leavingSince && !onlyEvacuated
        && m_now >= *target.leavingSince + m_settings.leavingGrace;
}

// A request whose key gets no owner in time is refused, so that its caller can try elsewhere.
void engine::refuseLateUnowned(service_state& service)
{
    const duration latency = service.latency.smoothed(initialLatency);
    std::vector<request_number> late;
    for (const request_number number : service.unowned) {
        const request& submitted = m_requests.at(number).submitted;
        if (submitted.objective != instant::max() && m_now + latency >= submitted.objective)
            late.push_back(number);
    }
    for (const request_number number : late) {
        pending_request& waiting = m_requests.at(number);
        waiting.retryAfter = m_settings.ownerRetryAfter;
        end(waiting, outcome::NotRun, refusal_reason::NoOwner);
    }
}

// Removes a waiting request from the queue or list that holds it.
void engine::dequeue(pending_request& waiting)
{
    const request& submitted = waiting.submitted;
    m_backoffs.erase({ waiting.notBefore, submitted.number });
    service_state* service = findService(submitted.service);
    if (service == nullptr)
        return;
    if (waiting.currentPhase == phase::Unowned)
        std::erase(service->unowned, submitted.number);
    if (waiting.currentPhase == phase::AwaitingBudget)
        std::erase(service->awaitingBudget, submitted.number);
    if (waiting.currentPhase != phase::Queued)
        return;
    if (!service->row.keyed()) {
        service->waiting.erase(submitted.number, submitted.caller);
        return;
    }
    if (target_state* target = findTarget(waiting.queuedTarget)) {
        target->waiting.erase(submitted.number, submitted.caller);
        indexQueue(*target);
    }
}

void engine::indexQueue(target_state& target)
{
    service_state* service = findService(target.row.service);
    if (service == nullptr)
        return;
    if (target.waiting.empty())
        service->queued.erase(target.position);
    else
        service->queued.insert_or_assign(target.position, &target);
}

void engine::retryUnowned(service_state& service)
{
    const auto numbers = std::exchange(service.unowned, {});
    for (const request_number number : numbers)
        enqueue(m_requests.at(number));
}

void engine::countWaiting(const pending_request& waiting)
{
    service_state& service = *findService(waiting.submitted.service);
    ++service.waitingCount;
    service.waitingByCaller[waiting.submitted.caller].insert(waiting.submitted.number);
}

void engine::uncountWaiting(const pending_request& waiting)
{
    service_state* service = findService(waiting.submitted.service);
    if (service == nullptr)
        return;
    const auto own = service->waitingByCaller.find(waiting.submitted.caller);
    if (own == service->waitingByCaller.end() || own->second.erase(waiting.submitted.number) == 0)
        return;
    --service->waitingCount;
    if (own->second.empty())
        service->waitingByCaller.erase(own);
}

// Smoothed latency of the caller's requests, relative to that of the service.
double engine::cost(const service_state& service, const caller_id& caller) const
{
    const duration serviceLatency = service.latency.smoothed(initialLatency);
    const auto found = service.callerLatency.find(caller);
    const duration smoothed = found == service.callerLatency.end()
        ? serviceLatency
        : found->second.smoothed(serviceLatency);
    const double relative
        = static_cast<double>(smoothed.count()) / std::max<double>(1, serviceLatency.count());
    return std::clamp(relative, costMin, costMax);
}

void engine::end(pending_request& ended, outcome requestOutcome, refusal_reason reason)
{
    if (ended.currentPhase != phase::InFlight)
        dequeue(ended);
    const request_number number = ended.submitted.number;
    const outcome known = ended.mayHaveRun ? outcome::Unknown : requestOutcome;
    if (ended.callerGone) {
        ++m_counts.cancelled;
    } else {
        ++m_counts.refusals.at(static_cast<std::size_t>(reason));
        m_actions.emplace_back(
            refuse { number, known, reason, ended.target, ended.retryAfter, ended.expectedWait });
    }
    forget(number);
}

void engine::forget(request_number number)
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end())
        return;
    uncountWaiting(found->second);
    m_deadlines.erase({ found->second.submitted.deadline, number });
    m_requests.erase(found);
}

} // namespace pimentomast::routing
