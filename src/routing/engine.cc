#include "engine.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

// The unit of cost is the usual latency of the service.
constexpr double callerQuantum = 2;

target_health::limits healthLimits(const options& settings)
{
    // The first probe asks for the load. Targets that do not report it are known to be well from
    // their registration, until requests to them fail.
    const duration firstProbeDelay
        = settings.targetsReportLoad ? duration {} : duration(settings.backgroundProbeInterval);
    return { firstProbeDelay, settings.probeInterval, settings.backgroundProbeInterval,
        settings.probeTimeout, settings.ejectionMin, settings.ejectionMax, settings.slowStart };
}

window::limits windowLimits(const options& settings)
{
    return { settings.windowGrowth, settings.windowDecrease, settings.floodGrowth,
        settings.floodDecrease, settings.windowMin, 1, settings.windowHalfLife };
}

quarantine::limits quarantineLimits(const options& settings)
{
    quarantine::limits limits;
    limits.crashes = settings.quarantineCrashes;
    limits.expiry = settings.quarantineExpiry;
    return limits;
}

std::optional<std::string> validate(const options& settings)
{
    if (settings.workers == 0)
        return "workers must be at least 1";
    if (settings.assumedHosts == 0)
        return "assumedHosts must be at least 1";
    if (settings.retryRatio < 0 || settings.retryBurst < 0)
        return "retryRatio and retryBurst must not be negative";
    if (settings.windowMin <= 0 || settings.windowDecrease <= 0 || settings.windowDecrease >= 1)
        return "windowMin must be positive and windowDecrease between 0 and 1";
    if (settings.ejectedMax < 0 || settings.ejectedMax >= 1)
        return "ejectedMax must be at least 0 and below 1";
    if (settings.quarantineCrashes == 0)
        return "quarantineCrashes must be at least 1";
    return std::nullopt;
}

} // namespace

result<std::unique_ptr<router>> router::create(const options& settings, const owner_lookup& owners)
{
    if (const auto reason = validate(settings))
        return error { "create router", "", *reason };
    std::unique_ptr<router> made = std::make_unique<engine>(settings, owners);
    return made;
}

target_state::target_state(const table::target_row& from, const target_health::limits& healthLimits,
    const window::limits& windowLimits, double quantum, instant added, instant slowStartBegin)
    : row(from)
    , health(healthLimits, added, slowStartBegin)
    , window(windowLimits)
    , quota(added)
    , waiting(quantum)
{
}

service_state::service_state(
    const table::service_row& from, const options& settings, double quantum, std::uint64_t seed)
    : row(from)
    , waiting(quantum)
    , choice(seed, settings.loadBias)
    , preferredChoice(seed, settings.loadBias)
    , budget(settings.retryRatio, settings.retryBurst)
{
}

engine::engine(const options& settings, const owner_lookup& owners)
    : m_settings(settings)
    , m_owners(owners)
    , m_healthLimits(healthLimits(settings))
    , m_windowLimits(windowLimits(settings))
    , m_hosts(settings.assumedHosts, settings.hostCountLag)
    , m_quarantine(quarantineLimits(settings))
    , m_random(settings.seed)
{
}

actions engine::applyTable(instant now, const table::table& rows)
{
    m_now = now;
    applyServices(rows);
    applyTargets(rows);
    m_hasTable = true;
    updateConnections();
    for (auto& [id, service] : m_services)
        retryUnowned(service);
    dispatchAll();
    return takeActions();
}

void engine::applyServices(const table::table& rows)
{
    std::vector<request_number> orphaned;
    for (const auto& [number, each] : m_requests)
        if (each.currentPhase != phase::InFlight && rows.service(each.submitted.service) == nullptr)
            orphaned.push_back(number);
    for (const request_number number : orphaned)
        end(m_requests.at(number), outcome::NotRun, refusal_reason::UnknownService);
    std::erase_if(
        m_services, [&](const auto& each) { return rows.service(each.first) == nullptr; });
    std::erase_if(m_unanswered, [&](const auto& each) {
        return each.second.empty() && rows.service(each.first) == nullptr;
    });
    for (const table::service_row& row : rows.services) {
        const auto [found, added]
            = m_services.try_emplace(row.id, row, m_settings, callerQuantum, m_random());
        found->second.row = row;
        found->second.targets.clear();
        found->second.queued.clear();
    }
}

void engine::applyTargets(const table::table& rows)
{
    std::vector<target_id> gone;
    for (const auto& [id, target] : m_targets) {
        const table::target_row* row = rows.target(id);
        if (row == nullptr || row->service != target.row.service)
            gone.push_back(id);
    }
    for (const target_id& id : gone)
        dropTarget(id);
    const instant slowStartBegin = m_hasTable ? m_now : m_now - m_settings.slowStart;
    for (const table::target_row& row : rows.targets) {
        const auto [found, added] = m_targets.try_emplace(
            row.id, row, m_healthLimits, m_windowLimits, callerQuantum, m_now, slowStartBegin);
        target_state& target = found->second;
        if (!target.runSeen && row.run != incarnation {})
            updateRun(target, row.run);
        if (!added && row.state == table::mark::Active && target.row.state != row.state)
            target.health.restart(m_now);
        target.row = row;
        applyWarmup(target, rows);
        if (row.state == table::mark::Active)
            target.leavingSince.reset();
        else if (!target.leavingSince)
            target.leavingSince = row.leavingSince.value_or(m_now);
        indexProbe(target);
        if (service_state* service = findService(row.service)) {
            target.position = service->targets.size();
            service->targets.push_back(row.id);
        }
    }
    for (auto& [id, service] : m_services) {
        service.queued.clear();
        preferTargets(service);
    }
    for (auto& [id, target] : m_targets)
        indexQueue(target);
    refuseWarming();
}

void engine::dropTarget(const target_id& id)
{
    std::vector<request_number> moving;
    for (const auto& [number, each] : m_requests) {
        const bool isQueued = each.currentPhase == phase::Queued;
        if (isQueued && each.queuedTarget == id)
            moving.push_back(number);
    }
    for (const request_number number : moving)
        dequeue(m_requests.at(number));
    target_state& dropped = m_targets.at(id);
    for (const request_number number : dropped.inFlight)
        endAwaitedAnswer(m_requests.at(number));
    m_probes.erase({ dropped.indexedProbe, &dropped });
    m_targets.erase(id);
    for (const request_number number : moving)
        enqueue(m_requests.at(number));
}

void engine::updateConnectionsIfHostsChanged()
{
    const connection_divisors current { m_hosts.lastKnown(m_settings.assumedHosts),
        m_hosts.divisor(m_now) };
    if (current != m_appliedDivisors)
        updateConnections();
}

void engine::updateConnections()
{
    const unsigned hosts = m_hosts.lastKnown(m_settings.assumedHosts);
    const unsigned divisor = m_hosts.divisor(m_now);
    m_appliedDivisors = { hosts, divisor };
    for (auto& [id, target] : m_targets) {
        ++m_targetVisits;
        const double evenWindow = static_cast<double>(target.row.slots) / hosts;
        target.window.setBounds(m_settings.windowMin * evenWindow, target.row.slots);
        const unsigned share = host_count::shareOf(target.row.connections, divisor);
        if (share == target.connections)
            continue;
        target.connections = share;
        m_actions.emplace_back(limit_connections { id, share });
    }
}

actions engine::applyLiveHosts(instant now, std::optional<unsigned> count)
{
    m_now = now;
    m_hosts.update(now, count);
    updateConnectionsIfHostsChanged();
    dispatchAll();
    return takeActions();
}

actions engine::applyListedHosts(
    instant now, const host_id& self, const std::vector<host_id>& listed)
{
    m_now = now;
    m_senders.setHosts(now, self, listed);
    updateSenders();
    dispatchAll();
    return takeActions();
}

actions engine::ownersChanged(instant now, const service_id& service)
{
    m_now = now;
    if (service_state* found = findService(service)) {
        retryUnowned(*found);
        dispatchService(*found);
    }
    return takeActions();
}

actions engine::cancel(instant now, request_number number)
{
    m_now = now;
    pending_request* known = find(number);
    if (known == nullptr)
        return takeActions();
    if (known->currentPhase == phase::InFlight) {
        known->callerGone = true;
        return takeActions();
    }
    ++m_counts.cancelled;
    dequeue(*known);
    forget(number);
    return takeActions();
}

actions engine::applyTableConfirmed(instant now, bool confirmed)
{
    m_now = now;
    const bool returned = confirmed && !m_confirmed;
    m_confirmed = confirmed;
    if (returned)
        dispatchAll();
    return takeActions();
}

actions engine::stop(instant now)
{
    m_now = now;
    m_stopping = true;
    std::vector<request_number> waiting;
    for (const auto& [number, each] : m_requests)
        if (each.currentPhase != phase::InFlight)
            waiting.push_back(number);
    std::sort(waiting.begin(), waiting.end());
    for (const request_number number : waiting)
        end(m_requests.at(number), outcome::NotRun, refusal_reason::HostStopping);
    return takeActions();
}

std::vector<crash> engine::crashes() const { return m_quarantine.all(); }

std::uint64_t engine::crashesHash() const { return m_quarantine.hash(); }

std::vector<suspect> engine::suspects() const { return m_quarantine.suspects(); }

std::vector<target_view> engine::targets() const
{
    std::vector<target_view> views;
    for (const auto& [id, target] : m_targets) {
        target_view view;
        view.target = id;
        view.service = target.row.service;
        view.outstanding = static_cast<unsigned>(target.inFlight.size());
        view.queued = static_cast<unsigned>(target.waiting.size());
        view.window = target.window.size(m_now);
        view.ejected = target.health.ejected();
        view.slowStartShare = target.health.slowStartShare(m_now);
        view.cold = isCold(target);
        view.speedFactor = target.speedFactor;
        view.latency = target.health.latency().smoothed({});
        views.push_back(view);
    }
    return views;
}

target_state* engine::findTarget(const target_id& id)
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

service_state* engine::findService(const service_id& id)
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

pending_request* engine::find(request_number number)
{
    const auto found = m_requests.find(number);
    return found == m_requests.end() ? nullptr : &found->second;
}

} // namespace pimentomast::routing
