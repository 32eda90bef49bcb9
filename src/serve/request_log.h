#pragma once

#include "pimentomast/proxy.h"
#include "pimentomast/telemetry.h"

#include <functional>
#include <mutex>

namespace pimentomast::serve::detail {

/// Token bucket that limits the average number of log lines per second, with bursts of up to five
/// seconds' worth of lines. Half of the bucket is reserved for important lines. Does no I/O and
/// reads no clock; not thread-safe.
class line_budget {
public:
    explicit line_budget(unsigned linesPerSecond);

    /// Returns whether a line may be written now; counts those that may not.
    [[nodiscard]] bool take(instant now, bool important);
    /// Returns how many lines were left out since the last call.
    [[nodiscard]] std::uint64_t takeLeftOut() noexcept;

private:
    void refill(instant now);

    double m_rate;
    double m_capacity;
    double m_available;
    instant m_refilled {};
    std::uint64_t m_leftOut = 0;
};

/// Logs each request that was rejected, failed, took more than one attempt or was late, within a
/// line budget. Thread-safe; no lock is held while a line is written.
class request_log {
public:
    using writer = std::function<void(
        telemetry::severity, std::string_view, const std::vector<telemetry::field>&)>;

    request_log(unsigned linesPerSecond, writer write);

    /// version: version of the assignment in which the owner of the request's key was found.
    /// tablesAge: time since the tables in force were last known to be the store's.
    void write(const proxy::completion& finished, token version, duration tablesAge = {});
    void write(const proxy::rejection& refused);

private:
    /// Returns whether a line may be written. If so, first logs how many lines were left out before
    /// it, at most once a second.
    [[nodiscard]] bool admit(bool important);

    writer m_write;
    std::mutex m_lock;
    line_budget m_budget;
    instant m_nextLeftOut {};
};

} // namespace pimentomast::serve::detail
