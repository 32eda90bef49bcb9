#pragma once

#include "coordinator_driver.h"
#include "directory.h"
#include "placement.h"
#include "speed.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace pimentomast::serve::detail {

struct placement_rounds_options {
    balancing::planner_options planner;
    /// Pause between two rounds.
    std::chrono::milliseconds interval { 1000 };
};

/// Result of planning one service.
struct placement_plan {
    service_id service;
    /// Highest load of a target divided by the mean.
    double imbalance = 0;
    std::size_t runningMoves = 0;
    std::size_t wantedMoves = 0;
    duration took {};
};

/// Plans the placement of the services that this host coordinates, on a thread of its own: a plan
/// takes processor time in proportion to the size of the service, and nothing may wait for it.
///
/// Thread-safe. Its lock is innermost, and is held neither while a plan is computed nor while the
/// coordinators are called.
class placement_rounds {
public:
    /// Called after each plan and before its proposal, on the planning thread.
    using plan_listener = std::function<void(const placement_plan&)>;

    /// Starts the planning thread. coordinators and routes must outlive the object.
    placement_rounds(const placement_rounds_options& options, coordinator_driver& coordinators,
        const directory& routes, plan_listener listener);
    placement_rounds(const placement_rounds&) = delete;
    placement_rounds& operator=(const placement_rounds&) = delete;
    /// Waits for the plan under way.
    ~placement_rounds();

    /// Takes a host's report for the next round. Never waits for a plan.
    void addLoad(const host_id& host, const wire::LoadReport& report);
    /// Sets the factors by which the weights of targets are multiplied from the next round on.
    void setSpeedFactors(routing::speed_factors factors);

private:
    struct received_report {
        instant at;
        host_id host;
        wire::LoadReport report;
    };

    void planLoop();
    [[nodiscard]] bool waitForNextRound();
    void takeReports();
    void takeSpeedFactors();
    void plan(const coordinated_service& coordinated);
    /// Returns null if the table in force lacks the service or no plan can be made for it.
    [[nodiscard]] placement_planner* plannerOf(const service_id& service);

    placement_rounds_options m_options;
    coordinator_driver& m_coordinators;
    const directory& m_routes;
    plan_listener m_listener;
    /// Used only by the planning thread.
    std::map<service_id, placement_planner> m_planners;
    placement_factors m_usedFactors;
    std::mutex m_lock;
    std::condition_variable m_wake;
    std::deque<received_report> m_reports;
    routing::speed_factors m_speedFactors;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace pimentomast::serve::detail
