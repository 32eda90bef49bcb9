#pragma once

#include "crash_spread.h"
#include "directory.h"
#include "peer_registry.h"
#include "pimentomast/link.h"
#include "pimentomast/membership.h"
#include "pimentomast/peers.h"
#include "pimentomast/serve.h"
#include "pimentomast/store.h"

#include <atomic>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <mutex>

namespace pimentomast::serve::detail {

/// Timeout of each call to another host.
constexpr std::chrono::milliseconds gossipTimeoutMs { 800 };
/// Timeout of a call that may carry a configuration: a weak link may take seconds for it.
constexpr std::chrono::milliseconds pushTimeoutMs { 2500 };

struct gossip_options {
    host_id self;
    incarnation run;
    /// Address at which other hosts reach this host.
    endpoint advertised;
    membership::freshness_options freshness;
    std::chrono::milliseconds exchangeIntervalMs { 500 };
    std::chrono::milliseconds hostsIntervalMs { 1000 };
    /// If null, the table is read from the store's row and from peers. Must outlive the object.
    table_source* tableSource = nullptr;
};

/// Exchanges tables, assignments and crashes with the other hosts, and reads the table's row and
/// the list of hosts from the store.
///
/// Thread-safe. Lock order: apply lock, then the lock of freshness and raw table; that of the
/// crashes is innermost. The apply lock is
/// held while a table is put in force; the other one is never held while another object is called.
class gossip {
public:
    struct handlers {
        /// Puts a newer table in force. Must not block on the network.
        std::function<void(std::shared_ptr<const table::table>)> putTable;
        /// Puts a newer assignment in force.
        std::function<void(const ownership::assignment&, const host_id&)> putAssignment;
        std::function<std::vector<routing::crash>()> crashes;
        std::function<std::uint64_t()> crashesHash;
        std::function<void(const std::vector<routing::crash>&)> applyCrashes;
        /// Takes the speed of targets that a host sent.
        std::function<void(const host_id& sender, const wire::SpeedFactors&)> applySpeeds;
        /// An exchange of a round has ended; the round trip is not set if it was not answered in
        /// time.
        std::function<void(std::optional<duration> roundTrip)> exchanged;
        /// Another host's tables were put in force this long after they had arrived.
        std::function<void(duration)> tablesWaited;
    };

    /// Fails if a time is not positive. store, peerRegistry and routes must outlive the object.
    [[nodiscard]] static result<std::unique_ptr<gossip>> create(const gossip_options& options,
        store::services& store, peer_registry& peerRegistry, const directory& routes,
        handlers callbacks);
    gossip(const gossip&) = delete;
    gossip& operator=(const gossip&) = delete;
    ~gossip();

    /// Starts the reads of the store and the rounds of exchange that are due. Must be called at
    /// least every 100 ms.
    void tick(instant now);
    void setLeaving(bool leaving) noexcept { m_leaving = leaving; }

    /// Sends an assignment that this host committed to every other host.
    void publish(const ownership::assignment& value);
    /// Sends the speed of targets to every other host.
    void publish(const wire::SpeedFactors& speeds);
    /// Returns the host that polls the store on behalf of all hosts and collects the speed of
    /// targets; empty if no host is live. Call on the thread of tick().
    [[nodiscard]] const host_id& designatedHost() const noexcept { return m_storePoller; }
    /// If this host polls the store on behalf of all hosts, starts an exchange with each of them,
    /// so that they learn at once which tables it has.
    void exchangeWithAll();
    /// Reports a crash to every other host soon.
    void broadcastCrash(const routing::crash& crash);

    /// Puts a table in force that was read from or written to the store, and sends it to every
    /// other host.
    void announce(config_version version, const std::string& value);

    [[nodiscard]] wire::Update exchange(const wire::Digest& digest);
    [[nodiscard]] wire::NoticeReply applyNotice(const wire::Notice& notice);

    /// Whether the version in force was recently confirmed by the store or by a majority of peers.
    [[nodiscard]] bool confirmed(instant now) const;
    [[nodiscard]] config_version version() const;
    /// Returns how long bytes wait on this host's network link.
    [[nodiscard]] duration linkDelay(instant now) const;

private:
    gossip(const gossip_options& options, membership::freshness freshness, store::services& store,
        peer_registry& peerRegistry, const directory& routes, handlers callbacks);

    void readConfig();
    void readHosts();
    /// Sends the digest of a round, and measures the link by the round trip.
    void probeWith(
        const peer_registry::client_pointer& peer, const wire::Digest& message, instant sentAt);
    void recordProbe(link::call_number call, instant sentAt, const result<wire::Update>& reply);
    void takeReply(const endpoint& address, instant sentAt, const wire::Update& update);
    /// If the relay does not answer, the other hosts of its route are called by this one.
    void exchangeWith(const peer_registry::relay_route& to, const wire::Digest& message,
        instant sentAt, std::chrono::milliseconds timeout);
    void exchangeWithEach(const std::vector<endpoint>& peers, const wire::Digest& message,
        instant sentAt, std::chrono::milliseconds timeout);
    void relay(const wire::Digest& received, instant now);
    /// Puts a peer's changed rows in force, then records its standing.
    void applyPeerTables(const table_standing& standing, const row_changes& changes);
    void applyUpdate(instant sentAt, const wire::Update& update);
    void applyTable(config_version version, const std::string& value);
    void applyAssignment(const wire::Assignment& message);
    /// Ignores a change of an assignment that this host does not have.
    void applyChange(const wire::AssignmentChange& message);
    void notifyAll(const wire::Notice& notice);
    /// If the relay does not answer, the other hosts of its route are called by this one.
    void publishTo(const peer_registry::relay_route& to,
        const std::shared_ptr<const wire::Notice>& notice, const service_id& service);
    /// The same for the speed of targets.
    void publishSpeedsTo(
        const peer_registry::relay_route& to, const std::shared_ptr<const wire::Notice>& notice);
    void relay(const wire::Notice& received);
    void applySpeeds(const wire::Notice& received);
    void catchUp(const peer_registry::client_pointer& peer, const service_id& service, token known);
    /// Records what is published; returns what was published before for that service, if anything.
    std::optional<ownership::assignment> exchangePublished(const ownership::assignment& value);
    [[nodiscard]] wire::Digest digest(instant now);
    void sendNewCrashes(instant now);
    [[nodiscard]] bool sendsAllCrashes(instant now, std::uint64_t ofPeer);
    template <class Message>
    void applyCrashes(const Message& message, instant now);
    [[nodiscard]] duration exchangeInterval(instant now) const;
    [[nodiscard]] duration hostsInterval(instant now) const;
    void electStorePoller(instant now);
    void receiveTables(const wire::Digest& digest, instant now);
    void addChangedRows(const wire::Digest& digest, instant now, wire::Update& update);
    [[nodiscard]] std::vector<peer_registry::client_pointer> peersToCall(instant now);
    [[nodiscard]] bool isAskedForChanges(const peer_registry::client_pointer& peer,
        const std::vector<peer_registry::client_pointer>& round);
    [[nodiscard]] bool due(instant& next, instant now, duration interval) const;

    gossip_options m_options;
    store::services& m_store;
    peer_registry& m_peerRegistry;
    const directory& m_routes;
    handlers m_callbacks;
    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_isStorePoller { false };
    std::atomic<bool> m_readingConfig { false };
    std::atomic<bool> m_readingHosts { false };
    instant m_nextConfig {};
    instant m_nextHosts {};
    instant m_nextExchange {};
    /// What this host had when it last called all hosts.
    table_standing m_pushed;
    /// Host that polls the store on behalf of all hosts and collects the speed of targets; empty if
    /// no host is live.
    host_id m_storePoller;
    std::mutex m_applyLock;
    std::mutex m_crashLock;
    crash_spread m_crashes;
    mutable std::mutex m_lock;
    membership::freshness m_freshness;
    wire::Table m_table;
    mutable std::mutex m_linkLock;
    link::queueing_delay m_linkDelay;
    std::map<service_id, std::optional<ownership::assignment>> m_published;
    instant m_started;
    boost::asio::thread_pool m_pool;
};

} // namespace pimentomast::serve::detail
