#pragma once

#include "pimentomast/dispatch.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// HTTP/1.1 between callers and targets.
///
/// Poller threads watch callers' connections that carry no running request; a bounded pool of
/// workers runs the exchanges that were dispatched to a target. Lock order, outermost first:
/// exchange registry, poller, worker queue, target pools. No lock is held during a call of the
/// dispatcher, the observer or a socket.
namespace pimentomast::proxy {

/// Field names and rules by which callers and targets of an installation speak of a request. The
/// defaults are the product's own (docs/DESIGN.md); an empty name means that there is no such
/// field.
struct contract {
    /// The request's id. Given by the host for each request, unless callers choose it.
    std::string id = "Pimentomast-Request-Id";
    /// Callers send the id, and targets' answers repeat it: an answer with another id belongs to
    /// an earlier request.
    bool callersChooseId = false;
    /// Milliseconds that are left for the request.
    std::string deadline = "Pimentomast-Deadline-Ms";
    /// Callers state their own deadline in that field.
    bool callersStateDeadline = false;
    /// Name of the process that a request is meant for.
    std::string instance {};
    /// Present in answers of targets that refused before running. Empty: the product's own field.
    std::string notRun {};
    /// Token, key hash and caller are sent in the product's own fields.
    bool sendPimentomastFields = true;
    /// Retry-After may have fractions of a second.
    bool fractionalRetryAfter = false;
};

/// How one attempt of a request ended.
struct attempt_summary {
    target_id target;
    /// Status of the answer, or the reason why there is none.
    std::string outcome;
    /// From the dispatch on.
    duration total { 0 };
};

/// One finished request.
struct completion {
    /// Id that the targets saw.
    std::string id;
    service_id service;
    caller_id caller;
    std::optional<key_hash> key;
    /// Of the answer to the caller; 0: it got none, or only a part of one.
    int status = 0;
    /// Why this host answered itself or broke off; empty if a target answered.
    std::string reason;
    /// Target that the reason is about; empty if it is about none.
    std::string target {};
    /// As the caller was told; 0: nothing.
    duration retryAfter { 0 };
    /// How long the request would have waited for its turn; 0 if that was not the reason.
    duration expectedWait { 0 };
    unsigned attempts = 0;
    std::vector<attempt_summary> history {};
    /// The answer came after the route's objective.
    bool late = false;
    /// From the complete head until the answer's last byte was handed to the kernel.
    duration total { 0 };
    /// Part of total spent waiting for dispatch.
    duration waited { 0 };
};

/// A request that was refused before it had a service.
struct rejection {
    /// As the caller sent it; empty if it sent none.
    std::string id;
    std::string host;
    std::string path;
    proxy::reason why = reason::Internal;
};

/// Told of finished requests. Implementations are thread-safe and quick.
class observer {
public:
    virtual ~observer() = default;
    virtual void completed(const completion& finished) = 0;
    /// A request was refused before it had a service.
    virtual void rejected(const rejection& refused) = 0;
};

/// Counters by reason. Reads are thread-safe at any time.
class counters {
public:
    void add(reason why) noexcept
    {
        m_counts[static_cast<std::size_t>(why)].fetch_add(1, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t count(reason why) const noexcept
    {
        return m_counts[static_cast<std::size_t>(why)].load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(reason::Last) + 1> m_counts {};
};

/// Present state, for status and metrics.
struct gauges {
    std::size_t connections = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t targetConnections = 0;
};

struct options {
    /// Address for callers; port 0 takes a free one.
    endpoint listen { "127.0.0.1", 0 };
    /// Begins each request's id, so that ids of different hosts differ.
    std::string requestIdPrefix;
    unsigned pollers = 1;
    unsigned workers = 128;
    std::size_t maxCallerConnections = 10000;
    std::size_t headBytes = 16384;
    std::size_t lineBytes = 8192;
    std::size_t fields = 100;
    /// Bytes of a request's body that are held so that it can be sent again.
    std::size_t maxReplayBytes = 65536;
    std::chrono::milliseconds headTimeout { 10000 };
    std::chrono::milliseconds idleTimeout { 75000 };
    /// The same once a drain has stopped accepting: the time left for a last request.
    std::chrono::milliseconds drainIdleTimeout { 2000 };
    /// Longest pause within a body, in either direction.
    std::chrono::milliseconds bodyTimeout { 30000 };
    /// Least rate of an upload, over the time spent waiting for the caller's bytes, once that is
    /// longer than bodyTimeout.
    std::size_t minBodyBytesPerSecond = 500;
    /// How often a repeatable download that broke off may go on at a target.
    unsigned maxContinuations = 4;
    std::chrono::milliseconds connectTimeout { 500 };
    /// Longest wait for the answer to a probe.
    std::chrono::milliseconds probeTimeout { 1000 };
    /// Body bytes of known length that must have arrived before a request is submitted, so that a
    /// slow sender of a short body holds no target.
    std::size_t bodyPrefetchBytes = 4096;
    /// Age at which an unused connection to a target is closed.
    std::chrono::milliseconds pooledIdleTimeout { 20000 };
    proxy::contract contract {};
};

/// Accepts callers' connections and forwards their requests.
class server {
public:
    server() = default;
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    /// Closes every connection at once; drain() first if requests may be in flight.
    virtual ~server() = default;

    /// Returns the address for callers, with the port that was taken. Thread-safe.
    [[nodiscard]] virtual endpoint address() const = 0;
    /// Sets the table by which requests are classified; until then each is refused. Thread-safe.
    virtual void setTable(std::shared_ptr<const table::table> rows) = 0;
    /// Sets what GET /pimentomast/health answers to the balancer: 200 or 503. Thread-safe.
    virtual void setHealthy(bool healthy) = 0;
    /// Goes on accepting for the given time while each answer closes its connection, then stops
    /// accepting, and returns once every exchange has ended, however long it takes, and every
    /// caller has closed or has had its time to. Call once.
    virtual void drain(duration accepting) = 0;
    /// Returns the counters, which live as long as the server. Thread-safe.
    [[nodiscard]] virtual const counters& counts() const = 0;
    /// Returns the present state. Thread-safe.
    [[nodiscard]] virtual gauges state() const = 0;

    /// Returns the sink by which the dispatcher's later decisions reach this server.
    [[nodiscard]] virtual dispatch_sink& sink() = 0;

    /// Starts listening. The dispatcher and the observer must outlive the server.
    /// Fails if the address can't be bound.
    [[nodiscard]] static result<std::unique_ptr<server>> start(
        const options& settings, dispatcher& requestDispatcher, observer& requestObserver);
};

} // namespace pimentomast::proxy
