#pragma once

#include "exchange.h"

#include <Poco/Net/StreamSocket.h>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>

/// Submitted requests, waiting or running.
namespace pimentomast::proxy::detail {

using decision = std::variant<destination, refusal>;

/// A decision together with the request that it is about.
struct decided_request {
    std::unique_ptr<exchange> request;
    decision what;
};

/// What a decision took effect on.
struct decide_result {
    /// Null if the request does not wait.
    std::unique_ptr<exchange> request;
    /// The decision is kept until the running attempt has ended.
    bool deferred = false;
};

/// Decides who owns an exchange. Thread-safe.
class registry {
public:
    /// Adds a request that waits.
    void add(std::unique_ptr<exchange> request);
    /// Takes the request for this decision; keeps the decision for later if the running attempt
    /// was given up; otherwise nothing.
    [[nodiscard]] decide_result decide(request_id id, const decision& what);
    /// Takes out a request that waits; it is over. Null if it does not wait (any more).
    [[nodiscard]] std::unique_ptr<exchange> cancel(request_id id);
    /// Calls the function, under the lock, if the request waits.
    void ifWaiting(request_id id, const std::function<void()>& function);

    /// Notes the connection of a running attempt; false if the attempt was abandoned already.
    [[nodiscard]] bool attachConnection(request_id id, const Poco::Net::StreamSocket& target);
    /// The running attempt's answer has begun; it is not abandoned any more.
    void markResponseStarted(request_id id);
    /// Marks the running attempt as abandoned and shuts its connection.
    void abandon(request_id id, unsigned attempt);
    /// The attempt's connection will be closed: forgets it. Returns whether it was abandoned.
    [[nodiscard]] bool detachConnection(request_id id);
    /// Makes the request wait again. Returns it with the decision that came meanwhile, if any.
    [[nodiscard]] std::optional<decided_request> requeue(std::unique_ptr<exchange> request);
    /// Forgets a request that is over. Returns the number of its last decided attempt.
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
        /// The dispatcher gave up the attempt and decides anew.
        bool superseded = false;
        std::optional<Poco::Net::StreamSocket> target;
        std::optional<decision> pendingDecision;
    };

    [[nodiscard]] std::unique_ptr<exchange> release(request_id id, const decision& what);

    mutable std::mutex m_mutex;
    std::unordered_map<request_id, entry> m_entries;
    std::size_t m_waiting = 0;
};

} // namespace pimentomast::proxy::detail
