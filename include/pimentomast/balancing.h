#pragma once

#include "pimentomast/core.h"
#include "pimentomast/table.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// Decides which slice of a keyed service belongs on which target, and finds hot keys.
///
/// Pure: time, loads and a random seed in, proposals out. Objects are not thread-safe.
namespace pimentomast::balancing {

/// A key and the rate at which it was asked for.
struct hot_key {
    key_hash hash;
    /// Requests per second; too high by at most error.
    double rate = 0;
    double error = 0;

    bool operator==(const hot_key&) const = default;
};

/// Finds the most frequent keys of a stream in constant space, with old counts fading away.
///
/// Space-Saving: A. Metwally, D. Agrawal, A. El Abbadi, "Efficient computation of frequent and
/// top-k elements in data streams", ICDT 2005. Any key whose share of the stream exceeds
/// 1/capacity is present, and its count is too high by at most the smallest count.
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

/// Adds up the lists of several hosts, each of which saw its own part of the requests.
[[nodiscard]] std::vector<hot_key> mergeHotKeys(
    const std::vector<std::vector<hot_key>>& lists, std::size_t limit);

/// A slice as the committed assignment has it, with what is known about it.
struct placed_slice {
    slice keys;
    /// Empty: nobody owns it yet.
    std::optional<target_id> owner;
    /// Requests per second.
    double load = 0;
    /// When its owner last changed.
    instant movedAt {};
};

enum class target_state {
    /// Takes slices.
    Ready,
    /// Keeps its slices but takes no more (ejected, or suspected).
    Suspect,
    /// Its slices move away at a bounded pace.
    Leaving,
    /// Gone: its slices need new owners at once.
    Lost,
};

struct placement_target {
    target_id id;
    domain_id domain;
    double weight = 1;
    target_state state = target_state::Ready;
    /// When it last became ready from a cold start; slow start counts from here.
    instant readySince {};
};

/// Cut the slice in two: the second part starts at this hash. The owner stays.
struct split_slice {
    slice keys;
    key_hash at;
};
/// Join two neighbouring slices of one owner.
struct merge_slices {
    slice first;
    slice second;
};
/// Give the slice to another owner.
struct move_slice {
    slice keys;
    /// Empty if nobody owned it.
    std::optional<target_id> from;
    target_id to;
    /// The old owner is alive: move by plan. Otherwise its lease has to run out first.
    bool planned = true;
};
using proposal = std::variant<split_slice, merge_slices, move_slice>;

/// Settings of a planner; docs/POLICY.md explains each.
struct planner_options {
    /// Orders targets that are otherwise equal.
    std::uint64_t seed = 1;
    /// Slices that each target starts with.
    unsigned slicesPerTarget = 8;
    /// Load above a target's even share, as a part of it, that is left alone.
    double tolerance = 0.15;
    /// A move must take a part of the service's load off overloaded targets that is above this
    /// price times the part of the service's keys that it moves. Keys hash evenly, so a slice's
    /// part of the hash space is its part of the keys.
    double churnPrice = 0.25;
    /// A key with more than this part of the mean load of a target is cut out if its owner is
    /// loaded above the tolerance.
    double hotShare = 0.1;
    /// A slice of one key whose load is below this part is merged back.
    double coldShare = 0.02;
    /// Moves for balance per round.
    unsigned movesPerRound = 2;
    /// Planned moves of leaving targets' slices per round.
    unsigned drainMovesPerRound = 4;
    /// Time that a slice stays with its owner before it moves for balance again.
    std::chrono::milliseconds minimumStay { 10000 };
    /// Time over which a target's share grows from warmMin to the whole.
    std::chrono::milliseconds slowStart { 30000 };
    double slowStartMinShare = 0.1;
    /// A failure domain's load above its share of the weight, as a part of it, that moves respect.
    double domainTolerance = 0.25;
    /// Slices beyond which no more are cut.
    unsigned slicesMax = 2048;
    /// Hashes that one key takes; slices are cut between keys only.
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

/// Proposes changes of one service's assignment.
class planner {
public:
    /// Fails on settings out of range.
    [[nodiscard]] static result<planner> create(const planner_options& settings);

    /// Returns the slices of a new service: even ranges, owners by weight. Without a ready target
    /// they have no owner.
    [[nodiscard]] std::vector<placed_slice> initial(
        instant now, const std::vector<placement_target>& targets) const;
    /// Returns changes in the order in which to commit them; each refers to the slices as they are
    /// after the ones before. Same input, same proposals.
    [[nodiscard]] std::vector<proposal> plan(const plan_input& input) const;

private:
    explicit planner(const planner_options& settings);

    planner_options m_settings;
};

/// Applies a proposal. Fails if it does not fit the slices.
[[nodiscard]] result<void> apply(
    instant now, std::vector<placed_slice>& slices, const proposal& change);

/// Highest load of a ready target per weight over the mean; 1 is even, 0 if there is no load.
[[nodiscard]] double imbalance(
    const std::vector<placed_slice>& slices, const std::vector<placement_target>& targets);

} // namespace pimentomast::balancing
