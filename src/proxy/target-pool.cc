#include "target-pool.h"

#include "pimentomast/transport.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>

namespace pimentomast::proxy::detail {

target_connection::target_connection(target_pool& pool, endpoint address)
    : m_pool(pool)
    , m_address(std::move(address))
{
}

target_connection::~target_connection()
{
    if (m_returned)
        return;
    transport::reset(socket);
    m_pool.release(m_address);
}

io_result target_connection::send(std::string_view bytes)
{
    const auto sent = sendSome(socket, bytes);
    if (hasEnded(sent.state) && !m_loss)
        m_loss = sent.state;
    return sent;
}

io_result target_connection::receive(std::string& buffer, std::size_t limit)
{
    auto got = receiveInto(socket, buffer, limit);
    if (got.state == io_state::EndOfStream && !transport::hasPeerFinished(socket))
        got.state = m_loss.value_or(io_state::Failed);
    return got;
}

void target_connection::returnToPool()
{
    m_returned = true;
    m_pool.putIdle(m_address, socket, opened);
}

target_pool::target_pool(duration connectTimeout, duration idleTimeout)
    : m_connectTimeout(connectTimeout)
    , m_idleTimeout(idleTimeout)
{
}

std::unique_ptr<target_connection> target_pool::reuse(const endpoint& address)
{
    while (auto idle = takeIdle(address)) {
        auto connection = std::make_unique<target_connection>(*this, address);
        connection->socket = idle->socket;
        connection->opened = idle->opened;
        connection->used = true;
        if (peekState(idle->socket) == io_state::WouldBlock)
            return connection;
    }
    return nullptr;
}

acquire_result target_pool::acquire(const endpoint& address, unsigned limit, bool mustBeNew)
{
    if (!mustBeNew) {
        if (auto connection = reuse(address))
            return connection;
    }
    while (!reserve(address, limit)) {
        if (!closeOldestIdle(address))
            return reason::NoConnection;
    }
    auto connection = std::make_unique<target_connection>(*this, address);
    connection->opened = monotonic_clock::now();
    const auto socket = open(address);
    if (!socket)
        return reason::ConnectFailed;
    connection->socket = *socket;
    return connection;
}

template <class Condition>
void target_pool::target_entry::closeIdleIf(const Condition& isOver)
{
    const auto over = std::stable_partition(idle.begin(), idle.end(),
        [&](const idle_connection& connection) { return !isOver(connection); });
    for (auto each = over; each != idle.end(); ++each)
        transport::closeIdle(each->socket);
    open -= static_cast<std::size_t>(idle.end() - over);
    idle.erase(over, idle.end());
}

bool target_pool::closeOldestIdle(const endpoint& address)
{
    const std::lock_guard lock(m_mutex);
    target_entry& entry = m_targets[address];
    if (entry.idle.empty())
        return false;
    transport::closeIdle(entry.idle.front().socket);
    entry.idle.erase(entry.idle.begin());
    --entry.open;
    return true;
}

std::optional<Poco::Net::StreamSocket> target_pool::open(const endpoint& address) const
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address.ip, address.port),
            Poco::Timespan(m_connectTimeout.count()));
        transport::prepare(socket);
        return socket;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

void target_pool::closeOpenedBefore(const endpoint& address, instant before)
{
    const std::lock_guard lock(m_mutex);
    target_entry& entry = m_targets[address];
    entry.minOpened = std::max(entry.minOpened, before);
    entry.closeIdleIf(
        [before](const idle_connection& connection) { return connection.opened < before; });
}

void target_pool::closeIdle(instant now)
{
    const std::lock_guard lock(m_mutex);
    for (auto& [address, entry] : m_targets) {
        entry.closeIdleIf([&](const idle_connection& connection) {
            return connection.idleSince + m_idleTimeout < now
                || peekState(connection.socket) != io_state::WouldBlock;
        });
    }
    std::erase_if(m_targets, [](const auto& item) { return item.second.open == 0; });
}

std::size_t target_pool::size() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t open = 0;
    for (const auto& [address, entry] : m_targets)
        open += entry.open;
    return open;
}

std::optional<target_pool::idle_connection> target_pool::takeIdle(const endpoint& address)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_targets.find(address);
    if (found == m_targets.end() || found->second.idle.empty())
        return std::nullopt;
    idle_connection connection = found->second.idle.back();
    found->second.idle.pop_back();
    return connection;
}

bool target_pool::reserve(const endpoint& address, unsigned limit)
{
    const std::lock_guard lock(m_mutex);
    target_entry& entry = m_targets[address];
    if (entry.open >= limit)
        return false;
    ++entry.open;
    return true;
}

void target_pool::release(const endpoint& address)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_targets.find(address);
    if (found != m_targets.end() && found->second.open > 0)
        --found->second.open;
}

void target_pool::putIdle(const endpoint& address, Poco::Net::StreamSocket& socket, instant opened)
{
    const std::lock_guard lock(m_mutex);
    target_entry& entry = m_targets[address];
    if (opened < entry.minOpened) {
        --entry.open;
        return transport::closeIdle(socket);
    }
    entry.idle.push_back({ socket, opened, monotonic_clock::now() });
}

} // namespace pimentomast::proxy::detail
