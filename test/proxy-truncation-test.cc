#include "helper/answer-parser.h"
#include "helper/proxy-fixture.h"
#include "helper/scripted-server.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;

/// A caller never takes an answer for whole that its target did not end, and its later answers are
/// its own.
namespace {

enum class ending { Close, Reset, Silence };

/// The caller's header fields; the target repeats the id.
std::string fields(const std::string& id, int leftMs)
{
    return " HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\nX-Left: " + std::to_string(leftMs) + "\r\n";
}

std::string answerTo(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(id.size())
        + "\r\n\r\n" + id;
}

/// Answers a request for .../cut with a part of an answer, then ends the connection; answers other
/// requests with their id. The last path segment but one is the number of bytes.
class cutting_target {
public:
    cutting_target(std::string whole, ending after)
        : m_whole(std::move(whole))
        , m_after(after)
    {
    }

    [[nodiscard]] proxy::destination destination() const
    {
        return { target_id { "cutting" }, m_server.address(), std::nullopt, 64 };
    }
    /// Returns how often a request was received whose answer was cut after so many bytes.
    [[nodiscard]] std::size_t runs(std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[bytes];
    }
    [[nodiscard]] bool wasReusedAfterCut() const { return m_reused; }

private:
    void serve(Poco::Net::StreamSocket& socket)
    {
        bool cut = false;
        for (auto head = readRequest(socket); !head.empty(); head = readRequest(socket)) {
            m_reused = m_reused || cut;
            const auto at = head.find("/cut ");
            if (at == std::string::npos) {
                const auto id = head.find("X-Id: ") + 6;
                write(socket, answerTo(head.substr(id, head.find("\r\n", id) - id)));
                continue;
            }
            const std::size_t slash = head.rfind('/', at - 1);
            cut = true;
            if (!sendPart(socket, std::stoul(head.substr(slash + 1))))
                return;
        }
    }

    bool sendPart(Poco::Net::StreamSocket& socket, std::size_t bytes)
    {
        {
            const std::lock_guard lock(m_mutex);
            ++m_runs[bytes];
        }
        write(socket, m_whole.substr(0, bytes));
        if (m_after == ending::Reset)
            socket.setLinger(true, 0);
        if (m_after != ending::Silence)
            socket.close();
        return m_after == ending::Silence;
    }

    std::string m_whole;
    ending m_after;
    std::mutex m_mutex;
    std::map<std::size_t, std::size_t> m_runs;
    std::atomic<bool> m_reused { false };
    scripted_server m_server { [this](auto& socket, int) { serve(socket); } };
};

struct cut_request {
    /// Up to the key; what follows is the number of bytes.
    std::string start;
    std::string body;
};

const std::vector<cut_request> cutRequests {
    { "GET /weights/", "" },
    { "PUT /weights/", "body" },
    { "POST /ledger/", "body" },
};

std::string framed(const cut_request& request, std::size_t bytes, int leftMs)
{
    std::string text = request.start + std::to_string(bytes) + "/cut" + fields("cut", leftMs);
    if (!request.body.empty())
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

constexpr int ampleMs = 60000;

/// Sends three requests at once, of which the second is answered in part, and checks the answers.
void expectVisibleCut(const proxy_fixture& host, cutting_target& target, const cut_request& request,
    std::size_t bytes, int leftMs)
{
    raw_connection caller(host.address());
    caller.send("GET /weights/a" + fields("first", ampleMs) + "\r\n"
        + framed(request, bytes, leftMs) + "GET /weights/b" + fields("last", ampleMs)
        + "Connection: close\r\n\r\n");
    const auto received = caller.readAll();
    const auto answers = parseAnswers(received);
    const std::string where = request.start + ", " + std::to_string(bytes) + " bytes: " + received;
    cr_assert_geq(answers.size(), 2, "%s", where.c_str());
    cr_expect(answers[0].complete && answers[0].body == "first", "%s", where.c_str());
    if (answers[1].complete) {
        cr_expect(answers[1].status == 502 || answers[1].status == 504, "%s", where.c_str());
        cr_expect(answers[1].head.find("Pimentomast-Outcome: unknown") != std::string::npos, "%s",
            where.c_str());
    }
    if (answers.size() > 2)
        cr_expect(answers.size() == 3 && answers[1].complete && answers[2].complete
                && answers[2].body == "last",
            "%s", where.c_str());
    if (request.start.starts_with("POST"))
        cr_expect_leq(target.runs(bytes), 1, "%s", where.c_str());
}

void expectVisibleCuts(const std::string& whole, ending after, std::size_t step, int leftMs)
{
    for (const auto& request : cutRequests) {
        cutting_target target(whole, after);
        proxy_fixture host({ target.destination() }, 2, callersChooseIds());
        for (std::size_t bytes = 0; bytes < whole.size(); bytes += step)
            expectVisibleCut(host, target, request, bytes, leftMs);
        cr_expect_not(target.wasReusedAfterCut(), "%s", whole.c_str());
    }
}

const std::string id = "X-Id: cut\r\n";
const std::string withLength = "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 10\r\n\r\n0123456789";
const std::vector<std::string> wholeAnswers {
    withLength,
    "HTTP/1.1 200 OK\r\n" + id
        + "Transfer-Encoding: chunked\r\n\r\n"
          "5\r\ngoats\r\na;x=1\r\n0123456789\r\n0\r\nX-End: 1\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n" + id + "ETag: \"a\"\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\n" + id + "Content-Length: 10\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + withLength,
    "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold" + withLength,
    "HTTP/1.1 200 OK\r\nX-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
        + withLength,
    "HTTP/1.1 200 OK\r\n" + id + "X-Long: a\r\n b\r\nContent-Length: 10\r\n\r\n0123456789",
};

} // namespace

Test(proxy_truncation, answer_that_ends_at_any_byte_never_looks_whole)
{
    for (const auto& whole : wholeAnswers)
        expectVisibleCuts(whole, ending::Close, 1, ampleMs);
}

Test(proxy_truncation, answer_that_is_reset_at_any_byte_never_looks_whole)
{
    for (const auto& whole : wholeAnswers)
        expectVisibleCuts(whole, ending::Reset, 1, ampleMs);
    expectVisibleCuts("HTTP/1.1 200 OK\r\n" + id + "\r\n0123456789", ending::Reset, 1, ampleMs);
}

Test(proxy_truncation, head_of_an_answer_without_a_length_that_ends_at_any_byte_never_looks_whole)
{
    expectVisibleCuts("HTTP/1.1 200 OK\r\n" + id + "X-More: 1\r\n\r\n", ending::Close, 1, ampleMs);
}

Test(proxy_truncation, head_that_stops_at_any_byte_never_looks_whole)
{
    constexpr std::size_t step = 9;
    constexpr int shortMs = 40;
    for (const auto& whole : wholeAnswers)
        expectVisibleCuts(
            whole.substr(0, whole.find("\r\n\r\n") + 4), ending::Silence, step, shortMs);
}
