#include "placement_rounds.h"

#include "pimentomast/telemetry.h"

namespace pimentomast::serve::detail {
namespace {

/// Reports that wait for the next round; older ones are dropped.
constexpr std::size_t maxWaitingReports = 4096;

} // namespace

placement_rounds::placement_rounds(const placement_rounds_options& options,
    coordinator_driver& coordinators, const directory& routes, plan_listener listener)
    : m_options(options)
    , m_coordinators(coordinators)
    , m_routes(routes)
    , m_listener(std::move(listener))
    , m_thread([this] { planLoop(); })
{
}

placement_rounds::~placement_rounds()
{
    {
        const std::lock_guard guard(m_lock);
        m_stopped = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void placement_rounds::addLoad(const host_id& host, const wire::LoadReport& report)
{
    const std::lock_guard guard(m_lock);
    m_reports.push_back({ monotonic_clock::now(), host, report });
    if (m_reports.size() > maxWaitingReports)
        m_reports.pop_front();
}

bool placement_rounds::waitForNextRound()
{
    std::unique_lock guard(m_lock);
    return !m_wake.wait_for(guard, m_options.interval, [this] { return m_stopped; });
}

void placement_rounds::planLoop()
{
    while (waitForNextRound()) {
        takeReports();
        takeSpeedFactors();
        for (const auto& each : m_coordinators.coordinated())
            plan(each);
    }
}

void placement_rounds::takeReports()
{
    std::deque<received_report> reports;
    {
        const std::lock_guard guard(m_lock);
        reports.swap(m_reports);
    }
    for (const auto& each : reports) {
        for (const auto& load : each.report.loads()) {
            if (auto* planner = plannerOf(service_id { load.service() }))
                planner->addLoad(each.at, each.host, load);
        }
    }
}

void placement_rounds::setSpeedFactors(routing::speed_factors factors)
{
    const std::lock_guard guard(m_lock);
    m_speedFactors = std::move(factors);
}

void placement_rounds::takeSpeedFactors()
{
    const std::lock_guard guard(m_lock);
    m_usedFactors.update(m_speedFactors);
}

void placement_rounds::plan(const coordinated_service& coordinated)
{
    auto* planner = plannerOf(coordinated.service);
    if (!planner)
        return;
    const auto started = monotonic_clock::now();
    // Empty proposals are passed on too: they replace the previous ones, which would otherwise be
    // carried out although they are outdated.
    auto rows = coordinated.targets;
    for (auto& row : rows)
        row.weight *= m_usedFactors.of(row.id);
    const auto wanted = planner->plan(
        started, coordinated.committed, coordinated.moving, coordinated.views, rows);
    m_listener({ coordinated.service, planner->imbalance(), coordinated.runningMoves,
        wanted.slices.size(), monotonic_clock::now() - started });
    m_coordinators.propose(coordinated.service, wanted);
}

placement_planner* placement_rounds::plannerOf(const service_id& service)
{
    const auto known = m_planners.find(service);
    if (known != m_planners.end())
        return &known->second;
    const auto table = m_routes.currentTable();
    const auto* row = table ? table->service(service) : nullptr;
    if (!row || !row->keyed())
        return nullptr;
    auto options = m_options.planner;
    options.seed ^= hashKey(service.value()).value();
    auto planner = placement_planner::create(*row, options);
    if (!planner) {
        telemetry::log(telemetry::severity::Error, "placement-refused",
            { { "service", service.value() }, { "reason", planner.error().text() } });
        return nullptr;
    }
    return &m_planners.emplace(service, std::move(planner).value()).first->second;
}

} // namespace pimentomast::serve::detail
