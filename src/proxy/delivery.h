#pragma once

#include "exchange.h"

#include <Poco/Net/DatagramSocket.h>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

/// Sending of whole responses whose callers read slowly.
namespace pimentomast::proxy::detail {

/// A held response that a caller's socket did not take at once.
struct delivery {
    std::shared_ptr<caller_connection> caller;
    turn position;
    /// The request, if its completion has not been reported yet.
    std::unique_ptr<exchange> request {};
    int status = 0;
};

/// How a delivery ended.
enum class delivery_end {
    Sent,
    /// The caller left, or the connection broke.
    CallerGone,
    /// The caller read nothing for too long.
    Stalled,
};

/// Sends held responses on a thread of its own. Public methods are thread-safe.
class delivery_loop {
public:
    /// Called on the thread of the loop or by stop(), without a lock held.
    using end_event
        = std::function<void(delivery& ended, delivery_end how, const response_order::progress&)>;

    /// A delivery without progress ends after the stall limit.
    delivery_loop(duration stallLimit, end_event ended);
    delivery_loop(const delivery_loop&) = delete;
    delivery_loop& operator=(const delivery_loop&) = delete;
    ~delivery_loop() { stop(); }

    void add(delivery added);
    /// Joins the thread and ends the deliveries that are left as broken. Deliveries added later are
    /// dropped.
    void stop();
    /// Returns the number of deliveries that have not ended.
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

private:
    struct item {
        delivery what;
        std::size_t unsent = 0;
        instant lastProgress;
        instant lastAttempt;
    };

    void run();
    void wake();
    void takeAdded();
    void wait();
    /// Sends what the caller's socket takes. Returns whether the delivery has ended.
    [[nodiscard]] bool step(item& each, short events, instant now);
    void end(item& each, delivery_end how, const response_order::progress& now);
    void endBroken(item& each, delivery_end how);

    const duration m_stallLimit;
    const end_event m_ended;
    Poco::Net::DatagramSocket m_wakeSocket;
    std::mutex m_mutex;
    std::vector<delivery> m_added;
    bool m_stopped = false;
    std::atomic<std::size_t> m_size { 0 };
    /// Accessed only by the thread, and by stop() once it has ended.
    std::vector<item> m_items;
    std::thread m_thread;
};

} // namespace pimentomast::proxy::detail
