#pragma once

#include "pimentomast/ownership.h"

#include <deque>
#include <set>

namespace pimentomast::ownership::detail {

/// A grant message that has not been answered yet.
struct sent_grant {
    request_number request;
    bool adopt = false;
    sequence number;
    /// Refers to the list of an earlier message.
    bool repeats = false;
    std::vector<granted_slice> slices;
};

/// What the holder knows about one target.
struct target_state {
    table::target_row row;
    bool inTable = false;
    incarnation run;
    /// Acknowledged this epoch, and therefore refuses lower ones.
    bool adopted = false;
    std::uint64_t clockUs = 0;
    /// When the answer with the reading clockUs arrived.
    instant clockReceived {};
    /// Answers to this request and to earlier ones are ignored.
    request_number lastAnswered;
    request_number lastSent;
    /// When every grant given to the target has expired, not counting those of earlier holders.
    instant leaseEnds {};
    /// Message whose list of slices the target acknowledged last, and that list; 0 if the list must
    /// be sent again.
    sequence acknowledgedNumber;
    std::vector<granted_slice> acknowledgedSlices;
    std::vector<held_slice> held;
    /// Whether held includes every slice that the target holds.
    bool heldComplete = false;
    target_load load;
    std::deque<sent_grant> outstanding;
    instant nextSend {};
    /// Time of the first message since the last answer, and number of messages since then.
    instant unansweredSince {};
    unsigned unanswered = 0;
};

enum class move_phase {
    Holding,
    Draining,
    /// The old owner no longer holds the range.
    Cleared,
    /// The pending write names the new owner as standby.
    Announcing,
    /// The pending write assigns the range to the new owner.
    Committing,
    /// Started by an earlier holder: either owner may hold the range.
    Inherited,
};

struct move {
    slice range;
    target_id from;
    target_id to;
    move_phase phase = move_phase::Holding;
    /// The row names the new owner as standby, so that it may be granted the range without another
    /// write.
    bool announced = false;
    instant since {};
    /// Not cancelled when draining times out or a write is rejected, because the old owner is
    /// leaving or lost.
    bool forced = false;
    /// Cleared because the old owner's lease has expired, not because it drained.
    bool ownerLost = false;
    /// Token of the new owner, once assigned.
    token grant {};
    /// First message to the old owner without the range.
    request_number drainRequest;
    /// The hosts were asked to hold new requests for the range.
    bool holdsSent = false;
    std::set<request_number> pendingHolds;
    /// The old owner keeps the range; the move is about to be erased.
    bool cancelled = false;
};

/// Witness queries that were sent at the same time.
struct witness_round {
    instant sent {};
    std::map<request_number, host_id> asked;
    std::set<host_run> agreed;
};

/// Range of a cancelled move, for which no move is planned before the given time.
struct postponed_move {
    slice range;
    instant until {};
};

/// State of one host's route lease.
struct route_state {
    incarnation run;
    std::uint64_t clockUs = 0;
    instant clockReceived {};
    request_number lastAnswered;
    request_number lastSent;
    /// Newest assignment that the host has, and newest one that assigns the keys of all of its
    /// requests in flight to their targets.
    token known;
    token confirmed;
    /// When every route lease that the host was given has expired.
    instant leaseEnds {};
    instant nextSend {};
};

/// Returns a first assignment: the hash space divided by weight. Precondition: targets not empty.
[[nodiscard]] std::vector<owned_slice> splitByWeight(
    const std::vector<table::target_row>& targets, token grant, std::uint64_t keyWidth);
/// Returns the slices of each owner, in order.
[[nodiscard]] std::map<target_id, std::vector<owned_slice>> groupByOwner(
    const std::vector<owned_slice>& slices);
/// Returns the slices with the ranges of the moves assigned to their new owners at the given token.
[[nodiscard]] std::vector<owned_slice> applyMoves(
    const std::vector<owned_slice>& slices, const std::vector<move>& moves, token grant);
/// Returns the slices with the new owners of the moves named as standbys of their ranges.
[[nodiscard]] std::vector<owned_slice> withStandbys(
    const std::vector<owned_slice>& slices, const std::vector<move>& moves);
/// Merges adjacent slices of one owner that lie in one of the ranges. A merged slice has the
/// highest of their tokens: none of its keys had another owner since that token was assigned.
[[nodiscard]] std::vector<owned_slice> joinNeighbours(
    const std::vector<owned_slice>& slices, const std::vector<slice>& ranges);

} // namespace pimentomast::ownership::detail
