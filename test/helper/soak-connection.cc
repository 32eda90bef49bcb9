#include "soak-callers.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace pimentomast::test {

namespace {

/// Far above all deadlines of a soak.
constexpr seconds answerLimit { 15 };

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string::npos ? std::string() : text.substr(first);
}

} // namespace

std::optional<soak_connection> soak_connection::open(const endpoint& server)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval limit { answerLimit.count(), 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return soak_connection(descriptor);
    close(descriptor);
    return std::nullopt;
}

soak_connection::soak_connection(soak_connection&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_input(std::move(other.m_input))
{
}

soak_connection& soak_connection::operator=(soak_connection&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_input, other.m_input);
    return *this;
}

soak_connection::~soak_connection()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

bool soak_connection::send(const std::string& bytes) const
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count
            = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Returns how the connection failed, if it did.
std::optional<soak_end> soak_connection::fill()
{
    pollfd watched { m_descriptor, POLLIN, 0 };
    const auto left
        = std::chrono::duration_cast<milliseconds>(m_limit - monotonic_clock::now()).count();
    if (::poll(&watched, 1, static_cast<int>(std::max<std::int64_t>(left, 0))) <= 0)
        return soak_end::Hung;
    std::array<char, 65536> piece {};
    const auto got = ::recv(m_descriptor, piece.data(), piece.size(), 0);
    if (got <= 0)
        return soak_end::Truncated;
    m_input.append(piece.data(), static_cast<std::size_t>(got));
    return std::nullopt;
}

std::optional<soak_end> soak_connection::fillTo(std::size_t bytes)
{
    while (m_input.size() < bytes)
        if (const auto failed = fill())
            return failed;
    return std::nullopt;
}

std::string soak_connection::take(std::size_t bytes)
{
    auto taken = m_input.substr(0, bytes);
    m_input.erase(0, bytes);
    return taken;
}

std::optional<soak_end> soak_connection::readLine(std::string& line)
{
    while (m_input.find("\r\n") == std::string::npos)
        if (const auto failed = fill())
            return failed;
    line = take(m_input.find("\r\n"));
    (void)take(2);
    return std::nullopt;
}

std::optional<soak_end> soak_connection::readHead(http_reply& reply)
{
    std::string line;
    if (const auto failed = readLine(line))
        return failed;
    // A status line is "HTTP/1.1 200 OK".
    reply.status = line.starts_with("HTTP/1.1 ") ? std::atoi(line.c_str() + 9) : 0;
    while (true) {
        if (const auto failed = readLine(line))
            return failed;
        if (line.empty())
            return std::nullopt;
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            reply.fields[line.substr(0, colon)] = trimmed(line.substr(colon + 1));
    }
}

std::optional<soak_end> soak_connection::readChunks(http_reply& reply)
{
    while (true) {
        std::string line;
        if (const auto failed = readLine(line))
            return failed;
        const auto size = std::stoul(line, nullptr, 16);
        if (const auto failed = fillTo(size + 2))
            return failed;
        reply.body += take(size);
        (void)take(2);
        if (size == 0)
            return std::nullopt;
    }
}

std::optional<soak_end> soak_connection::readBody(http_reply& reply)
{
    if (reply.field("Transfer-Encoding") == "chunked")
        return readChunks(reply);
    const auto length = reply.field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (const auto failed = fillTo(size))
        return failed;
    reply.body = take(size);
    return std::nullopt;
}

soak_end soak_connection::receive(http_reply& reply)
{
    m_limit = monotonic_clock::now() + answerLimit;
    if (m_input.empty()) {
        if (const auto failed = fill())
            return *failed == soak_end::Hung ? soak_end::Hung : soak_end::Unanswered;
    }
    if (const auto failed = readHead(reply))
        return *failed;
    if (const auto failed = readBody(reply))
        return *failed;
    reply.complete = true;
    return soak_end::Complete;
}

} // namespace pimentomast::test
