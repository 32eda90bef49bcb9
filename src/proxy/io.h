#pragma once

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <string>
#include <string_view>

/// Reads and writes on non-blocking sockets without exceptions.
namespace pimentomast::proxy::detail {

enum class io_state {
    Ready,
    /// Nothing can be read or written now.
    WouldBlock,
    /// The peer closed its side in order.
    EndOfStream,
    /// The connection is lost.
    Failed,
};

struct io_result {
    io_state state = io_state::Ready;
    std::size_t bytes = 0;
};

/// Appends at most limit bytes to the buffer.
io_result receiveInto(const Poco::Net::Socket& socket, std::string& buffer, std::size_t limit);

/// Sends as much as the kernel takes.
io_result sendSome(const Poco::Net::Socket& socket, std::string_view bytes);

/// Tells without reading whether bytes, an end or a failure wait on the socket.
io_state peekState(const Poco::Net::Socket& socket);

/// Tells whether accepting from the listener would not wait.
bool hasPendingConnection(const Poco::Net::Socket& listener);

/// Has the kernel leave new connections' first segments unanswered, while those that are being made
/// are completed. Returns false if the kernel can't.
bool dropIncomingSyns(const Poco::Net::Socket& listener) noexcept;

/// Ends the sending side in order; never throws.
void shutdownSend(Poco::Net::StreamSocket& socket) noexcept;

/// Ends both directions, by which a thread that waits on the socket wakes; never throws.
void shutdownBoth(Poco::Net::StreamSocket& socket) noexcept;

/// Closes the connection with a reset, so that the peer sees that what it got is not whole.
void resetConnection(Poco::Net::StreamSocket& socket) noexcept;

/// Closes the connection in order; never throws.
void closeConnection(Poco::Net::StreamSocket& socket) noexcept;

[[nodiscard]] inline int descriptor(const Poco::Net::Socket& socket)
{
    return static_cast<int>(socket.impl()->sockfd());
}

} // namespace pimentomast::proxy::detail
