#pragma once

#include "pimentomast/core.h"

#include <optional>

/// Times of a drain that has to end by a given time. Pure.
namespace pimentomast::proxy::detail {

struct drain_schedule {
    /// No drain: nothing is bounded.
    drain_schedule() = default;
    /// A drain that begins now and accepts for the given time, or for less if the end is close.
    drain_schedule(instant begun, duration accepting, instant latestEnd);

    instant acceptUntil = instant::max();
    /// Until then, a request is passed on with a shortened deadline if its own lies too late;
    /// afterwards it is refused.
    instant shortenUntil = instant::max();
    /// Latest deadline of requests. What has not been passed on by then is refused.
    instant lastDeadline = instant::max();
    /// Running requests are ended at this time.
    instant end = instant::max();
    /// Answers have been passed to the kernel by then, or their callers do not read.
    instant flushed = instant::max();

    /// Returns the deadline of a request that is passed on now, or nothing if it must be refused.
    [[nodiscard]] std::optional<instant> deadlineFor(instant now, instant wanted) const;
};

} // namespace pimentomast::proxy::detail
