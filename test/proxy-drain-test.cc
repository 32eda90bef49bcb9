#include "helper/scripted-target.h"
#include "proxy/drain-schedule.h"
#include "stand-ins/pattern.h"

#include <cerrno>
#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace pimentomast;
using namespace pimentomast::test;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// A drain on a thread of its own that has to end after the given time.
std::future<void> drainUntil(proxy_fixture& host, milliseconds end)
{
    return std::async(std::launch::async, [&host, latest = monotonic_clock::now() + end] {
        host.server->drain(milliseconds(0), latest);
    });
}

bool isRefusedAsStopping(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 503") && contains(answer, "Retry-After: 1\r\n")
        && contains(answer, "\"outcome\":\"not-run\",\"reason\":\"host-stopping\"");
}

constexpr milliseconds shortEnd { 600 };

} // namespace

Test(proxy_drain, running_transfers_complete_and_new_requests_are_accepted_during_a_drain)
{
    target_process target("t1", { "--no-token-checks", "--slots", "100" });
    proxy_fixture host({ target.destination() });
    const endpoint address = host.address();
    constexpr std::size_t bytes = 3000000;
    raw_connection download(address);
    download.send("GET /export?bytes=3000000&pause_ms=20 HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(contains(download.readUntil("\r\n\r\n"), "200 OK"));
    raw_connection upload(address);
    upload.send("POST /ledger/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n");
    const std::string body = stand_in::patternBytes(0, bytes);
    upload.send(body.substr(0, 10000));
    raw_connection idle(address);
    idle.send("GET /weights/first HTTP/1.1\r\nHost: h\r\n\r\n");
    idle.readUntil("}\n");
    idle.clearInput();
    std::atomic<bool> drained { false };
    std::thread drain([&] {
        host.server->drain(milliseconds(400));
        drained = true;
    });
    cr_assert(waitUntil([&] {
        return call(address, { "GET", "/pimentomast/health" }).status == 503;
    }));
    const auto during = call(address, { "GET", "/weights/during" });
    cr_assert_eq(during.status, 200, "%s", during.failure.c_str());
    cr_assert_eq(during.field("Connection"), "close");
    idle.send("GET /weights/last HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(contains(idle.readAll(), "\"path\":\"/weights/last\""));
    cr_assert(waitUntil([&] { return call(address, { "GET", "/weights/late" }).status == 0; }));
    cr_assert_not(drained.load());
    for (std::size_t at = 10000; at < bytes; at += 100000) {
        upload.send(body.substr(at, 100000));
        std::this_thread::sleep_for(milliseconds(20));
    }
    cr_assert(contains(upload.readUntil("}\n"), "\"bytes\":3000000"));
    const std::string response = download.readAll();
    cr_assert(response.substr(response.find("\r\n\r\n") + 4) == body);
    drain.join();
    cr_assert_eq(host.server->state().connections, 0);
    cr_assert_eq(host.server->state().running, 0);
}

Test(proxy_drain, request_on_an_accepted_connection_is_answered_after_the_listener_closed)
{
    target_process target("t1", { "--no-token-checks" });
    proxy::options settings;
    settings.drainIdleTimeout = waitTimeout;
    proxy_fixture host({ target.destination() }, 1, settings);
    std::future<void> drained;
    raw_connection late(host.address());
    drained = std::async(std::launch::async, [&] { host.server->drain(milliseconds(0)); });
    cr_assert(waitUntil([&] {
        return contains(call(host.address(), { "GET", "/weights/g1" }).failure, "refused");
    }));
    std::this_thread::sleep_for(milliseconds(300));
    late.send("GET /weights/late HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_expect(contains(late.readAll(), "\"path\":\"/weights/late\""));
}

Test(proxy_drain, connections_are_refused_or_answered_while_the_listener_closes)
{
    target_process target("t1", { "--no-token-checks", "--slots", "100" });
    for (unsigned round = 0; round < 5; ++round) {
        proxy_fixture host({ target.destination() });
        std::vector<std::future<std::string>> callers;
        for (unsigned i = 0; i < 8; ++i) {
            callers.push_back(std::async(std::launch::async, [address = host.address()] {
                http_reply reply;
                reply.status = 200;
                while (reply.status == 200)
                    reply = call(address, { "GET", "/weights/g1" });
                return std::to_string(reply.status) + " " + reply.failure;
            }));
        }
        host.server->drain(milliseconds(50));
        for (auto& caller : callers) {
            const std::string end = caller.get();
            cr_expect(contains(end, "0 Connection refused"), "round %u: %s", round, end.c_str());
        }
    }
}

Test(proxy_drain, destructor_aborts_running_exchanges)
{
    target_process target("t1", { "--no-token-checks" });
    auto host = std::make_unique<proxy_fixture>(std::vector { target.destination() });
    raw_connection caller(host->address());
    caller.send("GET /weights/g1?service_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(waitUntil([&] { return !target.record("running").empty(); }));
    host.reset();
    cr_assert(caller.readAll().empty());
}

Test(proxy_drain, request_without_an_owner_is_refused_before_the_end)
{
    proxy_fixture host({ proxy::destination {} });
    host.dispatcher.holdsRequests = true;
    raw_connection caller(host.address());
    caller.send("POST /ledger/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    cr_assert(waitUntil([&] { return host.server->state().waiting == 1; }));
    const auto drained = drainUntil(host, shortEnd);
    const auto answer = caller.readAll();
    cr_assert(isRefusedAsStopping(answer), "%s", answer.c_str());
    cr_assert_eq(host.dispatcher.cancelledRequests.size(), 1);
}

Test(proxy_drain, incomplete_requests_are_refused_before_the_end)
{
    proxy_fixture host({});
    raw_connection head(host.address());
    head.send("GET /weights/x HTTP/1.1\r\nHost:");
    raw_connection body(host.address());
    body.send("POST /ledger/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nfirst");
    raw_connection idle(host.address());
    cr_assert(waitUntil([&] { return host.server->state().connections == 3; }));
    const auto drained = drainUntil(host, shortEnd);
    cr_assert(isRefusedAsStopping(head.readAll()));
    cr_assert(isRefusedAsStopping(body.readAll()));
    cr_assert(idle.readAll().empty());
}

Test(proxy_drain, running_request_is_ended_at_the_end_and_not_before)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() }, 4);
    raw_connection caller(host.address());
    caller.send("GET /weights/g1?service_ms=600000 HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(waitUntil([&] { return !target.record("running").empty(); }));
    const instant end = monotonic_clock::now() + shortEnd;
    const auto drained = drainUntil(host, shortEnd);
    const auto answer = caller.readAll();
    cr_assert(answer.starts_with("HTTP/1.1 504"), "%s", answer.c_str());
    cr_assert(contains(answer, "\"outcome\":\"unknown\",\"reason\":\"host-stopped\""));
    cr_assert_geq(monotonic_clock::now(), end);
    cr_assert_eq(target.runs("/weights/g1?service_ms=600000"), 1);
}

Test(proxy_drain, request_that_waits_for_a_worker_is_refused_at_the_end)
{
    target_process target("t1", { "--no-token-checks" });
    proxy::options settings;
    settings.workers = 1;
    proxy_fixture host({ target.destination() }, 1, settings);
    raw_connection running(host.address());
    running.send("GET /weights/g1?service_ms=600000 HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(waitUntil([&] { return !target.record("running").empty(); }));
    raw_connection queued(host.address());
    queued.send("POST /ledger/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    cr_assert(waitUntil([&] { return host.server->state().running == 2; }));
    const auto drained = drainUntil(host, shortEnd);
    const auto answer = queued.readAll();
    cr_assert(isRefusedAsStopping(answer), "%s", answer.c_str());
    cr_assert_eq(target.runs("/ledger/k1"), 0);
}

Test(proxy_drain, caller_that_stops_reading_does_not_hold_up_the_end)
{
    target_process target("t1", { "--no-token-checks" });
    proxy::options settings;
    settings.bodyTimeout = std::chrono::hours(1);
    proxy_fixture host({ target.destination() }, 1, settings);
    raw_connection caller(host.address());
    caller.send("GET /export?bytes=100000000 HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(contains(caller.readUntil("\r\n\r\n"), "200 OK"));
    const auto drained = drainUntil(host, shortEnd);
    cr_assert(drained.wait_for(waitTimeout) == std::future_status::ready);
}

Test(proxy_drain, deadline_of_a_request_is_shortened_to_the_end)
{
    scripted_target target({ { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } });
    proxy::options settings = callersChooseIds();
    settings.drainIdleTimeout = waitTimeout;
    proxy_fixture host({ target.destination() }, 1, settings);
    auto rows = std::make_shared<table::table>(*proxyTable());
    for (auto& service : rows->services)
        service.deadline = std::chrono::hours(1);
    host.server->setTable(rows);
    raw_connection caller(host.address());
    const auto drained = drainUntil(host, seconds(20));
    cr_assert(waitUntil([&] {
        return call(host.address(), { "GET", "/pimentomast/health" }).failure.find("refused")
            != std::string::npos;
    }));
    caller.send("GET /weights/g1 HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Left: 900000\r\n\r\n");
    cr_assert(contains(caller.readAll(), "200 OK"));
    const auto head = target.heads().at(0);
    const auto left = std::stoul(head.substr(head.find("X-Left: ") + 8));
    cr_assert_leq(left, 20000);
}

Test(proxy_drain, schedule_passes_nothing_on_beyond_the_end)
{
    const instant begun = monotonic_clock::now();
    const proxy::detail::drain_schedule times(begun, seconds(30), begun + seconds(10));
    cr_assert_eq(times.acceptUntil, begun + seconds(4));
    const auto at = [&](int ms) { return begun + milliseconds(ms); };
    cr_assert(times.deadlineFor(at(0), at(9000)) == at(9000));
    cr_assert(times.deadlineFor(at(4999), at(9501)) == at(9500));
    cr_assert_not(times.deadlineFor(at(5000), at(9501)));
    cr_assert(times.deadlineFor(at(9499), at(9500)) == at(9500));
    cr_assert_not(times.deadlineFor(at(9500), at(9500)));
    const proxy::detail::drain_schedule unbounded(begun, seconds(30), instant::max());
    cr_assert_eq(unbounded.acceptUntil, begun + seconds(30));
    cr_assert(unbounded.deadlineFor(at(3600000), at(9000000)) == at(9000000));
}

Test(proxy_drain, request_that_crosses_the_end_of_an_idle_connection_is_left_unread)
{
    proxy::options settings;
    settings.drainIdleTimeout = milliseconds(0);
    proxy_fixture host({}, 1, settings);
    raw_connection caller(host.address());
    cr_assert(waitUntil([&] { return host.server->state().connections == 1; }));
    host.server->drain(milliseconds(0), monotonic_clock::now() + milliseconds(1));
    cr_assert(caller.readAll().empty());
    cr_assert_not(caller.wasReset());
    caller.send("POST /ledger/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    cr_assert(waitUntil([&] { return host.server->state().connections == 0; }));
    // A kernel resets a connection that is closed with unread bytes; after the end, this is EPIPE.
    cr_assert(waitUntil([&] { return caller.socket().impl()->socketError() == EPIPE; }));
}
