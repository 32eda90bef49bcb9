#include "window.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr double fairGrowth = 0.002;

} // namespace

window::window(const limits& bounds)
    : m_limits(bounds)
    , m_size(std::max(bounds.min, std::min(bounds.max, 1.0)))
{
}

void window::limitTo(double min, double max) noexcept
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
    m_size = std::min(m_limits.max, m_size * (1 + growth) + fairGrowth);
}

void window::onShed(bool flooding) noexcept
{
    const double factor = flooding ? m_limits.floodDecrease : m_limits.decrease;
    m_size = std::max(m_limits.min, m_size * factor);
}

} // namespace pimentomast::routing
