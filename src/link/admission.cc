#include "pimentomast/link.h"

#include <algorithm>

namespace pimentomast::link {
namespace {

/// Delay of the link above which less is admitted. A change of the targets has 2 to 2.5 s to reach
/// a host, to be put in force, and for the last request before that to reach its target.
constexpr std::chrono::milliseconds maxDelay { 350 };
/// Delay below which the limit rises.
constexpr std::chrono::milliseconds lowDelay { 175 };
/// Time after which a change of the limit shows in the delay, which comes from calls each half
/// second.
constexpr std::chrono::milliseconds decreaseInterval { 500 };
constexpr std::chrono::milliseconds increaseInterval { 100 };
constexpr double lowestFactor = 0.4;
constexpr double highestFactor = 0.8;
constexpr double increaseFactor = 1.05;
constexpr std::uint64_t minLimit = 65536;
/// A limit that is this many times what is in progress restricts nothing.
constexpr std::uint64_t looseFactor = 4;
/// Weight of one more request in the mean of a service's sizes.
constexpr double sizeWeight = 0.05;
/// Bytes that a connection usually has under way.
constexpr std::uint64_t unknownSize = 65536;

} // namespace

void admission::recordDelay(instant now, duration delay)
{
    if (delay > maxDelay)
        decrease(now, delay);
    else if (m_limit && delay < lowDelay)
        increase(now);
}

// The bytes in progress make the delay, so their limit falls in the proportion in which it is to
// fall.
void admission::decrease(instant now, duration delay)
{
    if (m_limit && now - m_changedAt < decreaseInterval)
        return;
    const auto used = std::min(m_limit.value_or(m_inProgress), m_inProgress);
    const double proportion = std::chrono::duration<double>(maxDelay) / delay;
    const double factor = std::clamp(proportion, lowestFactor, highestFactor);
    const auto lower = static_cast<std::uint64_t>(static_cast<double>(used) * factor);
    m_limit = std::max(lower, minLimit);
    m_changedAt = now;
}

void admission::increase(instant now)
{
    if (now - m_changedAt < increaseInterval)
        return;
    m_limit = static_cast<std::uint64_t>(static_cast<double>(*m_limit) * increaseFactor);
    m_changedAt = now;
    if (*m_limit > looseFactor * std::max(m_inProgress, minLimit))
        m_limit.reset();
}

bool admission::admits(std::uint64_t bytes) const noexcept
{
    return !m_limit || m_inProgress == 0 || m_inProgress + bytes <= *m_limit;
}

void admission::end(std::uint64_t bytes) noexcept { m_inProgress -= std::min(m_inProgress, bytes); }

void transfer_sizes::record(const service_id& service, std::uint64_t bytes)
{
    const auto size = static_cast<double>(bytes);
    const auto [known, isFirst] = m_means.try_emplace(service, size);
    if (!isFirst)
        known->second += sizeWeight * (size - known->second);
}

std::uint64_t transfer_sizes::expected(const service_id& service) const
{
    const auto found = m_means.find(service);
    return found == m_means.end() ? unknownSize : static_cast<std::uint64_t>(found->second);
}

} // namespace pimentomast::link
