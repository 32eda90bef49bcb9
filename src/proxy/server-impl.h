#pragma once

#include "classify.h"
#include "delivery.h"
#include "drain-schedule.h"
#include "pimentomast/workers.h"
#include "poller.h"
#include "registry.h"
#include "relay.h"
#include "route-splitter.h"

#include <Poco/Net/ServerSocket.h>
#include <condition_variable>

namespace pimentomast::proxy::detail {

/// A dispatched request.
struct forward_job {
    std::unique_ptr<exchange> request;
    destination to;
};
struct probe_job {
    target_id target;
    probe_address at;
};
using job = std::variant<forward_job, probe_job>;

/// Retry-After of requests that are refused for lack of memory for bodies: about the time after
/// which others have ended.
constexpr std::chrono::milliseconds bodyMemoryRetryAfter { 500 };
/// Other hosts may have room at once: balancers send retries elsewhere.
constexpr std::chrono::milliseconds linkFullRetryAfter { 100 };
/// Retry-After of requests that a stopping host refuses: other hosts take them at once.
constexpr std::chrono::milliseconds stopRetryAfter { 100 };

/// Result of a request as seen by its caller.
struct request_result {
    /// 0 if the caller got no complete response.
    int status = 0;
    /// Why this host ended the request; empty if a target responded.
    std::string reason {};
    std::string target {};
    duration retryAfter {};
    duration expectedWait {};
};

/// What became of the input of a connection.
enum class input_step {
    /// A request was taken from it; there may be more.
    Taken,
    /// More bytes are needed, or earlier requests have to end first.
    Waits,
    /// The connection belongs to an answer or to a request now.
    HandedOver,
};

/// Implementation of the server: accepts, checks, classifies, submits and runs requests.
class server_impl final : public server, public dispatch_sink {
public:
    server_impl(const options& settings, dispatcher& requestDispatcher, observer& requestObserver,
        const Poco::Net::ServerSocket& listener);
    server_impl(const server_impl&) = delete;
    server_impl& operator=(const server_impl&) = delete;
    ~server_impl() override;

    [[nodiscard]] endpoint address() const override;
    void setTable(std::shared_ptr<const table::table> rows) override;
    void setHealthy(bool healthy) override;
    void setLinkDelay(instant now, duration delay) override { m_link.recordDelay(now, delay); }
    using server::drain;
    void drain(duration accepting, instant end) override;
    [[nodiscard]] const counters& counts() const override { return m_counts; }
    [[nodiscard]] gauges state() const override;

    bool forward(request_id id, const destination& to) override;
    void refuse(request_id id, const refusal& details) override;
    void abandon(request_id id, unsigned attempt) override;
    void probe(const target_id& target, const probe_address& at) override;
    void closeIdle(const endpoint& address, instant openedBefore) override;
    [[nodiscard]] dispatch_sink& sink() override { return *this; }

private:
    void accept();
    void stopAccepting();
    /// Waits until all connections are closed. Returns false if that takes too long.
    [[nodiscard]] bool waitForClosed(duration limit);
    /// Ends the waiting requests that must not be passed on any more.
    void refuseUnfinishable(instant now);
    /// Answers a request that is ended because the host stops.
    void endStopped(const exchange& request, reason why);
    /// Times of the drain; those of no drain before it has begun.
    [[nodiscard]] drain_schedule schedule() const;
    void addCaller(const Poco::Net::StreamSocket& socket);
    void onInput(const caller_pointer& caller);
    [[nodiscard]] input_step takeNext(const caller_pointer& caller);
    /// Watches the connection for more input, unless enough is stored already.
    void readOn(const caller_pointer& caller);
    /// Ends a connection that is broken or announced to close, once nothing is left to be sent.
    void endConnection(const caller_pointer& caller);
    void onCallerDisconnected(const caller_pointer& caller);
    void onHeadTimeout(const caller_pointer& caller);
    void onClosed();
    void onSweep(instant now);
    [[nodiscard]] std::size_t addConnection();

    [[nodiscard]] input_step onHead(const caller_pointer& caller, std::size_t bytes);
    [[nodiscard]] input_step begin(
        const caller_pointer& caller, checked_head head, instant arrived);
    [[nodiscard]] input_step refuseInTurn(
        const caller_pointer& caller, checked_head head, instant arrived, reason why);
    [[nodiscard]] static input_step keepHead(
        const caller_pointer& caller, checked_head head, instant arrived);
    [[nodiscard]] bool needsBodyPrefetch(
        const caller_connection& caller, const checked_head& head) const;
    [[nodiscard]] input_step submit(const caller_pointer& caller, checked_head head,
        instant arrived, const table::classified_request& found);
    [[nodiscard]] static bool runsConcurrently(const caller_connection& caller,
        const checked_head& head, const table::classified_request& found);
    /// Returns whether nothing of the request is left to be read from the connection.
    [[nodiscard]] static bool hasWholeBody(
        const caller_connection& caller, const checked_head& head);
    /// Sets the request's fingerprint, which is a provisional one unless its body is known.
    void beginFingerprint(exchange& request, const table::classified_request& found) const;
    /// Takes the whole body of a request from the input, or what was received before submission.
    static void takeBody(exchange& request);
    /// Begins to receive the body of the request before it is submitted.
    [[nodiscard]] input_step startCollection(const caller_pointer& caller, checked_head head,
        instant arrived, const table::classified_request& found);
    /// Takes body bytes from the input. Returns nothing once the request can be submitted.
    [[nodiscard]] std::optional<input_step> collectBody(const caller_pointer& caller);
    /// Makes room for more of the body. Returns false if there is no memory for it.
    [[nodiscard]] static bool growCollection(const caller_pointer& caller);
    /// Stops reading from the sender until there is memory. Only one sender pauses at a time, the
    /// one whose request came first; others are refused.
    [[nodiscard]] input_step pauseCollection(const caller_pointer& caller);
    [[nodiscard]] input_step refusePending(const caller_pointer& caller, reason why);
    /// Lets the paused sender look for memory again.
    void resumePaused();
    /// Makes this the paused sender. Returns false if another one came before it.
    [[nodiscard]] bool takePause(const caller_pointer& caller);
    void clearPaused(const caller_pointer& caller);
    [[nodiscard]] duration requestTimeout(
        const checked_head& head, const table::classified_request& found) const;
    void enqueue(std::unique_ptr<exchange> request);
    [[nodiscard]] input_step sendHealth(
        const caller_pointer& caller, checked_head head, instant arrived);
    void refuseHead(const caller_pointer& caller, reason why);
    void refuseRequest(const caller_pointer& caller, const checked_head& head, reason why);
    void send(const caller_pointer& caller, const std::string& text, bool closes);
    /// Sends the response of a request, or holds it until its turn comes.
    void respond(const exchange& request, const std::string& text, bool closes);
    void watchWhileWaiting(const caller_pointer& caller, request_id id);
    /// Returns the input of the request's connection, which it owned, to its poller.
    void returnInput(const exchange& request);

    void execute(std::unique_ptr<exchange> request, const decision& what);
    void startAttempt(std::unique_ptr<exchange> request, const destination& to);
    void refuseUnreplayable(const exchange& request, const destination& to);
    /// Returns whether an answer of this host's own has to close the connection: the caller or a
    /// drain asks for it, or the request's body was not read.
    [[nodiscard]] bool mustClose(const exchange& request) const;
    void sendRefusal(const exchange& request, const refusal& details);
    void run(job work);
    void runForward(forward_job& work);
    void onDeliveryEnded(delivery& ended, delivery_end how, const response_order::progress& now);
    /// Ends the turn of an attempt whose response was sent, is held or is being delivered.
    void endAnswered(forward_job& work, const relay_result& ended, int status);
    [[nodiscard]] relay_result runAttempt(forward_job& work, target_connection& connection);
    /// Runs the attempt; an exception ends the request, not the host.
    [[nodiscard]] relay_result tryAttempt(forward_job& work, target_connection& connection);
    void handleAttemptResult(forward_job& work, const relay_result& ended, attempt finished);
    void finishRequest(const forward_job& work, attempt finished);
    void waitForDecision(
        std::unique_ptr<exchange> request, const attempt& finished, bool abandoned);
    void continueResponse(std::unique_ptr<exchange> request);
    void abortResponse(const exchange& request);
    void sendFault(const exchange& request, std::optional<reason> fault);
    /// Returns why the request must not be passed on any more, if the host stops. Otherwise
    /// shortens its deadline where needed.
    [[nodiscard]] static std::optional<reason> checkStop(
        exchange& request, const drain_schedule& times);
    void complete(const exchange& request, const request_result& end);
    /// Ends the turn of a request whose response was sent or will not be.
    void endResponse(const exchange& request, connection_fate fate);
    void proceed(const caller_pointer& caller, const response_order::progress& now);
    /// Cancels the requests of a connection that wait for dispatch.
    void cancelWaiting(const caller_pointer& caller);
    /// Precondition: no response is left, and this is the thread of the connection's poller.
    void releaseCaller(const caller_pointer& caller, connection_fate fate);
    [[nodiscard]] relay_context context(const forward_job& work);

    [[nodiscard]] poller& pollerOf(const caller_connection& caller);
    [[nodiscard]] head_limits limits() const;
    [[nodiscard]] std::shared_ptr<const table::table> currentTable() const;

    options m_options;
    /// Outlives all connections and exchanges.
    body_budget m_budget;
    link_budget m_link;
    dispatcher& m_dispatcher;
    observer& m_observer;
    Poco::Net::ServerSocket m_listener;
    counters m_counts;
    std::atomic<std::shared_ptr<const table::table>> m_table;
    std::atomic<bool> m_healthy { false };
    /// Set before m_draining and constant afterwards.
    drain_schedule m_schedule;
    std::atomic<bool> m_draining { false };
    std::atomic<bool> m_aborting { false };
    std::atomic<std::uint64_t> m_nextId { 1 };
    std::atomic<std::size_t> m_running { 0 };
    /// Acquired before the poller's lock.
    std::mutex m_acceptMutex;
    mutable std::mutex m_connectionsMutex;
    std::condition_variable m_allClosed;
    std::size_t m_connections = 0;
    /// Accessed only by the first poller's thread.
    instant m_lastPoolSweep {};
    registry m_registry;
    route_splitter m_splitter;
    target_pool m_targets;
    std::vector<std::unique_ptr<poller>> m_pollers;
    std::unique_ptr<worker_pool<job>> m_workers;
    delivery_loop m_deliveries;
    std::atomic<std::uint64_t> m_delivered { 0 };
    std::mutex m_pausedMutex;
    /// The sender that waits for memory, if any.
    caller_pointer m_paused;
    instant m_pausedArrived;
};

} // namespace pimentomast::proxy::detail
