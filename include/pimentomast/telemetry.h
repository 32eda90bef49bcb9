#pragma once

#include "pimentomast/core.h"

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// Metrics (counters, gauges, latency quantiles) and structured logging.
namespace pimentomast::telemetry {

enum class kind {
    Counter,
    Gauge,
    /// Quantiles of a duration, exposed in seconds.
    Latency,
};

/// Every metric that pimentomast exposes.
enum class metric {
    Requests,
    Refusals,
    Retries,
    ResponseTime,
    WaitTime,
    ReadDelay,
    Running,
    Queued,
    Connections,
    ConfigVersion,
    AssignmentSequence,
    Coordinating,
    MovesRunning,
    TargetsInUse,
    EvacuatedTargets,
    ColdTargets,
    WarmupDelays,
    TargetSpeed,
    StoreEraRises,
    RelayedRows,
    BodyBytes,
    BodyBytesLimit,
    Deliveries,
    Delivered,
    ExchangeTime,
    ExchangeTimeouts,
    PeerMessageWait,
    LinkDelay,
    ForwardedBytes,
    PeerBytesReceived,
    PeerBytesSent,
    AdminRequests,
};

/// Name, meaning and label of a metric. An empty label name means one value without a label.
struct family {
    metric id;
    kind type;
    std::string_view name;
    std::string_view label;
    std::string_view help;
};

/// Returns the descriptions of all metrics, in the order of the enumeration. Thread-safe.
[[nodiscard]] std::span<const family> families();

/// A monotonically increasing value. Thread-safe, lock-free.
class counter {
public:
    void add(std::uint64_t amount = 1) noexcept
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// A value that can increase and decrease. Thread-safe, lock-free.
class gauge {
public:
    void set(std::int64_t value) noexcept { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) noexcept { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::int64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value { 0 };
};

/// Quantiles over the last complete window, or over the first window until it is complete. The
/// count and the sum cover all durations.
struct latency_summary {
    std::uint64_t count = 0;
    double sumSeconds = 0;
    double p50Seconds = 0;
    double p99Seconds = 0;
};

/// Computes quantiles of durations in bounded memory.
///
/// A window ends after 100,000 durations. p99 is the exact order statistic of its window; p50 is
/// exact for up to 1,024 durations and estimated by the P-square algorithm (Jain and Chlamtac,
/// 1985) beyond that. The count and the sum cover the lifetime of the object. Thread-safe.
class latency {
public:
    latency();
    ~latency();
    latency(const latency&) = delete;
    latency& operator=(const latency&) = delete;

    void observe(duration elapsed);
    [[nodiscard]] latency_summary summary() const;

private:
    struct window;

    mutable std::mutex m_lock;
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0;
    std::optional<latency_summary> m_last;
    std::unique_ptr<window> m_window;
};

/// Holds the metric values of a process by metric and label value.
///
/// References stay valid for the lifetime of the registry. A lookup takes the registry's lock, so
/// hot paths should cache the reference. Updating a counter or a gauge is lock-free; a latency has
/// its own lock. A metric has at most 1,000 label values; further ones share the label "other".
/// Thread-safe.
class registry {
public:
    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    /// Returns the value, creating it on first use. Throws std::logic_error if the metric is not of
    /// the requested kind.
    counter& counterFor(metric id, std::string_view labelValue = {});
    gauge& gaugeFor(metric id, std::string_view labelValue = {});
    latency& latencyFor(metric id, std::string_view labelValue = {});

    /// Returns all values in the Prometheus text exposition format, version 0.0.4.
    [[nodiscard]] std::string exposition() const;

private:
    template <class Value>
    struct value_map {
        std::map<metric, std::map<std::string, std::unique_ptr<Value>, std::less<>>> values;

        Value& findOrCreate(metric id, std::string_view labelValue);
    };

    mutable std::mutex m_lock;
    value_map<counter> m_counters;
    value_map<gauge> m_gauges;
    value_map<latency> m_latencies;
};

enum class severity {
    Debug,
    Info,
    Warning,
    Error,
};

struct log_options {
    severity minSeverity = severity::Info;
    /// Path of the file to append to; standard output if empty.
    std::string file;
    /// Writes one JSON object per line instead of key=value pairs.
    bool json = false;
    /// Strings that are replaced by "(secret)" in field values.
    std::vector<std::string> secrets;
    /// Lines and bytes of all events in a second, on average; what exceeds them is only counted. 0:
    /// unbounded.
    unsigned linesPerSecond = 0;
    unsigned bytesPerSecond = 0;
};

/// A key-value pair of a log line.
struct field {
    std::string_view key;
    std::string value;
};

/// Configures logging for the process. Call it once, before other threads start.
/// Throws failure if the file cannot be opened.
void setUpLog(const log_options& options);

/// Writes one line: time, severity, event and the fields. Never blocks on the output: a line that
/// cannot be written at once is dropped, and the next line that can be written is preceded by one
/// with the number of dropped lines. Thread-safe.
void log(severity level, std::string_view event, const std::vector<field>& fields = {});

} // namespace pimentomast::telemetry
