#pragma once

#include "announcing_store.h"
#include "coordinator_driver.h"
#include "directory.h"
#include "dispatch.h"
#include "gossip.h"
#include "peer_registry.h"
#include "pimentomast/admin.h"
#include "pimentomast/peers.h"
#include "pimentomast/proxy.h"
#include "pimentomast/serve.h"
#include "pimentomast/settings.h"
#include "pimentomast/telemetry.h"
#include "pimentomast/workers.h"
#include "placement_rounds.h"
#include "relaying_store.h"
#include "request_log.h"
#include "round_watch.h"
#include "speed_sharing.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace pimentomast::serve::detail {

/// Bytes that passed this host's link.
struct link_bytes {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;

    link_bytes operator-(const link_bytes& other) const noexcept
    {
        return { received - other.received, sent - other.sent };
    }
};

/// Owns and connects the components of one entry host. Its own thread is a timer; all other work
/// runs on the thread pools of the components. The methods that implement an interface are
/// thread-safe.
class node final : public admin::node, public peers::handler, public proxy::observer {
public:
    /// Starts the host. Throws failure if a component cannot start.
    node(const settings::settings& values, environment& env);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node() override;

    /// Drains the host; returns once every request has ended, within the grace if one is known.
    void drain();
    /// Logs a round of the control timer that has not ended for long. Called by one thread.
    void logStuckRound(instant now);

    // admin::node
    [[nodiscard]] admin::health currentHealth() const override;
    [[nodiscard]] std::string statusJson() const override;
    [[nodiscard]] std::string crashesJson() const override;
    bool pardon(std::uint64_t fingerprint) override;
    [[nodiscard]] store::services& platform() override { return m_announcingStore; }
    [[nodiscard]] telemetry::registry& metrics() override;

    // peers::handler
    peers::wire::Update exchange(const peers::wire::Digest& digest) override;
    peers::wire::NoticeReply publish(const peers::wire::Notice& notice) override;
    peers::wire::WitnessReply witness(const peers::wire::WitnessRequest& request) override;
    void hold(const peers::wire::HoldRequest& request,
        peers::reply_sender<peers::wire::HoldReply> reply) override;
    peers::wire::RouteRenewalReply renewRoute(const peers::wire::RouteRenewal& renewal) override;
    peers::wire::LoadReply reportLoad(const peers::wire::LoadReport& report) override;
    void relayRow(const peers::wire::RowRequest& request,
        peers::reply_sender<peers::wire::RowReply> reply) override;

    // proxy::observer
    void completed(const proxy::completion& finished) override;
    void rejected(const proxy::rejection& refused) override;

private:
    /// Another host's request for a row.
    struct row_job {
        peers::wire::RowRequest request;
        peers::reply_sender<peers::wire::RowReply> reply;
        instant arrived;
    };

    void createComponents();
    void createPlacement();
    /// Calls done once the hosts that the request is to be passed on to have answered or failed.
    void relayHold(const peers::wire::HoldRequest& received, std::function<void()> done);
    void answerRow(const row_job& job);
    [[nodiscard]] relaying_store::relay_call makeRelay();
    /// Sends the request to one of the live hosts, another one after each failure.
    [[nodiscard]] result<peers::wire::RowReply> relayToPeer(const peers::wire::RowRequest& request);
    void startListening();
    void putTable(const std::shared_ptr<const table::table>& table);
    void putAssignment(const ownership::assignment& newer, const host_id& coordinator);
    void runControlTimer();
    /// Reports the load that this host forwarded to the services' coordinators. Returns the size of
    /// the reports in bytes.
    std::size_t reportLoads(instant now);
    /// Passes the list of hosts to the router if it changed. Called by one thread.
    void applyListedHosts();
    /// Sends and applies the speed of targets, if hosts share it.
    void shareSpeed(instant now);
    void updateMetrics();
    void countExchange(const std::optional<duration>& roundTrip);
    /// Records how long another host's tables waited on this host.
    void recordTablesWait(duration waited);
    /// Exposes the delay of this host's network link, and logs it if it is long, once a second.
    void watchLink(instant now);
    [[nodiscard]] bool markedLeaving() const;
    /// Returns how old the tables may be; 0 if they come from the operators' row.
    [[nodiscard]] duration tablesAge() const;
    /// Returns the time by which requests must have ended in a drain that starts now.
    [[nodiscard]] instant drainEnd(instant started) const;
    /// Whether the table in force is known to be the newest.
    [[nodiscard]] bool tableConfirmed(instant now) const;
    [[nodiscard]] bool ownersKnown() const;
    [[nodiscard]] std::unique_ptr<grant_sender> makeGrantSender();

    settings::settings m_values;
    incarnation m_incarnation;
    request_log m_requestLog;
    telemetry::registry m_metrics;
    std::mutex m_seenDomainsLock;
    /// Failure domains that were exposed as metrics.
    std::set<domain_id> m_seenDomains;
    environment& m_environment;
    relaying_store m_store;
    std::atomic<std::size_t> m_nextRelay { 0 };
    directory m_directory;
    speed_sharing m_speed;
    /// When the speed of targets is applied again. Used by the control timer only.
    instant m_nextSpeed {};
    /// The following are used by the control timer only.
    instant m_nextLinkWatch {};
    link_bytes m_forwardedBytes;
    link_bytes m_peerBytes;
    /// Of the current interval of watchLink().
    std::atomic<duration> m_longestTablesWait { duration {} };
    std::unique_ptr<peer_registry> m_peerRegistry;
    /// Carries out other hosts' requests for rows, each of which blocks for a call to the store.
    worker_pool<row_job> m_rowJobs;
    std::unique_ptr<dispatch> m_dispatch;
    std::unique_ptr<gossip> m_gossip;
    std::unique_ptr<coordinator_driver> m_coordinators;
    std::unique_ptr<placement_rounds> m_placement;
    announcing_store m_announcingStore;
    std::unique_ptr<proxy::server> m_proxy;
    std::unique_ptr<peers::server> m_peers;
    std::unique_ptr<admin::server> m_admin;
    std::atomic<bool> m_draining { false };
    std::atomic<bool> m_stopTimers { false };
    std::vector<host_id> m_listedHosts;
    round_watch m_roundWatch;
    std::thread m_controlTimer;
};

} // namespace pimentomast::serve::detail
