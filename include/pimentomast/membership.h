#pragma once

#include "pimentomast/core.h"
#include "pimentomast/store.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

/// Which hosts there are, which of them are alive, and how fresh a host's configuration is.
///
/// Pure: time, messages and seeds in, decisions out. Not thread-safe; callers serialize.
namespace pimentomast::membership {

struct view_options {
    host_id self;
    incarnation run;
    /// Addresses of peers that are called before the platform's list has been read.
    std::vector<endpoint> seeds;
    /// A host that was not heard from for this long is not live.
    std::chrono::milliseconds contactTimeoutMs { 3000 };
    /// A host that left the platform's list still counts for shares of connections for this long.
    std::chrono::milliseconds departureTimeoutMs { 30000 };
    /// Hosts called in one round of exchange.
    unsigned fanout = 4;
    /// Hosts that are named to a peer in one message.
    unsigned heardPerMessage = 20;
    std::uint64_t seed = 1;
};

/// One host that a peer introduced itself as, or that answered a call.
struct peer_contact {
    host_id id;
    incarnation run;
    endpoint peers;
    bool leaving = false;
};

/// A live host that a peer has heard from, or heard of, this long ago.
struct heard_host {
    host_id id;
    incarnation run;
    std::chrono::milliseconds ageMs {};
};

struct member {
    host_id id;
    incarnation run;
    endpoint peers;

    auto operator<=>(const member&) const = default;
};

/// The platform's lagging list of hosts, corrected by what the host itself hears from its peers.
class host_view {
public:
    /// Fails if self is empty, the fanout is 0 or a timeout is not positive.
    [[nodiscard]] static result<host_view> create(const view_options& options);

    /// Replaces the platform's list.
    void replaceList(instant now, const std::vector<store::listed_host>& hosts);
    /// Records a message that a peer sent.
    void recordContact(instant now, const peer_contact& seen);
    /// Takes what a peer says of other hosts. A host is never made older by it, and a run other
    /// than the one that was last heard is left out: only the host itself tells of its restart.
    void mergeHeard(instant now, const std::vector<heard_host>& heard);
    /// Returns live hosts to name to a peer: options.relayed of them, drawn at random, without
    /// self.
    [[nodiscard]] std::vector<heard_host> sampleHeard(instant now);
    /// Marks this host itself as leaving or returned.
    void setLeaving(bool leaving) noexcept { m_leaving = leaving; }

    /// Returns the hosts heard from within the sighting timeout that are not leaving, with self
    /// unless it leaves; sorted by id.
    [[nodiscard]] std::vector<member> live(instant now) const;
    /// Returns whether the platform's list was read and each host on it that does not leave is
    /// live.
    [[nodiscard]] bool complete(instant now) const;
    /// Returns how many hosts may have connections open to targets: every host that is listed, or
    /// was listed or heard from within the departure timeout, and self. A host that cannot be
    /// reached counts, for it may still reach the targets.
    [[nodiscard]] unsigned connectionSharers(instant now) const;
    /// Returns the addresses to call in this round: the next fanout of the known peers in turn, so
    /// that each is called within a bounded time, or the seeds while no peer is known.
    [[nodiscard]] std::vector<endpoint> exchangePeers(instant now);
    /// Returns the addresses of all hosts that are listed or live, without self.
    [[nodiscard]] std::vector<endpoint> allPeers(instant now) const;
    /// Returns the live or listed peer with this id and incarnation.
    [[nodiscard]] std::optional<endpoint> find(const host_id& id) const;

private:
    struct entry {
        endpoint peers;
        incarnation run;
        std::optional<instant> listedAt;
        std::optional<instant> heardAt;
        bool listed = false;
        bool leaving = false;
    };

    explicit host_view(view_options options);
    [[nodiscard]] bool heardRecently(const entry& known, instant now) const;
    [[nodiscard]] bool mayBeConnected(const entry& known, instant now) const;
    void removeDeparted(instant now);

    view_options m_options;
    std::map<host_id, entry> m_hosts;
    std::mt19937_64 m_random;
    /// Position in the order of known peers of the next one to call.
    std::size_t m_nextPeer;
    bool m_leaving = false;
    bool m_listRead = false;
};

struct freshness_options {
    /// A host whose version is confirmed by neither the store nor a majority of its peers for this
    /// long reports itself unhealthy.
    std::chrono::milliseconds confirmTimeoutMs { 8000 };
    std::chrono::milliseconds minPollMs { 500 };
    /// Reads of the configuration row that all hosts together may cause in one second.
    unsigned readsPerSecond = 200;
};

/// How recently the store or a majority of the peers confirmed that this host's configuration is
/// the newest.
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
    /// Returns how long to wait between reads of the configuration row, so that hosts (with this
    /// one) stay within the reads per second.
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

/// An entry of the store that a host knows, and the group whose entries lapse together.
struct grouped_entry {
    std::string name;
    service_id group;
};

/// Decides when an entry that has gone from the store counts as gone. It may only have lapsed while
/// the store was away, and come back. Entries count as lapsed only if most of their group are gone:
/// otherwise the rest of the group can serve, and one that did leave must get no more work.
class removal_filter {
public:
    /// The store answered this host or a peer then.
    void recordStoreAnswer(instant at);
    /// The entry is there.
    void markPresent(const std::string& name) { m_missing.erase(name); }
    /// The entry is not there (any more).
    void markMissing(instant now, const std::string& name) { m_missing.try_emplace(name, now); }
    /// Returns the entries that count as gone from now on. known: all that are there or were.
    [[nodiscard]] std::vector<std::string> takeRemoved(
        instant now, const std::vector<grouped_entry>& known);
    /// Whether due() may return something, now or later.
    [[nodiscard]] bool pending() const noexcept { return !m_missing.empty(); }

private:
    void classifyMissing(instant now, const std::vector<grouped_entry>& known);

    /// When each counts as gone.
    std::map<std::string, instant> m_missing;
    std::optional<instant> m_lastAnswer;
    instant m_graceUntil {};
};

struct poll_options {
    /// Between two looks of the host that looks for the others.
    std::chrono::milliseconds leaderIntervalMs { 300 };
    /// How old what a host knows may grow before it looks itself.
    std::chrono::milliseconds maxAgeMs { 850 };
};

/// When a host looks at rows of the store. One host looks often; the others learn from it, directly
/// or through others, that what they have is still right, and look when it is not or when they have
/// heard nothing for too long.
class poll_schedule {
public:
    explicit poll_schedule(const poll_options& options)
        : m_options(options)
    {
    }

    /// Whether this host looks for the others.
    void setLeader(bool isLeader) noexcept { m_isLeader = isLeader; }
    /// The store answered a look that was sent then; changed: it had something new.
    void recordPoll(instant sentAt, bool changed);
    /// A peer knows what the store had at this moment, and has the same as this host or not.
    void recordPeerState(instant seenAt, bool same);

    /// Returns when the store was last known to have what this host has.
    [[nodiscard]] instant confirmedAt() const noexcept { return m_confirmedAt; }
    /// Returns when to look next.
    [[nodiscard]] instant nextPollAt() const noexcept;

private:
    poll_options m_options;
    bool m_isLeader = false;
    instant m_polledAt {};
    instant m_confirmedAt {};
    bool m_mismatch = false;
    /// Until then contradictions count for nothing, since a look found them wrong.
    instant m_ignoreMismatchUntil {};
};

} // namespace pimentomast::membership
