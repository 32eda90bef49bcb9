#pragma once

#include "pimentomast/core.h"

namespace pimentomast::routing {

/// Smoothed latency and deviation (RFC 6298, without its clock granularity).
class latency_estimate {
public:
    void add(duration sample) noexcept;
    [[nodiscard]] bool known() const noexcept { return m_known; }
    /// Smoothed latency; fallback while nothing is known.
    [[nodiscard]] duration smoothed(duration fallback) const noexcept;
    /// Smoothed latency plus four deviations; zero while nothing is known.
    [[nodiscard]] duration upperBound() const noexcept;

private:
    bool m_known = false;
    double m_smoothedUs = 0;
    double m_deviationUs = 0;
};

} // namespace pimentomast::routing
