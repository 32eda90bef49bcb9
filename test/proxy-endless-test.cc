#include "helper/answer-parser.h"
#include "helper/proxy-fixture.h"
#include "helper/scripted-server.h"

#include <criterion/criterion.h>
#include <fstream>

using namespace pimentomast;
using namespace pimentomast::test;

/// Bytes without end from a target take bounded memory, and end for the caller at its deadline.
namespace {

constexpr int deadlineMs = 300;
constexpr std::size_t stopBytes = std::size_t { 1 } << 40U;

/// Sends `start`, then `more` again and again until the proxy closes the connection.
class endless_target {
public:
    endless_target(std::string start, const std::string& more)
        : m_start(std::move(start))
    {
        while (m_more.size() < pieceBytes)
            m_more += more;
    }

    [[nodiscard]] proxy::destination destination() const
    {
        return { target_id { "endless" }, m_server.address(), std::nullopt, 64 };
    }
    [[nodiscard]] std::size_t sent() const { return m_sent; }

private:
    static constexpr std::size_t pieceBytes = 32768;

    void serve(Poco::Net::StreamSocket& socket)
    {
        if (readRequest(socket).empty())
            return;
        write(socket, m_start);
        for (; m_sent < stopBytes; m_sent += m_more.size())
            write(socket, m_more);
    }

    std::string m_start;
    std::string m_more;
    std::atomic<std::size_t> m_sent { 0 };
    scripted_server m_server { [this](auto& socket, int) { serve(socket); } };
};

std::string get(int leftMs)
{
    return "GET /weights/g1 HTTP/1.1\r\nHost: h\r\nX-Id: new\r\nX-Left: " + std::to_string(leftMs)
        + "\r\nConnection: close\r\n\r\n";
}

/// Returns the value in bytes of a field such as VmRSS of this process, which runs the proxy.
std::size_t statusBytes(const std::string& field)
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":"))
            return std::stoul(line.substr(field.size() + 1)) * 1024;
    }
    return 0;
}

/// The caller's answer comes long before the test's own limit, and is one of the proxy's own.
void expectRefusalInTime(
    const std::string& start, const std::string& more, const std::string& method)
{
    endless_target target(start, more);
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.socket().setReceiveTimeout(Poco::Timespan(10, 0));
    const std::string body = method == "POST" ? "Content-Length: 9\r\n" : "";
    auto request = get(deadlineMs);
    request.replace(0, 3, method);
    request.insert(request.size() - 2, body);
    caller.send(request);
    const auto answers = parseAnswers(caller.readAll());
    cr_expect_eq(answers.size(), 1, "%s: no answer", start.c_str());
    if (!answers.empty())
        cr_expect(answers[0].complete && answers[0].status >= 500, "%s: %s", start.c_str(),
            answers[0].head.c_str());
}

const std::string stale = "HTTP/1.1 200 OK\r\nX-Id: old\r\n";
const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

} // namespace

Test(proxy_endless, head_without_end_is_answered_by_the_deadline)
{
    expectRefusalInTime("HTTP/1.1 200 OK\r\n", "X-More: y\r\n", "GET");
    expectRefusalInTime("", "bytes that are no answer ", "GET");
}

Test(proxy_endless, stale_answer_without_end_is_answered_by_the_deadline)
{
    expectRefusalInTime(stale + "Content-Length: 999999999999\r\n\r\n", "old", "GET");
    expectRefusalInTime(stale + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nold\r\n", "GET");
    expectRefusalInTime("", stale + "Content-Length: 3\r\n\r\nold", "GET");
}

Test(proxy_endless, interim_answers_without_end_are_answered_by_the_deadline)
{
    expectRefusalInTime("", interim, "GET");
}

Test(proxy_endless, refusal_without_end_is_a_refusal)
{
    expectRefusalInTime("HTTP/1.1 503 Service Unavailable\r\nX-Id: new\r\nX-Refused: 1\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
        "3\r\nno!\r\n", "GET");
}

namespace {

constexpr std::size_t callers = 16;
/// Each of the relay's buffers holds at most what was left and one receive.
constexpr std::size_t bufferBytes = 2UL * 65536;
/// Target input, download, decoded piece and receive buffer, while strings may double as they grow;
/// and as much again for the test's own sockets, strings and stacks.
constexpr std::size_t connectionBytes = 2UL * 2 * 4 * bufferBytes;

/// Reads until so many bytes have come or the connection has ended, and keeps none.
void readAndDiscard(raw_connection& caller, std::size_t most)
{
    std::array<char, 65536> piece {};
    try {
        for (std::size_t got = 0; got < most;) {
            const int count = caller.socket().receiveBytes(piece.data(), piece.size());
            if (count <= 0)
                return;
            got += static_cast<std::size_t>(count);
        }
    } catch (const Poco::Exception&) {
        return;
    }
}

void expectBoundedMemory(const std::string& name, const std::string& start, const std::string& more)
{
    constexpr std::size_t readBytes = 16U << 20U;
    endless_target target(start, more);
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    const std::size_t before = statusBytes("VmRSS");
    {
        std::vector<std::thread> threads;
        for (std::size_t number = 0; number < callers; ++number)
            threads.emplace_back([&] {
                raw_connection caller(host.address());
                caller.send(get(deadlineMs));
                readAndDiscard(caller, readBytes);
            });
        for (auto& each : threads)
            each.join();
    }
    const std::size_t grown = statusBytes("VmHWM") - before;
    cr_log_info("%s: %zu KiB before, %zu KiB more at the peak, at most %zu; %zu KiB sent",
        name.c_str(), before / 1024, grown / 1024, callers * connectionBytes / 1024,
        target.sent() / 1024);
    cr_expect_lt(grown, callers * connectionBytes, "%s", name.c_str());
}

} // namespace

Test(proxy_endless, body_without_end_takes_bounded_memory)
{
    expectBoundedMemory("chunked body",
        "HTTP/1.1 200 OK\r\nX-Id: new\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\ngoats\r\n");
}

Test(proxy_endless, body_without_a_length_and_without_end_takes_bounded_memory)
{
    expectBoundedMemory("unframed body", "HTTP/1.1 200 OK\r\nX-Id: new\r\n\r\n", "goats");
}

Test(proxy_endless, head_without_end_takes_bounded_memory)
{
    expectBoundedMemory("head", "HTTP/1.1 200 OK\r\n", "X-More: y\r\n");
}

Test(proxy_endless, chunk_head_without_end_takes_bounded_memory)
{
    expectBoundedMemory(
        "chunk head", "HTTP/1.1 200 OK\r\nX-Id: new\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x");
}

Test(proxy_endless, trailer_without_end_takes_bounded_memory)
{
    expectBoundedMemory("trailer",
        "HTTP/1.1 200 OK\r\nX-Id: new\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n");
}

Test(proxy_endless, stale_answer_without_end_takes_bounded_memory)
{
    expectBoundedMemory("stale body", stale + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nold\r\n");
}

Test(proxy_endless, interim_answers_without_end_take_bounded_memory)
{
    expectBoundedMemory("interim answers", "", interim);
}

Test(proxy_endless, bytes_before_the_answer_do_not_extend_the_time_for_an_upload)
{
    proxy::options settings = callersChooseIds();
    settings.bodyTimeout = milliseconds(deadlineMs);
    for (const auto& [start, more] : std::vector<std::pair<std::string, std::string>> {
             { stale + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nold\r\n" }, { "", interim } }) {
        endless_target target(start, more);
        proxy_fixture host({ target.destination() }, 1, settings);
        raw_connection caller(host.address());
        caller.socket().setReceiveTimeout(Poco::Timespan(10, 0));
        caller.send(
            "POST /ledger/k HTTP/1.1\r\nHost: h\r\nX-Id: new\r\nContent-Length: 99999999\r\n"
            "\r\n"
            + std::string(100000, 's'));
        const auto answers = parseAnswers(caller.readAll());
        cr_expect_eq(answers.size(), 1, "%s: no answer", start.c_str());
    }
}
