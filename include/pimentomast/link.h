#pragma once

#include "pimentomast/core.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

/// Estimates how long bytes wait on this host's network link, and limits what waits there. No I/O
/// and no clock: times are arguments. Not thread-safe.
namespace pimentomast::link {

/// Identifies a call to another host.
using call_number = strong<struct call_number_tag, std::uint64_t>;

/// Queueing delay of this host's own link, in both directions together, from the round trips of
/// calls that it makes anyway. The peers' links have delays too, so the least delayed of the last
/// calls tells that of the own link.
class queueing_delay {
public:
    /// Records that a call to a peer is sent.
    [[nodiscard]] call_number begin(instant now, const endpoint& peer);
    /// Records that the peer answered. Ignored if the call is not known any more.
    void answered(instant now, call_number call);
    /// Records that the call failed; it says nothing unless it timed out.
    void failed(call_number call, bool timedOut, instant now);

    /// Returns the delay beyond the shortest round trips; zero if there is no recent call.
    [[nodiscard]] duration current(instant now) const;

private:
    struct call {
        call_number number;
        endpoint peer;
        instant sentAt;
        /// Not set while the call is running.
        std::optional<duration> roundTrip {};
    };
    /// Shortest round trip in the current and in the previous period.
    struct base {
        duration current = duration::max();
        duration previous = duration::max();
    };

    call* find(call_number number);
    void removeOld(instant now);
    [[nodiscard]] duration baseOf(const endpoint& peer) const;

    call_number m_last;
    std::deque<call> m_calls;
    std::map<endpoint, base> m_bases;
    instant m_periodBegan {};
};

/// Limits the bytes that requests in progress move over the link, so that they do not delay the
/// messages between hosts by much. Nothing is limited while the link's delay is short.
class admission {
public:
    /// Adapts the limit to the link's delay: multiplicative decrease, slow increase. Call at least
    /// every 100 ms.
    void recordDelay(instant now, duration delay);
    /// Returns whether a request that moves about this many bytes may begin. One at a time always
    /// may.
    [[nodiscard]] bool admits(std::uint64_t bytes) const noexcept;
    void begin(std::uint64_t bytes) noexcept { m_inProgress += bytes; }
    /// Precondition: begin() was called with the same number.
    void end(std::uint64_t bytes) noexcept;
    /// Returns the limit in bytes; not set if there is none.
    [[nodiscard]] std::optional<std::uint64_t> limit() const noexcept { return m_limit; }

private:
    void decrease(instant now, duration delay);
    void increase(instant now);

    std::optional<std::uint64_t> m_limit;
    std::uint64_t m_inProgress = 0;
    instant m_changedAt {};
};

/// Mean size of the requests of each service and of their answers.
class transfer_sizes {
public:
    void record(const service_id& service, std::uint64_t bytes);
    /// Returns how many bytes a request is expected to move.
    [[nodiscard]] std::uint64_t expected(const service_id& service) const;

private:
    std::map<service_id, double> m_means;
};

} // namespace pimentomast::link
