#pragma once

#include "pimentomast/proxy.h"
#include "pimentomast/telemetry.h"

#include <functional>
#include <mutex>

namespace pimentomast::serve::detail {

/// Bounds the lines of a log: so many a second on average, with bursts of five seconds' worth. Half
/// of that is kept for lines that matter more. Pure; not thread-safe.
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

/// Writes a line for each request that was refused, failed, was tried more than once or was late,
/// within a budget. Thread-safe; no lock is held while a line is written.
class request_log {
public:
    using writer = std::function<void(
        telemetry::severity, std::string_view, const std::vector<telemetry::field>&)>;

    request_log(unsigned linesPerSecond, writer write);

    /// version: of the assignment by which the owner of the request's key was found.
    void write(const proxy::completion& finished, token version);
    void write(const proxy::rejection& refused);

private:
    /// Returns whether the line may be written; says first, once a second at most, how many were
    /// left out before it.
    [[nodiscard]] bool admit(bool important);

    writer m_write;
    std::mutex m_lock;
    line_budget m_budget;
    instant m_nextLeftOut {};
};

} // namespace pimentomast::serve::detail
