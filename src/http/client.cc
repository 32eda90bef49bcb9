#include "pimentomast/http.h"

#include "answer-reader.h"
#include "pimentomast/transport.h"
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
    head.setKeepAlive(!sent.ownConnection);
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

/// Time limits of one exchange.
struct limits {
    instant deadline;
    /// For the body of the answer.
    instant bodyDeadline;
    std::size_t bodyBytes = 0;
    /// Longest pause between two parts of the body.
    std::chrono::milliseconds silence;

    [[nodiscard]] std::chrono::milliseconds forNextPart() const
    {
        return std::min(silence, remaining(bodyDeadline));
    }
};

/// The answer of one exchange.
struct received {
    answer whole;
    bool reusable = false;
};

bool hasArrived(session& connection)
{
    return connection.socket().poll({}, Poco::Net::Socket::SELECT_READ);
}

received receiveAnswer(session& connection, const request& sent, const limits& allowed)
{
    detail::answer_reader reader(sent.method, allowed.bodyBytes);
    std::string piece(chunkBytes, '\0');
    detail::late_reads lateReads;
    instant startedAt {};
    while (!reader.done()) {
        const bool inBody = reader.headDone();
        const auto end = inBody ? allowed.bodyDeadline : allowed.deadline;
        const bool isLate = monotonic_clock::now() > end;
        if (isLate && !lateReads.allow(hasArrived(connection)))
            throw Poco::TimeoutException("answer took too long");
        connection.setIoTimeout(inBody ? allowed.forNextPart() : remaining(allowed.deadline));
        const int count
            = connection.socket().receiveBytes(piece.data(), static_cast<int>(piece.size()));
        if (count > 0 && startedAt == instant {})
            startedAt = monotonic_clock::now();
        if (count > 0)
            reader.put(std::string_view(piece).substr(0, static_cast<std::size_t>(count)));
        else if (count == 0)
            reader.end();
    }
    const bool reusable = reader.reusable();
    received got { reader.take(), reusable };
    got.whole.startedAt = startedAt;
    return got;
}

std::string reason(const Poco::Exception& cause)
{
    return cause.message().empty() ? std::string(cause.name()) : cause.displayText();
}

} // namespace

struct client::state {
    explicit state(const client_options& options)
        : timeout(options.timeout)
        , peer(options.address.text())
        , maxAnswerBytes(options.maxAnswerBytes)
        , pool(options.address)
    {
    }

    [[nodiscard]] limits limitsOf(const request& sent) const
    {
        const auto now = monotonic_clock::now();
        const auto silence = sent.timeout.value_or(timeout);
        return { now + silence, now + sent.bodyTimeout.value_or(silence), maxAnswerBytes, silence };
    }
    outcome sendOn(std::unique_ptr<session> connection, const request& sent, const limits& allowed);
    outcome sendOnKept(
        std::unique_ptr<session> connection, const request& sent, const limits& allowed);
    outcome sendOnNew(const request& sent, const limits& allowed);

    std::chrono::milliseconds timeout;
    std::string peer;
    std::size_t maxAnswerBytes;
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
    const auto allowed = m_state->limitsOf(sent);
    if (auto idle = sent.ownConnection ? nullptr : m_state->pool.takeIdle())
        return m_state->sendOnKept(std::move(idle), sent, allowed);
    return m_state->sendOnNew(sent, allowed);
}

outcome client::sendIdempotent(const request& sent)
{
    const auto allowed = m_state->limitsOf(sent);
    if (auto idle = sent.ownConnection ? nullptr : m_state->pool.takeIdle()) {
        auto first = m_state->sendOnKept(std::move(idle), sent, allowed);
        if (std::holds_alternative<answer>(first) || monotonic_clock::now() >= allowed.deadline)
            return first;
    }
    return m_state->sendOnNew(sent, allowed);
}

outcome client::state::sendOnKept(
    std::unique_ptr<session> connection, const request& sent, const limits& allowed)
{
    auto ended = sendOn(std::move(connection), sent, allowed);
    if (auto* received = std::get_if<answer>(&ended))
        received->onKeptConnection = true;
    return ended;
}

outcome client::state::sendOnNew(const request& sent, const limits& allowed)
{
    std::unique_ptr<session> opened;
    try {
        opened = pool.openNew(remaining(allowed.deadline));
    } catch (const Poco::Net::ConnectionRefusedException& cause) {
        return not_sent { { "connect", peer, reason(cause) }, true };
    } catch (const Poco::Exception& cause) {
        return not_sent { { "connect", peer, reason(cause) } };
    }
    return sendOn(std::move(opened), sent, allowed);
}

outcome client::state::sendOn(
    std::unique_ptr<session> connection, const request& sent, const limits& allowed)
{
    if (monotonic_clock::now() >= allowed.deadline)
        return not_sent { { sent.method + " " + sent.path, peer, "too late to send" } };
    try {
        connection->setIoTimeout(remaining(allowed.deadline));
        connection->beginExchange(std::min(remaining(allowed.deadline), transport::silenceLimit));
        sendBody(*connection, sent);
        auto got = receiveAnswer(*connection, sent, allowed);
        connection->endExchange();
        if (got.reusable && !sent.ownConnection)
            pool.returnIdle(std::move(connection));
        return got.whole;
    } catch (const Poco::Exception& cause) {
        // The cause of the failure may affect the idle connections too.
        pool.clear();
        return no_answer { { sent.method + " " + sent.path, peer, reason(cause) } };
    } catch (const std::exception& cause) {
        return no_answer { { sent.method + " " + sent.path, peer, cause.what() } };
    }
}

} // namespace pimentomast::http
