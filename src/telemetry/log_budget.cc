#include "log_budget.h"

#include <algorithm>

namespace pimentomast::telemetry::detail {
namespace {

/// Time whose lines and bytes may be written at once.
constexpr double burstSeconds = 5;

} // namespace

log_budget::log_budget(unsigned linesPerSecond, unsigned bytesPerSecond)
    : m_lines { static_cast<double>(linesPerSecond), linesPerSecond * burstSeconds }
    , m_bytes { static_cast<double>(bytesPerSecond), bytesPerSecond * burstSeconds }
{
}

void log_budget::bucket::refill(double seconds)
{
    left = std::min(left + seconds * perSecond, perSecond * burstSeconds);
}

bool log_budget::take(instant now, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    if (now > m_refilledAt) {
        const double passed = std::chrono::duration<double>(now - m_refilledAt).count();
        m_lines.refill(passed);
        m_bytes.refill(passed);
        m_refilledAt = now;
    }
    if (m_lines.isEmpty() || m_bytes.isEmpty())
        return false;
    m_lines.left -= 1;
    m_bytes.left -= static_cast<double>(bytes);
    return true;
}

} // namespace pimentomast::telemetry::detail
