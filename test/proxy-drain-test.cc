#include "helper/proxy-fixture.h"
#include "stand-ins/pattern.h"

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
