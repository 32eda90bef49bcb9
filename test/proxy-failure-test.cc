#include "helper/scripted-target.h"
#include "stand-ins/pattern.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;
using proxy::reason;
using ending = scripted_response::ending;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

const std::string completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ngoats";
const std::string keepAliveGet = "GET /weights/g1 HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string closingGet = "GET /weights/g1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/// Sends one request and returns all bytes received until the connection ends.
std::string sendRequest(const proxy_fixture& host, const std::string& request)
{
    raw_connection caller(host.address());
    caller.send(request);
    return caller.readAll();
}

/// Returns whether a conforming HTTP client would treat the response as complete.
bool looksComplete(const std::string& response)
{
    const std::size_t end = response.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    if (contains(response.substr(0, end), "chunked"))
        return response.ends_with("\r\n0\r\n\r\n");
    const std::size_t field = response.find("Content-Length: ");
    return response.size() - end - 4 == std::stoul(response.substr(field + 16));
}

std::string postOf(const std::string& path, const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nConnection: close\r\n\r\n" + body;
}

} // namespace

// The host ended, and with it every request that it had passed on.
Test(proxy_failure, answer_that_breaks_off_within_its_last_chunk_does_not_end_the_host)
{
    const std::string brokenOff = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    scripted_target target({ { brokenOff, ending::Close }, { completeResponse } });
    proxy_fixture host({ target.destination() });
    cr_assert_not(looksComplete(sendRequest(host, closingGet)));
    cr_assert(looksComplete(sendRequest(host, closingGet)));
}

// Any caller could end every host with one such request.
Test(proxy_failure, empty_body_that_pauses_within_its_last_chunk_does_not_end_the_host)
{
    const std::string head
        = "PUT /weights/g1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    scripted_target target({ { completeResponse }, { "", ending::Close }, { completeResponse } });
    proxy_fixture host({ target.destination() });
    for (const char* expected : { "200 OK", "target-closed" }) {
        raw_connection caller(host.address());
        caller.send(head + "0\r\n");
        std::this_thread::sleep_for(milliseconds(1500));
        caller.send("\r\n");
        const auto got = caller.readUntil(expected);
        cr_assert(contains(got, expected), "%s", got.c_str());
    }
    cr_assert(looksComplete(sendRequest(host, closingGet)));
}

Test(proxy_failure, truncated_responses_never_look_complete)
{
    const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n0123456789";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& bytes :
        { length, chunked + "5\r\ngoats\r\n", chunked + "5\r\ngo", chunked + "5\r\ngoats\r\n0\r\n",
            chunked + "5\r\ngoatsXX0\r\n\r\n", chunked + "zz\r\n" }) {
        for (const ending after : { ending::Close, ending::Reset }) {
            scripted_target target({ { bytes, after } });
            proxy_fixture host({ target.destination() });
            const std::string response = sendRequest(host, closingGet);
            const bool localResponse = contains(response, "Pimentomast-Outcome: unknown");
            cr_expect(localResponse || !looksComplete(response), "%s was forwarded as %s",
                bytes.c_str(), response.c_str());
        }
    }
}

Test(proxy_failure, http10_caller_sees_a_reset_when_the_response_is_truncated)
{
    scripted_target target(
        { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ngoats\r\n",
            ending::KeepOpen } });
    proxy::options settings;
    settings.bodyTimeout = milliseconds(300);
    proxy_fixture host({ target.destination() }, 1, settings);
    raw_connection caller(host.address());
    caller.send("GET /weights/g1 HTTP/1.0\r\n\r\n");
    caller.readAll();
    cr_assert(caller.wasReset());
}

// RFC 9112, section 6.3: a response without a length is delimited by the close of the connection.
Test(proxy_failure, response_without_a_length_is_complete_only_after_an_orderly_close)
{
    scripted_target orderly({ { "HTTP/1.1 200 OK\r\n\r\ngoats", ending::Close } });
    proxy_fixture wholeHost({ orderly.destination() });
    const std::string response = sendRequest(wholeHost, closingGet);
    cr_assert(contains(response, "Transfer-Encoding: chunked"), "%s", response.c_str());
    cr_assert(response.ends_with("5\r\ngoats\r\n0\r\n\r\n"), "%s", response.c_str());

    scripted_target abrupt({ { "HTTP/1.1 200 OK\r\n\r\ngoats", ending::Reset } });
    proxy_fixture brokenHost({ abrupt.destination() });
    cr_assert(!contains(sendRequest(brokenHost, closingGet), "\r\n0\r\n\r\n"));
}

namespace {

constexpr const char* getWithId = "GET /weights/g1 HTTP/1.1\r\nHost: h\r\nX-Id: new\r\n"
                                  "X-Left: 900\r\nConnection: close\r\n\r\n";

} // namespace

Test(proxy_failure, response_to_an_earlier_request_is_skipped)
{
    scripted_target target({ { "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
                               "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 3\r\n\r\nnew",
        ending::KeepOpen } });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    const std::string response = sendRequest(host, getWithId);
    cr_assert(response.ends_with("\r\n\r\nnew"), "%s", response.c_str());
    cr_assert(!contains(response, "old"), "%s", response.c_str());
}

Test(proxy_failure, caller_id_and_deadline_are_forwarded_and_the_deadline_never_grows)
{
    scripted_target target({ { "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 0\r\n\r\n" } });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    sendRequest(host, getWithId);
    const std::string head = target.heads().front();
    cr_assert(contains(head, "X-Id: new\r\n"), "%s", head.c_str());
    cr_assert(!contains(head, "Pimentomast-"), "%s", head.c_str());
    const auto at = head.find("X-Left: ");
    const int left = std::stoi(head.substr(at + 8));
    cr_assert(left > 0 && left <= 900, "%s", head.c_str());
    cr_assert(head.find("X-Left: ", at + 1) == std::string::npos);
}

Test(proxy_failure, target_refusal_field_marks_the_request_as_not_run)
{
    scripted_target target({ { "HTTP/1.1 503 Service Unavailable\r\nX-Id: new\r\nX-Refused: 1\r\n"
                               "Content-Length: 0\r\n\r\n" } });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    cr_assert(contains(sendRequest(host, getWithId), "Pimentomast-Outcome: not-run"));
}

Test(proxy_failure, responses_with_invalid_framing_are_rejected)
{
    for (const char* head :
        { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\ngoats",
            "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\ngoats", "nonsense\r\n\r\n",
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
            "HTTP/1.1 099 Early\r\nContent-Length: 5\r\n\r\ngoats",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ngoats",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" }) {
        scripted_target target({ { head, ending::Close } });
        proxy_fixture host({ target.destination() });
        const std::string response = sendRequest(host, closingGet);
        cr_expect(
            response.starts_with("HTTP/1.1 502"), "%s was forwarded as %s", head, response.c_str());
        cr_expect(contains(response, "Pimentomast-Outcome: unknown"));
    }
}

Test(proxy_failure, bytes_after_a_response_never_reach_the_next_caller)
{
    scripted_target target(
        { { completeResponse + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen",
              ending::KeepOpen },
            { completeResponse, ending::KeepOpen } });
    proxy_fixture host({ target.destination() });
    cr_assert(contains(sendRequest(host, closingGet), "goats"));
    const std::string second = sendRequest(host, closingGet);
    cr_assert(contains(second, "goats"), "%s", second.c_str());
    cr_assert_not(contains(second, "stolen"));
    cr_assert_eq(target.connections(), 2);
}

Test(proxy_failure, connection_closed_by_the_target_is_not_reused)
{
    scripted_target target(
        { { completeResponse, ending::Close }, { completeResponse, ending::Close } });
    proxy_fixture host({ target.destination() });
    for (int i = 0; i < 2; ++i) {
        cr_assert(contains(sendRequest(host, closingGet), "goats"));
        std::this_thread::sleep_for(milliseconds(50));
    }
    cr_assert_eq(target.connections(), 2);
}

Test(proxy_failure, connection_lost_after_sending_is_unknown_or_retried)
{
    for (const ending after : { ending::Close, ending::Reset }) {
        scripted_target target({ { "", after }, { completeResponse, ending::KeepOpen } });
        proxy_fixture host({ target.destination() }, 3);
        const std::string sale = sendRequest(host, postOf("/ledger/k1", "sale"));
        cr_expect(contains(sale, "Pimentomast-Outcome: unknown"), "%s", sale.c_str());
        cr_expect_eq(target.heads().size(), 1, "an unrepeatable request was sent again");
        scripted_target other({ { "", after }, { completeResponse, ending::KeepOpen } });
        proxy_fixture second({ other.destination() }, 3);
        cr_expect(contains(sendRequest(second, closingGet), "goats"));
        cr_expect_eq(other.heads().size(), 2);
    }
}

Test(proxy_failure, unrepeatable_requests_run_at_most_once_and_never_if_reported_not_run)
{
    target_process target("t1", { "--no-token-checks", "--slots", "100" });
    proxy_fixture host({ target.destination() }, 3);
    int number = 0;
    for (const char* kind : { "before", "upload", "after", "during" }) {
        for (const std::size_t bytes : { 10, 300000 }) {
            put(target.address(), "/control",
                std::string("{\"reset\":\"") + kind + "\",\"reset_count\":1}");
            const std::string path = "/ledger/k" + std::to_string(++number);
            const std::string response = sendRequest(host, postOf(path, std::string(bytes, 's')));
            const std::size_t runs = target.runs(path);
            cr_expect_leq(runs, 1, "%s: ran %zu times", kind, runs);
            if (contains(response, "Pimentomast-Outcome: not-run"))
                cr_expect_eq(runs, 0, "%s", kind);
            cr_expect_not(
                response.starts_with("HTTP/1.1 200") && looksComplete(response), "%s", kind);
        }
    }
}

Test(proxy_failure, request_refused_by_the_target_is_retried_with_the_buffered_body)
{
    scripted_target shedding({ { "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n"
                                 "Pimentomast-Outcome: not-run\r\n\r\nno",
        ending::KeepOpen } });
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ shedding.destination(), target.destination() }, 2);
    const std::string small = sendRequest(host, postOf("/ledger/k1", "sale"));
    cr_assert(contains(small, "\"bytes\":4"), "%s", small.c_str());
    cr_assert_eq(target.runs("/ledger/k1"), 1);
}

Test(proxy_failure, connection_is_not_reused_after_a_refusal_that_may_have_left_the_body_unread)
{
    const scripted_response refusal { "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 2\r\n"
                                      "Pimentomast-Outcome: not-run\r\n\r\nno",
        ending::KeepOpen };
    const scripted_response response { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        ending::KeepOpen };
    scripted_target target({ refusal, response, response });
    proxy_fixture host({ target.destination() }, 2);
    cr_assert(contains(sendRequest(host, postOf("/ledger/k1", "sale")), "200 OK"));
    cr_assert_eq(target.connections(), 2);
    cr_assert(contains(sendRequest(host, closingGet), "200 OK"));
    cr_assert_eq(target.connections(), 2);
}

Test(proxy_failure, request_with_a_body_too_long_to_buffer_is_not_retried)
{
    scripted_target shedding({ { "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n"
                                 "Pimentomast-Outcome: not-run\r\n\r\nno",
        ending::KeepOpen } });
    target_process target("t1", { "--no-token-checks" });
    proxy::options settings;
    settings.maxReplayBytes = 1000;
    proxy_fixture host({ shedding.destination(), target.destination() }, 2, settings);
    const std::string response = sendRequest(host, postOf("/ledger/k1", std::string(5000, 's')));
    cr_assert(contains(response, "Pimentomast-Outcome: not-run"), "%s", response.c_str());
    cr_assert_eq(target.runs("/ledger/k1"), 0);
}

Test(proxy_failure, error_response_without_the_outcome_field_is_forwarded_unchanged)
{
    scripted_target target({ { "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy",
        ending::KeepOpen } });
    proxy_fixture host({ target.destination() }, 3);
    const std::string response = sendRequest(host, closingGet);
    cr_assert(response.starts_with("HTTP/1.1 503"));
    cr_assert(response.ends_with("busy"));
    cr_assert_eq(target.heads().size(), 1);
}

Test(proxy_failure, early_response_reaches_a_caller_that_is_still_sending)
{
    target_process target("t1", { "--no-token-checks" });
    put(target.address(), "/control", "{\"early_answer\":true}");
    proxy_fixture host({ target.destination() });
    raw_connection caller(host.address());
    caller.send("POST /ledger/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n"
        + std::string(100000, 's'));
    cr_assert(contains(caller.readUntil("}\n"), "HTTP/1.1 200"));
}

Test(proxy_failure, cancellation_reaches_the_target)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    {
        raw_connection caller(host.address());
        caller.send("GET /weights/g1?service_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n");
        cr_assert(waitUntil([&] { return !target.record("running").empty(); }));
    }
    cr_assert(waitUntil([&] { return !target.record("cancelled").empty(); }));
    cr_assert_eq(host.server->counts().count(reason::CallerGone), 1);
}

Test(proxy_failure, cancellation_of_a_waiting_request_reaches_the_dispatcher)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    host.dispatcher.holdsRequests = true;
    {
        raw_connection caller(host.address());
        caller.send(keepAliveGet);
        cr_assert(waitUntil([&] { return host.server->state().waiting == 1; }));
    }
    cr_assert(waitUntil([&] { return host.dispatcher.waiting().empty(); }));
    cr_assert(waitUntil([&] { return host.server->state().connections == 0; }));
    cr_assert(target.record("\"kind\":\"request\"").empty());
}

Test(proxy_failure, deadline_cancels_the_attempt_at_the_target)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    auto rows = std::make_shared<table::table>(*proxyTable());
    for (auto& service : rows->services)
        service.deadline = milliseconds(300);
    host.server->setTable(rows);
    const std::string response = sendRequest(
        host, "POST /ledger/k1?service_ms=60000 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    cr_assert(contains(response, "\"reason\":\"deadline\""), "%s", response.c_str());
    cr_assert(contains(response, "Pimentomast-Outcome: unknown"));
    cr_assert(waitUntil([&] { return !target.record("cancelled").empty(); }));
}

Test(proxy_failure, request_to_an_unreachable_target_is_reported_not_run)
{
    const endpoint nobody = freeAddress();
    proxy_fixture host({ { target_id { "gone" }, nobody, std::nullopt, 4 } });
    const std::string response = sendRequest(host, postOf("/ledger/k1", "sale"));
    cr_assert(contains(response, "Pimentomast-Outcome: not-run"), "%s", response.c_str());
    cr_assert(contains(response, "connect-failed"));
}

Test(proxy_failure, abandoned_attempt_is_followed_by_the_next_decision)
{
    target_process slow("t1", { "--no-token-checks", "--service-ms", "60000" });
    target_process quick("t2", { "--no-token-checks" });
    proxy_fixture host({ slow.destination() });
    raw_connection caller(host.address());
    caller.send(closingGet);
    cr_assert(waitUntil([&] { return !slow.record("running").empty(); }));
    const auto waiting = host.dispatcher.waiting();
    cr_assert_eq(waiting.size(), 1);
    auto next = quick.destination();
    next.attempt = 2;
    host.server->sink().abandon(waiting[0].id, 1);
    host.server->sink().forward(waiting[0].id, next);
    cr_assert(contains(caller.readAll(), "\"target\":\"t2\""));
    cr_assert_eq(host.dispatcher.attempts().size(), 1);
    cr_assert_eq(host.dispatcher.attempts()[0].number, 2);
    cr_assert(waitUntil([&] { return !slow.record("cancelled").empty(); }));
}

Test(proxy_failure, download_continues_at_another_target)
{
    for (const char* path : { "/export?bytes=2000000", "/export?bytes=2000000&chunked=1" }) {
        target_process first("t1", { "--no-token-checks" });
        target_process second("t2", { "--no-token-checks" });
        put(first.address(), "/control", "{\"reset\":\"during\",\"reset_count\":1}");
        proxy_fixture host({ first.destination(), second.destination() });
        const auto reply = call(host.address(), { "GET", path });
        cr_expect_eq(reply.status, 200, "%s", reply.failure.c_str());
        cr_expect(reply.complete, "%s", reply.failure.c_str());
        cr_expect(reply.body == stand_in::patternBytes(0, 2000000));
        cr_expect_eq(host.server->counts().count(reason::AnswerContinued), 1);
        cr_expect_eq(second.runs(path), 1);
    }
}

Test(proxy_failure, download_is_aborted_when_the_continuation_does_not_match)
{
    const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nETag: \"a\"\r\n\r\n01234";
    const std::string partial = "HTTP/1.1 206 Partial Content\r\nContent-Length: 5\r\n";
    for (const std::string& rest : { std::string("HTTP/1.1 200 OK\r\nETag: \"a\"\r\n"
                                                 "Content-Length: 10\r\n\r\nabcdefghij"),
             partial + "ETag: \"b\"\r\nContent-Range: bytes 5-9/10\r\n\r\n56789",
             partial + "ETag: \"a\"\r\nContent-Range: bytes 4-8/10\r\n\r\n56789",
             partial + "ETag: \"a\"\r\nContent-Range: bytes 5-9/11\r\n\r\n56789",
             partial + "ETag: \"a\"\r\nContent-Range: bytes 5-9/*\r\n\r\n56789" }) {
        scripted_target target({ { start, ending::Close }, { rest, ending::KeepOpen } });
        proxy_fixture host({ target.destination() });
        const std::string response = sendRequest(host, closingGet);
        cr_expect_not(looksComplete(response), "%s gave %s", rest.c_str(), response.c_str());
        cr_expect_eq(target.heads().size(), 2);
    }
    scripted_target weak({ { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nETag: W/\"a\"\r\n\r\n01234",
        ending::Close } });
    proxy_fixture host({ weak.destination() });
    cr_assert_not(looksComplete(sendRequest(host, closingGet)));
    cr_assert_eq(weak.heads().size(), 1);
}
