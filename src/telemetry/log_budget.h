#pragma once

#include "pimentomast/core.h"

#include <mutex>

namespace pimentomast::telemetry::detail {

/// Bounds the lines and bytes that a process logs in a second, by two token buckets. Reads no
/// clock. Thread-safe.
class log_budget {
public:
    /// 0 lines or bytes per second: unbounded.
    log_budget(unsigned linesPerSecond, unsigned bytesPerSecond);

    /// Returns whether a line of this size may be written now, and if so counts it.
    [[nodiscard]] bool take(instant now, std::size_t bytes);

private:
    /// Refills at a constant rate and holds at most what comes in during the burst.
    struct bucket {
        double perSecond = 0;
        double left = 0;

        void refill(double seconds);
        [[nodiscard]] bool isBounded() const noexcept { return perSecond > 0; }
        [[nodiscard]] bool isEmpty() const noexcept { return isBounded() && left <= 0; }
    };

    std::mutex m_mutex;
    bucket m_lines;
    bucket m_bytes;
    instant m_refilledAt {};
};

} // namespace pimentomast::telemetry::detail
