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

/// Watches callers' connections that carry no running request.
namespace pimentomast::proxy::detail {

using caller_pointer = std::shared_ptr<caller_connection>;

/// What a poller tells; called on its thread, without a lock.
struct poller_events {
    /// Bytes of a head arrived, or are left from before; the callee owns the connection and
    /// calls watch() again if it still needs more.
    std::function<void(const caller_pointer&)> input;
    /// The caller of a waiting request closed its side.
    std::function<void(const caller_pointer&)> disconnected;
    /// A head was not complete in time.
    std::function<void(const caller_pointer&)> headTimedOut;
    /// A connection was closed.
    std::function<void()> closed;
    /// Called at intervals by a poller that was told to by sweepsToo().
    std::function<void(instant now)> sweepDue;
};

struct poller_timeouts {
    duration head;
    duration idle;
    /// In place of idle after closeIdle().
    duration idleWhileDraining;
    duration linger;
};

/// One thread over a set of connections. Public methods are thread-safe.
class poller {
public:
    poller(poller_events events, poller_timeouts timeouts);
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;
    ~poller();

    /// Watches the connection for what its phase waits for.
    void watch(const caller_pointer& connection);
    /// Stops watching; false if the connection was not watched.
    bool unwatch(const caller_pointer& connection);
    /// Makes this poller call swept at intervals.
    void enableSweepEvents() { m_sweepEventsEnabled = true; }
    /// From now on closes connections that were idle for the time of a drain.
    void closeIdle();
    /// Calls accept whenever the listener can accept, until it returns false.
    void listen(const Poco::Net::ServerSocket& listener, std::function<void()> accept);
    void stopListening();
    /// Ends the thread. Connections that are still watched stay open until destruction.
    void stop();

private:
    void run();
    void handle(const caller_pointer& connection);
    void handleLingering(const caller_pointer& connection);
    void handleWaiting(const caller_pointer& connection);
    void handleInput(const caller_pointer& connection);
    void processReady();
    void sweep(instant now);
    void expire(const caller_pointer& connection);
    void shutdownIdle(const caller_pointer& connection);
    void linger(const caller_pointer& connection);
    void drop(const caller_pointer& connection);
    void wake();
    [[nodiscard]] caller_pointer find(const Poco::Net::Socket& socket);
    [[nodiscard]] bool expired(const caller_connection& connection, instant now) const;

    poller_events m_events;
    poller_timeouts m_timeouts;
    Poco::Net::PollSet m_set;
    Poco::Net::DatagramSocket m_wakeSocket;
    std::mutex m_mutex;
    std::unordered_map<int, caller_pointer> m_watched;
    std::vector<caller_pointer> m_ready;
    std::unique_ptr<Poco::Net::ServerSocket> m_listener;
    std::function<void()> m_accept;
    std::atomic<bool> m_closesIdle { false };
    std::atomic<bool> m_stopped { false };
    std::atomic<bool> m_sweepEventsEnabled { false };
    instant m_lastSweep {};
    std::thread m_thread;
};

} // namespace pimentomast::proxy::detail
