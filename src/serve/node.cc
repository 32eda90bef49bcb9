#include "node.h"

#include "grant_client.h"
#include "range_grants.h"
#include "stage_timer.h"

#include <random>
#include <unistd.h>

namespace pimentomast::serve::detail {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds controlTickMs { 25 };
constexpr std::chrono::milliseconds loadTimeoutMs { 500 };
/// With shared speeds, what a host saw of a target's queue counts half after this time.
constexpr std::chrono::milliseconds windowHalfLife { 2000 };
/// Time after which the speed of targets is applied again; it changes once a second.
constexpr std::chrono::seconds speedIntervalS { 1 };
constexpr std::chrono::seconds linkWatchIntervalS { 1 };
/// A link on which bytes wait longer is logged.
constexpr std::chrono::milliseconds loggedLinkDelayMs { 250 };
constexpr std::chrono::milliseconds handoverTimeoutMs { 3000 };
/// Requests of other hosts for rows that are carried out at the same time.
constexpr unsigned maxRowJobs = 4;
constexpr std::chrono::milliseconds grantTimeoutMs { 400 };
/// Running requests are ended this part of the grace before the process is killed.
constexpr int endMarginParts = 12;
/// Ratio of the busiest target's load to the mean above which a plan without moves is logged too.
constexpr double minLoggedImbalance = 1.3;
/// A round of the control timer, a new table or a plan that takes longer is logged.
constexpr std::chrono::milliseconds slowWorkMs { 250 };
/// A round of the control timer that is still running after this time is logged.
constexpr std::chrono::milliseconds stuckRoundMs { 1000 };

std::string milliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

void logIfSlow(std::string_view work, const stage_timer& timer)
{
    const auto slowest = timer.slowerThan(slowWorkMs);
    if (!slowest)
        return;
    telemetry::log(telemetry::severity::Warning, "control-slow",
        { { "work", std::string(work) }, { "took_ms", milliseconds(slowest->total) },
            { "slowest", std::string(slowest->name) },
            { "slowest_ms", milliseconds(slowest->took) } });
}

incarnation randomIncarnation()
{
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device());
    return incarnation { (high << 31U) ^ device() ^ 1U };
}

ownership::timings timingsOf(const settings::ownership_settings& values)
{
    ownership::timings times;
    times.targetLease = values.targetLeaseMs;
    times.targetRenewal = values.renewMs;
    times.authority = values.authorityMs;
    times.authorityRenewal = values.authorityRenewMs;
    times.maxOutage = values.outageLimitMs;
    times.routeLease = values.routeLeaseMs;
    times.fastPoll = values.pollMs;
    return times;
}

/// Returns 0 if the system does not tell.
unsigned machineMemoryMb()
{
    constexpr long megabyte = 1048576;
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && pageBytes > 0 ? static_cast<unsigned>(pages / (megabyte / pageBytes)) : 0;
}

proxy::options proxyOptions(const settings::settings& values)
{
    proxy::options options;
    options.listen = values.host.callers;
    options.workers = values.limits.workers;
    options.maxCallerConnections = values.limits.callerConnections();
    options.headBytes = values.limits.headBytes;
    options.headTimeout = values.limits.headTimeoutMs;
    options.idleTimeout = values.limits.idleTimeoutMs;
    options.bodyTimeout = values.limits.bodyTimeoutMs;
    options.connectTimeout = values.limits.connectTimeoutMs;
    options.uploadPrefetchBytes = values.limits.uploadPrefetchBytes;
    auto limits = values.limits;
    if (limits.memoryMb == 0 && limits.detectMemory)
        limits.memoryMb = machineMemoryMb();
    options.bodyMemoryBytes = limits.bodyMemory();
    options.pooledIdleTimeout = values.limits.pooledIdleMs;
    options.drainIdleTimeout = values.drain.idleMs;
    return options;
}

void logPlan(const placement_plan& plan)
{
    const bool isNotable
        = plan.wantedMoves > 0 || plan.imbalance > minLoggedImbalance || plan.took > slowWorkMs;
    if (!isNotable)
        return;
    telemetry::log(telemetry::severity::Info, "placement-planned",
        { { "service", plan.service.value() }, { "imbalance", std::to_string(plan.imbalance) },
            { "moves_wanted", std::to_string(plan.wantedMoves) },
            { "moves_running", std::to_string(plan.runningMoves) },
            { "took_ms", milliseconds(plan.took) } });
}

/// Ranks the hosts by a hash of their ids, which mixes those of all failure domains.
routing::even_load evenLoadOf(const host_id& self, const std::vector<membership::member>& live)
{
    const auto own = std::pair(hashKey(self.value()), self);
    routing::even_load shared;
    for (const auto& each : live) {
        if (each.id == self)
            continue;
        ++shared.hosts;
        if (std::pair(hashKey(each.id.value()), each.id) < own)
            ++shared.rank;
    }
    return shared;
}

link_bytes peerBytes()
{
    link_bytes sum;
    for (std::size_t i = 0; i < peers::callKindCount; ++i) {
        const auto& bytes = peers::bytesOf(static_cast<peers::call_kind>(i));
        sum.received += bytes.received;
        sum.sent += bytes.sent;
    }
    return sum;
}

/// Returns the started component. If it did not start, throws the failure with the setting of its
/// address.
template <class Component>
std::unique_ptr<Component> requireStarted(
    const std::string& key, result<std::unique_ptr<Component>> component)
{
    if (component)
        return std::move(component).value();
    const error& cause = component.error();
    throw failure({ cause.step, cause.peer, "[host] " + key + ": " + cause.reason });
}

} // namespace

node::node(const settings::settings& values, environment& env)
    : m_values(values)
    , m_incarnation(randomIncarnation())
    , m_requestLog(values.log.requestLines, &telemetry::log)
    , m_environment(env)
    , m_store(env.storeServices(), makeRelay())
    , m_directory(m_incarnation, values.ownership.targetLeaseMs)
    , m_speed(values.host.id, m_incarnation)
    , m_rowJobs({ maxRowJobs }, [this](const row_job& job) { answerRow(job); })
    , m_announcingStore(m_store,
          [this](config_version version, const std::string& value) {
              m_gossip->announce(version, value);
          })
    , m_roundWatch(stuckRoundMs)
{
    createComponents();
    startListening();
    m_environment.announce({ values.host.id, values.host.domain, values.host.advertise,
        store::host_state::Live, values.host.millicores });
    if (auto* tableSource = m_environment.tableSource())
        tableSource->start([this](const auto& table) { putTable(table); });
    m_controlTimer = std::thread([this] { runControlTimer(); });
}

node::~node()
{
    m_stopTimers = true;
    m_controlTimer.join();
    if (auto* tableSource = m_environment.tableSource())
        tableSource->stop();
    m_admin.reset();
    m_peers.reset();
    m_dispatch->detach();
    m_proxy.reset();
    m_peerRegistry->close();
    m_placement.reset();
    m_coordinators.reset();
    m_gossip.reset();
}

void node::createComponents()
{
    membership::view_options view;
    view.self = m_values.host.id;
    view.run = m_incarnation;
    view.millicores = m_values.host.millicores;
    view.seeds = m_values.host.seeds;
    view.seed = m_incarnation.value();
    m_peerRegistry = std::make_unique<peer_registry>(membership::host_view::create(view).value());

    routing::options routes;
    routes.seed = m_incarnation.value();
    routes.workers = m_values.limits.workers;
    routes.retryRatio = m_values.retries.percent / 100.0;
    routes.retryBurst = m_values.retries.burst;
    routes.waitsForBudget = m_values.retries.wait;
    routes.budgetsShed = m_values.retries.countShed;
    routes.targetsReportLoad = m_values.targets.reportLoad;
    if (m_values.targets.shareSpeed)
        routes.windowHalfLife = windowHalfLife;
    routes.leavingGrace = m_values.targets.leavingGraceMs;
    routes.backgroundProbeInterval = m_values.probes.backgroundMs;
    m_dispatch = dispatch::create(routes, m_directory, [this](const auto& crash) {
        m_gossip->broadcastCrash(crash);
    }).value();

    gossip_options gossipOptions;
    gossipOptions.self = m_values.host.id;
    gossipOptions.run = m_incarnation;
    gossipOptions.advertised = m_values.host.advertise;
    gossipOptions.freshness.minPollMs = m_values.store.pollMs;
    gossipOptions.tableSource = m_environment.tableSource();
    m_gossip = gossip::create(gossipOptions, m_store, *m_peerRegistry, m_directory,
        { [this](auto table) { putTable(std::move(table)); },
            [this](const auto& newer, const auto& host) { putAssignment(newer, host); },
            [this] { return m_dispatch->crashes(); }, [this] { return m_dispatch->crashesHash(); },
            [this](const auto& records) { m_dispatch->applyPeerCrashes(records); },
            [this](const auto& sender, const auto& speeds) {
                m_speed.receive(monotonic_clock::now(), sender, speeds);
            },
            [this](const auto& roundTrip) { countExchange(roundTrip); },
            [this](duration waited) {
                recordTablesWait(waited);
            } }).value();

    coordinator_driver_options driverOptions;
    driverOptions.self = { m_values.host.id, m_incarnation };
    driverOptions.times = timingsOf(m_values.ownership);
    driverOptions.seed = m_incarnation.value();
    m_coordinators = coordinator_driver::create(driverOptions, m_store, *m_peerRegistry,
        m_directory, makeGrantSender(),
        { [this](const auto& value) {
             putAssignment(value, m_values.host.id);
             m_gossip->publish(value);
         },
            [this](const auto& target, const auto& run, const auto& load) {
                m_dispatch->report(target, { run, load.running, load.queued, load.slots });
            } }).value();
    createPlacement();
}

void node::createPlacement()
{
    placement_rounds_options options;
    options.interval = m_values.placement.intervalMs;
    options.planner.seed = m_incarnation.value();
    options.planner.movesPerRound = m_values.placement.movesPerRound;
    options.planner.minimumStay = m_values.placement.minimumStayMs;
    options.planner.slowStart = m_values.placement.slowStartMs;
    options.planner.tolerance = m_values.placement.tolerancePercent / 100.0;
    m_placement
        = std::make_unique<placement_rounds>(options, *m_coordinators, m_directory, &logPlan);
}

std::unique_ptr<grant_sender> node::makeGrantSender()
{
    if (auto* rangeClient = m_environment.rangeClient())
        return std::make_unique<range_grants>(*rangeClient);
    return std::make_unique<grant_client>(grantTimeoutMs);
}

void node::startListening()
{
    auto options = proxyOptions(m_values);
    options.contract = m_environment.contract();
    m_proxy = requireStarted("callers", proxy::server::start(options, *m_dispatch, *this));
    m_proxy->setHealthy(false);
    m_dispatch->attach(m_proxy->sink());
    m_peers = requireStarted("peers", peers::server::start(m_values.host.peers, *this));
    m_admin = requireStarted(
        "admin", admin::server::start({ m_values.host.admin, m_values.admin.token }, *this));
}

void node::putTable(const std::shared_ptr<const table::table>& table)
{
    stage_timer timer(monotonic_clock::now());
    m_directory.putTable(table);
    m_proxy->setTable(table);
    m_speed.applyTable(*table);
    m_dispatch->applyTable(*table);
    timer.endStage("requests", monotonic_clock::now());
    m_coordinators->applyTable(*table);
    timer.endStage("coordinators", monotonic_clock::now());
    m_gossip->exchangeWithAll();
    timer.endStage("exchange", monotonic_clock::now());
    logIfSlow("table", timer);
    telemetry::log(telemetry::severity::Info, "table-in-force",
        { { "version", std::to_string(table->version.value()) }, { "editor", table->editor } });
}

void node::putAssignment(const ownership::assignment& newer, const host_id& coordinator)
{
    if (m_directory.putAssignment(monotonic_clock::now(), newer, coordinator))
        m_dispatch->ownersChanged(newer.service);
}

void node::runControlTimer()
{
    instant nextLoad {};
    while (!m_stopTimers) {
        const auto now = monotonic_clock::now();
        stage_timer timer(now);
        m_roundWatch.begin("gossip", now);
        m_peerRegistry->setLeaving(markedLeaving());
        m_gossip->setLeaving(markedLeaving());
        m_gossip->tick(now);
        timer.endStage("gossip", monotonic_clock::now());
        m_roundWatch.enter("coordinators");
        m_coordinators->applyMembership(m_peerRegistry->live(now), m_peerRegistry->complete(now));
        m_coordinators->tick();
        timer.endStage("coordinators", monotonic_clock::now());
        m_roundWatch.enter("routing");
        m_dispatch->applyConfirmed(tableConfirmed(now));
        m_dispatch->applyLiveHosts(m_peerRegistry->connectionSharers(now));
        applyListedHosts();
        m_proxy->setHealthy(currentHealth().accepting);
        timer.endStage("routing", monotonic_clock::now());
        m_roundWatch.enter("load");
        m_proxy->setLinkDelay(now, m_gossip->linkDelay(now));
        watchLink(now);
        shareSpeed(now);
        if (now >= nextLoad)
            nextLoad = now
                + reportInterval(reportLoads(now), m_peerRegistry->connectionSharers(now),
                    m_values.placement.reportMs);
        timer.endStage("load", monotonic_clock::now());
        m_roundWatch.end();
        logIfSlow("round", timer);
        std::this_thread::sleep_for(controlTickMs);
    }
}

void node::countExchange(const std::optional<duration>& roundTrip)
{
    if (roundTrip)
        m_metrics.latencyFor(telemetry::metric::ExchangeTime).observe(*roundTrip);
    else
        m_metrics.counterFor(telemetry::metric::ExchangeTimeouts).add();
}

void node::recordTablesWait(duration waited)
{
    m_metrics.latencyFor(telemetry::metric::PeerMessageWait).observe(waited);
    for (auto longest = m_longestTablesWait.load();
         waited > longest && !m_longestTablesWait.compare_exchange_weak(longest, waited);) { }
}

// Tells a full link from slow work on this host: both make tables late.
void node::watchLink(instant now)
{
    if (now < m_nextLinkWatch)
        return;
    m_nextLinkWatch = now + linkWatchIntervalS;
    const auto delay = m_gossip->linkDelay(now);
    m_metrics.gaugeFor(telemetry::metric::LinkDelay)
        .set(std::chrono::duration_cast<std::chrono::milliseconds>(delay).count());
    const auto state = m_proxy->state();
    const link_bytes forwarded { state.receivedBytes, state.sentBytes };
    const auto ofCallers = forwarded - std::exchange(m_forwardedBytes, forwarded);
    const auto all = peerBytes();
    const auto ofPeers = all - std::exchange(m_peerBytes, all);
    const auto tablesWait = m_longestTablesWait.exchange({});
    if (delay < loggedLinkDelayMs)
        return;
    telemetry::log(telemetry::severity::Warning, "link-delayed",
        { { "delay_ms", milliseconds(delay) }, { "tables_wait_ms", milliseconds(tablesWait) },
            { "received_bytes", std::to_string(ofCallers.received) },
            { "sent_bytes", std::to_string(ofCallers.sent) },
            { "peer_received_bytes", std::to_string(ofPeers.received) },
            { "peer_sent_bytes", std::to_string(ofPeers.sent) },
            { "limit_bytes", std::to_string(state.linkLimitBytes) },
            { "running", std::to_string(state.running) },
            { "deliveries", std::to_string(state.deliveries) } });
}

void node::applyListedHosts()
{
    auto listed = m_peerRegistry->listed();
    if (listed == m_listedHosts)
        return;
    m_listedHosts = std::move(listed);
    m_dispatch->applyListedHosts(m_values.host.id, m_listedHosts);
}

void node::logStuckRound(instant now)
{
    if (const auto round = m_roundWatch.overdue(now))
        telemetry::log(telemetry::severity::Warning, "control-stuck",
            { { "stage", round->stage }, { "running_ms", milliseconds(round->running) } });
}

std::size_t node::reportLoads(instant now)
{
    std::map<host_id, wire::LoadReport> reports;
    for (auto& load : m_dispatch->takeLoads(now)) {
        const auto host = m_directory.coordinator(service_id { load.service() });
        auto& report = reports[host];
        report.set_host(m_values.host.id.value());
        *report.add_loads() = std::move(load);
    }
    if (m_values.targets.shareSpeed) {
        if (const auto samples = m_dispatch->takeSpeedSamples(); !samples.empty()) {
            auto& report = reports[m_gossip->designatedHost()];
            report.set_host(m_values.host.id.value());
            addSamples(samples, report);
        }
    }
    std::size_t sent = 0;
    for (const auto& [host, report] : reports) {
        sent += report.ByteSizeLong();
        if (host == m_values.host.id)
            (void)reportLoad(report);
        else if (const auto peer = m_peerRegistry->find(host))
            peer->reportLoad(report, loadTimeoutMs, [](const auto&) {});
    }
    return sent;
}

void node::shareSpeed(instant now)
{
    if (!m_values.targets.shareSpeed)
        return;
    m_speed.setCollector(now, m_gossip->designatedHost());
    if (const auto speeds = m_speed.tick(now))
        m_gossip->publish(*speeds);
    if (now < m_nextSpeed)
        return;
    m_nextSpeed = now + speedIntervalS;
    auto shared = evenLoadOf(m_values.host.id, m_peerRegistry->live(now));
    shared.factors = m_speed.factors(now);
    m_dispatch->applyEvenLoad(shared);
    m_placement->setSpeedFactors(shared.factors);
}

bool node::markedLeaving() const
{
    const auto table = m_directory.currentTable();
    const auto* row = table ? table->host(m_values.host.id) : nullptr;
    return m_draining || (row && row->state == table::mark::Leaving);
}

// The rest of the grace is for the last answers on their way and for the process's own end.
instant node::drainEnd(instant started) const
{
    const duration grace = m_values.drain.graceMs > duration::zero() ? m_values.drain.graceMs
                                                                     : m_environment.stopGrace();
    if (grace == duration::zero())
        return instant::max();
    return started + grace - grace / endMarginParts;
}

void node::drain()
{
    const auto started = monotonic_clock::now();
    const auto end = drainEnd(started);
    m_draining = true;
    m_proxy->setHealthy(false);
    telemetry::log(telemetry::severity::Info, "draining", {});
    m_coordinators->stop();
    m_proxy->drain(m_values.drain.acceptMs, end);
    const auto handoverEnd = std::min(started + handoverTimeoutMs, end);
    while (!m_coordinators->stopped() && monotonic_clock::now() < handoverEnd)
        std::this_thread::sleep_for(controlTickMs);
    telemetry::log(telemetry::severity::Info, "drained", {});
}

admin::health node::currentHealth() const
{
    if (m_draining)
        return { false, "stopping" };
    if (markedLeaving())
        return { false, "leaving" };
    if (!m_directory.currentTable())
        return { false, "no-table" };
    if (!tableConfirmed(monotonic_clock::now()))
        return { false, "table-unconfirmed" };
    if (m_environment.tableSource() && !ownersKnown())
        return { false, "owners-unknown" };
    return { true, "" };
}

// A host with a table source keeps using its last table during a store outage.
bool node::tableConfirmed(instant now) const
{
    return m_environment.tableSource() ? m_directory.currentTable() != nullptr
                                       : m_gossip->confirmed(now);
}

bool node::ownersKnown() const
{
    const auto table = m_directory.currentTable();
    return std::all_of(table->services.begin(), table->services.end(), [this](const auto& row) {
        return !row.keyed() || m_directory.version(row.id) != token {};
    });
}

bool node::pardon(std::uint64_t fingerprint)
{
    const routing::fingerprint print { fingerprint };
    const auto suspects = m_dispatch->suspects();
    const bool known = std::any_of(suspects.begin(), suspects.end(),
        [&](const auto& each) { return each.requestFingerprint == print; });
    if (known)
        m_dispatch->pardon(print);
    return known;
}

} // namespace pimentomast::serve::detail
