#pragma once

#include "pimentomast/core.h"
#include "pimentomast/store.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

/// Tracks which hosts exist, which of them are live, and whether a host's configuration is current.
///
/// No I/O and no clock: time, messages and random seeds are arguments. Not thread-safe.
namespace pimentomast::membership {

struct view_options {
    host_id self;
    incarnation run;
    /// Addresses of peers to call while no peer is known from the platform's list or from messages.
    std::vector<endpoint> seeds;
    /// A host whose last known message is older than this is not live; with more than 64 hosts, the
    /// time grows with the square root of their number.
    std::chrono::milliseconds contactTimeoutMs { 3000 };
    /// A host that disappeared from the platform's list still counts as a user of connections to
    /// targets for this long.
    std::chrono::milliseconds departureTimeoutMs { 30000 };
    /// Number of hosts called in one round of exchange.
    unsigned fanout = 4;
    /// Number of live hosts reported to a peer in one message.
    unsigned heardPerMessage = 20;
    /// How long the address of a host that has become known is reported with it.
    std::chrono::milliseconds newsTimeMs { 15000 };
    std::uint64_t seed = 1;
    /// Processor time that this host may use, in thousandths of a core.
    unsigned millicores = 0;
};

/// The sender of a message that came directly from a peer, as a call or as an answer.
struct peer_contact {
    host_id id;
    incarnation run;
    endpoint peers;
    bool leaving = false;
};

/// A live host as reported by a peer; ageMs is the age of the host's last known message.
struct heard_host {
    host_id id;
    incarnation run;
    std::chrono::milliseconds ageMs {};
    /// Only of a host that the peer has known for a short time; otherwise the port is 0.
    endpoint peers {};
    unsigned millicores = 0;
};

/// A host to which a message may be passed on.
struct relay_candidate {
    endpoint address;
    unsigned millicores = 0;
    /// Whether it may pass the message on to others: it was heard from lately and is not leaving.
    bool relays = false;
};

/// Hosts that get a message through one of them: the relay gets it first.
struct relay_group {
    endpoint relay;
    std::vector<endpoint> others;
};

/// Groups the receivers of a message so that neither the sender nor a relay sends more than about
/// the square root of their number. Relays are chosen at random among the stronger half. A small
/// number of receivers, and those that may not relay, get the message from the sender itself.
/// Thread-safe.
[[nodiscard]] std::vector<relay_group> groupByRelay(
    std::vector<relay_candidate> receivers, std::uint64_t seed);

struct member {
    host_id id;
    incarnation run;
    endpoint peers;
    /// Processor time that the host may use, in thousandths of a core; this host's own if the list
    /// does not say.
    unsigned millicores = 0;

    auto operator<=>(const member&) const = default;
};

/// The platform's list of hosts, which lags behind, corrected by messages from peers.
class host_view {
public:
    /// Fails if self is empty, the fanout is 0 or a timeout is not positive.
    [[nodiscard]] static result<host_view> create(const view_options& options);

    /// Replaces the platform's list.
    void replaceList(instant now, const std::vector<store::listed_host>& hosts);
    /// Records a message that a peer sent.
    void recordContact(instant now, const peer_contact& seen);
    /// Merges a peer's reports of other hosts. A report never makes the last message of a host
    /// older. Reports of another incarnation than the last known one are ignored: only a message
    /// from the host itself shows that it restarted. A host that was not known yet is added if the
    /// report states its address.
    void mergeHeard(instant now, const std::vector<heard_host>& heard);
    /// Returns live hosts to report to a peer: at most options.heardPerMessage of them, chosen at
    /// random, without self. Up to half of them are hosts that became known lately.
    [[nodiscard]] std::vector<heard_host> sampleHeard(instant now);
    /// Marks this host itself as leaving or returned.
    void setLeaving(bool leaving) noexcept { m_leaving = leaving; }

    /// Returns the hosts that were heard from within the contact timeout and are not leaving,
    /// including self unless it leaves; sorted by id.
    [[nodiscard]] std::vector<member> live(instant now) const;
    /// Returns whether the platform's list was read and each host on it that is not leaving is
    /// live.
    [[nodiscard]] bool complete(instant now) const;
    /// Returns the hosts on the platform's list, including self if it is there, sorted by id; empty
    /// before the list was read.
    [[nodiscard]] std::vector<host_id> listed() const;
    /// Returns how many hosts may have connections open to targets: self and every host that is
    /// listed, or was listed or heard from within the departure timeout. An unreachable host
    /// counts, because it may still reach the targets.
    [[nodiscard]] unsigned connectionSharers(instant now) const;
    /// Returns the addresses to call in this round: the next fanout known peers in round-robin
    /// order, so that each is called within a bounded time, or the seeds while no peer is known.
    [[nodiscard]] std::vector<endpoint> exchangePeers(instant now);
    /// Returns the addresses of all hosts that are listed or live, without self.
    [[nodiscard]] std::vector<endpoint> allPeers(instant now) const;
    /// Returns all hosts that are listed or live, without self, in groups for a message to each.
    [[nodiscard]] std::vector<relay_group> relayGroups(instant now);
    /// Returns the address of the peer with this id; an empty optional if it is unknown.
    [[nodiscard]] std::optional<endpoint> find(const host_id& id) const;

private:
    struct entry {
        endpoint peers;
        incarnation run;
        unsigned millicores = 0;
        std::optional<instant> listedAt;
        std::optional<instant> firstHeardAt;
        std::optional<instant> heardAt;
        bool listed = false;
        bool leaving = false;
    };

    explicit host_view(view_options options);
    static void noteHeard(entry& known, instant at);
    /// Returns whether peers may not know of the host yet.
    [[nodiscard]] bool isNews(const entry& known, instant now) const;
    [[nodiscard]] duration contactTimeout() const;
    [[nodiscard]] bool heardRecently(const entry& known, instant now) const;
    [[nodiscard]] bool mayBeConnected(const entry& known, instant now) const;
    void removeDeparted(instant now);

    view_options m_options;
    std::map<host_id, entry> m_hosts;
    std::mt19937_64 m_random;
    /// Counter that selects the next peer to call, modulo the number of known peers.
    std::size_t m_nextPeer;
    bool m_leaving = false;
    bool m_listRead = false;
    bool m_selfListed = false;
};

struct freshness_options {
    /// A host reports itself unhealthy if neither the store nor a majority of the hosts confirmed
    /// its version for this long.
    std::chrono::milliseconds confirmTimeoutMs { 8000 };
    std::chrono::milliseconds minPollMs { 500 };
    /// Maximum reads of the configuration row per second, by all hosts together.
    unsigned readsPerSecond = 200;
};

/// Tracks how recently the store or a majority of the hosts confirmed that this host's
/// configuration is the newest.
class freshness {
public:
    /// Fails if a time or the number of reads is not positive.
    [[nodiscard]] static result<freshness> create(const freshness_options& options);

    /// Offers a version read from the store or sent by a peer. Returns whether it is higher than
    /// the one in force and now replaces it; a lower or equal version never does.
    [[nodiscard]] bool offer(config_version offered);
    /// Records that the store itself returned this version for a read sent at sentAt.
    void recordStoreRead(instant sentAt, config_version read);
    /// Records that a peer had this version when it answered a call sent at sentAt.
    void recordPeerVersion(instant sentAt, const host_id& peer, config_version version);

    /// Returns whether the version in force was confirmed within the confirmation timeout; peers is
    /// the number of other hosts known. A version of 0 (no configuration yet) is never confirmed.
    [[nodiscard]] bool confirmed(instant now, unsigned peers) const;
    /// Returns how long to wait between reads of the configuration row, so that this many hosts,
    /// including this one, stay within readsPerSecond.
    [[nodiscard]] duration pollInterval(unsigned hosts) const;
    [[nodiscard]] config_version version() const noexcept { return m_version; }

private:
    struct confirmation {
        instant at;
        config_version version;
    };

    explicit freshness(const freshness_options& options);

    freshness_options m_options;
    config_version m_version;
    std::optional<confirmation> m_store;
    std::map<host_id, confirmation> m_peers;
};

/// An entry of the store that a host knows, and the group with which it is compared.
struct grouped_entry {
    std::string name;
    service_id group;
};

/// Decides when an entry that is missing from the store counts as removed. After a store outage it
/// may only have expired because its owner could not renew it, and come back. So entries get a
/// grace period if most of their group is missing. Otherwise they count as removed at once: the
/// rest of the group can serve, and one whose owner did leave must get no more work.
class removal_filter {
public:
    /// Records that the store answered this host or a peer at this time.
    void recordStoreAnswer(instant at);
    /// Records that the store came back from an older copy of its data: what is missing may have
    /// been lost, also where most of its group is there, and gets the grace period.
    void recordRestore(instant at);
    /// Records that the store has the entry.
    void markPresent(const std::string& name) { m_missing.erase(name); }
    /// Records that the store does not have the entry, or no longer. Returns whether this was not
    /// known.
    bool markMissing(instant now, const std::string& name)
    {
        return m_missing.try_emplace(name, now).second;
    }
    /// Returns the entries that count as removed from now on, each once. known lists all entries
    /// that are present or missing.
    [[nodiscard]] std::vector<std::string> takeRemoved(
        instant now, const std::vector<grouped_entry>& known);
    /// Returns whether any entry is missing that takeRemoved() has not returned yet.
    [[nodiscard]] bool pending() const noexcept { return !m_missing.empty(); }

private:
    void classifyMissing(instant now, const std::vector<grouped_entry>& known);

    /// Time from which each missing entry counts as removed.
    std::map<std::string, instant> m_missing;
    std::optional<instant> m_lastAnswer;
    instant m_graceUntil {};
    /// Until when each missing entry may have been lost by the store.
    instant m_restoreGraceUntil {};
};

struct poll_options {
    /// Poll interval of the leader.
    std::chrono::milliseconds leaderIntervalMs { 300 };
    /// Age of a host's last confirmation from which it polls itself.
    std::chrono::milliseconds maxAgeMs { 850 };
    /// Delay before a host polls because a peer has newer rows; they may be on their way to it.
    std::chrono::milliseconds newerPeerDelayMs { 100 };
};

/// What a host has of the store's rows.
struct row_state {
    /// Equal for equal rows.
    std::uint64_t content = 0;
    /// Version of the store whose rows these are.
    row_version version;

    bool operator==(const row_state&) const = default;
};

/// Schedules the polls of a host for rows of the store. The leader polls frequently. The other
/// hosts learn from it, directly or through peers, whether their rows are current; they poll if a
/// peer has newer ones, or if there was no confirmation for too long.
class poll_schedule {
public:
    explicit poll_schedule(const poll_options& options)
        : m_options(options)
    {
    }

    /// Sets whether this host polls on behalf of the others.
    void setLeader(bool isLeader) noexcept { m_isLeader = isLeader; }
    /// Records a poll that was sent at sentAt and that the store answered; read is what this host
    /// has since.
    void recordPoll(instant sentAt, const row_state& read);
    /// Records what this host has. The version is 0 for rows that it has not read from the store.
    void recordRows(const row_state& now);
    /// Records that a peer sent every change above the first version, up to the second one, and
    /// that recordRows() was told of them. Ignored if this host lacks earlier changes.
    void recordChanges(row_version after, row_version until);
    /// Records a peer's state, and when the store was last known to match it; `instant {}` if that
    /// is not known.
    void recordPeerState(instant now, const row_state& peer, instant confirmedAt);

    /// Returns what this host has. The version is raised when a newer peer has the same content.
    [[nodiscard]] const row_state& rows() const noexcept { return m_rows; }
    /// Returns the latest time at which the store is known to have matched this host's state.
    [[nodiscard]] instant confirmedAt() const noexcept { return m_confirmedAt; }
    /// Returns when to poll next.
    [[nodiscard]] instant nextPollAt() const noexcept;

private:
    /// A peer's state that may be newer than this host's.
    struct newer_peer {
        row_state rows;
        instant seenAt;
    };

    void dropReachedPeer();

    poll_options m_options;
    bool m_isLeader = false;
    row_state m_rows;
    instant m_polledAt {};
    instant m_confirmedAt {};
    std::optional<newer_peer> m_newer;
    /// Content that a poll did not find although a peer had it in an earlier version.
    std::uint64_t m_disproved = 0;
};

} // namespace pimentomast::membership
