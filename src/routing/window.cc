#include "window.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr double additiveGrowth = 0.002;
constexpr double meanGain = 0.2;
constexpr double quantileStep = 0.005;
/// Ratios of the mean latency to its low quantile. Below the lower one, the variation is that of
/// the work at an idle target.
constexpr double growBelowRatio = 2;
constexpr double shrinkAboveRatio = 3;
constexpr double latencyGrowth = 0.05;
constexpr double latencyDecrease = 0.95;

} // namespace

window::window(const limits& bounds)
    : m_limits(bounds)
    , m_size(std::max(bounds.min, std::min(bounds.max, 1.0)))
{
}

void window::setBounds(double min, double max) noexcept
{
    m_limits.min = min;
    m_limits.max = std::max(max, min);
    m_size = std::clamp(m_size, m_limits.min, m_limits.max);
}

bool window::allows(instant now, unsigned outstanding, duration latency) const noexcept
{
    return now >= nextFraction(outstanding, latency);
}

instant window::nextFraction(unsigned outstanding, duration latency) const noexcept
{
    const double room = m_size - outstanding;
    if (room >= 1)
        return instant {};
    if (room <= 0 || (outstanding > 0 && room < m_limits.min))
        return instant::max();
    const auto spacing = std::chrono::duration<double, std::micro>(latency) / room;
    return m_lastFraction + std::chrono::duration_cast<duration>(spacing);
}

void window::onDispatch(instant now, unsigned outstanding) noexcept
{
    if (m_size - outstanding < 1)
        m_lastFraction = now;
}

void window::onAnswered(bool flooding) noexcept
{
    const double growth = flooding ? m_limits.floodGrowth : m_limits.growth;
    m_size = std::min(m_limits.max, m_size * (1 + growth) + additiveGrowth);
}

void window::onLatency(duration latency) noexcept
{
    const auto us = static_cast<double>(latency.count());
    if (m_lowQuantileUs == 0) {
        m_lowQuantileUs = us;
        m_meanUs = us;
    }
    m_meanUs += meanGain * (us - m_meanUs);
    // Steps down are 9 times as large as steps up, so the value converges to the 10th percentile.
    m_lowQuantileUs += us < m_lowQuantileUs ? -quantileStep * 9 * m_lowQuantileUs
                                            : quantileStep * m_lowQuantileUs;
    if (m_meanUs < growBelowRatio * m_lowQuantileUs)
        m_size = std::min(m_limits.max, m_size + latencyGrowth);
    else if (m_meanUs > shrinkAboveRatio * m_lowQuantileUs)
        m_size = std::max(m_limits.min, m_size * latencyDecrease);
}

void window::onShed(bool flooding) noexcept
{
    const double factor = flooding ? m_limits.floodDecrease : m_limits.decrease;
    m_size = std::max(m_limits.min, m_size * factor);
}

} // namespace pimentomast::routing
