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

/// Counters, latencies and structured logs.
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
    Running,
    Queued,
    Connections,
    ConfigVersion,
    AssignmentSequence,
    Coordinating,
    MovesRunning,
    TargetsInUse,
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

/// A value that only goes up. Thread-safe, lock-free.
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

/// A value that goes up and down. Thread-safe, lock-free.
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

/// Quantiles of the durations of the last full window (or of the first, while it fills).
struct latency_summary {
    std::uint64_t count = 0;
    double sumSeconds = 0;
    double p50Seconds = 0;
    double p99Seconds = 0;
};

/// Durations with quantiles in bounded memory.
///
/// A window ends after 100,000 durations. p99 is the exact order statistic of its window; p50 is
/// exact up to 1,024 durations and beyond that the estimate of the P-square algorithm (Jain and
/// Chlamtac, 1985). count and sum cover the whole life. Thread-safe.
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

/// All values of a process, by metric and label value.
///
/// References stay valid for the registry's life. Looking a value up takes a lock, so hot paths
/// keep the reference; changing the value takes none (latency: its own). A metric has at most
/// 1,000 label values; those beyond it share the value of the label "other". Thread-safe.
class registry {
public:
    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    /// Precondition: the metric is of this kind; otherwise throws std::logic_error.
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
    /// Path of the file to append to; empty: standard output.
    std::string file;
    /// One JSON object a line; otherwise key=value pairs.
    bool json = false;
    /// Texts that are replaced by "(secret)" wherever they would appear.
    std::vector<std::string> secrets;
};

/// One key and its value in a log line.
struct field {
    std::string_view key;
    std::string value;
};

/// Sets up the process's log. Call it once, before other threads start.
/// Throws failure if the file cannot be opened.
void setUpLog(const log_options& options);

/// Writes one line: time, severity, event and the fields. Never waits for a reader of the log: a
/// line that finds no room is left out, and the next one is preceded by a line that says how many
/// were. Thread-safe.
void log(severity level, std::string_view event, const std::vector<field>& fields = {});

} // namespace pimentomast::telemetry
