#include "latency.h"

#include <cmath>

namespace pimentomast::routing {

namespace {

constexpr double latencyGain = 0.125;
constexpr double deviationGain = 0.25;

duration fromUs(double us) { return duration(static_cast<duration::rep>(us)); }

} // namespace

void latency_estimate::add(duration sample) noexcept
{
    const auto us = static_cast<double>(sample.count());
    if (!m_known) {
        m_known = true;
        m_smoothedUs = us;
        m_deviationUs = us / 2;
        return;
    }
    m_deviationUs += deviationGain * (std::abs(m_smoothedUs - us) - m_deviationUs);
    m_smoothedUs += latencyGain * (us - m_smoothedUs);
}

duration latency_estimate::smoothed(duration fallback) const noexcept
{
    return m_known ? fromUs(m_smoothedUs) : fallback;
}

duration latency_estimate::upperBound() const noexcept
{
    return m_known ? fromUs(m_smoothedUs + 4 * m_deviationUs) : duration {};
}

} // namespace pimentomast::routing
