#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Blocking sockets and HTTP/1.1 messages for the stand-ins of the third review.
namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct endpoint {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

/// Owns a descriptor of a socket.
class socket_handle {
public:
    socket_handle() = default;
    explicit socket_handle(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    socket_handle(socket_handle&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    socket_handle& operator=(socket_handle&& other) noexcept;
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;
    ~socket_handle() { close(); }

    [[nodiscard]] int get() const noexcept { return m_descriptor; }
    [[nodiscard]] bool isOpen() const noexcept { return m_descriptor >= 0; }
    void close() noexcept;
    /// Closes with a reset.
    void reset() noexcept;

private:
    int m_descriptor = -1;
};

/// Listens on the address; port 0 takes a free one. Throws std::runtime_error if that fails.
[[nodiscard]] socket_handle listenOn(const endpoint& at);
/// Returns the port that the socket is bound to.
[[nodiscard]] std::uint16_t portOf(const socket_handle& bound);
/// Returns a port of the address that is free now.
[[nodiscard]] std::uint16_t freePort(const std::string& ip);
/// Waits for a connection; not open if none came in time.
[[nodiscard]] socket_handle acceptFrom(const socket_handle& listener, milliseconds limit);
/// Connects within the limit; not open if that fails.
[[nodiscard]] socket_handle connectTo(const endpoint& to, milliseconds limit);
/// Sends all bytes. Returns false if the connection failed.
[[nodiscard]] bool sendAll(const socket_handle& to, std::string_view bytes);
/// Returns whether the peer has closed or reset the connection.
[[nodiscard]] bool hasPeerClosed(const socket_handle& connection);

using header_fields = std::vector<std::pair<std::string, std::string>>;

/// A request or a response.
struct message {
    /// Request or status line.
    std::string startLine;
    header_fields fields;
    std::string body;

    /// Returns the value of the first field of this name; empty if there is none.
    [[nodiscard]] std::string field(std::string_view name) const;
    /// Returns the words of the start line.
    [[nodiscard]] std::vector<std::string> words() const;
    /// Returns the status of a response; 0 if the line has none.
    [[nodiscard]] int status() const;
    /// Returns the message as sent, with a length.
    [[nodiscard]] std::string text() const;
};

enum class read_state {
    Whole,
    /// The peer ended the connection before the first byte of the message.
    Closed,
    /// It ended within the message, or the message is malformed.
    Broken,
    TimedOut,
};

/// Reads messages from one connection.
class message_reader {
public:
    /// Reads the next message. A response without a length ends with the connection.
    [[nodiscard]] read_state read(
        const socket_handle& from, message& into, steady::time_point deadline);
    /// Waits for the first byte of the next message, or for the end of the connection. Returns
    /// whether there is one of them.
    [[nodiscard]] bool waitForMessage(const socket_handle& from, milliseconds limit) const;

private:
    /// Receives more bytes; Whole if there are some.
    [[nodiscard]] read_state receive(const socket_handle& from, steady::time_point deadline);
    [[nodiscard]] read_state readChunks(
        const socket_handle& from, message& into, steady::time_point deadline);

    std::string m_input;
};

} // namespace review
