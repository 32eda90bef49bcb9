#include "sockets.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

constexpr int backlog = 512;
constexpr std::size_t receiveBytes = 65536;
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";

sockaddr_in addressOf(const endpoint& at)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    if (::inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("not an IPv4 address: " + at.ip);
    return address;
}

int waitFor(int descriptor, short events, milliseconds limit)
{
    pollfd watched { descriptor, events, 0 };
    return ::poll(&watched, 1, static_cast<int>(std::max<std::int64_t>(limit.count(), 0)));
}

milliseconds leftUntil(steady::time_point deadline)
{
    return std::chrono::ceil<milliseconds>(deadline - steady::now());
}

bool equalNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
            == std::tolower(static_cast<unsigned char>(b));
    });
}

void setNoDelay(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void parseHead(std::string_view head, message& into)
{
    const auto first = head.find(lineEnd);
    into.startLine = head.substr(0, first);
    while (first != std::string_view::npos && !head.empty()) {
        const auto end = head.find(lineEnd);
        const auto line = head.substr(0, end);
        head.remove_prefix(std::min(line.size() + lineEnd.size(), head.size()));
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || line == into.startLine)
            continue;
        auto value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
            value.remove_prefix(1);
        into.fields.emplace_back(line.substr(0, colon), value);
    }
}

} // namespace

socket_handle& socket_handle::operator=(socket_handle&& other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
    }
    return *this;
}

void socket_handle::close() noexcept
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

void socket_handle::reset() noexcept
{
    const linger immediate { 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    close();
}

socket_handle listenOn(const endpoint& at)
{
    socket_handle listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(at);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (::bind(listener.get(), generic, sizeof address) != 0
        || ::listen(listener.get(), backlog) != 0)
        throw std::runtime_error("cannot listen on " + at.text());
    return listener;
}

std::uint16_t portOf(const socket_handle& bound)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    ::getsockname(bound.get(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::uint16_t freePort(const std::string& ip) { return portOf(listenOn({ ip, 0 })); }

socket_handle acceptFrom(const socket_handle& listener, milliseconds limit)
{
    if (waitFor(listener.get(), POLLIN, limit) <= 0)
        return {};
    socket_handle accepted(::accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (accepted.isOpen())
        setNoDelay(accepted.get());
    return accepted;
}

socket_handle connectTo(const endpoint& to, milliseconds limit)
{
    socket_handle opened(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const auto address = addressOf(to);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (::connect(opened.get(), generic, sizeof address) != 0) {
        int failure = 0;
        socklen_t size = sizeof failure;
        if (errno != EINPROGRESS || waitFor(opened.get(), POLLOUT, limit) <= 0
            || ::getsockopt(opened.get(), SOL_SOCKET, SO_ERROR, &failure, &size) != 0
            || failure != 0)
            return {};
    }
    const int flags = ::fcntl(opened.get(), F_GETFL);
    ::fcntl(opened.get(), F_SETFL, flags & ~O_NONBLOCK);
    setNoDelay(opened.get());
    return opened;
}

bool sendAll(const socket_handle& to, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(to.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool hasPeerClosed(const socket_handle& connection)
{
    pollfd watched { connection.get(), POLLRDHUP, 0 };
    return ::poll(&watched, 1, 0) > 0;
}

std::string message::field(std::string_view name) const
{
    for (const auto& [key, value] : fields) {
        if (equalNames(key, name))
            return value;
    }
    return {};
}

std::vector<std::string> message::words() const
{
    std::istringstream line(startLine);
    std::vector<std::string> found;
    for (std::string word; line >> word;)
        found.push_back(word);
    return found;
}

int message::status() const
{
    const auto found = words();
    return found.size() < 2 ? 0 : std::atoi(found[1].c_str());
}

std::string message::text() const
{
    std::string whole = startLine + "\r\n";
    for (const auto& [key, value] : fields)
        whole.append(key).append(": ").append(value).append("\r\n");
    return whole + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool message_reader::waitForMessage(const socket_handle& from, milliseconds limit) const
{
    return !m_input.empty() || waitFor(from.get(), POLLIN, limit) > 0;
}

read_state message_reader::receive(const socket_handle& from, steady::time_point deadline)
{
    if (waitFor(from.get(), POLLIN, leftUntil(deadline)) <= 0)
        return read_state::TimedOut;
    std::array<char, receiveBytes> piece {};
    const auto got = ::recv(from.get(), piece.data(), piece.size(), 0);
    if (got < 0)
        return read_state::Broken;
    if (got == 0)
        return read_state::Closed;
    m_input.append(piece.data(), static_cast<std::size_t>(got));
    return read_state::Whole;
}

read_state message_reader::readChunks(
    const socket_handle& from, message& into, steady::time_point deadline)
{
    while (true) {
        const auto end = m_input.find(lineEnd);
        const auto size = end == std::string::npos ? 0 : std::strtoul(m_input.c_str(), nullptr, 16);
        const auto needed = end + lineEnd.size() + size + lineEnd.size();
        if (end == std::string::npos || m_input.size() < needed) {
            const auto got = receive(from, deadline);
            if (got != read_state::Whole)
                return got == read_state::Closed ? read_state::Broken : got;
            continue;
        }
        into.body += m_input.substr(end + lineEnd.size(), size);
        m_input.erase(0, needed);
        if (size == 0)
            return read_state::Whole;
    }
}

read_state message_reader::read(
    const socket_handle& from, message& into, steady::time_point deadline)
{
    into = {};
    while (m_input.find(headEnd) == std::string::npos) {
        const auto got = receive(from, deadline);
        if (got == read_state::Closed && !m_input.empty())
            return read_state::Broken;
        if (got != read_state::Whole)
            return got;
    }
    const auto end = m_input.find(headEnd);
    parseHead(std::string_view(m_input).substr(0, end + lineEnd.size()), into);
    m_input.erase(0, end + headEnd.size());
    if (equalNames(into.field("Transfer-Encoding"), "chunked"))
        return readChunks(from, into, deadline);
    const auto length = into.field("Content-Length");
    const bool isResponse = into.startLine.starts_with("HTTP/");
    const auto bytes = std::strtoull(length.c_str(), nullptr, 10);
    const bool endsWithConnection = isResponse && length.empty();
    while (endsWithConnection || m_input.size() < bytes) {
        const auto got = receive(from, deadline);
        if (got == read_state::Closed && endsWithConnection) {
            into.body = std::exchange(m_input, {});
            return read_state::Whole;
        }
        if (got != read_state::Whole)
            return got == read_state::Closed ? read_state::Broken : got;
    }
    into.body = m_input.substr(0, bytes);
    m_input.erase(0, bytes);
    return read_state::Whole;
}

} // namespace review
