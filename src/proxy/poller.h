#pragma once

#include "exchange.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

/// Polling of caller connections that have no running request.
namespace pimentomast::proxy::detail {

using caller_pointer = std::shared_ptr<caller_connection>;

/// Callbacks of a poller; called on its thread without a lock held.
struct poller_events {
    /// Bytes of a request arrived or were left over in the input, or resume() was called. The
    /// callee takes ownership of the connection and calls watch() if it needs more bytes.
    std::function<void(const caller_pointer&)> input;
    /// The caller closed its connection. The callee takes ownership of it.
    std::function<void(const caller_pointer&)> disconnected;
    /// A request head, or the first bytes of its body, did not arrive before the timeout.
    std::function<void(const caller_pointer&)> headTimedOut;
    /// A connection was closed.
    std::function<void()> closed;
    /// Called periodically if enabled by enableSweepEvents().
    std::function<void(instant now)> sweepDue;
};

struct poller_timeouts {
    duration head;
    duration idle;
    /// Replaces idle after closeIdle().
    duration idleWhileDraining;
    duration linger;
    /// Longest pause in a body that is received before its request is submitted.
    duration body {};
    /// Minimum rate of such a body once it has taken longer than that.
    std::size_t minBodyBytesPerSecond = 0;
};

/// Polls a set of connections on a thread of its own. Public methods are thread-safe.
class poller {
public:
    poller(poller_events events, poller_timeouts timeouts);
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;
    ~poller();

    /// Starts watching the connection for the events and the timeout of its phase. If it has
    /// unparsed input, the input event is called instead.
    void watch(const caller_pointer& connection);
    /// Stops watching the connection. Returns false if it was not being watched.
    bool unwatch(const caller_pointer& connection);
    /// Calls the input event soon, whether the connection is watched or not. No effect on one that
    /// is closed or has a request that owns the input.
    void resume(const caller_pointer& connection);
    /// Makes this poller call sweepDue periodically.
    void enableSweepEvents() { m_sweepEventsEnabled = true; }
    /// Applies the idle timeout of a drain from now on. From `latest` on, connections without a
    /// complete request time out at once.
    void closeIdle(instant latest);
    /// Calls accept whenever the listener has a connection to accept, until stopListening().
    void listen(const Poco::Net::ServerSocket& listener, std::function<void()> accept);
    void stopListening();
    /// Stops and joins the thread. Watched connections stay open until destruction.
    void stop();

private:
    void run();
    void noteWakeUp(instant asked);
    void handle(const caller_pointer& connection);
    void handleLingering(const caller_pointer& connection);
    void handleWaiting(const caller_pointer& connection);
    void handleInput(const caller_pointer& connection);
    void passInput(const caller_pointer& connection);
    void processReady();
    void processResumed();
    void sweep(instant now);
    void expire(const caller_pointer& connection);
    void shutdownIdle(const caller_pointer& connection);
    void linger(const caller_pointer& connection);
    void drop(const caller_pointer& connection);
    void wake();
    [[nodiscard]] caller_pointer find(const Poco::Net::Socket& socket);
    /// Returns whether the sender of a body is too slow.
    [[nodiscard]] bool bodyExpired(const body_collection& body, instant now) const;
    [[nodiscard]] bool expired(const caller_connection& connection, instant now) const;

    poller_events m_events;
    poller_timeouts m_timeouts;
    Poco::Net::PollSet m_set;
    Poco::Net::DatagramSocket m_wakeSocket;
    std::mutex m_mutex;
    std::unordered_map<int, caller_pointer> m_watched;
    std::vector<caller_pointer> m_ready;
    std::vector<caller_pointer> m_resumed;
    std::unique_ptr<Poco::Net::ServerSocket> m_listener;
    std::function<void()> m_accept;
    std::atomic<instant> m_latestIdle { instant::max() };
    std::atomic<bool> m_closesIdle { false };
    std::atomic<bool> m_stopped { false };
    std::atomic<bool> m_sweepEventsEnabled { false };
    instant m_lastSweep {};
    instant m_lastWakeUp {};
    /// Earliest time at which the bytes that are read now may have come.
    instant m_earliestArrival {};
    std::thread m_thread;
};

} // namespace pimentomast::proxy::detail
