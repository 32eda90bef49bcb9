#include "pimentomast/transport.h"

#include <Poco/Exception.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace pimentomast::transport {
namespace {

constexpr int maxUnansweredProbes = 2;

int descriptor(const Poco::Net::StreamSocket& socket)
{
    return static_cast<int>(socket.impl()->sockfd());
}

/// Returns whether the peer has not acknowledged everything; false if the kernel does not tell.
bool awaitsAcknowledgement(int socket) noexcept
{
    int bytes = 0;
    return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/// Returns what the kernel knows of the connection; nothing if it does not tell.
std::optional<tcp_info> infoOf(int socket) noexcept
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::nullopt;
    return info;
}

/// Returns the time since the peer last acknowledged anything; 0 if the kernel does not tell.
std::chrono::milliseconds timeSinceAcknowledgement(int socket) noexcept
{
    const auto info = infoOf(socket);
    return std::chrono::milliseconds(info ? info->tcpi_last_ack_recv : 0);
}

} // namespace

void prepare(Poco::Net::StreamSocket& opened)
{
    const auto seconds = static_cast<int>(silenceInterval.count());
    opened.setNoDelay(true);
    opened.setLinger(true, 0);
    opened.setKeepAlive(true);
    opened.setOption(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    opened.setOption(IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    opened.setOption(IPPROTO_TCP, TCP_KEEPCNT, maxUnansweredProbes);
}

void limitDelivery(Poco::Net::StreamSocket& connection, std::chrono::milliseconds limit)
{
    connection.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

bool isSilent(const Poco::Net::StreamSocket& connection) noexcept
{
    const int socket = descriptor(connection);
    return awaitsAcknowledgement(socket) && timeSinceAcknowledgement(socket) >= silenceLimit;
}

bool hasPeerFinished(const Poco::Net::StreamSocket& connection) noexcept
{
    const auto info = infoOf(descriptor(connection));
    return info && info->tcpi_state == TCP_CLOSE_WAIT;
}

void reset(Poco::Net::StreamSocket& connection) noexcept
{
    try {
        connection.close();
    } catch (const Poco::Exception&) {
        // It was closed already.
        return;
    }
}

void closeIdle(Poco::Net::StreamSocket& connection) noexcept
{
    const linger none { 0, 0 };
    ::setsockopt(descriptor(connection), SOL_SOCKET, SO_LINGER, &none, sizeof none);
    reset(connection);
}

} // namespace pimentomast::transport
