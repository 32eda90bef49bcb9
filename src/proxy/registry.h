#pragma once

#include "exchange.h"

#include <Poco/Net/StreamSocket.h>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

/// Registry of submitted requests, waiting or running.
namespace pimentomast::proxy::detail {

using decision = std::variant<destination, refusal>;

/// A request together with a decision about it.
struct decided_request {
    std::unique_ptr<exchange> request;
    decision what;
};

/// Effect of a decision.
struct decide_result {
    /// Null if the request is not waiting.
    std::unique_ptr<exchange> request;
    /// The decision takes effect once the running attempt has ended.
    bool deferred = false;
};

/// Owns waiting exchanges and tracks running ones, so that each has exactly one owner. Thread-safe.
class registry {
public:
    /// Adds a waiting request.
    void add(std::unique_ptr<exchange> request);
    /// Returns the request if it is waiting. If it is running, ends its attempt like abandon() and
    /// stores the decision until then; has no effect if there is such a decision, or if it is for
    /// the running attempt itself.
    [[nodiscard]] decide_result decide(request_id id, const decision& what);
    /// Removes and returns a waiting request. Returns null if it is not waiting (any more).
    [[nodiscard]] std::unique_ptr<exchange> cancel(request_id id);
    /// Removes and returns the waiting requests for which the function, called with the lock held,
    /// returns true.
    [[nodiscard]] std::vector<std::unique_ptr<exchange>> cancelIf(
        const std::function<bool(const exchange&)>& chosen);
    /// Calls the function with the lock held if the request is waiting.
    void ifWaiting(request_id id, const std::function<void()>& function);

    /// Registers the running attempt's connection. Returns false if the attempt was already
    /// abandoned.
    [[nodiscard]] bool attachConnection(request_id id, const Poco::Net::StreamSocket& target);
    /// Records that the running attempt's response has started. From then on abandon() does not
    /// close its connection.
    void markResponseStarted(request_id id);
    /// Marks the running attempt as abandoned and shuts down its connection, unless its response
    /// has started. Another decision about the request follows.
    void abandon(request_id id, unsigned attempt);
    /// Unregisters the attempt's connection. Returns whether the attempt was abandoned.
    [[nodiscard]] bool detachConnection(request_id id);
    /// Makes the request wait again. If a decision arrived during its attempt, returns the request
    /// with that decision instead.
    [[nodiscard]] std::optional<decided_request> requeue(std::unique_ptr<exchange> request);
    /// Removes a finished request. Returns the number of its last attempt, counting one that was
    /// decided but not started; 0 if the request is unknown.
    unsigned finish(request_id id);

    /// Returns the number of waiting requests.
    [[nodiscard]] std::size_t waiting() const;

private:
    struct entry {
        /// Null while an attempt runs.
        std::unique_ptr<exchange> waitingRequest;
        unsigned attempt = 0;
        bool abandoned = false;
        bool responseStarted = false;
        std::optional<Poco::Net::StreamSocket> target;
        std::optional<decision> pendingDecision;
    };

    [[nodiscard]] std::unique_ptr<exchange> release(request_id id, const decision& what);
    static void supersede(entry& running);

    mutable std::mutex m_mutex;
    std::unordered_map<request_id, entry> m_entries;
    std::size_t m_waiting = 0;
};

} // namespace pimentomast::proxy::detail
