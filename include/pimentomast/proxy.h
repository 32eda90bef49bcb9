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

/// HTTP/1.1 reverse proxy between callers and targets.
///
/// Poller threads watch caller connections that have no running request. A fixed-size pool of
/// workers runs the exchanges that were dispatched to a target. Lock order, outermost first:
/// exchange registry, poller, worker queue, target pool. No lock is held while calling the
/// dispatcher, the observer or a socket function.
namespace pimentomast::proxy {

/// Header field names and rules that the callers and targets of an installation use. The defaults
/// are those of pimentomast itself (docs/DESIGN.md); an empty name disables the field.
struct contract {
    /// Field with the request id. The host assigns the id unless callers choose it.
    std::string id = "Pimentomast-Request-Id";
    /// Callers send the id and targets echo it in the response. A response with another id
    /// belongs to an earlier request.
    bool callersChooseId = false;
    /// Field with the milliseconds left until the request's deadline.
    std::string deadline = "Pimentomast-Deadline-Ms";
    /// Callers may set their own deadline in that field.
    bool callersStateDeadline = false;
    /// Field with the name of the process that the request is addressed to.
    std::string instance {};
    /// Field that is present in a response if the target refused the request before running it.
    /// Empty: Pimentomast-Outcome is used.
    std::string notRun {};
    /// Send the token, key hash and caller to the target in Pimentomast-* fields.
    bool sendPimentomastFields = true;
    /// Send Retry-After with fractions of a second instead of rounding up.
    bool fractionalRetryAfter = false;
    /// Field with the target's load in its responses, also those to probes; empty: there is none.
    std::string load {};
    /// Decodes the value of the load field. Returns nothing if it is malformed. Must be set if load
    /// is, and be thread-safe.
    std::function<std::optional<routing::load_report>(std::string_view)> decodeLoad {};
    /// Field of responses to probes with the time for which the target is still cold; empty: there
    /// is none.
    std::string warmup {};
    /// Decodes the value of the warmup field. Returns nothing if it is malformed. Must be set if
    /// warmup is, and be thread-safe.
    std::function<std::optional<duration>(std::string_view)> decodeWarmup {};
};

/// Target, outcome and duration of one attempt.
struct attempt_summary {
    target_id target;
    /// Status of the response, or the reason why there is none.
    std::string outcome;
    /// Time from the start of the attempt on a worker until its end.
    duration total { 0 };
};

/// One finished request.
struct completion {
    /// Request id as sent to targets.
    std::string id;
    service_id service;
    caller_id caller;
    std::optional<key_hash> key;
    /// Status of the response to the caller; 0 if the caller got no response or only part of one.
    int status = 0;
    /// Why this host generated the response or aborted it; empty if a target responded.
    std::string reason;
    /// Target that the reason refers to, if any.
    std::string target {};
    /// Retry-After sent to the caller; 0 if none was sent.
    duration retryAfter { 0 };
    /// Estimated queue wait if the request was refused because of it; otherwise 0.
    duration expectedWait { 0 };
    unsigned attempts = 0;
    std::vector<attempt_summary> history {};
    /// The response came after the route's objective.
    bool late = false;
    /// Time from the arrival of the request head until the last response byte was passed to the
    /// kernel, or until the response was whole and waited for those to earlier requests.
    duration total { 0 };
    /// Part of total that passed before the request was submitted for dispatch: time behind earlier
    /// requests of its connection, or until the first bytes of its body arrived.
    duration readDelay { 0 };
    /// Part of total that was spent waiting for dispatch.
    duration waited { 0 };
};

/// A request that was refused before it was classified to a service.
struct rejection {
    /// Request id as sent by the caller, if any.
    std::string id;
    std::string host;
    std::string path;
    proxy::reason why = reason::Internal;
};

/// Receives finished requests. Implementations must be thread-safe and must not block.
class observer {
public:
    virtual ~observer() = default;
    virtual void completed(const completion& finished) = 0;
    /// Called for a request that was refused before it was classified to a service.
    virtual void rejected(const rejection& refused) = 0;
};

/// Event counters by reason. Thread-safe.
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

/// Current values for status and metrics.
struct gauges {
    std::size_t connections = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t targetConnections = 0;
    /// Bytes of bodies and held responses in memory, and their limit; a limit of 0 is none.
    std::size_t bodyBytes = 0;
    std::size_t bodyBytesLimit = 0;
    /// Responses whose attempt has ended and whose callers have not read them completely.
    std::size_t deliveries = 0;
    /// Responses handed over for delivery since the start.
    std::uint64_t delivered = 0;
    /// Bytes received from and sent to callers and targets since the start of the process.
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentBytes = 0;
    /// Limit of the bytes that requests in progress move over the link; 0: none.
    std::uint64_t linkLimitBytes = 0;
};

struct options {
    /// Address on which callers connect; port 0 selects a free port.
    endpoint listen { "127.0.0.1", 0 };
    /// Prefix of generated request ids; makes ids of different hosts distinct.
    std::string requestIdPrefix;
    unsigned pollers = 1;
    unsigned workers = 128;
    std::size_t maxCallerConnections = 10000;
    std::size_t headBytes = 16384;
    std::size_t lineBytes = 8192;
    std::size_t fields = 100;
    /// Maximum number of request body bytes that are buffered for a retry.
    std::size_t maxReplayBytes = 65536;
    std::chrono::milliseconds headTimeout { 10000 };
    std::chrono::milliseconds idleTimeout { 75000 };
    /// Idle timeout once a drain has stopped accepting: the time left for a last request.
    std::chrono::milliseconds drainIdleTimeout { 2000 };
    /// Maximum time without progress in a body, in either direction.
    std::chrono::milliseconds bodyTimeout { 30000 };
    /// Minimum upload rate over the time spent waiting for the caller's bytes. Applies once that
    /// time exceeds bodyTimeout.
    std::size_t minBodyBytesPerSecond = 500;
    /// Maximum number of range requests by which an interrupted repeatable download continues.
    unsigned maxContinuations = 4;
    std::chrono::milliseconds connectTimeout { 500 };
    /// Timeout of a health probe, from connecting to the end of the answer.
    std::chrono::milliseconds probeTimeout { 1000 };
    /// Body bytes that must arrive before a request with a Content-Length is submitted, or the
    /// whole body if it is shorter. Keeps a slow sender of a short body from occupying a target.
    std::size_t bodyPrefetchBytes = 4096;
    /// As bodyPrefetchBytes, for routes with table::route_row::buffersBody, also for bodies in
    /// chunks. What was received before submission can be sent again on a retry.
    std::size_t uploadPrefetchBytes = 524288;
    /// Limit of the bytes of bodies and held responses in memory; 0: no limit.
    std::size_t bodyMemoryBytes = 0;
    /// Idle time after which a pooled target connection is closed.
    std::chrono::milliseconds pooledIdleTimeout { 20000 };
    proxy::contract contract {};
};

/// Accepts caller connections and forwards their requests to targets.
class server {
public:
    server() = default;
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    /// Closes all connections immediately. Call drain() first if requests may be in flight.
    virtual ~server() = default;

    /// Returns the address on which callers connect, with the actual port. Thread-safe.
    [[nodiscard]] virtual endpoint address() const = 0;
    /// Sets the table used to classify requests. Until the first call, all requests are refused.
    /// Thread-safe.
    virtual void setTable(std::shared_ptr<const table::table> rows) = 0;
    /// Sets whether GET /pimentomast/health returns 200 or 503 to the load balancer. A draining
    /// server always returns 503. Thread-safe.
    virtual void setHealthy(bool healthy) = 0;
    /// Sets how long bytes wait on this host's network link. While that is long, requests are
    /// refused that would move more. Call at least every 100 ms. Thread-safe.
    virtual void setLinkDelay(instant now, duration delay) = 0;
    /// Keeps accepting for the given time, with responses closing their connections, then stops
    /// accepting. Blocks until every exchange has ended and every caller connection is closed; idle
    /// ones are closed after drainIdleTimeout. Call at most once.
    ///
    /// If an end is given, no request is passed on with a deadline after it, requests that could
    /// not be finished are refused, and at the end those still running get a last answer. Then it
    /// returns soon, even if callers keep their connections open.
    virtual void drain(duration accepting, instant end) = 0;
    /// As above, without a time limit.
    void drain(duration accepting) { drain(accepting, instant::max()); }
    /// Returns the counters; valid for the lifetime of the server. Thread-safe.
    [[nodiscard]] virtual const counters& counts() const = 0;
    /// Returns the current values. Thread-safe.
    [[nodiscard]] virtual gauges state() const = 0;

    /// Returns the sink through which the dispatcher delivers later decisions.
    [[nodiscard]] virtual dispatch_sink& sink() = 0;

    /// Starts listening. The dispatcher and the observer must outlive the server.
    /// Fails if the listen address cannot be bound.
    [[nodiscard]] static result<std::unique_ptr<server>> start(
        const options& settings, dispatcher& requestDispatcher, observer& requestObserver);
};

} // namespace pimentomast::proxy
