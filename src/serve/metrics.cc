#include "node.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace pimentomast::serve::detail {
namespace {

using telemetry::metric;

/// Raises a counter to a total that another library counts.
void raiseTo(telemetry::counter& counted, std::uint64_t total)
{
    const auto shown = counted.value();
    if (total > shown)
        counted.add(total - shown);
}

std::set<std::string_view> exposeRouting(
    telemetry::registry& metrics, const routing::counters& counts)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < routing::refusalReasonCount; ++i) {
        const auto label = routing::name(static_cast<routing::refusal_reason>(i));
        names.insert(label);
        raiseTo(metrics.counterFor(metric::Refusals, label), counts.refusals.at(i));
    }
    for (std::size_t i = 0; i < routing::retryReasonCount; ++i) {
        const auto label = routing::name(static_cast<routing::retry_reason>(i));
        raiseTo(metrics.counterFor(metric::Retries, label), counts.retries.at(i));
    }
    raiseTo(metrics.counterFor(metric::WarmupDelays), counts.delayedByWarmup);
    return names;
}

/// Exposes the proxy's own refusals, without the reasons that routing counts already.
void exposeProxy(telemetry::registry& metrics, const proxy::counters& counts,
    const std::set<std::string_view>& countedByRouting)
{
    for (std::size_t i = 0; i <= static_cast<std::size_t>(proxy::reason::Last); ++i) {
        const auto why = static_cast<proxy::reason>(i);
        const auto label = proxy::name(why);
        if (!countedByRouting.contains(label))
            raiseTo(metrics.counterFor(metric::Refusals, label), counts.count(why));
    }
}

void exposeTargets(telemetry::registry& metrics, const std::vector<routing::target_view>& targets)
{
    std::map<service_id, std::int64_t> inUse;
    std::map<service_id, std::int64_t> cold;
    for (const auto& target : targets) {
        inUse[target.service] += target.ejected ? 0 : 1;
        cold[target.service] += target.cold ? 1 : 0;
    }
    for (const auto& [service, count] : inUse)
        metrics.gaugeFor(metric::TargetsInUse, service.value()).set(count);
    for (const auto& [service, count] : cold)
        metrics.gaugeFor(metric::ColdTargets, service.value()).set(count);
}

void exposeSpeeds(telemetry::registry& metrics, const std::vector<routing::target_view>& targets)
{
    constexpr double percent = 100;
    double lowest = 1;
    double highest = 1;
    for (const auto& target : targets) {
        lowest = std::min(lowest, target.speedFactor);
        highest = std::max(highest, target.speedFactor);
    }
    metrics.gaugeFor(metric::TargetSpeed, "lowest").set(std::lround(lowest * percent));
    metrics.gaugeFor(metric::TargetSpeed, "highest").set(std::lround(highest * percent));
}

void exposeBodies(telemetry::registry& metrics, const proxy::gauges& state)
{
    metrics.gaugeFor(metric::BodyBytes).set(static_cast<std::int64_t>(state.bodyBytes));
    metrics.gaugeFor(metric::BodyBytesLimit).set(static_cast<std::int64_t>(state.bodyBytesLimit));
    metrics.gaugeFor(metric::Deliveries).set(static_cast<std::int64_t>(state.deliveries));
    raiseTo(metrics.counterFor(metric::Delivered), state.delivered);
    raiseTo(metrics.counterFor(metric::ForwardedBytes, "received"), state.receivedBytes);
    raiseTo(metrics.counterFor(metric::ForwardedBytes, "sent"), state.sentBytes);
}

void exposePeers(telemetry::registry& metrics)
{
    for (std::size_t i = 0; i < peers::callKindCount; ++i) {
        const auto kind = static_cast<peers::call_kind>(i);
        const auto& bytes = peers::bytesOf(kind);
        raiseTo(metrics.counterFor(metric::PeerBytesReceived, peers::name(kind)), bytes.received);
        raiseTo(metrics.counterFor(metric::PeerBytesSent, peers::name(kind)), bytes.sent);
    }
}

/// Every domain that is or was in the table is exposed, with 0 if it is not evacuated.
void exposeEvacuations(
    telemetry::registry& metrics, const table::table& rows, std::set<domain_id>& seen)
{
    std::map<domain_id, std::int64_t> evacuated;
    for (const auto& target : rows.targets) {
        seen.insert(target.domain);
        evacuated[target.domain] += target.evacuatedBy ? 1 : 0;
    }
    for (const auto& domain : seen)
        metrics.gaugeFor(metric::EvacuatedTargets, domain.value()).set(evacuated[domain]);
}

} // namespace

telemetry::registry& node::metrics()
{
    updateMetrics();
    return m_metrics;
}

void node::updateMetrics()
{
    const auto names = exposeRouting(m_metrics, m_dispatch->counts());
    exposeProxy(m_metrics, m_proxy->counts(), names);
    raiseTo(m_metrics.counterFor(metric::RelayedRows), m_store.relayedCalls());
    const auto state = m_proxy->state();
    m_metrics.gaugeFor(metric::Connections, "callers")
        .set(static_cast<std::int64_t>(state.connections));
    m_metrics.gaugeFor(metric::Connections, "targets")
        .set(static_cast<std::int64_t>(state.targetConnections));
    m_metrics.gaugeFor(metric::Running).set(static_cast<std::int64_t>(state.running));
    m_metrics.gaugeFor(metric::Queued).set(static_cast<std::int64_t>(state.waiting));
    exposeBodies(m_metrics, state);
    exposePeers(m_metrics);
    const auto targets = m_dispatch->targets();
    exposeTargets(m_metrics, targets);
    if (m_values.targets.shareSpeed)
        exposeSpeeds(m_metrics, targets);
    if (const auto table = m_directory.currentTable()) {
        const std::lock_guard guard(m_seenDomainsLock);
        exposeEvacuations(m_metrics, *table, m_seenDomains);
    }
    raiseTo(m_metrics.counterFor(metric::StoreEraRises), m_store.era().rises);
    m_metrics.gaugeFor(metric::ConfigVersion)
        .set(static_cast<std::int64_t>(m_gossip->version().value()));
    for (const auto& service : m_coordinators->status()) {
        const bool holds = service.role == ownership::role::Holder;
        m_metrics.gaugeFor(metric::Coordinating, service.service.value()).set(holds ? 1 : 0);
        m_metrics.gaugeFor(metric::MovesRunning, service.service.value())
            .set(static_cast<std::int64_t>(service.runningMoves));
        const auto version = m_directory.version(service.service);
        m_metrics.gaugeFor(metric::AssignmentSequence, service.service.value())
            .set(static_cast<std::int64_t>(version.assignment.value()));
    }
}

duration node::tablesAge() const
{
    const auto* tableSource = m_environment.tableSource();
    return tableSource ? monotonic_clock::now() - tableSource->standing().targets.confirmedAt
                       : duration {};
}

void node::completed(const proxy::completion& finished)
{
    const auto version = m_directory.version(finished.service);
    m_requestLog.write(finished, version, tablesAge());
    if (finished.status == 0)
        return;
    const auto& service = finished.service.value();
    m_metrics.counterFor(metric::Requests, service).add();
    m_metrics.latencyFor(metric::ResponseTime, service).observe(finished.total);
    m_metrics.latencyFor(metric::WaitTime, service).observe(finished.waited);
    m_metrics.latencyFor(metric::ReadDelay, service).observe(finished.readDelay);
}

void node::rejected(const proxy::rejection& refused) { m_requestLog.write(refused); }

} // namespace pimentomast::serve::detail
