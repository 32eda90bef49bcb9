#include "pimentomast/http.h"

#include "session-pool.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>
#include <algorithm>

namespace pimentomast::http {

namespace {

using detail::session;
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

void sendBody(session& connection, const request& sent)
{
    HTTPRequest head(sent.method, sent.path, HTTPMessage::HTTP_1_1);
    head.setKeepAlive(true);
    head.setContentLength64(static_cast<Poco::Int64>(sent.body.size()));
    for (const auto& [name, value] : sent.fields)
        head.set(name, value);
    if (!sent.type.empty())
        head.setContentType(sent.type);
    auto& out = connection.sendRequest(head);
    out.write(sent.body.data(), static_cast<std::streamsize>(sent.body.size()));
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
            throw Poco::Net::MessageException("answer is too large");
        if (monotonic_clock::now() > deadline)
            throw Poco::TimeoutException("answer took too long");
        connection.setIoTimeout(remaining(deadline));
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

std::vector<field> fieldsOf(const HTTPResponse& head)
{
    std::vector<field> fields;
    for (const auto& [name, value] : head)
        fields.push_back({ name, value });
    return fields;
}

} // namespace

struct client::state {
    explicit state(const client_options& options)
        : timeout(options.timeout)
        , peer(options.address.text())
        , pool(options.address)
    {
    }

    [[nodiscard]] instant deadlineOf(const request& sent) const
    {
        return monotonic_clock::now() + sent.timeout.value_or(timeout);
    }
    outcome sendOn(std::unique_ptr<session> connection, const request& sent, instant deadline);
    outcome sendOnNew(const request& sent, instant deadline);

    std::chrono::milliseconds timeout;
    std::string peer;
    detail::session_pool pool;
};

std::string answer::header(const std::string& name) const
{
    for (const auto& each : fields) {
        if (Poco::icompare(each.name, name) == 0)
            return each.value;
    }
    return {};
}

client::client(const client_options& options)
    : m_state(std::make_unique<state>(options))
{
}

client::~client() = default;

const std::string& client::peer() const noexcept { return m_state->peer; }

outcome client::sendOnce(const request& sent)
{
    const auto deadline = m_state->deadlineOf(sent);
    if (auto idle = m_state->pool.takeIdle())
        return m_state->sendOn(std::move(idle), sent, deadline);
    return m_state->sendOnNew(sent, deadline);
}

outcome client::sendIdempotent(const request& sent)
{
    const auto deadline = m_state->deadlineOf(sent);
    if (auto idle = m_state->pool.takeIdle()) {
        auto first = m_state->sendOn(std::move(idle), sent, deadline);
        if (std::holds_alternative<answer>(first) || monotonic_clock::now() >= deadline)
            return first;
    }
    return m_state->sendOnNew(sent, deadline);
}

outcome client::state::sendOnNew(const request& sent, instant deadline)
{
    std::unique_ptr<session> opened;
    try {
        opened = pool.openNew(remaining(deadline));
    } catch (const Poco::Net::ConnectionRefusedException& cause) {
        return not_sent { { "connect", peer, reason(cause) }, true };
    } catch (const Poco::Exception& cause) {
        return not_sent { { "connect", peer, reason(cause) } };
    }
    return sendOn(std::move(opened), sent, deadline);
}

outcome client::state::sendOn(
    std::unique_ptr<session> connection, const request& sent, instant deadline)
{
    try {
        connection->setIoTimeout(remaining(deadline));
        sendBody(*connection, sent);
        connection->setIoTimeout(remaining(deadline));
        HTTPResponse head;
        auto& in = connection->receiveResponse(head);
        answer whole { head.getStatus(), receiveBody(*connection, head, in, deadline),
            fieldsOf(head) };
        if (head.getKeepAlive())
            pool.returnIdle(std::move(connection));
        return whole;
    } catch (const Poco::Exception& cause) {
        // The cause of the failure may affect the idle connections too.
        pool.clear();
        return no_answer { { sent.method + " " + sent.path, peer, reason(cause) } };
    } catch (const std::exception& cause) {
        return no_answer { { sent.method + " " + sent.path, peer, cause.what() } };
    }
}

} // namespace pimentomast::http
