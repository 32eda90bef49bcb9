#include "window.h"

#include <algorithm>

namespace pimentomast::routing {

window::window(const limits& bounds)
    : m_limits(bounds)
    , m_size(std::max(bounds.min, std::min(bounds.max, 1.0)))
{
}

void window::limitTo(double max) noexcept
{
    m_limits.max = std::max(max, m_limits.min);
    m_size = std::min(m_size, m_limits.max);
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

void window::onAnswered(unsigned outstanding) noexcept
{
    const bool windowWasFull = outstanding + 1 > m_size;
    if (windowWasFull)
        m_size = std::min(m_limits.max, m_size + m_limits.increase / std::max(1.0, m_size));
}

void window::onShed(instant now, instant dispatched) noexcept
{
    if (dispatched < m_lastDecrease)
        return;
    m_lastDecrease = now;
    m_size = std::max(m_limits.min, m_size * m_limits.decrease);
}

} // namespace pimentomast::routing
