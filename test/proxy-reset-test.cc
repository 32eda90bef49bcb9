#include "helper/answer-parser.h"
#include "helper/body-target.h"

#include <criterion/criterion.h>
#include <future>

using namespace pimentomast;
using namespace pimentomast::test;

/// An answer that a target breaks off while the request's body is still on its way never looks
/// whole, and one that is whole by its own framing still counts.
namespace {

constexpr std::size_t uploadBytes = 1000000;
/// Size of the pieces in which the caller sends its body.
constexpr std::size_t pieceBytes = 20000;

enum class ending {
    Reset,
    /// Closed with bytes of the request unread, which resets the connection.
    CloseUnread,
    /// The sending side alone is shut down, and the request is read on.
    HalfClose,
};

/// An answer whose head is sent first. The rest follows once the host has read the head, then the
/// connection ends.
struct early_answer {
    std::string head;
    std::string rest;
    ending after = ending::Reset;
};

const std::string unframed = "HTTP/1.1 200 OK\r\nX-Id: up\r\n\r\n";
const std::string partOfBody(5000, 'p');

/// A target that answers a long upload at once.
class early_target {
public:
    explicit early_target(early_answer answer)
        : m_answer(std::move(answer))
    {
    }
    ~early_target() { endNow(); }
    early_target(const early_target&) = delete;
    early_target& operator=(const early_target&) = delete;

    [[nodiscard]] proxy::destination destination() const
    {
        return { target_id { "early" }, m_server.address(), std::nullopt, 64 };
    }
    [[nodiscard]] int requests() const { return m_requests; }

    /// Sends the rest of the first answer and ends its connection, before it returns.
    void end()
    {
        endNow();
        m_ended.get_future().wait();
    }

private:
    void endNow()
    {
        if (!m_isReleased.exchange(true))
            m_release.set_value();
    }

    void serve(Poco::Net::StreamSocket& socket)
    {
        if (readRequest(socket).empty())
            return;
        ++m_requests;
        (void)socket.poll(Poco::Timespan(waitTimeout.count(), 0), Poco::Net::Socket::SELECT_READ);
        write(socket, m_answer.head);
        m_released.wait();
        write(socket, m_answer.rest);
        if (m_answer.after == ending::Reset)
            socket.setLinger(true, 0);
        if (m_answer.after == ending::HalfClose)
            socket.shutdownSend();
        else
            socket.close();
        if (!m_isEnded.exchange(true))
            m_ended.set_value();
        std::array<char, 65536> ignored {};
        while (m_answer.after == ending::HalfClose
            && socket.receiveBytes(ignored.data(), ignored.size()) > 0) { }
    }

    early_answer m_answer;
    std::promise<void> m_release;
    std::shared_future<void> m_released { m_release.get_future().share() };
    std::promise<void> m_ended;
    std::atomic<bool> m_isReleased { false };
    std::atomic<bool> m_isEnded { false };
    std::atomic<int> m_requests { 0 };
    scripted_server m_server { [this](auto& socket, int) { serve(socket); } };
};

struct upload {
    std::string start;
    std::string version = "1.1";
    std::string fields {};

    [[nodiscard]] std::string head() const
    {
        return start + " HTTP/" + version + "\r\nHost: h\r\nX-Id: up\r\n" + fields
            + "Content-Length: " + std::to_string(uploadBytes) + "\r\n\r\n";
    }
};

const upload unrepeatable { "POST /ledger/a" };
const upload repeatable { "PUT /weights/a" };

/// What a caller received before its connection ended.
struct received_answer {
    std::string bytes;
    bool wasReset = false;

    /// Returns the start of the bytes, for messages.
    [[nodiscard]] std::string start() const { return bytes.substr(0, 200); }
};

/// Sends part of an upload. The target's connection ends once the host has read the answer's head.
/// The host has a further piece of the body to send then, so that its send meets the end before its
/// next read does.
received_answer answerTo(const upload& sent, early_target& target)
{
    proxy_fixture host({ target.destination() }, 2, callersChooseIds());
    raw_connection caller(host.address());
    host.dispatcher.whenResponded = [&] {
        target.end();
        caller.send(std::string(pieceBytes, 'u'));
    };
    caller.send(sent.head());
    caller.send(std::string(pieceBytes, 'u'));
    const auto bytes = caller.readAll();
    return { bytes, caller.wasReset() };
}

/// Returns whether a caller of HTTP/1.1 takes the answer for a whole one of this status.
bool looksWhole(const received_answer& received, int status)
{
    const auto answers = parseAnswers(received.bytes);
    return !answers.empty() && answers.back().complete && answers.back().status == status;
}

void expectBroken(const upload& sent, const early_answer& answer)
{
    early_target target(answer);
    const auto received = answerTo(sent, target);
    cr_expect_not(looksWhole(received, 200), "%s, %zu bytes: %s", sent.start.c_str(),
        answer.rest.size(), received.start().c_str());
    cr_expect_eq(target.requests(), 1, "%s: %d requests", sent.start.c_str(), target.requests());
}

} // namespace

// Issue 51: the host's send took the reset, and its next read looked like an orderly end.
Test(proxy_reset, unframed_answer_whose_reset_is_met_by_a_send_is_broken)
{
    for (const auto& sent : { unrepeatable, repeatable })
        for (const auto& part : { std::string(), partOfBody, std::string(60000, 'p') })
            expectBroken(sent, { unframed, part, ending::Reset });
}

Test(proxy_reset, unframed_answer_of_a_target_that_closes_with_unread_bytes_is_broken)
{
    for (const auto& sent : { unrepeatable, repeatable })
        for (const auto& part : { std::string(), partOfBody })
            expectBroken(sent, { unframed, part, ending::CloseUnread });
}

Test(proxy_reset, unframed_answer_after_a_continue_is_broken)
{
    upload sent = unrepeatable;
    sent.fields = "Expect: 100-continue\r\n";
    expectBroken(sent, { "HTTP/1.1 100 Continue\r\n\r\n" + unframed, partOfBody });
}

// HTTP/1.0 knows no chunks: the only sign of a broken answer is a reset.
Test(proxy_reset, caller_of_an_older_version_sees_a_reset)
{
    for (const auto after : { ending::Reset, ending::CloseUnread }) {
        early_target target({ unframed, partOfBody, after });
        const auto received = answerTo({ "POST /ledger/a", "1.0" }, target);
        cr_expect(received.wasReset, "%s", received.start().c_str());
    }
}

Test(proxy_reset, answer_that_is_whole_by_its_framing_counts_despite_the_reset)
{
    const std::string head = "HTTP/1.1 413 Too Large\r\nX-Id: up\r\n";
    for (const auto& answer :
        std::vector<early_answer> { { head + "Content-Length: 5\r\n\r\n", "large" },
            { head + "Content-Length: 5\r\n\r\n", "large", ending::CloseUnread },
            { head + "Content-Length: 0\r\n\r\n", "" },
            { head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nlarge\r\n0\r\n\r\n" } }) {
        early_target target(answer);
        const auto received = answerTo(unrepeatable, target);
        cr_expect(
            looksWhole(received, 413), "%s: %s", answer.head.c_str(), received.start().c_str());
    }
}

Test(proxy_reset, framed_answer_that_is_cut_is_broken)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: up\r\n";
    for (const auto& answer :
        std::vector<early_answer> { { head + "Content-Length: 6\r\n\r\n", "large" },
            { head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nlarge\r\n" },
            { head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nlarge\r\n0\r\n" } })
        expectBroken(unrepeatable, answer);
}

Test(proxy_reset, unframed_answer_that_ends_in_order_is_whole)
{
    for (const auto& sent : { unrepeatable, repeatable }) {
        early_target target({ unframed, partOfBody, ending::HalfClose });
        const auto received = answerTo(sent, target);
        cr_expect(looksWhole(received, 200), "%s", received.start().c_str());
        cr_expect_eq(parseAnswers(received.bytes).back().body, partOfBody);
    }
}

// Closing an attempt's connection shuts down its receiving side, after which the host reads the end
// of the stream although the target has not ended its answer.
Test(proxy_reset, unframed_answer_that_arrives_as_its_attempt_is_abandoned_is_broken)
{
    for (const std::string start : { "GET /weights/a", "POST /ledger/a" }) {
        std::promise<void> written;
        std::promise<void> finish;
        const auto finished = finish.get_future().share();
        scripted_server server([&](auto& socket, int) {
            write(socket, unframed + partOfBody);
            written.set_value();
            finished.wait();
        });
        proxy_fixture host(
            { { target_id { "t" }, server.address(), std::nullopt, 8 } }, 1, callersChooseIds());
        host.dispatcher.whenSent = [&](auto id, unsigned attempt, auto& sink) {
            written.get_future().wait();
            sink.abandon(id, attempt);
        };
        raw_connection caller(host.address());
        caller.send(start
            + " HTTP/1.1\r\nHost: h\r\nX-Id: up\r\nContent-Length: 0\r\nConnection: "
              "close\r\n\r\n");
        const received_answer received { caller.readAll(), caller.wasReset() };
        finish.set_value();
        cr_expect_not(looksWhole(received, 200), "%s: %s", start.c_str(), received.start().c_str());
    }
}

// An end in order would make the part a whole answer for a caller of HTTP/1.0.
Test(proxy_reset, caller_of_an_older_version_sees_a_reset_when_the_host_ends)
{
    std::promise<void> finish;
    const auto finished = finish.get_future().share();
    scripted_server server([&](auto& socket, int) {
        readRequest(socket);
        write(socket, unframed + partOfBody);
        finished.wait();
    });
    proxy_fixture host(
        { { target_id { "t" }, server.address(), std::nullopt, 8 } }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.send("GET /weights/a HTTP/1.0\r\nHost: h\r\nX-Id: up\r\n\r\n");
    caller.readUntil(partOfBody);
    host.server.reset();
    const received_answer received { caller.readAll(), caller.wasReset() };
    finish.set_value();
    cr_expect(received.wasReset, "%s", received.start().c_str());
}
