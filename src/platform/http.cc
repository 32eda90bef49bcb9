#include "http.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <algorithm>

namespace pimentomast::platform::detail {

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t maxAnswerBytes = 256U << 20U;
constexpr std::size_t chunkBytes = 64U << 10U;

std::chrono::milliseconds remaining(instant deadline)
{
    const auto left
        = std::chrono::ceil<std::chrono::milliseconds>(deadline - monotonic_clock::now());
    return std::max(left, 1ms);
}

void sendBody(session& connection, const http_request& request)
{
    HTTPRequest head(request.method, request.path, HTTPMessage::HTTP_1_1);
    head.setKeepAlive(true);
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    if (!request.type.empty())
        head.setContentType(request.type);
    auto& out = connection.sendRequest(head);
    out.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
    out.flush();
    if (const auto* broken = connection.networkException())
        broken->rethrow();
}

std::string receiveBody(
    session& connection, const HTTPResponse& head, std::istream& in, instant deadline)
{
    std::string body;
    std::string chunk(chunkBytes, '\0');
    while (in.read(chunk.data(), chunkBytes) || in.gcount() > 0) {
        body.append(chunk, 0, static_cast<std::size_t>(in.gcount()));
        if (body.size() > maxAnswerBytes)
            throw Poco::Net::MessageException("answer too large");
        if (monotonic_clock::now() > deadline)
            throw Poco::TimeoutException("answer took too long");
        connection.bound(remaining(deadline));
    }
    if (const auto* broken = connection.networkException())
        broken->rethrow();
    const auto expected = head.hasContentLength() ? head.getContentLength64() : -1;
    if (expected >= 0 && static_cast<std::size_t>(expected) != body.size())
        throw Poco::Net::MessageException("answer broken off");
    return body;
}

std::string reason(const Poco::Exception& cause)
{
    return cause.message().empty() ? std::string(cause.name()) : cause.displayText();
}

} // namespace

http_client::http_client(const client_options& options)
    : m_timeout(options.timeout)
    , m_peer(options.address.text())
    , m_pool(options.address)
{
}

http_outcome http_client::sendOnce(const http_request& request)
{
    const auto deadline = monotonic_clock::now() + m_timeout;
    if (auto idle = m_pool.takeIdle())
        return sendOn(std::move(idle), request, deadline);
    return sendOnNew(request, deadline);
}

http_outcome http_client::sendIdempotent(const http_request& request)
{
    const auto deadline = monotonic_clock::now() + m_timeout;
    if (auto idle = m_pool.takeIdle()) {
        auto outcome = sendOn(std::move(idle), request, deadline);
        if (std::holds_alternative<http_answer>(outcome) || monotonic_clock::now() >= deadline)
            return outcome;
    }
    return sendOnNew(request, deadline);
}

http_outcome http_client::sendOnNew(const http_request& request, instant deadline)
{
    std::unique_ptr<session> opened;
    try {
        opened = m_pool.openNew(remaining(deadline));
    } catch (const Poco::Exception& cause) {
        return not_sent { { "connect", m_peer, reason(cause) } };
    }
    return sendOn(std::move(opened), request, deadline);
}

http_outcome http_client::sendOn(
    std::unique_ptr<session> connection, const http_request& request, instant deadline)
{
    try {
        connection->bound(remaining(deadline));
        sendBody(*connection, request);
        connection->bound(remaining(deadline));
        HTTPResponse head;
        auto& in = connection->receiveResponse(head);
        http_answer answer { head.getStatus(), receiveBody(*connection, head, in, deadline) };
        if (head.getKeepAlive())
            m_pool.giveBack(std::move(connection));
        return answer;
    } catch (const Poco::Exception& cause) {
        return no_answer { { request.method + " " + request.path, m_peer, reason(cause) } };
    } catch (const std::exception& cause) {
        return no_answer { { request.method + " " + request.path, m_peer, cause.what() } };
    }
}

} // namespace pimentomast::platform::detail
