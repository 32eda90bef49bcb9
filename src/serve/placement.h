#pragma once

#include "load.h"
#include "pimentomast/balancing.h"
#include "pimentomast/ownership.h"
#include "pimentomast/table.h"

#include <map>
#include <set>

namespace pimentomast::serve::detail {

/// Converts what a coordinator knows about its service into the planner's input, and the planner's
/// proposals into wanted owners. Does no I/O and reads no clock; not thread-safe.
class placement_planner {
public:
    /// Fails if the service's churn price is out of the planner's range.
    [[nodiscard]] static result<placement_planner> create(
        const table::service_row& service, const balancing::planner_options& common);

    void addLoad(instant now, const host_id& host, const wire::ServiceLoad& load);
    /// Returns the owners and merges that the planner proposes; empty if nothing needs to change.
    /// Splits are not listed, since moving a part of a slice splits it. Moves in progress count as
    /// completed.
    [[nodiscard]] ownership::placement_wanted plan(instant now,
        const ownership::assignment& committed, const std::vector<ownership::wanted_slice>& moving,
        const std::vector<ownership::target_view>& targets,
        const std::vector<table::target_row>& rows);

    /// Returns the ratio of the highest load of a target to the mean load before the last plan; 1
    /// if all loads are equal.
    [[nodiscard]] double imbalance() const noexcept { return m_imbalance; }

private:
    /// The owner of a slice, and since when it owns the slice.
    struct tenure {
        target_id owner;
        instant since;
    };

    placement_planner(const balancing::planner& planner, std::uint64_t keyWidth);
    void updateTenures(instant now, const ownership::assignment& committed);
    void updateReadyTimes(instant now, const std::vector<ownership::target_view>& targets,
        const std::vector<table::target_row>& rows);
    void countLoads(instant now, std::vector<balancing::placed_slice>& placed) const;
    /// Repeatedly halves the key ranges of slices with a high load, and sets the load of each part.
    [[nodiscard]] std::vector<balancing::placed_slice> splitBusySlices(
        instant now, const std::vector<balancing::placed_slice>& placed) const;
    void splitInto(const load_profile& profile, const balancing::placed_slice& whole,
        double maxLoad, std::vector<balancing::placed_slice>& parts) const;
    [[nodiscard]] std::vector<balancing::placed_slice> slices(instant now,
        const ownership::assignment& committed,
        const std::vector<ownership::wanted_slice>& moving) const;
    [[nodiscard]] std::vector<balancing::placement_target> targets(
        const std::vector<ownership::target_view>& views,
        const std::vector<table::target_row>& rows) const;

    balancing::planner m_planner;
    std::uint64_t m_keyWidth;
    double m_imbalance = 0;
    load_aggregator m_load;
    std::map<key_hash, tenure> m_tenures;
    std::map<target_id, instant> m_readySince;
    /// Targets that were cold at the last plan.
    std::set<target_id> m_cold;
};

} // namespace pimentomast::serve::detail
