#pragma once

#include "pimentomast/ownership.h"

#include <optional>
#include <variant>
#include <vector>

/// Translates lists of granted slices into grant and release calls, for targets that accept one
/// range per call and do not report which ranges they hold.
///
/// No I/O and no clock: time and results of calls are arguments. Objects are not thread-safe.
namespace pimentomast::ranges {

/// Identifies the state that a target saved for released keys, for their next owner to load.
using handover = strong<struct handover_tag, std::string>;

/// Asks the target to accept no new work for the keys. It answers once running work has ended.
struct release_range {
    slice range;
    token fence;
};
/// Grants the keys for a lease that starts when the call arrives at the target.
struct grant_range {
    slice range;
    token fence;
    /// Empty if there is no saved state or if the target already holds the keys.
    handover state;
};
using call = std::variant<release_range, grant_range>;

/// The target carried out the call.
struct accepted {
    /// Returned by a release; empty if the target saved no state.
    handover state;
};
/// The target rejected the call: it has seen a higher token for one of the keys.
struct fenced_out { };
/// The call certainly had no effect.
struct not_sent { };
/// The call may have taken effect, or may take effect later.
struct unanswered { };
using call_result = std::variant<accepted, fenced_out, not_sent, unanswered>;

/// Upper bound of the factor by which a target with a slow clock extends a lease.
inline constexpr double maxClockDriftRatio = 1.02;

/// Saved states of one service's keys that were released and have no new owner yet.
class handovers {
public:
    void put(const slice& range, const handover& state);
    /// Returns grants of the range, split where its parts have different saved states.
    [[nodiscard]] std::vector<grant_range> split(const slice& range, token fence) const;
    /// Removes the states of the range, after a new owner has got its keys.
    void remove(const slice& range);

private:
    struct stored_handover {
        slice range;
        handover state;
    };

    std::vector<stored_handover> m_handovers;
};

/// Tracks the ranges that were granted to one target and that it may still hold.
class grant_tracker {
public:
    /// Returns the calls after which the target holds exactly the wanted slices. Grants come first,
    /// because a release is answered only once the work on its keys has ended. Adjacent slices are
    /// renewed by one call. Preconditions: fence is not lower than in any earlier call, and the
    /// wanted slices are sorted.
    [[nodiscard]] std::vector<call> plan(instant now,
        const std::vector<ownership::granted_slice>& wanted, token fence,
        const handovers& states) const;
    /// Records the result of a call with this lease. Precondition: now was read after the call
    /// ended.
    void recordResult(instant now, const call& made, duration lease, const call_result& outcome);
    /// Returns every range that the target may hold now, or later through an unanswered call.
    [[nodiscard]] std::vector<slice> mayHold(instant now) const;

private:
    struct entry {
        slice range;
        instant until;
    };

    [[nodiscard]] std::vector<slice> heldAt(instant now) const;
    void removeExpired(instant now);

    /// Granted by answered calls; no two ranges overlap.
    std::vector<entry> m_held;
    /// Granted by unanswered calls, which may take effect late.
    std::vector<entry> m_unconfirmed;
};

} // namespace pimentomast::ranges
