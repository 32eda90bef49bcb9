#include "delivery.h"

#include <Poco/Net/SocketAddress.h>
#include <poll.h>

namespace pimentomast::proxy::detail {
namespace {

/// Interval at which a delivery is looked at without an event: another thread may have broken its
/// connection.
constexpr std::chrono::milliseconds checkInterval { 100 };
constexpr std::size_t wakeBytes = 64;
constexpr short callerLeaves = POLLRDHUP | POLLHUP | POLLERR;

} // namespace

delivery_loop::delivery_loop(duration stallLimit, end_event ended)
    : m_stallLimit(stallLimit)
    , m_ended(std::move(ended))
    , m_wakeSocket(Poco::Net::SocketAddress("127.0.0.1", 0), false)
{
    m_wakeSocket.connect(m_wakeSocket.address());
    m_thread = std::thread([this] { run(); });
}

void delivery_loop::add(delivery added)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped)
        return;
    m_added.push_back(std::move(added));
    ++m_size;
    wake();
}

void delivery_loop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        wake();
    }
    if (m_thread.joinable())
        m_thread.join();
    takeAdded();
    for (item& each : m_items)
        endBroken(each, delivery_end::CallerGone);
    m_items.clear();
}

void delivery_loop::wake()
{
    const char byte = 0;
    (void)sendSome(m_wakeSocket, std::string_view(&byte, 1));
}

void delivery_loop::takeAdded()
{
    std::vector<delivery> added;
    {
        const std::lock_guard lock(m_mutex);
        added.swap(m_added);
    }
    const instant now = monotonic_clock::now();
    for (delivery& each : added)
        m_items.push_back({ std::move(each), 0, now, now });
}

void delivery_loop::run()
{
    while (true) {
        takeAdded();
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopped)
                return;
        }
        wait();
    }
}

void delivery_loop::wait()
{
    std::vector<pollfd> watched { { descriptor(m_wakeSocket), POLLIN, 0 } };
    for (const item& each : m_items)
        watched.push_back({ descriptor(each.what.caller->socket), POLLOUT | POLLRDHUP, 0 });
    const int limit = m_items.empty() ? -1 : static_cast<int>(checkInterval.count());
    ::poll(watched.data(), watched.size(), limit);
    if (watched.front().revents != 0) {
        std::string ignored;
        (void)receiveInto(m_wakeSocket, ignored, wakeBytes);
    }
    const instant now = monotonic_clock::now();
    std::vector<item> left;
    for (std::size_t i = 0; i < m_items.size(); ++i) {
        if (!step(m_items[i], watched[i + 1].revents, now))
            left.push_back(std::move(m_items[i]));
    }
    m_items = std::move(left);
}

bool delivery_loop::step(item& each, short events, instant now)
{
    if (events == 0 && now - each.lastAttempt < checkInterval)
        return false;
    each.lastAttempt = now;
    caller_connection& caller = *each.what.caller;
    if ((events & callerLeaves) != 0)
        caller.responses.abandon();
    if (const auto ended = caller.responses.sendHeld(each.what.position, caller.socket)) {
        const bool isBroken = caller.responses.fate() == connection_fate::Broken;
        end(each, isBroken ? delivery_end::CallerGone : delivery_end::Sent, *ended);
        return true;
    }
    const std::size_t unsent = caller.responses.unsentBytes(each.what.position);
    if (unsent != each.unsent)
        each.lastProgress = now;
    each.unsent = unsent;
    if (now - each.lastProgress < m_stallLimit)
        return false;
    endBroken(each, delivery_end::Stalled);
    return true;
}

void delivery_loop::endBroken(item& each, delivery_end how)
{
    caller_connection& caller = *each.what.caller;
    end(each, how,
        caller.responses.end(each.what.position, connection_fate::Broken, caller.socket));
}

void delivery_loop::end(item& each, delivery_end how, const response_order::progress& now)
{
    --m_size;
    m_ended(each.what, how, now);
}

} // namespace pimentomast::proxy::detail
