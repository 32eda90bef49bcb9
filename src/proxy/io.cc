#include "io.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/filter.h>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace pimentomast::proxy::detail {
namespace {

constexpr std::size_t receiveBytes = 65536;
using receive_buffer = std::array<char, receiveBytes>;
/// Offset of the flags byte; socket filters see TCP segments from the TCP header on.
constexpr unsigned tcpFlagsOffset = 13;

io_state stateFromErrno(int code)
{
    switch (code) {
    case EAGAIN:
    case EINTR:
        return io_state::WouldBlock;
    case ETIMEDOUT:
        return io_state::Silent;
    default:
        return io_state::Failed;
    }
}

} // namespace

byte_counts& forwardedBytes() noexcept
{
    static byte_counts counts;
    return counts;
}

io_result receiveInto(const Poco::Net::Socket& socket, std::string& buffer, std::size_t limit)
{
    // Allocated on first use: a thread_local array would have its pages written at the start of
    // every thread of the process.
    thread_local const auto scratch = std::make_unique_for_overwrite<receive_buffer>();
    const std::size_t room = std::min(limit, receiveBytes);
    const ssize_t got = ::recv(descriptor(socket), scratch->data(), room, MSG_DONTWAIT);
    if (got > 0) {
        buffer.append(scratch->data(), static_cast<std::size_t>(got));
        forwardedBytes().received.fetch_add(
            static_cast<std::uint64_t>(got), std::memory_order_relaxed);
        return { io_state::Ready, static_cast<std::size_t>(got) };
    }
    if (got == 0)
        return { io_state::EndOfStream, 0 };
    return { stateFromErrno(errno), 0 };
}

io_result sendSome(const Poco::Net::Socket& socket, std::string_view bytes)
{
    const ssize_t sent
        = ::send(descriptor(socket), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent >= 0) {
        forwardedBytes().sent.fetch_add(
            static_cast<std::uint64_t>(sent), std::memory_order_relaxed);
        return { io_state::Ready, static_cast<std::size_t>(sent) };
    }
    return { stateFromErrno(errno), 0 };
}

io_state peekState(const Poco::Net::Socket& socket)
{
    char byte = 0;
    const ssize_t got = ::recv(descriptor(socket), &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    if (got > 0)
        return io_state::Ready;
    return got == 0 ? io_state::EndOfStream : stateFromErrno(errno);
}

bool hasPeerClosed(const Poco::Net::Socket& socket)
{
    pollfd watched { descriptor(socket), POLLRDHUP, 0 };
    return ::poll(&watched, 1, 0) > 0;
}

bool hasPendingConnection(const Poco::Net::Socket& listener)
{
    pollfd watched { descriptor(listener), POLLIN, 0 };
    return ::poll(&watched, 1, 0) == 1 && (watched.revents & POLLIN) != 0;
}

bool dropIncomingSyns(const Poco::Net::Socket& listener) noexcept
{
    std::array<sock_filter, 5> filterProgram { {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, tcpFlagsOffset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, 0xffffffff),
    } };
    const sock_fprog filter { static_cast<unsigned short>(filterProgram.size()),
        filterProgram.data() };
    return ::setsockopt(descriptor(listener), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter)
        == 0;
}

void shutdownSend(Poco::Net::StreamSocket& socket) noexcept
{
    ::shutdown(descriptor(socket), SHUT_WR);
}

void shutdownBoth(Poco::Net::StreamSocket& socket) noexcept
{
    ::shutdown(descriptor(socket), SHUT_RDWR);
}

void shutdownReceive(Poco::Net::StreamSocket& socket) noexcept
{
    ::shutdown(descriptor(socket), SHUT_RD);
}

void resetOnClose(Poco::Net::StreamSocket& socket) noexcept
{
    const linger immediate { 1, 0 };
    ::setsockopt(descriptor(socket), SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
}

void finishOnClose(Poco::Net::StreamSocket& socket) noexcept
{
    const linger off { 0, 0 };
    ::setsockopt(descriptor(socket), SOL_SOCKET, SO_LINGER, &off, sizeof off);
}

void closeConnection(Poco::Net::StreamSocket& socket) noexcept
{
    try {
        socket.close();
    } catch (const Poco::Exception&) {
        return;
    }
}

} // namespace pimentomast::proxy::detail
