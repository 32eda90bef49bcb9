#include "engine.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr unsigned drainSamplesMin = 20;
constexpr double windowFloor = 0.05;
constexpr double costMin = 0.1;
constexpr double costMax = 20;

} // namespace

actions engine::arrive(instant now, const request& taken)
{
    m_now = now;
    ++m_counts.arrived;
    if (const auto reason = refusalAtArrival(taken)) {
        ++m_counts.refusals.at(static_cast<std::size_t>(*reason));
        m_out.emplace_back(refuse { taken.number, outcome::NotRun, *reason, {}, {}, {} });
        return this->taken();
    }
    pending& known = m_requests[taken.number];
    known.taken = taken;
    m_deadlines.emplace(taken.deadline, taken.number);
    service_state& service = *findService(taken.service);
    service.shares.add(now, taken.caller);
    countWaiting(known);
    // Look-ups of a busy key are alike; holding them would stall all their callers.
    if (!taken.repeatable && awaitFate(known))
        return this->taken();
    place(known);
    if (refuseLate(known.taken.number))
        return this->taken();
    if (pending* still = find(taken.number); still != nullptr && service.row.keyed()) {
        if (target_state* target = findTarget(still->lane))
            pumpTarget(*target);
    } else {
        pump(service);
    }
    return this->taken();
}

duration return_turns::next(instant now, duration earliest, duration perRequest, instant until)
{
    const auto turn = std::max(m_free, now + earliest);
    if (turn <= until)
        m_free = turn + perRequest;
    return turn - now;
}

// Requests ahead in the lane are served at the rate that the target's window and latency allow.
engine::queue_estimate engine::laneEstimate(const target_state& target, std::size_t ahead) const
{
    const auto outstanding = static_cast<double>(target.inFlight.size());
    const double size = std::max(target.window.size(), windowFloor);
    const double late = static_cast<double>(ahead) + outstanding + 1 - std::max(size, 1.0);
    const duration latency = target.health.latency().usual(firstLatencyGuess);
    const auto perRequest = std::chrono::duration<double, std::micro>(latency) / size;
    const auto pause = std::max(target.shedUntil - m_now, duration {});
    const auto queued = std::chrono::duration_cast<duration>(perRequest * std::max(late, 0.0));
    return { pause + queued, std::chrono::duration_cast<duration>(perRequest), latency };
}

// Targets of a service without keys share its queue.
engine::queue_estimate engine::queueEstimate(const service_state& service) const
{
    double perSecond = 0;
    double room = 0;
    for (const target_id& id : service.targets) {
        const target_state& target = m_targets.at(id);
        if (target.row.state != table::mark::Active || target.health.ejected())
            continue;
        const std::chrono::duration<double> latency(
            target.health.latency().usual(firstLatencyGuess));
        const double size = std::max(target.window.size(), windowFloor);
        perSecond += size / latency.count();
        room += std::max(size - static_cast<double>(target.inFlight.size()), 0.0);
    }
    const duration latency = service.latency.usual(firstLatencyGuess);
    const double late = static_cast<double>(service.waiting.size()) - std::max(room, 0.0);
    if (late <= 0 || perSecond <= 0)
        return { {}, {}, latency };
    const std::chrono::duration<double> perRequest(1 / perSecond);
    return { std::chrono::duration_cast<duration>(perRequest * late),
        std::chrono::duration_cast<duration>(perRequest), latency };
}

// For load above capacity: a target's time goes to requests that can still be answered in time.
// Returns whether the request was refused.
bool engine::refuseLate(request_number number)
{
    pending* arrived = find(number);
    if (arrived == nullptr || arrived->where != phase::Queued
        || arrived->taken.objective == instant::max())
        return false;
    service_state& service = *findService(arrived->taken.service);
    target_state* owner = service.row.keyed() ? findTarget(arrived->lane) : nullptr;
    const auto estimate
        = owner ? laneEstimate(*owner, owner->waiting.size() - 1) : queueEstimate(service);
    const duration spare
        = std::max(arrived->taken.objective - m_now - estimate.latency, duration {});
    if (estimate.wait <= spare)
        return false;
    if (owner)
        arrived->target = arrived->lane;
    auto& returns = owner ? owner->returns : service.returns;
    arrived->expectedWait = estimate.wait;
    arrived->retryAfter = returns.next(m_now, estimate.wait - spare, estimate.perRequest,
        arrived->taken.deadline - estimate.latency);
    end(*arrived, outcome::NotRun, refusal_reason::WaitTooLong);
    return true;
}

std::optional<refusal_reason> engine::refusalAtArrival(const request& taken)
{
    if (m_stopping)
        return refusal_reason::HostStopping;
    service_state* service = findService(taken.service);
    if (service == nullptr || service->row.keyed() != taken.key.has_value())
        return refusal_reason::UnknownService;
    if (service->targets.empty())
        return refusal_reason::NoTarget;
    if (!m_confirmed && !service->row.keyed())
        return refusal_reason::TableUnconfirmed;
    if (taken.deadline <= m_now)
        return refusal_reason::DeadlineBeforeDispatch;
    if (m_quarantine.judge(taken.print) == quarantine::verdict::Refused)
        return refusal_reason::Quarantined;
    if (unreachable(taken, *service))
        return refusal_reason::DeadlineUnreachable;
    if (service->waitingCount >= service->row.queue && !makeRoom(*service, taken.caller))
        return refusal_reason::QueueFull;
    return std::nullopt;
}

// The caller's own queue is served once per round over all waiting callers.
bool engine::unreachable(const request& taken, const service_state& service) const
{
    const auto own = service.waitingByCaller.find(taken.caller);
    if (own == service.waitingByCaller.end() || service.drainSamples < drainSamplesMin)
        return false;
    const auto ahead
        = static_cast<duration::rep>(own->second.size() * service.waitingByCaller.size());
    return m_now + ahead * service.drainGap.usual({}) > taken.deadline;
}

// Drops the newest request of the caller that has most waiting.
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

void engine::place(pending& waiting)
{
    if (m_quarantine.judge(waiting.taken.print) == quarantine::verdict::Refused) {
        end(waiting, outcome::NotRun, refusal_reason::Quarantined);
        return;
    }
    service_state& service = *findService(waiting.taken.service);
    if (!service.row.keyed()) {
        placeInLane(waiting, service.waiting);
        return;
    }
    const owner_answer answer
        = m_owners.find(m_now, waiting.taken.service, waiting.taken.key.value_or(key_hash {}));
    const auto* owned = std::get_if<owned_by>(&answer);
    target_state* target = owned == nullptr ? nullptr : findTarget(owned->target);
    if (target == nullptr || hasLeft(*target)) {
        const auto* held = std::get_if<held_until>(&answer);
        waiting.heldUntil = held == nullptr ? instant::max() : held->until;
        placeUnowned(waiting);
        return;
    }
    waiting.lane = owned->target;
    placeInLane(waiting, target->waiting);
}

void engine::placeInLane(pending& waiting, fair_queue& in)
{
    const request& taken = waiting.taken;
    const double price = cost(*findService(taken.service), taken.caller);
    waiting.where = phase::Queued;
    if (waiting.retry)
        in.pushFront(taken.number, taken.caller, price);
    else
        in.push(taken.number, taken.caller, price);
}

void engine::placeUnowned(pending& waiting)
{
    waiting.where = phase::Unowned;
    findService(waiting.taken.service)->unowned.push_back(waiting.taken.number);
}

// The owner of a key may leave sooner than the key gets another owner.
bool engine::hasLeft(const target_state& target) const
{
    return target.leavingSince && m_now >= *target.leavingSince + m_settings.leavingGrace;
}

// A request whose key gets no owner in time is refused, so that its caller may ask elsewhere.
void engine::refuseLateUnowned(service_state& service)
{
    const duration latency = service.latency.usual(firstLatencyGuess);
    std::vector<request_number> late;
    for (const request_number number : service.unowned) {
        const request& taken = m_requests.at(number).taken;
        if (taken.objective != instant::max() && m_now + latency >= taken.objective)
            late.push_back(number);
    }
    for (const request_number number : late) {
        pending& waiting = m_requests.at(number);
        waiting.retryAfter = m_settings.ownerRetryAfter;
        end(waiting, outcome::NotRun, refusal_reason::NoOwner);
    }
}

// Takes a waiting request from wherever it stands.
void engine::unplace(pending& waiting)
{
    const request& taken = waiting.taken;
    m_backoffs.erase({ waiting.notBefore, taken.number });
    service_state* service = findService(taken.service);
    if (service == nullptr)
        return;
    if (waiting.where == phase::Unowned)
        std::erase(service->unowned, taken.number);
    if (waiting.where == phase::Parked)
        std::erase(service->parked, taken.number);
    if (waiting.where != phase::Queued)
        return;
    fair_queue* in = &service->waiting;
    if (service->row.keyed()) {
        target_state* target = findTarget(waiting.lane);
        in = target == nullptr ? nullptr : &target->waiting;
    }
    if (in != nullptr)
        in->erase(taken.number, taken.caller);
}

void engine::retryUnowned(service_state& service)
{
    const auto numbers = std::exchange(service.unowned, {});
    for (const request_number number : numbers)
        place(m_requests.at(number));
}

void engine::countWaiting(const pending& waiting)
{
    service_state& service = *findService(waiting.taken.service);
    ++service.waitingCount;
    service.waitingByCaller[waiting.taken.caller].insert(waiting.taken.number);
}

void engine::uncountWaiting(const pending& waiting)
{
    service_state* service = findService(waiting.taken.service);
    if (service == nullptr)
        return;
    const auto own = service->waitingByCaller.find(waiting.taken.caller);
    if (own == service->waitingByCaller.end() || own->second.erase(waiting.taken.number) == 0)
        return;
    --service->waitingCount;
    if (own->second.empty())
        service->waitingByCaller.erase(own);
}

// A target's time that the caller's requests usually take, relative to the service's.
double engine::cost(const service_state& service, const caller_id& caller) const
{
    const duration serviceUsual = service.latency.usual(firstLatencyGuess);
    const auto found = service.callerLatency.find(caller);
    const duration usual
        = found == service.callerLatency.end() ? serviceUsual : found->second.usual(serviceUsual);
    const double relative
        = static_cast<double>(usual.count()) / std::max<double>(1, serviceUsual.count());
    return std::clamp(relative, costMin, costMax);
}

void engine::end(pending& ended, outcome certainty, refusal_reason reason)
{
    if (ended.where != phase::InFlight)
        unplace(ended);
    const request_number number = ended.taken.number;
    const outcome known = ended.mayHaveRun ? outcome::Unknown : certainty;
    if (ended.callerGone) {
        ++m_counts.cancelled;
    } else {
        ++m_counts.refusals.at(static_cast<std::size_t>(reason));
        m_out.emplace_back(
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
    m_deadlines.erase({ found->second.taken.deadline, number });
    m_requests.erase(found);
}

} // namespace pimentomast::routing
