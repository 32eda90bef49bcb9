#pragma once

#include "proxy-fixture.h"
#include "scripted-server.h"

#include <Poco/NumberParser.h>
#include <mutex>

/// A target that reads request bodies, and a table with a route for uploads.
namespace pimentomast::test {

/// A request as a target received it.
struct received_request {
    std::string head;
    std::string body;
    /// The body has ended as its framing says.
    bool isWhole = false;
};

/// Reads a request with its body; the head is empty if the client closed the connection before.
inline received_request readWholeRequest(Poco::Net::StreamSocket& socket)
{
    constexpr std::size_t hexBase = 16;
    received_request request;
    std::string input;
    std::array<char, 65536> piece {};
    const auto readMore = [&] {
        const int got = socket.receiveBytes(piece.data(), piece.size());
        input.append(piece.data(), static_cast<std::size_t>(std::max(got, 0)));
        return got > 0;
    };
    while (input.find("\r\n\r\n") == std::string::npos) {
        if (!readMore())
            return request;
    }
    const std::size_t end = input.find("\r\n\r\n") + 4;
    request.head = input.substr(0, end);
    input.erase(0, end);
    const std::size_t at = request.head.find("Content-Length: ");
    if (at != std::string::npos) {
        const std::size_t length = std::stoul(request.head.substr(at + 16));
        while (input.size() < length && readMore()) { }
        request.body = input;
        request.isWhole = input.size() == length;
        return request;
    }
    if (request.head.find("Transfer-Encoding: chunked") == std::string::npos) {
        request.isWhole = true;
        return request;
    }
    while (true) {
        std::size_t line = input.find("\r\n");
        while (line == std::string::npos && readMore())
            line = input.find("\r\n");
        if (line == std::string::npos)
            return request;
        const std::size_t size = std::stoul(input.substr(0, line), nullptr, hexBase);
        while (input.size() < line + 2 + size + 2 && readMore()) { }
        if (input.size() < line + 2 + size + 2)
            return request;
        request.body += input.substr(line + 2, size);
        input.erase(0, line + 2 + size + 2);
        if (size == 0) {
            request.isWhole = true;
            return request;
        }
    }
}

/// A target that answers each request with a text, after it has read the whole body.
class body_target {
public:
    explicit body_target(std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        : m_answer(std::move(answer))
        , m_server([this](auto& socket, int) { serve(socket); })
    {
    }

    [[nodiscard]] proxy::destination destination(const std::string& id = "body") const
    {
        return { target_id { id }, m_server.address(), std::nullopt, 64 };
    }

    [[nodiscard]] std::vector<received_request> received()
    {
        const std::lock_guard lock(m_mutex);
        return m_received;
    }

private:
    void serve(Poco::Net::StreamSocket& socket)
    {
        while (true) {
            const received_request request = readWholeRequest(socket);
            if (request.head.empty())
                return;
            {
                const std::lock_guard lock(m_mutex);
                m_received.push_back(request);
            }
            if (!request.isWhole)
                return;
            write(socket, m_answer);
        }
    }

    std::string m_answer;
    std::mutex m_mutex;
    std::vector<received_request> m_received;
    scripted_server m_server;
};

/// Returns a table with a route /upload, whose bodies are received before submission, and a route
/// for all other paths, which is repeatable.
inline std::shared_ptr<const table::table> uploadTable(milliseconds timeout = waitTimeout)
{
    auto rows = std::make_shared<table::table>(*proxyTable());
    table::route_row upload;
    upload.id = "upload";
    upload.pathPrefix = "/upload";
    upload.parts = { { service_id { "export" } } };
    upload.buffersBody = true;
    upload.timeout = timeout;
    table::route_row other;
    other.id = "other";
    other.pathPrefix = "/";
    other.parts = { { service_id { "export" } } };
    other.repeatable = true;
    other.timeout = waitTimeout;
    rows->routes = { other, upload };
    return rows;
}

/// Returns a text of this length whose parts differ from each other.
inline std::string uploadText(std::size_t bytes)
{
    std::string text;
    for (unsigned number = 0; text.size() < bytes; ++number)
        text += std::to_string(number) + ";";
    return text.substr(0, bytes);
}

/// Returns the head of an upload.
inline std::string uploadHead(std::size_t bytes, const std::string& fields = {})
{
    return "POST /upload/a HTTP/1.1\r\nHost: h\r\n" + fields
        + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

inline const std::string chunkedUploadHead
    = "POST /upload/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns the bytes as one chunk.
inline std::string chunkOf(const std::string& bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

} // namespace pimentomast::test
