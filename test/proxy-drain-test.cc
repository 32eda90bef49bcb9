#include "helper/proxy-fixture.h"
#include "stand-ins/pattern.h"

#include <criterion/criterion.h>
#include <thread>

using namespace pimentomast;
using namespace pimentomast::test;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(proxy_drain, exchanges_in_both_directions_end_whole_and_new_ones_are_taken_meanwhile)
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
    idle.forget();
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
    const std::string answer = download.readAll();
    cr_assert(answer.substr(answer.find("\r\n\r\n") + 4) == body);
    drain.join();
    cr_assert_eq(host.server->state().connections, 0);
    cr_assert_eq(host.server->state().running, 0);
}

Test(proxy_drain, destruction_ends_running_exchanges_at_once)
{
    target_process target("t1", { "--no-token-checks" });
    auto host = std::make_unique<proxy_fixture>(std::vector { target.destination() });
    raw_connection caller(host->address());
    caller.send("GET /weights/g1?service_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(waitUntil([&] { return !target.record("running").empty(); }));
    host.reset();
    cr_assert(caller.readAll().empty());
}
