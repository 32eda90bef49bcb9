#pragma once

#include "pimentomast/balancing.h"

#include <map>
#include <set>

namespace pimentomast::balancing {

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
    /// Merges adjacent slices that no longer need to be separate.
    void mergeNeighbours();

    [[nodiscard]] std::vector<proposal> proposals() && { return std::move(m_proposals); }

private:
    struct target_load {
        placement_target target;
        /// Weight scaled by slow start; 0 unless the target is ready.
        double weight = 0;
        double load = 0;
    };
    struct candidate {
        std::size_t slice = 0;
        target_id to;
    };

    void computeShares();
    [[nodiscard]] double effectiveWeight(const placement_target& target) const;
    /// Load that the target would have if load were proportional to weight.
    [[nodiscard]] double evenShare(const target_load& of) const;
    [[nodiscard]] double meanLoad() const;
    [[nodiscard]] double excess(const target_load& of, double extra) const;
    [[nodiscard]] bool domainAllows(const target_load& to, double extra) const;
    [[nodiscard]] std::uint64_t rank(const target_id& id, const slice& keys) const;
    [[nodiscard]] std::optional<target_id> leastLoaded(const placed_slice& moving) const;
    [[nodiscard]] std::optional<candidate> bestMove() const;
    /// Overload that a move of the slice must remove.
    [[nodiscard]] double price(const placed_slice& moving) const;
    [[nodiscard]] bool isSingleKey(const placed_slice& one) const;
    [[nodiscard]] bool isOverloaded(const target_id& id) const;
    void isolate(const hot_key& key);
    /// Halves slices of overloaded targets that have too much load to be moved whole.
    void splitBusySlices();
    /// Returns whether a move was made.
    bool moveForBalance();
    void propose(const proposal& change);
    void move(std::size_t index, const target_id& to, bool planned);
    [[nodiscard]] bool isReady(const target_id& id) const;
    /// Number of slices that the service would have without splits.
    [[nodiscard]] std::size_t nominalSliceCount() const;
    [[nodiscard]] bool mayMerge(const placed_slice& first, const placed_slice& second) const;

    const planner_options& m_settings;
    const plan_input& m_input;
    std::vector<placed_slice> m_slices;
    std::map<target_id, target_load> m_targetLoads;
    double m_totalLoad = 0;
    double m_totalWeight = 0;
    std::vector<proposal> m_proposals;
};

} // namespace pimentomast::balancing
