#pragma once

#include "pimentomast/core.h"
#include "pimentomast/table.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// Assigns slices of a keyed service to targets, and detects hot keys.
///
/// No I/O and no clock: time, loads and a random seed are arguments. Objects are not thread-safe.
namespace pimentomast::balancing {

/// A key and its request rate.
struct hot_key {
    key_hash hash;
    /// Requests per second; overestimated by at most error.
    double rate = 0;
    double error = 0;

    bool operator==(const hot_key&) const = default;
};

/// Finds the most frequent keys of a stream in constant space. Counts decay exponentially.
///
/// Space-Saving: A. Metwally, D. Agrawal, A. El Abbadi, "Efficient computation of frequent and
/// top-k elements in data streams", ICDT 2005. Any key whose share of the stream exceeds
/// 1/capacity is present, and its count is overestimated by at most the smallest count.
class sketch {
public:
    /// Returns a sketch of at most capacity keys whose counts halve every halfLife. Fails if either
    /// is zero.
    [[nodiscard]] static result<sketch> create(std::size_t capacity, duration halfLife);

    /// Counts one request for the key. Times must not decrease.
    void add(instant now, key_hash key);
    /// Returns the keys with the highest rates, highest first, at most limit of them.
    [[nodiscard]] std::vector<hot_key> top(instant now, std::size_t limit) const;

private:
    struct entry {
        key_hash hash;
        double count = 0;
        double error = 0;
    };

    sketch(std::size_t capacity, duration halfLife);
    void decay(instant now);
    [[nodiscard]] double decayFactor(instant now) const;

    std::size_t m_capacity;
    duration m_halfLife;
    instant m_last {};
    std::vector<entry> m_entries;
};

/// Sums the rates in the lists of several hosts, each of which received a part of the requests.
/// Returns the keys with the highest sums, highest first, at most limit of them.
[[nodiscard]] std::vector<hot_key> mergeHotKeys(
    const std::vector<std::vector<hot_key>>& lists, std::size_t limit);

/// A slice of the committed assignment, with its owner and load.
struct placed_slice {
    slice keys;
    /// Empty if the slice has no owner yet.
    std::optional<target_id> owner;
    /// Requests per second.
    double load = 0;
    /// When its owner last changed.
    instant movedAt {};
};

enum class target_state {
    /// Accepts slices.
    Ready,
    /// Keeps its slices but gets no more: it is ejected or suspected to have failed.
    Suspect,
    /// Its slices move away at a bounded rate.
    Leaving,
    /// Failed: its slices need new owners at once.
    Lost,
};

struct placement_target {
    target_id id;
    domain_id domain;
    double weight = 1;
    target_state state = target_state::Ready;
    /// When it last became ready after a cold start; slow start is measured from this time.
    instant readySince {};
};

/// Split the slice in two: the second part starts at this hash. The owner stays.
struct split_slice {
    slice keys;
    key_hash at;
};
/// Merge two adjacent slices of one owner.
struct merge_slices {
    slice first;
    slice second;
};
/// Give the slice to another owner.
struct move_slice {
    slice keys;
    /// Empty if the slice had no owner.
    std::optional<target_id> from;
    target_id to;
    /// True if the old owner is alive and releases its keys; otherwise its lease has to expire
    /// before the new owner gets them.
    bool planned = true;
};
using proposal = std::variant<split_slice, merge_slices, move_slice>;

/// Settings of a planner; docs/POLICY.md explains each.
struct planner_options {
    /// Orders targets that are otherwise equal.
    std::uint64_t seed = 1;
    /// Slices that each target starts with.
    unsigned slicesPerTarget = 8;
    /// Fraction by which a target's load may exceed its even share before slices move away.
    double tolerance = 0.15;
    /// Time over which loads are averaged; 0 if they are exact. A load that may differ from its
    /// share by chance alone, since few requests were counted, is not moved.
    duration loadWindow {};
    /// A move must reduce the overload of targets, as a fraction of the service's load, by more
    /// than this price times the fraction of the service's keys that it moves. Keys hash evenly, so
    /// a slice's fraction of the hash space is its fraction of the keys.
    double churnPrice = 0.25;
    /// A key with more than this fraction of the mean load of a target gets its own slice if its
    /// owner is loaded above the tolerance.
    double hotShare = 0.1;
    /// A slice of one key whose load is below this fraction of the mean load is merged back.
    double coldShare = 0.02;
    /// Maximum number of moves for balance per round.
    unsigned movesPerRound = 2;
    /// Maximum number of planned moves of leaving targets' slices per round.
    unsigned drainMovesPerRound = 4;
    /// Minimum time between a slice's last change of owner and its next move for balance.
    std::chrono::milliseconds minimumStay { 10000 };
    /// Time over which a target's share grows from slowStartMinShare to its full weight.
    std::chrono::milliseconds slowStart { 30000 };
    double slowStartMinShare = 0.1;
    /// Fraction by which a failure domain's load may exceed its share by weight. Moves for balance
    /// keep to it.
    double domainTolerance = 0.25;
    /// Number of slices beyond which none are split.
    unsigned slicesMax = 2048;
    /// Number of consecutive hashes that one key occupies; slices are split only between keys.
    std::uint64_t keyWidth = 1;
};

struct plan_input {
    instant now;
    /// Sorted by first hash; together they cover the whole space once.
    std::vector<placed_slice> slices;
    std::vector<placement_target> targets;
    /// Merged over all hosts.
    std::vector<hot_key> hotKeys;
};

/// Proposes changes to one service's assignment.
class planner {
public:
    /// Fails on settings out of range.
    [[nodiscard]] static result<planner> create(const planner_options& settings);

    /// Returns the slices of a new service: even ranges, with owners assigned by weight. They have
    /// no owner if no target is ready.
    [[nodiscard]] std::vector<placed_slice> initial(
        instant now, const std::vector<placement_target>& targets) const;
    /// Returns changes in the order in which to commit them; each refers to the slices as changed
    /// by the preceding ones. Deterministic: the same input gives the same proposals.
    [[nodiscard]] std::vector<proposal> plan(const plan_input& input) const;

private:
    explicit planner(const planner_options& settings);

    planner_options m_settings;
};

/// Applies a proposal. Fails if it does not fit the slices.
[[nodiscard]] result<void> apply(
    instant now, std::vector<placed_slice>& slices, const proposal& change);

/// Returns the highest load per weight of a ready target, divided by the mean load per weight: 1 if
/// the load is even, 0 if there is none.
[[nodiscard]] double imbalance(
    const std::vector<placed_slice>& slices, const std::vector<placement_target>& targets);

} // namespace pimentomast::balancing
