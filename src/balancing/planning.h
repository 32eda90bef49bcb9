#pragma once

#include "pimentomast/balancing.h"

#include <map>
#include <set>
#include <utility>

namespace pimentomast::balancing {

/// Extends the first slice by the second. Precondition: they are adjacent and have one owner.
void mergeInto(placed_slice& first, const placed_slice& second);

/// One round of a planner: works on a copy of the slices and collects proposals.
class planning_round {
public:
    planning_round(const planner_options& settings, const plan_input& input);

    /// Assigns owners to slices that have none or whose owner is lost.
    void placeUnowned();
    /// Moves slices away from leaving targets.
    void drainLeaving();
    /// Splits hot keys of overloaded targets into slices of their own.
    void splitHotKeys();
    /// Moves slices, or halves of them, off overloaded targets while a move gains more than its
    /// price.
    void rebalance();
    /// Moves keys that are no longer hot to the owners of the preceding slices when there are many
    /// slices.
    void returnColdKeys();
    /// Merges adjacent slices that no longer need to be separate. Must be the last step.
    void mergeNeighbours();

    [[nodiscard]] std::vector<proposal> proposals() && { return std::move(m_proposals); }

private:
    using target_index = std::size_t;

    struct target_load {
        placement_target target;
        /// Weight scaled by slow start; 0 unless the target is ready.
        double weight = 0;
        double load = 0;
        /// Index of its failure domain.
        std::size_t domain = 0;
        std::uint64_t hash = 0;
    };
    struct domain_load {
        double weight = 0;
        double load = 0;
    };
    /// Move of a slice to the target for which it gains the most.
    struct candidate {
        std::size_t slice = 0;
        target_index to = 0;
        double net = 0;

        /// Orders candidates by what they gain; of equal ones the first slice is the highest.
        bool operator<(const candidate& other) const
        {
            return net < other.net || (net == other.net && slice > other.slice);
        }
    };

    void addTargets();
    /// Limits the loads of single keys to what the strongest target may have, so that a hot key,
    /// which cannot be divided, fills its target but does not make the others look idle.
    void limitSingleKeys();
    void addSlices();
    [[nodiscard]] double effectiveWeight(const placement_target& target) const;
    [[nodiscard]] std::optional<target_index> indexOf(const std::optional<target_id>& id) const;
    /// Load that targets of this weight would have if load were proportional to weight.
    [[nodiscard]] double evenShare(double weight) const;
    /// Standard deviation of a counted load whose true value is the given one.
    [[nodiscard]] double deviation(double load) const;
    /// Load of a target with this even share below which it takes load from targets whose excess
    /// might be chance.
    [[nodiscard]] double lowestLoad(double share) const;
    [[nodiscard]] bool isIdle(const target_load& one) const;
    [[nodiscard]] bool hasIdleTarget() const;
    /// Excess over the tolerance alone.
    [[nodiscard]] double plainExcess(const target_load& of, double extra) const;
    /// Highest load that a target with this even share keeps.
    [[nodiscard]] double highestLoad(double share) const;
    [[nodiscard]] double excess(const target_load& of, double extra) const;
    [[nodiscard]] bool domainAllows(const target_load& to, double extra) const;
    [[nodiscard]] std::uint64_t rank(target_index target, const slice& keys) const;
    [[nodiscard]] std::optional<target_index> leastLoaded(std::size_t moving) const;
    [[nodiscard]] std::optional<candidate> bestMoveOf(std::size_t slice) const;
    /// Overload that a move of the slice must remove.
    [[nodiscard]] double price(const placed_slice& moving) const;
    [[nodiscard]] bool isSingleKey(const placed_slice& one) const;
    [[nodiscard]] bool isReady(const std::optional<target_index>& target) const;
    [[nodiscard]] bool isOverloaded(const std::optional<target_index>& target) const;
    void isolate(const hot_key& key);
    /// Halves slices of overloaded targets that have too much load to be moved whole.
    void splitBusySlices();
    /// Returns whether a move was made.
    bool moveForBalance();
    void split(std::size_t index, key_hash at);
    void move(std::size_t index, target_index to, bool planned);
    void propose(const proposal& change);
    void addLoad(target_index target, double load);
    /// Number of slices that the service would have without splits.
    [[nodiscard]] std::size_t nominalSliceCount() const;
    [[nodiscard]] bool mayMerge(
        const placed_slice& first, const placed_slice& second, std::size_t sliceCount) const;

    const planner_options& m_settings;
    const plan_input& m_input;
    std::vector<placed_slice> m_slices;
    /// Owner of each slice; empty if it has none that is known.
    std::vector<std::optional<target_index>> m_owners;
    std::vector<target_load> m_targets;
    std::map<target_id, target_index> m_indexes;
    std::vector<domain_load> m_domains;
    /// The ready targets by load per weight.
    std::set<std::pair<double, target_index>> m_byLoad;
    double m_highestWeight = 0;
    double m_totalLoad = 0;
    double m_totalWeight = 0;
    /// Mean load of the ready targets.
    double m_meanLoad = 0;
    std::vector<proposal> m_proposals;
};

} // namespace pimentomast::balancing
