#pragma once

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Non-blocking socket operations that report errors without exceptions.
namespace pimentomast::proxy::detail {

enum class io_state {
    Ready,
    /// Nothing can be read or written at present.
    WouldBlock,
    /// The peer shut down its sending side.
    EndOfStream,
    /// The connection is lost.
    Failed,
    /// The connection is lost: the peer's machine acknowledged nothing any more.
    Silent,
};

/// Returns whether nothing more can be received.
[[nodiscard]] constexpr bool hasEnded(io_state state)
{
    return state != io_state::Ready && state != io_state::WouldBlock;
}

struct io_result {
    io_state state = io_state::Ready;
    std::size_t bytes = 0;
};

/// Bytes that the proxy received and sent since the start of the process. Thread-safe.
struct byte_counts {
    std::atomic<std::uint64_t> received { 0 };
    std::atomic<std::uint64_t> sent { 0 };
};
byte_counts& forwardedBytes() noexcept;

/// Receives at most limit bytes and appends them to the buffer.
io_result receiveInto(const Poco::Net::Socket& socket, std::string& buffer, std::size_t limit);

/// Sends as many bytes as the kernel accepts without blocking.
io_result sendSome(const Poco::Net::Socket& socket, std::string_view bytes);

/// Returns whether data, end of stream or an error is pending, without consuming any data.
io_state peekState(const Poco::Net::Socket& socket);

/// Returns whether the peer has closed the connection or its sending side, also behind data that
/// has not been received.
bool hasPeerClosed(const Poco::Net::Socket& socket);

/// Returns whether accept() on the listener would return a connection without blocking.
bool hasPendingConnection(const Poco::Net::Socket& listener);

/// Attaches a socket filter that drops SYN segments, so that no new connections start while
/// handshakes in progress complete. Returns false if the kernel does not support it.
bool dropIncomingSyns(const Poco::Net::Socket& listener) noexcept;

/// Shuts down the sending side. Never throws.
void shutdownSend(Poco::Net::StreamSocket& socket) noexcept;

/// Shuts down both directions, which wakes a thread that waits on the socket. Never throws.
void shutdownBoth(Poco::Net::StreamSocket& socket) noexcept;

/// Shuts down the receiving side, which wakes a thread that waits on the socket. Nothing is sent:
/// after an orderly end a reset that follows could be overlooked. Never throws.
void shutdownReceive(Poco::Net::StreamSocket& socket) noexcept;

/// Makes the connection end with a TCP reset when it is closed, so that the peer detects a
/// truncated message.
void resetOnClose(Poco::Net::StreamSocket& socket) noexcept;

/// Reverts resetOnClose().
void finishOnClose(Poco::Net::StreamSocket& socket) noexcept;

/// Closes the connection. Never throws.
void closeConnection(Poco::Net::StreamSocket& socket) noexcept;

[[nodiscard]] inline int descriptor(const Poco::Net::Socket& socket)
{
    return static_cast<int>(socket.impl()->sockfd());
}

} // namespace pimentomast::proxy::detail
