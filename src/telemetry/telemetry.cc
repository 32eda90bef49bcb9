#include "pimentomast/telemetry.h"

#include <stdexcept>

namespace pimentomast::telemetry {
namespace {

constexpr std::array metricFamilies {
    family { metric::Requests, kind::Counter, "pimentomast_requests_total", "service",
        "Requests that ended, whatever their outcome." },
    family { metric::Refusals, kind::Counter, "pimentomast_refusals_total", "reason",
        "Requests that pimentomast itself refused or ended." },
    family { metric::Retries, kind::Counter, "pimentomast_retries_total", "reason",
        "Requests that were sent to a target once more." },
    family { metric::ResponseTime, kind::Latency, "pimentomast_response_seconds", "service",
        "Time from the request's head to the end of the answer." },
    family { metric::WaitTime, kind::Latency, "pimentomast_wait_seconds", "service",
        "Part of the response time that was spent waiting on this host for dispatch." },
    family { metric::ReadDelay, kind::Latency, "pimentomast_read_delay_seconds", "service",
        "Time from the arrival of a request until this host submitted it for dispatch." },
    family { metric::Running, kind::Gauge, "pimentomast_requests_running", "",
        "Requests that are at a target." },
    family { metric::Queued, kind::Gauge, "pimentomast_requests_queued", "",
        "Requests that wait on this host." },
    family { metric::Connections, kind::Gauge, "pimentomast_connections", "side",
        "Open connections, to callers or to targets." },
    family { metric::ConfigVersion, kind::Gauge, "pimentomast_config_version", "",
        "Version of the table in force." },
    family { metric::AssignmentSequence, kind::Gauge, "pimentomast_assignment_sequence", "service",
        "Sequence number of the newest committed assignment." },
    family { metric::Coordinating, kind::Gauge, "pimentomast_coordinating", "service",
        "1 while this host coordinates the service." },
    family { metric::MovesRunning, kind::Gauge, "pimentomast_moves_running", "service",
        "Slices that this host is moving to another target." },
    family { metric::TargetsInUse, kind::Gauge, "pimentomast_targets_in_use", "service",
        "Targets that this host has not ejected as failing." },
    family { metric::EvacuatedTargets, kind::Gauge, "pimentomast_evacuated_targets", "domain",
        "Targets in an evacuated failure domain." },
    family { metric::ColdTargets, kind::Gauge, "pimentomast_cold_targets", "service",
        "Targets that are cold and get a limited number of requests." },
    family { metric::WarmupDelays, kind::Counter, "pimentomast_warmup_delays_total", "",
        "Requests that waited because a cold target could not take more." },
    family { metric::TargetSpeed, kind::Gauge, "pimentomast_target_speed_percent", "which",
        "Lowest and highest speed of a target relative to its service, in percent." },
    family { metric::StoreEraRises, kind::Counter, "pimentomast_store_era_rises_total", "",
        "How often this host found that the store came back from an older copy." },
    family { metric::RelayedRows, kind::Counter, "pimentomast_relayed_rows_total", "",
        "Reads and writes of rows that other hosts carried out for this one." },
    family { metric::BodyBytes, kind::Gauge, "pimentomast_body_bytes", "",
        "Bytes of bodies and held responses in memory." },
    family { metric::BodyBytesLimit, kind::Gauge, "pimentomast_body_bytes_limit", "",
        "Limit of the bytes of bodies and held responses; 0: none." },
    family { metric::Deliveries, kind::Gauge, "pimentomast_deliveries", "",
        "Whole responses that their callers are still reading." },
    family { metric::Delivered, kind::Counter, "pimentomast_deliveries_total", "",
        "Responses whose rest was sent after their attempt had ended." },
    family { metric::ExchangeTime, kind::Latency, "pimentomast_exchange_seconds", "",
        "Round trip of exchanges with other hosts." },
    family { metric::ExchangeTimeouts, kind::Counter, "pimentomast_exchange_timeouts_total", "",
        "Exchanges with other hosts that were not answered in time." },
    family { metric::PeerMessageWait, kind::Latency, "pimentomast_peer_message_wait_seconds", "",
        "Time from the arrival of another host's tables until they were put in force." },
    family { metric::LinkDelay, kind::Gauge, "pimentomast_link_delay_ms", "",
        "Time that bytes wait on this host's network link." },
    family { metric::ForwardedBytes, kind::Counter, "pimentomast_forwarded_bytes_total",
        "direction", "Bytes received from and sent to callers and targets." },
    family { metric::PeerBytesReceived, kind::Counter, "pimentomast_peer_received_bytes_total",
        "call", "Bytes of requests and replies received from other hosts." },
    family { metric::PeerBytesSent, kind::Counter, "pimentomast_peer_sent_bytes_total", "call",
        "Bytes of requests and replies sent to other hosts." },
    family { metric::AdminRequests, kind::Counter, "pimentomast_admin_requests_total", "status",
        "Requests to the administration API by HTTP status." },
};

constexpr std::size_t maxLabelValues = 1000;
constexpr std::string_view overflowLabel = "other";

const family& describe(metric id) { return metricFamilies.at(static_cast<std::size_t>(id)); }

void checkKind(metric id, kind type)
{
    if (describe(id).type != type)
        throw std::logic_error(
            "metric " + std::string(describe(id).name) + " is of a different kind");
}

std::string escape(std::string_view text)
{
    std::string escaped;
    for (const char character : text) {
        if (character == '\\' || character == '"')
            escaped += '\\';
        if (character == '\n')
            escaped += "\\n";
        else
            escaped += character;
    }
    return escaped;
}

/// Formats metrics in the Prometheus text exposition format.
class exposition_writer {
public:
    void head(const family& metricFamily)
    {
        const auto type = metricFamily.type == kind::Counter ? "counter"
            : metricFamily.type == kind::Gauge               ? "gauge"
                                                             : "summary";
        const std::string name(metricFamily.name);
        m_text += "# HELP " + name + " " + std::string(metricFamily.help) + "\n";
        m_text += "# TYPE " + name + " " + type + "\n";
    }

    void line(const family& metricFamily, std::string_view suffix, std::string_view labelValue,
        const std::string& value, std::string_view quantile = {})
    {
        std::string labels;
        if (!metricFamily.label.empty())
            labels = std::string(metricFamily.label) + "=\"" + escape(labelValue) + "\"";
        if (!quantile.empty())
            labels += (labels.empty() ? "" : ",") + std::string("quantile=\"")
                + std::string(quantile) + "\"";
        m_text += std::string(metricFamily.name) + std::string(suffix);
        m_text += (labels.empty() ? "" : "{" + labels + "}") + " " + value + "\n";
    }

    void value(const family& metricFamily, const std::string& label, const counter& metricValue)
    {
        line(metricFamily, "", label, std::to_string(metricValue.value()));
    }
    void value(const family& metricFamily, const std::string& label, const gauge& metricValue)
    {
        line(metricFamily, "", label, std::to_string(metricValue.value()));
    }
    void value(const family& metricFamily, const std::string& label, const latency& metricValue)
    {
        const auto summary = metricValue.summary();
        line(metricFamily, "", label, std::to_string(summary.p50Seconds), "0.5");
        line(metricFamily, "", label, std::to_string(summary.p99Seconds), "0.99");
        line(metricFamily, "_sum", label, std::to_string(summary.sumSeconds));
        line(metricFamily, "_count", label, std::to_string(summary.count));
    }

    template <class ValueMap>
    void values(const family& metricFamily, const ValueMap& series)
    {
        const auto found = series.values.find(metricFamily.id);
        if (found == series.values.end())
            return;
        for (const auto& [label, metricValue] : found->second)
            value(metricFamily, label, *metricValue);
    }

    [[nodiscard]] std::string text() && { return std::move(m_text); }

private:
    std::string m_text;
};

} // namespace

std::span<const family> families() { return metricFamilies; }

registry::registry() = default;
registry::~registry() = default;

template <class Value>
Value& registry::value_map<Value>::findOrCreate(metric id, std::string_view labelValue)
{
    auto& byLabel = values[id];
    auto found = byLabel.find(labelValue);
    if (found == byLabel.end() && byLabel.size() >= maxLabelValues) {
        labelValue = overflowLabel;
        found = byLabel.find(labelValue);
    }
    if (found == byLabel.end())
        found = byLabel.emplace(std::string(labelValue), std::make_unique<Value>()).first;
    return *found->second;
}

counter& registry::counterFor(metric id, std::string_view labelValue)
{
    checkKind(id, kind::Counter);
    const std::lock_guard guard(m_lock);
    return m_counters.findOrCreate(id, labelValue);
}

gauge& registry::gaugeFor(metric id, std::string_view labelValue)
{
    checkKind(id, kind::Gauge);
    const std::lock_guard guard(m_lock);
    return m_gauges.findOrCreate(id, labelValue);
}

latency& registry::latencyFor(metric id, std::string_view labelValue)
{
    checkKind(id, kind::Latency);
    const std::lock_guard guard(m_lock);
    return m_latencies.findOrCreate(id, labelValue);
}

std::string registry::exposition() const
{
    const std::lock_guard guard(m_lock);
    exposition_writer writer;
    for (const auto& metricFamily : metricFamilies) {
        writer.head(metricFamily);
        writer.values(metricFamily, m_counters);
        writer.values(metricFamily, m_gauges);
        writer.values(metricFamily, m_latencies);
    }
    return std::move(writer).text();
}

} // namespace pimentomast::telemetry
