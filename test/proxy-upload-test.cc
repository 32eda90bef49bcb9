#include "helper/answer-parser.h"
#include "helper/body-target.h"

#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace pimentomast;
using namespace pimentomast::test;

namespace {

constexpr std::size_t largeBytes = 360000;
constexpr std::size_t halfBytes = largeBytes / 2;
/// Time in which a request that is submitted too early would have been.
constexpr milliseconds settleTime { 200 };
constexpr milliseconds shortTime { 300 };
const std::string refusedHead = "HTTP/1.1 503 Busy\r\nPimentomast-Outcome: not-run\r\n";

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// A proxy whose dispatcher holds the requests until the test forwards them.
class upload_host {
public:
    explicit upload_host(const std::vector<proxy::destination>& targets, unsigned attempts = 1,
        const proxy::options& settings = {}, milliseconds timeout = waitTimeout)
        : fixture(targets, attempts, settings)
        , m_targets(targets)
    {
        fixture.server->setTable(uploadTable(timeout));
    }

    void hold() { fixture.dispatcher.holdsRequests = true; }
    void forwardHeld()
    {
        for (const auto& facts : fixture.dispatcher.waiting())
            (void)fixture.server->sink().forward(facts.id, m_targets.front());
    }
    [[nodiscard]] std::size_t submitted() { return fixture.dispatcher.waiting().size(); }

    proxy_fixture fixture;

private:
    std::vector<proxy::destination> m_targets;
};

} // namespace

// A sender that pauses would hold a place at the target for all the time.
Test(proxy_upload, request_is_submitted_once_its_body_has_arrived)
{
    body_target target;
    upload_host host({ target.destination() });
    host.hold();
    const std::string body = uploadText(largeBytes);
    raw_connection caller(host.fixture.address());
    caller.send(uploadHead(largeBytes) + body.substr(0, halfBytes));
    std::this_thread::sleep_for(settleTime);
    cr_assert_eq(host.submitted(), 0);
    cr_assert_eq(host.fixture.server->state().bodyBytes, largeBytes);
    caller.send(body.substr(halfBytes));
    cr_assert(waitUntil([&] { return host.submitted() == 1; }));
    host.forwardHeld();
    cr_assert(contains(caller.readUntil("done"), "200 OK"));
    cr_assert_eq(target.received().size(), 1);
    cr_assert(target.received()[0].body == body);
    cr_assert(waitUntil([&] { return host.fixture.server->state().bodyBytes == 0; }));
}

Test(proxy_upload, body_in_chunks_is_received_first_too)
{
    body_target target;
    upload_host host({ target.destination() });
    host.hold();
    const std::string body = uploadText(largeBytes);
    raw_connection caller(host.fixture.address());
    caller.send(chunkedUploadHead + chunkOf(body.substr(0, halfBytes)));
    std::this_thread::sleep_for(settleTime);
    cr_assert_eq(host.submitted(), 0);
    caller.send(chunkOf(body.substr(halfBytes)));
    std::this_thread::sleep_for(settleTime);
    cr_assert_eq(host.submitted(), 0, "the last chunk is missing");
    caller.send("0\r\n\r\n");
    cr_assert(waitUntil([&] { return host.submitted() == 1; }));
    host.forwardHeld();
    cr_assert(contains(caller.readUntil("done"), "200 OK"));
    cr_assert(target.received().at(0).isWhole);
    cr_assert(target.received()[0].body == body);
}

Test(proxy_upload, sender_that_expects_continue_is_asked_for_its_body)
{
    body_target target;
    upload_host host({ target.destination() });
    host.hold();
    const std::string body = uploadText(largeBytes);
    raw_connection caller(host.fixture.address());
    caller.send(uploadHead(largeBytes, "Expect: 100-continue\r\n"));
    cr_assert_eq(caller.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    cr_assert_eq(host.submitted(), 0);
    caller.clearInput();
    caller.send(body);
    cr_assert(waitUntil([&] { return host.submitted() == 1; }));
    host.forwardHeld();
    cr_assert(caller.readUntil("done").starts_with("HTTP/1.1 200 OK"));
    cr_assert(target.received().at(0).body == body);
    cr_assert_not(contains(target.received()[0].head, "Expect"));
}

Test(proxy_upload, requests_pipelined_around_an_upload_are_answered_in_order)
{
    body_target target;
    upload_host host({ target.destination() });
    const std::string body = uploadText(largeBytes);
    raw_connection caller(host.fixture.address());
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n" + uploadHead(largeBytes) + body
        + chunkedUploadHead + chunkOf(body) + "0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n"
        + "Connection: close\r\n\r\n");
    const auto answers = parseAnswers(caller.readAll());
    cr_assert_eq(answers.size(), 4);
    for (const auto& answer : answers)
        cr_assert(answer.status == 200 && answer.complete);
    const auto received = target.received();
    cr_assert_eq(received.size(), 4);
    cr_assert(received[0].head.starts_with("GET /a "));
    cr_assert(received[1].body == body);
    cr_assert(received[2].body == body);
    cr_assert(received[3].head.starts_with("GET /b "));
}

Test(proxy_upload, sender_that_leaves_frees_what_it_sent)
{
    body_target target;
    upload_host host({ target.destination() });
    raw_connection caller(host.fixture.address());
    caller.send(uploadHead(largeBytes) + uploadText(halfBytes));
    cr_assert(waitUntil([&] { return host.fixture.server->state().bodyBytes > 0; }));
    caller.close();
    cr_assert(waitUntil([&] { return host.fixture.server->state().connections == 0; }));
    cr_assert_eq(host.fixture.server->state().bodyBytes, 0);
    cr_assert(target.received().empty());
}

Test(proxy_upload, sender_that_pauses_for_too_long_is_refused)
{
    body_target target;
    proxy::options settings;
    settings.bodyTimeout = shortTime;
    upload_host host({ target.destination() }, 1, settings);
    raw_connection caller(host.fixture.address());
    caller.send(uploadHead(largeBytes) + uploadText(halfBytes));
    const auto answer = caller.readAll();
    cr_assert(answer.starts_with("HTTP/1.1 408"), "%s", answer.c_str());
    cr_assert(contains(answer, "\"outcome\":\"not-run\",\"reason\":\"body-timeout\""));
    cr_assert(target.received().empty());
    cr_assert_eq(host.fixture.server->state().bodyBytes, 0);
}

Test(proxy_upload, sender_below_the_minimum_rate_is_refused)
{
    body_target target;
    proxy::options settings;
    settings.bodyTimeout = shortTime;
    settings.minBodyBytesPerSecond = 1000000;
    upload_host host({ target.destination() }, 1, settings);
    raw_connection caller(host.fixture.address());
    caller.send(uploadHead(largeBytes));
    auto answer = std::async(std::launch::async, [&] { return caller.readAll(); });
    for (unsigned i = 0; i < 100 && answer.wait_for(shortTime / 10) != std::future_status::ready;
         ++i) {
        try {
            caller.send("x");
        } catch (const Poco::Exception&) {
            break;
        }
    }
    cr_assert(answer.get().starts_with("HTTP/1.1 408"));
    cr_assert(target.received().empty());
}

// The route's timeout counts from the head: an answer after it is worth nothing.
Test(proxy_upload, body_that_arrives_after_the_route_s_timeout_is_refused)
{
    body_target target;
    upload_host host({ target.destination() }, 1, {}, shortTime);
    raw_connection caller(host.fixture.address());
    caller.send(uploadHead(largeBytes) + uploadText(halfBytes));
    cr_assert(caller.readAll().starts_with("HTTP/1.1 408"));
    cr_assert(target.received().empty());
}

Test(proxy_upload, body_above_the_limit_is_streamed_once_the_limit_has_arrived)
{
    body_target target;
    proxy::options settings;
    settings.uploadPrefetchBytes = 100000;
    upload_host host({ target.destination() }, 1, settings);
    host.hold();
    const std::string body = uploadText(largeBytes);
    for (const bool isChunked : { false, true }) {
        raw_connection caller(host.fixture.address());
        const auto framed
            = [&](const std::string& part) { return isChunked ? chunkOf(part) : part; };
        caller.send((isChunked ? chunkedUploadHead : uploadHead(largeBytes))
            + framed(body.substr(0, 99999)));
        std::this_thread::sleep_for(settleTime);
        cr_assert_eq(host.submitted(), 0);
        caller.send(framed(body.substr(99999, 10000)));
        cr_assert(waitUntil([&] { return host.submitted() == 1; }));
        host.forwardHeld();
        caller.send(framed(body.substr(109999)) + (isChunked ? "0\r\n\r\n" : ""));
        cr_assert(contains(caller.readUntil("done"), "200 OK"));
        cr_assert(target.received().back().isWhole);
        cr_assert(target.received().back().body == body);
    }
    cr_assert(waitUntil([&] { return host.fixture.server->state().bodyBytes == 0; }));
}

// A full target refuses; the body, which is on the host, goes to another one.
Test(proxy_upload, refused_upload_is_sent_whole_to_another_target)
{
    body_target full(refusedHead + "Content-Length: 0\r\n\r\n");
    body_target free;
    upload_host host({ full.destination("full"), free.destination("free") }, 2);
    const std::string body = uploadText(largeBytes);
    for (const std::string& request :
        { uploadHead(largeBytes) + body, chunkedUploadHead + chunkOf(body) + "0\r\n\r\n" }) {
        raw_connection caller(host.fixture.address());
        caller.send(request);
        cr_assert(contains(caller.readUntil("done"), "200 OK"));
        cr_assert(full.received().back().body == body);
        cr_assert(free.received().back().body == body);
        cr_assert(free.received().back().isWhole);
    }
}

// The target refuses when it has read the head only, while the body is still being sent.
Test(proxy_upload, upload_refused_before_its_body_was_read_is_sent_whole_to_another_target)
{
    scripted_server full([](auto& socket, int) {
        (void)readRequest(socket);
        write(socket, refusedHead + "Connection: close\r\nContent-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(settleTime);
    });
    body_target free;
    upload_host host(
        { { target_id { "full" }, full.address(), std::nullopt, 64 }, free.destination("free") },
        2);
    const std::string body = uploadText(largeBytes);
    raw_connection caller(host.fixture.address());
    caller.send(uploadHead(largeBytes) + body);
    cr_assert(contains(caller.readUntil("done"), "200 OK"));
    cr_assert(free.received().at(0).body == body);
}

Test(proxy_upload, malformed_chunks_are_refused_before_submission)
{
    body_target target;
    upload_host host({ target.destination() });
    raw_connection caller(host.fixture.address());
    caller.send(chunkedUploadHead + chunkOf("abc") + "zz\r\n");
    cr_assert(contains(caller.readAll(), "\"outcome\":\"not-run\",\"reason\":\"malformed-body\""));
    raw_connection endless(host.fixture.address());
    endless.send(chunkedUploadHead + "1;" + std::string(100000, 'x'));
    cr_assert(contains(endless.readUntil("malformed-body"), "malformed-body"));
    cr_assert(target.received().empty());
    cr_assert(waitUntil([&] { return host.fixture.server->state().bodyBytes == 0; }));
}

Test(proxy_upload, incomplete_upload_is_refused_before_the_end_of_a_drain)
{
    body_target target;
    upload_host host({ target.destination() });
    raw_connection caller(host.fixture.address());
    caller.send(uploadHead(largeBytes) + uploadText(halfBytes));
    cr_assert(waitUntil([&] { return host.fixture.server->state().bodyBytes > 0; }));
    const auto drained = std::async(std::launch::async, [&] {
        host.fixture.server->drain(milliseconds(0), monotonic_clock::now() + 2 * shortTime);
    });
    const auto answer = caller.readAll();
    cr_assert(contains(answer, "\"outcome\":\"not-run\",\"reason\":\"host-stopping\""), "%s",
        answer.c_str());
    cr_assert(target.received().empty());
}

Test(proxy_upload, bodies_of_other_routes_are_streamed_as_before)
{
    body_target target;
    upload_host host({ target.destination() });
    host.hold();
    raw_connection caller(host.fixture.address());
    caller.send(
        "POST /other HTTP/1.1\r\nHost: h\r\nContent-Length: 360000\r\n\r\n" + uploadText(8192));
    cr_assert(waitUntil([&] { return host.submitted() == 1; }));
    raw_connection chunked(host.fixture.address());
    chunked.send("POST /other HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    cr_assert(waitUntil([&] { return host.submitted() == 2; }));
}
