#include "coordinator_driver.h"

#include "pimentomast/telemetry.h"

#include <algorithm>

namespace pimentomast::serve::detail {
namespace {

/// Hosts that one log line names.
constexpr std::size_t maxNamedHosts = 8;

std::uint64_t seedFor(const coordinator_driver_options& options, const service_id& service)
{
    return options.seed ^ hashKey(service.value()).value();
}

/// Returns the hosts of one list that the other one lacks; both are sorted.
std::vector<ownership::host_run> without(
    const std::vector<ownership::host_run>& hosts, const std::vector<ownership::host_run>& others)
{
    std::vector<ownership::host_run> rest;
    std::set_difference(
        hosts.begin(), hosts.end(), others.begin(), others.end(), std::back_inserter(rest));
    return rest;
}

std::string namesOf(const std::vector<ownership::host_run>& hosts)
{
    std::string names;
    for (std::size_t i = 0; i < std::min(hosts.size(), maxNamedHosts); ++i)
        names += (names.empty() ? "" : " ") + hosts[i].host.value();
    if (hosts.size() > maxNamedHosts)
        names += " and " + std::to_string(hosts.size() - maxNamedHosts) + " more";
    return names;
}

void logMembers(
    const ownership::membership_changed& before, const ownership::membership_changed& now)
{
    telemetry::log(telemetry::severity::Info, "live-hosts-changed",
        { { "live", std::to_string(now.live.size()) },
            { "added", namesOf(without(now.live, before.live)) },
            { "removed", namesOf(without(before.live, now.live)) },
            { "complete", now.complete ? "yes" : "no" } });
}

std::vector<table::target_row> targetsOf(const table::table& table, const service_id& service)
{
    std::vector<table::target_row> targets;
    for (const auto& target : table.targets) {
        if (target.service == service)
            targets.push_back(target);
    }
    return targets;
}

} // namespace

std::string_view name(ownership::role value) noexcept
{
    switch (value) {
    case ownership::role::Standby:
        return "standby";
    case ownership::role::Challenger:
        return "challenger";
    case ownership::role::TakingOver:
        return "taking-over";
    case ownership::role::Holder:
        return "holder";
    case ownership::role::Stopped:
        return "stopped";
    }
    return "unknown";
}

result<std::unique_ptr<coordinator_driver>> coordinator_driver::create(
    const coordinator_driver_options& options, store::services& store, peer_registry& peerRegistry,
    directory& routes, std::unique_ptr<grant_sender> grants, handlers callbacks)
{
    const auto validated = ownership::coordinator::create(
        { service_id { "trial" }, options.self, options.seed, options.times, 1 });
    if (!validated)
        return validated.error();
    return std::unique_ptr<coordinator_driver>(new coordinator_driver(
        options, store, peerRegistry, routes, std::move(grants), std::move(callbacks)));
}

coordinator_driver::coordinator_driver(const coordinator_driver_options& options,
    store::services& store, peer_registry& peerRegistry, directory& routes,
    std::unique_ptr<grant_sender> grants, handlers callbacks)
    : m_options(options)
    , m_store(store)
    , m_peerRegistry(peerRegistry)
    , m_routes(routes)
    , m_callbacks(std::move(callbacks))
    , m_grants(std::move(grants))
    , m_storePool({ options.storeThreads }, [](const work& each) { each(); })
    , m_grantPool({ options.grantThreads }, [](const work& each) { each(); })
{
}

coordinator_driver::~coordinator_driver()
{
    m_storePool.stop();
    m_grantPool.stop();
}

void coordinator_driver::startService(const table::service_row& row)
{
    const std::lock_guard guard(m_lock);
    if (m_services.contains(row.id))
        return;
    auto core = ownership::coordinator::create({ row.id, m_options.self, seedFor(m_options, row.id),
        m_options.times, table::keyWidth(row.keyForm) });
    service_state state { std::move(core).value(), {} };
    // A coordinator without members and targets requests nothing, so there are no actions yet.
    (void)state.core.step(monotonic_clock::now(), m_members);
    (void)state.core.step(monotonic_clock::now(), ownership::store_restored { m_store.era().era });
    if (m_stopping)
        (void)state.core.step(monotonic_clock::now(), ownership::stop {});
    m_services.emplace(row.id, std::move(state));
}

void coordinator_driver::applyTable(const table::table& table)
{
    for (const auto& row : table.services) {
        if (!row.keyed())
            continue;
        startService(row);
        auto targets = targetsOf(table, row.id);
        {
            const std::lock_guard guard(m_lock);
            m_services.at(row.id).targets = targets;
        }
        deliver(row.id, ownership::table_changed { std::move(targets) });
    }
}

void coordinator_driver::applyMembership(const std::vector<membership::member>& live, bool complete)
{
    ownership::membership_changed members;
    for (const auto& host : live) {
        members.live.push_back({ host.id, host.run });
        members.millicores.emplace(host.id, host.millicores);
    }
    members.complete = complete;
    ownership::membership_changed before;
    {
        const std::lock_guard guard(m_lock);
        if (m_members == members)
            return;
        before = std::exchange(m_members, members);
    }
    logMembers(before, members);
    deliverToAll(members);
}

void coordinator_driver::tick()
{
    if (const auto era = m_store.era().era; era > 0)
        deliverToAll(ownership::store_restored { era });
    deliverToAll(ownership::tick {});
}

std::vector<coordinated_service> coordinator_driver::coordinated() const
{
    const std::lock_guard guard(m_lock);
    const auto now = monotonic_clock::now();
    std::vector<coordinated_service> all;
    for (const auto& [service, state] : m_services) {
        const auto* committed = state.core.current();
        if (committed && state.core.currentRole() == ownership::role::Holder)
            all.push_back({ service, *committed, state.core.moving(), state.core.runningMoves(),
                state.core.targets(now), state.targets });
    }
    return all;
}

void coordinator_driver::propose(
    const service_id& service, const ownership::placement_wanted& wanted)
{
    deliver(service, wanted);
}

ownership::witness_answer coordinator_driver::answerWitness(
    const service_id& service, epoch asked, bool takeOver)
{
    const auto actions = stepCore(service, ownership::witness_asked { 0, asked, takeOver });
    // An answer that needs a read of the store is not waited for: the asking host asks again.
    perform(service, actions);
    for (const auto& action : actions) {
        if (const auto* answered = std::get_if<ownership::answer_witness>(&action))
            return answered->answer;
    }
    return { m_options.self.run, {} };
}

void coordinator_driver::stop()
{
    {
        const std::lock_guard guard(m_lock);
        m_stopping = true;
    }
    deliverToAll(ownership::stop {});
}

bool coordinator_driver::stopped() const
{
    const std::lock_guard guard(m_lock);
    return std::all_of(m_services.begin(), m_services.end(), [](const auto& service) {
        return service.second.core.currentRole() == ownership::role::Stopped;
    });
}

std::vector<coordination_status> coordinator_driver::status() const
{
    const std::lock_guard guard(m_lock);
    const auto now = monotonic_clock::now();
    std::vector<coordination_status> all;
    for (const auto& [service, state] : m_services) {
        coordination_status one;
        one.service = service;
        one.role = state.core.currentRole();
        one.number = state.core.currentEpoch();
        one.runningMoves = state.core.runningMoves();
        one.targets = state.core.targets(now);
        if (const auto* current = state.core.current())
            one.slices = current->slices.size();
        all.push_back(std::move(one));
    }
    return all;
}

void coordinator_driver::deliver(const service_id& service, const ownership::event& event)
{
    perform(service, stepCore(service, event));
}

std::vector<ownership::action> coordinator_driver::stepCore(
    const service_id& service, const ownership::event& event)
{
    const std::lock_guard guard(m_lock);
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return {};
    return found->second.core.step(monotonic_clock::now(), event);
}

void coordinator_driver::deliverToAll(const ownership::event& event)
{
    std::vector<service_id> services;
    {
        const std::lock_guard guard(m_lock);
        for (const auto& [service, state] : m_services)
            services.push_back(service);
    }
    for (const auto& service : services)
        deliver(service, event);
}

} // namespace pimentomast::serve::detail
