#pragma once

#include "policies.h"

/// Simulates the placement of one service.
namespace pimentomast::bench {

struct totals {
    double imbalanceSum = 0;
    double imbalanceWorst = 0;
    unsigned rounds = 0;
    double slicesMoved = 0;
    double keysMoved = 0;
    double unavailableKeySeconds = 0;
    std::size_t slicesMax = 0;
};

struct environment {
    duration length = 2h;
    duration hotKeysMoveEvery = 10min;
    /// Changes the targets at the start of a round.
    std::function<void(instant start, instant now, std::vector<placement_target>&)> change;
    /// Returns whether the store is unavailable; no change can be committed then.
    std::function<bool(duration sinceStart)> storeUnavailable;
    /// Returns the ratio of the load that a target reports to its real load.
    std::function<double(const target_id&)> reported;
};

enum class policy {
    Planner,
    Rendezvous,
    Greedy,
};

/// Simulates one installation under a policy; the settings apply to the planner.
totals runPlacement(const installation& system, policy selected, const planner_options& settings,
    const environment& env);

} // namespace pimentomast::bench
