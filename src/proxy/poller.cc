#include "poller.h"

#include "pimentomast/telemetry.h"

#include <Poco/Net/SocketAddress.h>

namespace pimentomast::proxy::detail {
namespace {

constexpr std::chrono::milliseconds pollInterval { 100 };
/// A poll that returns within this time did not wait.
constexpr std::chrono::milliseconds atOnce { 1 };
constexpr std::size_t receiveBytes = 16384;
constexpr std::size_t receiveBodyBytes = 65536;
constexpr std::size_t maxLingerBytes = 4194304;

using phase = caller_connection::phase;

/// The poller that runs on this thread, if any.
thread_local const poller* currentPoller = nullptr;

} // namespace

poller::poller(poller_events events, poller_timeouts timeouts)
    : m_events(std::move(events))
    , m_timeouts(timeouts)
    , m_wakeSocket(Poco::Net::SocketAddress("127.0.0.1", 0), false)
{
    m_wakeSocket.connect(m_wakeSocket.address());
    m_set.add(m_wakeSocket, Poco::Net::PollSet::POLL_READ);
    m_thread = std::thread([this] { run(); });
}

poller::~poller() { stop(); }

void poller::stop()
{
    m_stopped = true;
    wake();
    if (m_thread.joinable())
        m_thread.join();
}

void poller::wake()
{
    const char byte = 0;
    (void)sendSome(m_wakeSocket, std::string_view(&byte, 1));
}

void poller::watch(const caller_pointer& connection)
{
    if (connection->hasUnparsedInput) {
        {
            const std::lock_guard lock(m_mutex);
            m_ready.push_back(connection);
        }
        if (currentPoller != this)
            wake();
        return;
    }
    const Poco::Net::StreamSocket socket = connection->socket;
    const std::lock_guard lock(m_mutex);
    m_watched[descriptor(socket)] = connection;
    m_set.add(socket, Poco::Net::PollSet::POLL_READ);
}

void poller::resume(const caller_pointer& connection)
{
    {
        const std::lock_guard lock(m_mutex);
        m_resumed.push_back(connection);
    }
    if (currentPoller != this)
        wake();
}

bool poller::unwatch(const caller_pointer& connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_watched.find(descriptor(connection->socket));
    if (found == m_watched.end() || found->second != connection)
        return false;
    m_watched.erase(found);
    m_set.remove(connection->socket);
    return true;
}

void poller::closeIdle(instant latest)
{
    m_latestIdle = latest;
    m_closesIdle = true;
    wake();
}

void poller::listen(const Poco::Net::ServerSocket& listener, std::function<void()> accept)
{
    const std::lock_guard lock(m_mutex);
    m_listener = std::make_unique<Poco::Net::ServerSocket>(listener);
    m_accept = std::move(accept);
    m_set.add(*m_listener, Poco::Net::PollSet::POLL_READ);
}

void poller::stopListening()
{
    const std::lock_guard lock(m_mutex);
    if (m_listener)
        m_set.remove(*m_listener);
    m_listener.reset();
}

void poller::run()
{
    currentPoller = this;
    while (!m_stopped) {
        const instant asked = monotonic_clock::now();
        const auto events = m_set.poll(Poco::Timespan(duration(pollInterval).count()));
        noteWakeUp(asked);
        for (const auto& [socket, mode] : events) {
            if (const auto connection = find(socket))
                handle(connection);
        }
        processReady();
        processResumed();
        const instant now = monotonic_clock::now();
        if (now - m_lastSweep < pollInterval)
            continue;
        sweep(now);
        if (m_sweepEventsEnabled)
            m_events.sweepDue(now);
    }
}

// Bytes that were there at once may have come at any time since the last call.
void poller::noteWakeUp(instant asked)
{
    const instant now = monotonic_clock::now();
    m_earliestArrival = now - asked < atOnce ? m_lastWakeUp : now;
    m_lastWakeUp = now;
}

caller_pointer poller::find(const Poco::Net::Socket& socket)
{
    if (socket == m_wakeSocket) {
        std::string ignored;
        (void)receiveInto(m_wakeSocket, ignored, receiveBytes);
        return nullptr;
    }
    std::function<void()> accept;
    {
        const std::lock_guard lock(m_mutex);
        if (m_listener && socket == *m_listener) {
            accept = m_accept;
        } else {
            const auto found = m_watched.find(descriptor(socket));
            return found == m_watched.end() || found->second->socket != socket ? nullptr
                                                                               : found->second;
        }
    }
    accept();
    return nullptr;
}

void poller::handle(const caller_pointer& connection)
{
    switch (connection->state) {
    case phase::Lingering:
        return handleLingering(connection);
    case phase::Waiting:
        return handleWaiting(connection);
    case phase::Idle:
    case phase::Head:
    case phase::Body:
        return handleInput(connection);
    }
}

void poller::handleLingering(const caller_pointer& connection)
{
    if (connection->closedIdle) {
        if (unwatch(connection))
            drop(connection);
        return;
    }
    std::string ignored;
    const auto got = receiveInto(connection->socket, ignored, receiveBytes);
    connection->discardedBytes += got.bytes;
    if ((hasEnded(got.state) || connection->discardedBytes > maxLingerBytes) && unwatch(connection))
        drop(connection);
}

void poller::handleWaiting(const caller_pointer& connection)
{
    const io_state state = peekState(connection->socket);
    if (state == io_state::WouldBlock || !unwatch(connection))
        return;
    // The request may have ended meanwhile, and its connection have been watched again as idle.
    if (connection->state != phase::Waiting)
        return watch(connection);
    if (state != io_state::Ready)
        m_events.disconnected(connection);
}

void poller::handleInput(const caller_pointer& connection)
{
    if (!unwatch(connection))
        return;
    const std::size_t limit = connection->state == phase::Body ? receiveBodyBytes : receiveBytes;
    const auto got = receiveInto(connection->socket, connection->input, limit);
    if (got.state == io_state::WouldBlock)
        return watch(connection);
    if (got.state != io_state::Ready)
        return m_events.disconnected(connection);
    connection->arrivals.received(got.bytes, std::max(m_earliestArrival, connection->phaseStarted));
    passInput(connection);
}

// An exception ends the connection, not the host.
void poller::passInput(const caller_pointer& connection)
{
    try {
        m_events.input(connection);
    } catch (const std::exception& fault) {
        telemetry::log(telemetry::severity::Error, "input-failed",
            { { "peer", connection->peerIp }, { "reason", fault.what() } });
        m_events.disconnected(connection);
    }
}

void poller::processReady()
{
    std::vector<caller_pointer> ready;
    {
        const std::lock_guard lock(m_mutex);
        ready.swap(m_ready);
    }
    for (const caller_pointer& connection : ready) {
        if (!connection->isClosed && !connection->inputTaken)
            passInput(connection);
    }
}

void poller::processResumed()
{
    std::vector<caller_pointer> resumed;
    {
        const std::lock_guard lock(m_mutex);
        resumed.swap(m_resumed);
    }
    for (const caller_pointer& connection : resumed) {
        if (connection->isClosed || connection->inputTaken)
            continue;
        (void)unwatch(connection);
        passInput(connection);
    }
}

bool poller::bodyExpired(const body_collection& body, instant now) const
{
    if (now >= body.deadline || now >= body.lastProgress + m_timeouts.body)
        return true;
    const duration waited = now - body.started - body.paused;
    const std::chrono::duration<double> seconds = waited;
    return waited > m_timeouts.body
        && double(body.bytes.size()) < seconds.count() * double(m_timeouts.minBodyBytesPerSecond);
}

bool poller::expired(const caller_connection& connection, instant now) const
{
    const bool reads = connection.state == phase::Idle || connection.state == phase::Head;
    if (reads && !connection.responses.isEmpty())
        return false;
    const bool mustEnd = now >= m_latestIdle.load();
    const instant started = std::max(connection.phaseStarted, connection.responses.lastEnded());
    switch (connection.state) {
    case phase::Idle:
        return mustEnd
            || now >= started + (m_closesIdle ? m_timeouts.idleWhileDraining : m_timeouts.idle);
    case phase::Head:
        return mustEnd || now >= started + m_timeouts.head;
    case phase::Body:
        return mustEnd || bodyExpired(*connection.collection, now);
    case phase::Lingering:
        return now >= connection.phaseStarted + m_timeouts.linger;
    case phase::Waiting:
        return false;
    }
    return false;
}

void poller::sweep(instant now)
{
    m_lastSweep = now;
    std::vector<caller_pointer> expiredConnections;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [handle, connection] : m_watched) {
            if (expired(*connection, now))
                expiredConnections.push_back(connection);
        }
    }
    for (const caller_pointer& connection : expiredConnections)
        expire(connection);
}

void poller::expire(const caller_pointer& connection)
{
    if (!unwatch(connection))
        return;
    if (connection->state == phase::Head || connection->state == phase::Body)
        m_events.headTimedOut(connection);
    else if (connection->state == phase::Idle)
        shutdownIdle(connection);
    else
        drop(connection);
}

// A request that arrived before the shutdown is still served. The check directly precedes the
// shutdown, so that a request can hardly arrive in between, even on a busy machine.
void poller::shutdownIdle(const caller_pointer& connection)
{
    if (peekState(connection->socket) == io_state::Ready)
        return watch(connection);
    shutdownSend(connection->socket);
    connection->closedIdle = true;
    linger(connection);
}

// A request that arrives after this is left unread: its caller may send it again, even one that may
// not be repeated.
void poller::linger(const caller_pointer& connection)
{
    connection->state = phase::Lingering;
    connection->phaseStarted = monotonic_clock::now();
    watch(connection);
}

void poller::drop(const caller_pointer& connection)
{
    connection->isClosed = true;
    closeConnection(connection->socket);
    m_events.closed();
}

} // namespace pimentomast::proxy::detail
