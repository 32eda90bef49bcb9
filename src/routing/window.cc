#include "window.h"

#include <algorithm>
#include <cmath>

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

double window::size(instant now) const noexcept
{
    if (m_limits.halfLife <= duration::zero() || m_size >= 1 || now <= m_learnedAt)
        return m_size;
    const double age = std::chrono::duration<double>(now - m_learnedAt)
        / std::chrono::duration<double>(m_limits.halfLife);
    return std::min(m_limits.max, 1 - (1 - m_size) * std::exp2(-age));
}

void window::learn(instant now, double size) noexcept
{
    m_size = std::clamp(size, m_limits.min, m_limits.max);
    m_learnedAt = now;
}

bool window::allows(instant now, unsigned outstanding, duration latency) const noexcept
{
    return now >= nextFraction(now, outstanding, latency);
}

instant window::nextFraction(instant now, unsigned outstanding, duration latency) const noexcept
{
    const double room = size(now) - outstanding;
    if (room >= 1)
        return instant {};
    if (room <= 0 || (outstanding > 0 && room < m_limits.min))
        return instant::max();
    const auto spacing = std::chrono::duration<double, std::micro>(latency) / room;
    return m_lastFraction + std::chrono::duration_cast<duration>(spacing);
}

void window::onDispatch(instant now, unsigned outstanding) noexcept
{
    if (size(now) - outstanding < 1)
        m_lastFraction = now;
}

void window::onAnswered(instant now, bool flooding) noexcept
{
    const double growth = flooding ? m_limits.floodGrowth : m_limits.growth;
    learn(now, size(now) * (1 + growth) + additiveGrowth);
}

void window::onLatency(instant now, duration latency) noexcept
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
        learn(now, size(now) + latencyGrowth);
    else if (m_meanUs > shrinkAboveRatio * m_lowQuantileUs)
        learn(now, size(now) * latencyDecrease);
}

void window::onShed(instant now, bool flooding) noexcept
{
    const double factor = flooding ? m_limits.floodDecrease : m_limits.decrease;
    learn(now, size(now) * factor);
}

} // namespace pimentomast::routing
