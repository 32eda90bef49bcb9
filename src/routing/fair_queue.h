#pragma once

#include "pimentomast/routing.h"

#include <deque>
#include <functional>
#include <list>
#include <unordered_map>

namespace pimentomast::routing {

/// Queue that serves callers by deficit round robin (M. Shreedhar, G. Varghese, "Efficient fair
/// queuing using deficit round robin", SIGCOMM 1995). As in RFC 8290, a caller that had nothing
/// queued is served once before those that wait for their next turn. When its queue becomes empty
/// it stays in the list of turns until its next turn, so that it cannot be new again before.
///
/// Costs and quantum share an arbitrary unit; a caller gets one quantum per turn.
class fair_queue {
public:
    explicit fair_queue(double quantum);

    /// Appends a request of the caller. cost must be positive.
    void push(request_number number, const caller_id& caller, double cost);
    /// Puts a request back in front of the caller's others, for example after it was shed.
    void pushFront(request_number number, const caller_id& caller, double cost);
    /// Returns the request whose turn it is, or nothing if the queue is empty.
    [[nodiscard]] std::optional<request_number> front();
    /// Removes the request that front() returns. The queue must not be empty.
    void pop();
    /// Returns the first request of the first caller, in order of turns, for which accepts() is
    /// true, or nothing.
    [[nodiscard]] std::optional<request_number> frontOf(
        const std::function<bool(const caller_id&)>& accepts) const;
    /// Removes the caller's first request out of turn and deducts its cost. The caller must have
    /// one queued.
    void popOf(const caller_id& caller);
    /// Removes a request at any position; returns false if it is not queued for this caller.
    bool erase(request_number number, const caller_id& caller);

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] bool empty() const noexcept { return m_size == 0; }
    /// Number of queued requests of the caller.
    [[nodiscard]] std::size_t waiting(const caller_id& caller) const;
    /// Number of callers with queued requests.
    [[nodiscard]] std::size_t callers() const noexcept { return m_activeCallers; }

private:
    struct item {
        request_number number;
        double cost = 0;
    };
    struct flow {
        std::deque<item> items;
        double deficit = 0;
    };
    using turn_list = std::list<caller_id>;

    flow& flowOf(const caller_id& caller);
    [[nodiscard]] turn_list& currentTurns() noexcept;
    void endTurn();
    void skipIdle();
    void removed(const flow& from);

    double m_quantum;
    std::size_t m_size = 0;
    std::size_t m_activeCallers = 0;
    std::unordered_map<caller_id, flow> m_flows;
    turn_list m_newTurns;
    turn_list m_oldTurns;
};

} // namespace pimentomast::routing
