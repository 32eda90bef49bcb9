#include "helper/answer-parser.h"
#include "helper/proxy-fixture.h"
#include "helper/scripted-server.h"

#include <criterion/criterion.h>
#include <set>

using namespace pimentomast;
using namespace pimentomast::test;

namespace {

const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nETag: \"a\"\r\n\r\n01234";
const std::string firstChunked
    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nETag: \"a\"\r\n\r\n5\r\n01234\r\n";
const std::string rangeHead
    = "HTTP/1.1 206 Partial Content\r\nETag: \"a\"\r\nContent-Range: bytes 5-9/10\r\n";
const std::string last = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast";

proxy::destination destinationOf(const scripted_server& server)
{
    return { target_id { "scripted" }, server.address(), std::nullopt, 64 };
}

/// Sends two requests at once and returns the answers; the download is answered with the first two
/// texts. The target closes a connection only after a text that ends with it: the proxy may send
/// the next request on any other.
std::vector<parsed_answer> answersAfter(const std::string& start, const std::string& rest)
{
    const bool restEndsWithConnection = rest.find("Content-Length: ") == std::string::npos;
    std::atomic<int> requests { 0 };
    scripted_server server([&](auto& socket, int) {
        while (!readRequest(socket).empty()) {
            const int number = requests++;
            write(socket, number == 0 ? start : number == 1 ? rest : last);
            if (number == 0 || (number == 1 && restEndsWithConnection))
                return socket.close();
        }
    });
    proxy_fixture host({ destinationOf(server) });
    raw_connection caller(host.address());
    caller.send("GET /export/a HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /export/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return parseAnswers(caller.readAll());
}

/// Returns whether the download is whole or visibly cut, and what follows it is the next answer.
bool inOrder(const std::vector<parsed_answer>& answers)
{
    if (answers.empty())
        return false;
    if (!answers[0].complete)
        return answers.size() == 1;
    return answers[0].body == "0123456789" && answers.size() == 2 && answers[1].complete
        && answers[1].body == "last";
}

std::string bodies(const std::vector<parsed_answer>& answers)
{
    std::string text;
    for (const auto& answer : answers)
        text += answer.head + "|" + answer.body + (answer.complete ? "|" : "...") + "\n";
    return text;
}

} // namespace

Test(proxy_continuation, rest_without_a_length_that_is_cut_never_looks_whole)
{
    for (const auto& start : { first, firstChunked }) {
        for (const std::string part : { "", "5", "5678", "56789", "567890" }) {
            std::string rest = rangeHead;
            rest.append("\r\n").append(part);
            const auto answers = answersAfter(start, rest);
            cr_expect(inOrder(answers), "%s gave %s", part.c_str(), bodies(answers).c_str());
        }
    }
}

Test(proxy_continuation, rest_that_is_longer_than_asked_for_adds_nothing_to_the_answer)
{
    for (const auto& start : { first, firstChunked }) {
        const auto answers = answersAfter(start,
            rangeHead
                + "Content-Length: 52\r\n\r\n56789HTTP/1.1 200 OK\r\n"
                  "Content-Length: 6\r\n\r\nstolen");
        cr_expect(inOrder(answers), "%s", bodies(answers).c_str());
    }
}

Test(proxy_continuation, interim_answer_before_the_rest_is_not_put_into_the_body)
{
    for (const auto& start : { first, firstChunked }) {
        const auto answers = answersAfter(start,
            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + rangeHead
                + "Content-Length: 5\r\n\r\n56789");
        cr_expect(inOrder(answers) && answers[0].complete, "%s", bodies(answers).c_str());
    }
}

Test(proxy_continuation, rest_is_asked_for_within_the_time_that_the_request_has_left)
{
    constexpr std::chrono::milliseconds allowed { 9000 };
    constexpr std::chrono::milliseconds pause { 1000 };
    std::string secondHead;
    scripted_server server([&](auto& socket, int number) {
        const std::string head = readRequest(socket);
        if (number == 0) {
            write(socket, first);
            std::this_thread::sleep_for(pause);
        } else {
            secondHead = head;
            write(socket, rangeHead + "Content-Length: 5\r\n\r\n56789");
        }
        socket.close();
    });
    proxy_fixture host({ destinationOf(server) }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.send("GET /export/a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Left: "
        + std::to_string(allowed.count()) + "\r\nConnection: close\r\n\r\n");
    (void)caller.readAll();
    const std::size_t at = secondHead.find("X-Left: ");
    cr_assert_neq(at, std::string::npos, "%s", secondHead.c_str());
    const long left = std::stol(secondHead.substr(at + std::string("X-Left: ").size()));
    cr_assert_leq(left, (allowed - pause).count(), "told %ld ms", left);
}

namespace {

/// Answers GET /export/SIZE by the first SIZE bytes of a body twice as long, then refuses to
/// continue once, then continues.
class refusing_target {
public:
    [[nodiscard]] proxy::destination destination() const { return destinationOf(m_server); }

private:
    [[nodiscard]] bool refuses(std::size_t half)
    {
        const std::lock_guard lock(m_mutex);
        return m_refused.insert(half).second;
    }

    void serve(Poco::Net::StreamSocket& socket)
    {
        const auto head = readRequest(socket);
        const auto half = std::stoul(head.substr(std::string("GET /export/").size()));
        const auto total = std::to_string(2 * half);
        if (head.find("Range: ") == std::string::npos)
            write(socket,
                "HTTP/1.1 200 OK\r\nETag: \"a\"\r\nContent-Length: " + total + "\r\n\r\n"
                    + std::string(half, 'b'));
        else if (refuses(half))
            write(socket,
                "HTTP/1.1 503 Service Unavailable\r\nPimentomast-Outcome: not-run\r\n"
                "Content-Length: 0\r\n\r\n");
        else
            write(socket,
                "HTTP/1.1 206 Partial Content\r\nETag: \"a\"\r\nContent-Length: "
                    + std::to_string(half) + "\r\nContent-Range: bytes " + std::to_string(half)
                    + "-" + std::to_string(2 * half - 1) + "/" + total + "\r\n\r\n"
                    + std::string(half, 'c'));
        socket.close();
    }

    std::mutex m_mutex;
    std::set<std::size_t> m_refused;
    scripted_server m_server { [this](auto& socket, int) { serve(socket); } };
};

} // namespace

// Which sizes leave bytes in the proxy depends on the kernel's buffers, so many are tried.
Test(proxy_continuation, refusal_to_continue_loses_no_byte_that_the_caller_had_yet_to_read)
{
    constexpr std::size_t step = 48UL << 10U;
    constexpr std::size_t largest = 4UL << 20U;
    refusing_target target;
    proxy_fixture host({ target.destination() }, 3);
    for (std::size_t half = step; half <= largest; half += step) {
        raw_connection caller(host.address());
        caller.socket().setReceiveBufferSize(static_cast<int>(step));
        caller.send("GET /export/" + std::to_string(half)
            + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const auto refusals = host.server->counts().count(proxy::reason::TargetShed);
        (void)waitUntil(
            [&] { return host.server->counts().count(proxy::reason::TargetShed) > refusals; },
            milliseconds(20));
        const auto answers = parseAnswers(caller.readAll());
        cr_assert_eq(answers.size(), 1);
        cr_expect(answers[0].complete
                && answers[0].body == std::string(half, 'b') + std::string(half, 'c'),
            "%zu of %zu bytes", answers[0].body.size(), 2 * half);
    }
}
