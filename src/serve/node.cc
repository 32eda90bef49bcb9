#include "node.h"

#include "grant_client.h"
#include "range_grants.h"

#include <random>

namespace pimentomast::serve::detail {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds controlTickMs { 25 };
constexpr std::chrono::milliseconds loadTimeoutMs { 500 };
constexpr std::chrono::milliseconds handOverLimitMs { 3000 };
constexpr std::chrono::milliseconds grantTimeoutMs { 400 };

incarnation drawIncarnation()
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

proxy::options proxyOptions(const settings::settings& values)
{
    proxy::options options;
    options.listen = values.host.callers;
    options.workers = values.limits.workers;
    options.maxCallerConnections = values.limits.connections;
    options.headBytes = values.limits.headBytes;
    options.headTimeout = values.limits.headTimeoutMs;
    options.idleTimeout = values.limits.idleTimeoutMs;
    options.bodyTimeout = values.limits.bodyTimeoutMs;
    options.connectTimeout = values.limits.connectTimeoutMs;
    options.pooledIdleTimeout = values.limits.pooledIdleMs;
    options.drainIdleTimeout = values.drain.idleMs;
    return options;
}

/// Returns the started part. Throws the failure, with the setting of its address, if there is none.
template <class Part>
std::unique_ptr<Part> startedAt(const std::string& key, result<std::unique_ptr<Part>> part)
{
    if (part)
        return std::move(part).value();
    const error& cause = part.error();
    throw failure({ cause.step, cause.peer, "[host] " + key + ": " + cause.reason });
}

} // namespace

node::node(const settings::settings& values, surroundings& around)
    : m_values(values)
    , m_run(drawIncarnation())
    , m_requestLog(values.log.requestLines, &telemetry::log)
    , m_around(around)
    , m_store(around.rows())
    , m_directory(m_run, values.ownership.targetLeaseMs)
    , m_announcing(m_store, [this](config_version version, const std::string& value) {
        m_spread->announce(version, value);
    })
{
    createParts();
    startListening();
    m_around.announce({ values.host.id, values.host.domain, values.host.advertise });
    if (auto* tables = m_around.tables())
        tables->start([this](const auto& rows) { putTable(rows); });
    m_controlTimer = std::thread([this] { runControlTimer(); });
}

node::~node()
{
    m_stopTimers = true;
    m_controlTimer.join();
    if (auto* tables = m_around.tables())
        tables->stop();
    m_admin.reset();
    m_peers.reset();
    m_dispatch->detach();
    m_proxy.reset();
    m_book->close();
    m_control.reset();
    m_spread.reset();
}

void node::createParts()
{
    membership::view_options view;
    view.self = m_values.host.id;
    view.run = m_run;
    view.seeds = m_values.host.seeds;
    view.seed = m_run.value();
    m_book = std::make_unique<peer_book>(membership::host_view::create(view).value());

    routing::options routes;
    routes.seed = m_run.value();
    routes.workers = m_values.limits.workers;
    routes.retryRatio = m_values.retries.percent / 100.0;
    routes.retryBurst = m_values.retries.burst;
    routes.waitsForBudget = m_values.retries.wait;
    routes.budgetsShed = m_values.retries.countShed;
    routes.targetsReportLoad = m_values.targets.reportLoad;
    routes.leavingGrace = m_values.targets.leavingGraceMs;
    routes.backgroundProbeInterval = m_values.probes.backgroundMs;
    m_dispatch = dispatch::create(routes, m_directory, [this](const auto& news) {
        m_spread->tellCrash(news);
    }).value();

    spread_options spreading;
    spreading.self = m_values.host.id;
    spreading.run = m_run;
    spreading.peers = m_values.host.advertise;
    spreading.freshness.minPollMs = m_values.store.pollMs;
    spreading.tables = m_around.tables();
    m_spread = spread::create(spreading, m_store, *m_book, m_directory,
        { [this](auto rows) { putTable(std::move(rows)); },
            [this](const auto& newer, const auto& host) { putAssignment(newer, host); },
            [this] { return m_dispatch->crashes(); },
            [this](const auto& news) {
                m_dispatch->heard(news);
            } }).value();

    control_options controlling;
    controlling.self = { m_values.host.id, m_run };
    controlling.times = timingsOf(m_values.ownership);
    controlling.seed = m_run.value();
    controlling.placement.movesPerRound = m_values.placement.movesPerRound;
    controlling.placement.minimumStay = m_values.placement.minimumStayMs;
    controlling.placement.tolerance = m_values.placement.tolerancePercent / 100.0;
    m_control = control::create(controlling, m_store, *m_book, m_directory, makeGrantSender(),
        { [this](const auto& value) {
             putAssignment(value, m_values.host.id);
             m_spread->publish(value);
         },
            [this](const auto& target, const auto& run, const auto& load) {
                m_dispatch->report(target, { run, load.running, load.queued, load.slots });
            } }).value();
}

std::unique_ptr<grant_sender> node::makeGrantSender()
{
    if (auto* ranges = m_around.ranges())
        return std::make_unique<range_grants>(*ranges);
    return std::make_unique<grant_client>(grantTimeoutMs);
}

void node::startListening()
{
    auto options = proxyOptions(m_values);
    options.contract = m_around.contract();
    m_proxy = startedAt("callers", proxy::server::start(options, *m_dispatch, *this));
    m_proxy->setHealthy(false);
    m_dispatch->attach(m_proxy->sink());
    m_peers = startedAt("peers", peers::server::start(m_values.host.peers, *this));
    m_admin = startedAt(
        "admin", admin::server::start({ m_values.host.admin, m_values.admin.token }, *this));
}

void node::putTable(const std::shared_ptr<const table::table>& rows)
{
    m_directory.putTable(rows);
    m_proxy->setTable(rows);
    m_dispatch->applyTable(*rows);
    m_control->applyTable(*rows);
    m_spread->callAll();
    telemetry::log(telemetry::severity::Info, "table-in-force",
        { { "version", std::to_string(rows->version.value()) }, { "editor", rows->editor } });
}

void node::putAssignment(const ownership::assignment& newer, const host_id& coordinator)
{
    if (m_directory.putAssignment(newer, coordinator))
        m_dispatch->ownersChanged(newer.service);
}

void node::runControlTimer()
{
    instant nextRebalance {};
    instant nextLoad {};
    while (!m_stopTimers) {
        const auto now = monotonic_clock::now();
        m_book->setLeaving(markedLeaving());
        m_spread->setLeaving(markedLeaving());
        m_spread->tick(now);
        m_control->applyMembership(m_book->live(now), m_book->complete(now));
        m_control->tick();
        m_dispatch->applyConfirmed(tableConfirmed(now));
        m_dispatch->applyLiveHosts(m_book->connectionSharers(now));
        m_proxy->setHealthy(currentHealth().accepting);
        if (now >= nextLoad)
            nextLoad = now + reportInterval(reportLoads(now), m_values.placement.reportMs);
        if (now >= nextRebalance) {
            nextRebalance = now + m_values.placement.intervalMs;
            m_control->rebalance();
        }
        std::this_thread::sleep_for(controlTickMs);
    }
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
    std::size_t sent = 0;
    for (const auto& [host, report] : reports) {
        sent += report.ByteSizeLong();
        if (host == m_values.host.id)
            m_control->takeLoad(host, report);
        else if (const auto peer = m_book->find(host))
            peer->reportLoad(report, loadTimeoutMs, [](const auto&) {});
    }
    return sent;
}

bool node::markedLeaving() const
{
    const auto rows = m_directory.rows();
    const auto* row = rows ? rows->host(m_values.host.id) : nullptr;
    return m_draining || (row && row->state == table::mark::Leaving);
}

void node::drain()
{
    m_draining = true;
    m_proxy->setHealthy(false);
    telemetry::log(telemetry::severity::Info, "draining", {});
    m_control->stop();
    const auto started = monotonic_clock::now();
    m_proxy->drain(m_values.drain.acceptMs);
    while (!m_control->stopped() && monotonic_clock::now() - started < handOverLimitMs)
        std::this_thread::sleep_for(controlTickMs);
    telemetry::log(telemetry::severity::Info, "drained", {});
}

admin::health node::currentHealth() const
{
    if (m_draining)
        return { false, "stopping" };
    if (markedLeaving())
        return { false, "leaving" };
    if (!m_directory.rows())
        return { false, "no-table" };
    if (!tableConfirmed(monotonic_clock::now()))
        return { false, "table-unconfirmed" };
    if (m_around.tables() && !ownersKnown())
        return { false, "owners-unknown" };
    return { true, "" };
}

// A host that follows the tables itself goes on with the last one while the store is away.
bool node::tableConfirmed(instant now) const
{
    return m_around.tables() ? m_directory.rows() != nullptr : m_spread->confirmed(now);
}

bool node::ownersKnown() const
{
    const auto rows = m_directory.rows();
    return std::all_of(rows->services.begin(), rows->services.end(), [this](const auto& row) {
        return !row.keyed() || m_directory.version(row.id) != token {};
    });
}

bool node::pardon(std::uint64_t fingerprint)
{
    const routing::fingerprint print { fingerprint };
    const auto suspects = m_dispatch->suspects();
    const bool known = std::any_of(
        suspects.begin(), suspects.end(), [&](const auto& each) { return each.print == print; });
    if (known)
        m_dispatch->pardon(print);
    return known;
}

peers::wire::Update node::exchange(const peers::wire::Digest& digest)
{
    return m_spread->exchange(digest);
}

peers::wire::NoticeReply node::publish(const peers::wire::Notice& notice)
{
    return m_spread->take(notice);
}

peers::wire::WitnessReply node::witness(const peers::wire::WitnessRequest& request)
{
    const auto answer
        = m_control->answerWitness(service_id { request.service() }, epoch { request.epoch() });
    peers::wire::WitnessReply reply;
    reply.set_incarnation(answer.run.value());
    reply.set_read(answer.highest.has_value());
    if (answer.highest)
        reply.set_epoch(answer.highest->value());
    return reply;
}

peers::wire::HoldReply node::hold(const peers::wire::HoldRequest& request)
{
    const service_id service { request.service() };
    const slice range { key_hash { request.first() }, key_hash { request.last() } };
    const token version { epoch { request.epoch() }, sequence { request.sequence() } };
    const auto now = monotonic_clock::now();
    m_directory.hold(service, range, version, now + std::chrono::milliseconds(request.hold_ms()));
    if (request.hold_ms() == 0)
        m_dispatch->ownersChanged(service);
    peers::wire::HoldReply reply;
    reply.set_incarnation(m_run.value());
    return reply;
}

peers::wire::RouteRenewalReply node::renewRoute(const peers::wire::RouteRenewal& renewal)
{
    const service_id service { renewal.service() };
    const auto now = monotonic_clock::now();
    const auto versions = m_directory.renewRoute(now, service, fromWire(renewal));
    peers::wire::RouteRenewalReply reply;
    reply.set_incarnation(m_run.value());
    reply.set_clock_us(clockUs(now));
    reply.set_epoch(versions.confirmed.coordinator.value());
    reply.set_sequence(versions.confirmed.assignment.value());
    reply.set_known_epoch(versions.known.coordinator.value());
    reply.set_known_sequence(versions.known.assignment.value());
    return reply;
}

peers::wire::LoadReply node::reportLoad(const peers::wire::LoadReport& report)
{
    m_control->takeLoad(host_id { report.host() }, report);
    return {};
}

} // namespace pimentomast::serve::detail
