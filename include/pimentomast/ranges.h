#pragma once

#include "pimentomast/ownership.h"

#include <optional>
#include <variant>
#include <vector>

/// Turns lists of granted slices into calls to targets that take and give back one range at a time
/// and report nothing about what they hold.
///
/// Pure: time and results of calls in, calls out. Objects are not thread-safe.
namespace pimentomast::ranges {

/// Names the state that a target kept for keys which it gave back; the next owner takes it over.
using handover = strong<struct handover_tag, std::string>;

/// Stop new work on the keys; answered once the work on them has ended.
struct release_range {
    slice range;
    token fence;
};
/// Hold the keys for a lease that runs from the call's arrival.
struct grant_range {
    slice range;
    token fence;
    /// Empty: the keys start cold, or the target holds them already.
    handover state;
};
using call = std::variant<release_range, grant_range>;

/// The target did what it was asked.
struct accepted {
    /// Set by the answer to a release.
    handover state;
};
/// The target has seen a higher token for one of the keys.
struct fenced_out { };
/// The call certainly had no effect.
struct not_sent { };
/// The call may have taken effect, or may still take effect.
struct unanswered { };
using call_result = std::variant<accepted, fenced_out, not_sent, unanswered>;

/// How far the clock of a target may fall behind while it measures a lease.
inline constexpr double maxClockDriftRatio = 1.02;

/// States of keys that were given back and have no new owner yet, of one service.
class handovers {
public:
    void put(const slice& range, const handover& state);
    /// Returns the range cut where its parts have different states.
    [[nodiscard]] std::vector<grant_range> split(const slice& range, token fence) const;
    /// A new owner has the keys.
    void remove(const slice& range);

private:
    struct stored_handover {
        slice range;
        handover state;
    };

    std::vector<stored_handover> m_handovers;
};

/// What one target was granted and may still hold.
class grant_tracker {
public:
    /// Returns the calls after which the target holds exactly the wanted slices, grants first,
    /// since releases take until the work on their keys has ended. Neighbouring slices are renewed
    /// by one call. Precondition: fence is not lower than in any earlier call, and the wanted
    /// slices are sorted.
    [[nodiscard]] std::vector<call> plan(instant now,
        const std::vector<ownership::granted_slice>& wanted, token fence,
        const handovers& states) const;
    /// Notes how a call with this lease ended; now is read after it ended.
    void recordResult(instant now, const call& made, duration lease, const call_result& outcome);
    /// Returns every range that the target may hold or come to hold by a call that was not
    /// answered.
    [[nodiscard]] std::vector<slice> mayHold(instant now) const;

private:
    struct entry {
        slice range;
        instant until;
    };

    [[nodiscard]] std::vector<slice> heldAt(instant now) const;
    void removeExpired(instant now);

    /// Granted by calls that were answered; no two overlap.
    std::vector<entry> m_held;
    /// Granted by calls that were not answered, which may take effect late.
    std::vector<entry> m_unconfirmed;
};

} // namespace pimentomast::ranges
