#include "drain-schedule.h"

#include <algorithm>

namespace pimentomast::proxy::detail {
namespace {

/// Parts of the time until the end.
constexpr double acceptingShare = 0.4;
constexpr double shorteningShare = 0.5;
constexpr double lastDeadlineShare = 0.95;
/// Time after the end for answers that workers are just writing, as part of the time until the end.
constexpr double flushShare = 0.04;

duration part(duration whole, double share)
{
    return std::chrono::duration_cast<duration>(whole * share);
}

} // namespace

drain_schedule::drain_schedule(instant begun, duration accepting, instant latestEnd)
    : acceptUntil(begun + accepting)
{
    if (latestEnd == instant::max())
        return;
    const duration whole = std::max(latestEnd - begun, duration::zero());
    acceptUntil = std::min(acceptUntil, begun + part(whole, acceptingShare));
    shortenUntil = begun + part(whole, shorteningShare);
    lastDeadline = begun + part(whole, lastDeadlineShare);
    end = begun + whole;
    flushed = end + part(whole, flushShare);
}

std::optional<instant> drain_schedule::deadlineFor(instant now, instant wanted) const
{
    if (wanted <= lastDeadline && now < lastDeadline)
        return wanted;
    return now < shortenUntil ? std::optional(lastDeadline) : std::nullopt;
}

} // namespace pimentomast::proxy::detail
