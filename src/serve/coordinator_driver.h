#pragma once

#include "directory.h"
#include "grant_sender.h"
#include "peer_registry.h"
#include "pimentomast/ownership.h"
#include "pimentomast/store.h"
#include "pimentomast/workers.h"
#include "wire.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace pimentomast::serve::detail {

struct coordinator_driver_options {
    ownership::host_run self;
    ownership::timings times;
    std::uint64_t seed = 1;
    unsigned storeThreads = 4;
    /// Messages to targets that can wait for answers at the same time: targets that are silent must
    /// not delay the renewals of the others.
    unsigned grantThreads = 128;
};

/// Returns the role's name as used in logs and in the status.
[[nodiscard]] std::string_view name(ownership::role value) noexcept;

struct coordination_status {
    service_id service;
    ownership::role role = ownership::role::Standby;
    epoch number;
    std::size_t slices = 0;
    std::size_t runningMoves = 0;
    std::vector<ownership::target_view> targets;
};

/// What a placement of a service's slices is planned from.
struct coordinated_service {
    service_id service;
    ownership::assignment committed;
    std::vector<ownership::wanted_slice> moving;
    std::size_t runningMoves = 0;
    std::vector<ownership::target_view> views;
    std::vector<table::target_row> targets;
};

/// Runs this host's coordinators: feeds them events and carries out their actions.
///
/// Thread-safe. The lock covers the coordinators' decisions only; no action is carried out and no
/// other lock is taken while it is held.
class coordinator_driver {
public:
    struct handlers {
        /// Puts an assignment in force here and sends it to every other host. Must not block.
        std::function<void(const ownership::assignment&)> publish;
        /// Takes a target's load report. Must not block.
        std::function<void(const target_id&, const incarnation&, const ownership::target_load&)>
            report;
    };

    /// Fails if the times contradict each other. store, peerRegistry and routes must outlive the
    /// object.
    [[nodiscard]] static result<std::unique_ptr<coordinator_driver>> create(
        const coordinator_driver_options& options, store::services& store,
        peer_registry& peerRegistry, directory& routes, std::unique_ptr<grant_sender> grants,
        handlers callbacks);
    coordinator_driver(const coordinator_driver&) = delete;
    coordinator_driver& operator=(const coordinator_driver&) = delete;
    ~coordinator_driver();

    /// Starts coordinators for new keyed services and passes all coordinators their targets.
    void applyTable(const table::table& table);
    /// complete: whether every host that the platform lists is live.
    void applyMembership(const std::vector<membership::member>& live, bool complete);
    /// Call at least every 50 ms.
    void tick();
    /// Returns the services that this host coordinates.
    [[nodiscard]] std::vector<coordinated_service> coordinated() const;
    /// Replaces the previous proposal for a service; ignored if this host no longer coordinates it.
    void propose(const service_id& service, const ownership::placement_wanted& wanted);
    /// Answers as a witness of a service.
    [[nodiscard]] ownership::witness_answer answerWitness(
        const service_id& service, epoch asked, bool takeOver);
    /// Starts to hand over every service. stopped() returns true once this is done or given up.
    void stop();
    [[nodiscard]] bool stopped() const;
    [[nodiscard]] std::vector<coordination_status> status() const;

private:
    struct service_state {
        ownership::coordinator core;
        std::vector<table::target_row> targets;
    };

    coordinator_driver(const coordinator_driver_options& options, store::services& store,
        peer_registry& peerRegistry, directory& routes, std::unique_ptr<grant_sender> grants,
        handlers callbacks);

    void startService(const table::service_row& row);
    [[nodiscard]] std::vector<ownership::action> stepCore(
        const service_id& service, const ownership::event& event);
    void deliver(const service_id& service, const ownership::event& event);
    /// Passes the newest era of the store to a coordinator.
    void deliverEra(const service_id& service);
    void deliverToAll(const ownership::event& event);
    void perform(const service_id& service, const std::vector<ownership::action>& actions);
    void perform(const service_id& service, const ownership::read_row& action);
    void perform(const service_id& service, const ownership::write_row& action);
    void perform(const service_id& service, const ownership::send_grant& action);
    void perform(const service_id& service, const ownership::ask_witness& action);
    void perform(const service_id& service, const ownership::answer_witness& action);
    void perform(const service_id& service, const ownership::publish_assignment& action);
    void perform(const service_id& service, const ownership::hold_slices& action);
    void holdHere(const service_id& service, const ownership::hold_slices& action);
    /// Asks other hosts to hold the same ranges for the same time.
    void sendHolds(
        const service_id& service, const std::vector<const ownership::hold_slices*>& actions);
    [[nodiscard]] unsigned millicoresOf(const host_id& host) const;
    /// If the host does not answer, the others are asked by this one.
    void sendHold(const service_id& service, const ownership::hold_slices& action,
        const std::vector<ownership::hold_slices>& others);
    void perform(const service_id& service, const ownership::renew_route& action);
    void perform(const service_id& service, const ownership::role_changed& action);
    void renewOwnRoute(const service_id& service, const ownership::renew_route& action);
    void logIfNotWritten(const ownership::write_row& action, const store::write_outcome& outcome);
    [[nodiscard]] bool tryBeginGrant(const target_id& target);
    void endGrant(const target_id& target);

    coordinator_driver_options m_options;
    store::services& m_store;
    peer_registry& m_peerRegistry;
    directory& m_routes;
    handlers m_callbacks;
    mutable std::mutex m_lock;
    std::map<service_id, service_state> m_services;
    ownership::membership_changed m_members { {}, false };
    bool m_stopping = false;
    std::mutex m_failingRowsLock;
    /// Rows whose last write failed.
    std::set<std::string> m_failingRows;
    std::mutex m_grantLock;
    std::map<target_id, unsigned> m_grantsRunning;
    std::unique_ptr<grant_sender> m_grants;
    using work = std::function<void()>;
    worker_pool<work> m_storePool;
    worker_pool<work> m_grantPool;
};

} // namespace pimentomast::serve::detail
