#pragma once

#include "pimentomast/core.h"

#include <deque>
#include <vector>

namespace pimentomast::routing {

/// Time in which a host sends at most its quota to a cold target. It exceeds the second of the
/// target's limit by the delay that may pass between the report of a sending and its first byte.
inline constexpr duration warmupWindow = std::chrono::milliseconds(1100);
/// How long a host remembers lists of hosts that were replaced: hosts whose lists differ in age by
/// less agree on who sends. Hosts read the store's list at least every 25 s, up to 195 hosts.
inline constexpr duration hostListLag = std::chrono::seconds(30);

/// How the limit of a cold target is divided among hosts.
struct warmup_share {
    /// Number of hosts that may send.
    unsigned senders = 0;
    /// Requests that each of them may send in warmupWindow.
    unsigned perSender = 0;

    bool operator==(const warmup_share&) const = default;
};

/// Divides a limit of requests per second. Two hosts that wrongly consider themselves senders do
/// not exceed it. A limit below 3 allows no sender.
[[nodiscard]] warmup_share shareOf(double limit) noexcept;

/// Decides by rendezvous hashing which hosts may send to a cold target (D. Thaler, C. Ravishankar,
/// "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1),
/// 1998).
class warmup_senders {
public:
    /// Replaces the list of hosts, which must be sorted. Times must not decrease.
    void setHosts(instant now, const host_id& self, std::vector<host_id> hosts);
    /// Forgets lists that were replaced long ago. Returns whether answers may have changed.
    bool expire(instant now);
    /// Returns whether this host is among the first `senders` hosts of the target in the current
    /// list and in all that were in force within hostListLag.
    [[nodiscard]] bool isSender(const target_id& target, unsigned senders) const;

private:
    struct replaced_list {
        instant until;
        std::vector<host_id> hosts;
    };

    [[nodiscard]] bool ranksFirst(const std::vector<host_id>& hosts, const target_id& target,
        std::uint64_t own, unsigned senders) const;

    host_id m_self;
    std::vector<host_id> m_hosts;
    std::deque<replaced_list> m_replaced;
};

/// The requests that this host sends to one target while it is cold. A request takes a place from
/// its dispatch until warmupWindow after it was sent.
class warmup_quota {
public:
    /// No request is allowed before the window after `since` has passed: an earlier object for the
    /// same target may have sent some.
    explicit warmup_quota(instant since)
        : m_since(since)
    {
    }

    /// Sets the limit of requests per second from all hosts; 0: the target is not limited.
    void setLimit(double limit);
    [[nodiscard]] bool limited() const noexcept { return m_limited; }
    [[nodiscard]] unsigned senders() const noexcept { return m_share.senders; }

    [[nodiscard]] bool allows(instant now) const;
    /// Returns when a request is allowed if no other event happens; instant::max() if that depends
    /// on the end of attempts that were not sent yet.
    [[nodiscard]] instant nextFree(instant now) const;
    /// Estimates for how long a request waits that has this many others ahead of it.
    [[nodiscard]] duration waitBehind(instant now, std::size_t ahead) const;

    void onDispatch() noexcept { ++m_reserved; }
    /// A dispatched request was sent, or its attempt ended and may have been sent.
    void onSent(instant now);
    /// The bytes of an attempt are sent once more.
    void onSentAgain(instant now);
    /// The request that was sent at this time did not count.
    void giveBack(instant sentAt);

private:
    [[nodiscard]] std::size_t taken(instant now) const;

    instant m_since;
    bool m_limited = false;
    warmup_share m_share;
    /// Requests dispatched and not sent yet.
    unsigned m_reserved = 0;
    /// Latest times of sending, in order: twice a quota, since some may be given back.
    std::deque<instant> m_sent;
};

} // namespace pimentomast::routing
