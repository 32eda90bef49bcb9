#include "engine.h"

#include <algorithm>
#include <cmath>

namespace pimentomast::routing {

namespace {

constexpr duration isolationMax = std::chrono::seconds(2);
constexpr duration drainGapMax = std::chrono::milliseconds(200);
constexpr double successFloor = 0.1;
constexpr double slowFactor = 2;

} // namespace

void engine::dispatchAll()
{
    for (auto& [id, service] : m_services)
        dispatchService(service);
}

void engine::dispatchService(service_state& service)
{
    if (service.row.keyed()) {
        dispatchQueuedTargets(service);
        return;
    }
    while (!service.waiting.empty() && dispatchNextUnkeyed(service)) { }
}

// A dispatch may move requests between queues, so the next target is looked up anew.
void engine::dispatchQueuedTargets(service_state& service)
{
    for (auto next = service.queued.begin(); next != service.queued.end();) {
        const std::size_t position = next->first;
        ++m_targetVisits;
        dispatchTarget(*next->second);
        next = service.queued.upper_bound(position);
    }
}

void engine::dispatchTarget(target_state& target)
{
    while (!target.waiting.empty() && dispatchNextKeyed(target)) { }
}

bool engine::dispatchNextUnkeyed(service_state& service)
{
    if (!m_confirmed || !workerFree(service))
        return false;
    for (const auto number : candidates(service, service.waiting)) {
        if (!number)
            continue;
        pending_request& waiting = m_requests.at(*number);
        const auto chosen = chooseTarget(service, waiting);
        if (!chosen)
            continue;
        service.waiting.popOf(waiting.submitted.caller);
        startAttempt(waiting, m_targets.at(*chosen), std::nullopt);
        return true;
    }
    if (const auto front = service.waiting.front())
        countDelay(m_requests.at(*front), service);
    return false;
}

// The request whose turn it is, and the first one of a quiet caller, which may overtake it.
std::array<std::optional<request_number>, 2> engine::candidates(
    const service_state& service, fair_queue& in)
{
    const auto front = in.front();
    if (!front || in.callers() < 2)
        return { front, std::nullopt };
    const auto quiet
        = in.frontOf([&](const caller_id& caller) { return service.shares.isQuiet(caller); });
    return { front, quiet == front ? std::nullopt : quiet };
}

bool engine::dispatchNextKeyed(target_state& target)
{
    const service_state& service = *findService(target.row.service);
    for (const auto number : candidates(service, target.waiting))
        if (number && dispatchKeyed(target, m_requests.at(*number)))
            return true;
    return false;
}

bool engine::dispatchKeyed(target_state& target, pending_request& waiting)
{
    const owner_answer answer = m_owners.find(
        m_now, waiting.submitted.service, waiting.submitted.key.value_or(key_hash {}));
    const auto* owned = std::get_if<owned_by>(&answer);
    if (owned == nullptr || owned->target != target.row.id) {
        target.waiting.erase(waiting.submitted.number, waiting.submitted.caller);
        indexQueue(target);
        enqueue(waiting);
        return true;
    }
    if (!workerFree(*findService(target.row.service)) || !eligible(target, waiting)) {
        countDelay(waiting, target);
        return false;
    }
    target.waiting.popOf(waiting.submitted.caller);
    indexQueue(target);
    startAttempt(waiting, target, owned->grant);
    return true;
}

// Half of the workers is reserved in equal parts for the services; any service may use the rest.
bool engine::workerFree(const service_state& service) const
{
    const auto guaranteed = static_cast<unsigned>(m_settings.workers / (2 * m_services.size()));
    if (service.inFlight < guaranteed)
        return m_inFlight < m_settings.workers;
    unsigned reserved = 0;
    for (const auto& [id, other] : m_services)
        if (&other != &service && other.inFlight < guaranteed)
            reserved += guaranteed - other.inFlight;
    return m_inFlight + reserved < m_settings.workers;
}

bool engine::eligible(const target_state& target, const pending_request& waiting) const
{
    if (target.health.ejected() || m_now < target.shedUntil || hasLeft(target)
        || !warmupAllows(target))
        return false;
    const auto outstanding = static_cast<unsigned>(target.inFlight.size());
    const unsigned usable = std::max(1U, target.connections - 1);
    if (outstanding >= usable)
        return false;
    if (target.isolated && m_now < target.isolatedUntil)
        return false;
    const auto verdict = m_quarantine.verdictOf(waiting.submitted.requestFingerprint);
    const bool isSuspect = verdict == quarantine::verdict::Suspected;
    if (isSuspect
        && (outstanding > 0
            || m_inFlightFingerprints.contains(waiting.submitted.requestFingerprint)))
        return false;
    return windowAllows(target, waiting);
}

bool engine::windowAllows(const target_state& target, const pending_request& waiting) const
{
    const auto outstanding = static_cast<unsigned>(target.inFlight.size());
    const duration latency = target.health.latency().smoothed(initialLatency);
    const service_state& service = m_services.at(target.row.service);
    if (service.shares.isQuiet(waiting.submitted.caller))
        return outstanding < target.row.slots;
    return target.window.allows(m_now, outstanding, latency);
}

std::optional<target_id> engine::chooseTarget(
    service_state& service, const pending_request& waiting)
{
    // Few candidates would get more than their share.
    const auto preferred = chooseAmong(service.preferred, service, service.preferredChoice, waiting,
        (service.preferred.size() + 1) / 2);
    return preferred ? preferred
                     : chooseAmong(service.targets, service, service.choice, waiting, 1);
}

std::optional<target_id> engine::chooseAmong(const std::vector<target_id>& targets,
    const service_state& service, weighted_choice& choice, const pending_request& waiting,
    std::size_t candidatesMin)
{
    std::vector<weighted_choice::candidate> fresh;
    std::vector<weighted_choice::candidate> tried;
    for (const target_id& id : targets) {
        const target_state& target = m_targets.at(id);
        if (target.row.state != table::mark::Active || !eligible(target, waiting))
            continue;
        const bool wasTried
            = std::find(waiting.tried.begin(), waiting.tried.end(), id) != waiting.tried.end();
        (wasTried ? tried : fresh)
            .push_back({ id, effectiveWeight(target, service), estimatedLoad(target) });
    }
    const auto& candidates = fresh.empty() ? tried : fresh;
    if (candidates.size() < candidatesMin)
        return std::nullopt;
    const auto index = choice.choose(candidates);
    if (!index)
        return std::nullopt;
    return candidates[*index].id;
}

// This host's own requests, plus those that the target reports beyond them: limited to its slots,
// weighted by the trust in its reports and decayed with their age.
double engine::estimatedLoad(const target_state& target) const
{
    const auto own = static_cast<double>(target.inFlight.size());
    if (!target.report)
        return own;
    const double reported = target.report->running + target.report->queued;
    const double others = std::clamp(reported - own, 0.0, static_cast<double>(target.row.slots));
    return own + others * target.reportTrust * reportRelevance(target);
}

// Decays with the age of the last report, which must exist.
double engine::reportRelevance(const target_state& target) const
{
    const double age = std::chrono::duration<double>(m_now - target.reportedAt)
        / std::chrono::duration<double>(m_settings.reportAge);
    return std::exp(-age);
}

// How many times as long as usual work takes on the target's machine at the moment.
double engine::currentSlowdown(const target_state& target) const
{
    if (!target.report)
        return 1;
    return 1 + std::max(target.report->slowdown - 1, 0.0) * reportRelevance(target);
}

double engine::effectiveWeight(const target_state& target, const service_state& service) const
{
    const double success = std::max(successFloor, target.health.successShare());
    const double weight = std::max(1e-3, target.row.weight) * target.speedFactor
        * target.health.slowStartShare(m_now) * success * success;
    const double smoothed = static_cast<double>(service.firstByte.smoothed({}).count());
    const double own = static_cast<double>(target.health.firstByte().smoothed({}).count());
    const double slowness = smoothed > 0 ? own / (slowFactor * smoothed) : 1;
    return weight / (std::max(1.0, slowness) * currentSlowdown(target));
}

void engine::startAttempt(
    pending_request& waiting, target_state& target, std::optional<token> grant)
{
    service_state& service = *findService(waiting.submitted.service);
    const request& submitted = waiting.submitted;
    uncountWaiting(waiting);
    if (waiting.retry)
        ++m_counts.retries.at(static_cast<std::size_t>(*waiting.retry));
    else
        creditRetryBudgets(service, submitted.caller);
    const auto outstanding = static_cast<unsigned>(target.inFlight.size());
    target.window.onDispatch(m_now, outstanding);
    target.quota.onDispatch();
    if (m_quarantine.verdictOf(submitted.requestFingerprint) == quarantine::verdict::Suspected) {
        target.isolated = submitted.number;
        target.isolatedUntil = m_now + isolationMax;
    }
    const bool afterSilence = waiting.retry == retry_reason::ConnectionSilent;
    waiting.currentPhase = phase::InFlight;
    waiting.attempt = attempt_number { waiting.attempt.value() + 1 };
    waiting.target = target.row.id;
    waiting.grant = grant;
    waiting.run = target.run.value_or(incarnation {});
    waiting.tried.push_back(target.row.id);
    waiting.dispatched = m_now;
    waiting.wasSent = false;
    waiting.responded = false;
    waiting.idleSince.reset();
    waiting.isRetryPaid = false;
    target.inFlight.insert(submitted.number);
    ++service.inFlight;
    ++m_inFlightFingerprints[submitted.requestFingerprint];
    ++m_inFlight;
    ++m_counts.dispatched;
    recordDrainGap(service, m_now);
    m_actions.emplace_back(dispatch { submitted.number, waiting.attempt, target.row.id, grant,
        submitted.deadline, afterSilence || !submitted.repeatable });
}

void engine::recordDrainGap(service_state& service, instant now)
{
    if (service.wasBacklogged) {
        service.drainGap.add(std::min(now - service.lastDrain, drainGapMax));
        ++service.drainSamples;
    }
    service.lastDrain = now;
    service.wasBacklogged = service.waitingCount > 0;
}

} // namespace pimentomast::routing
