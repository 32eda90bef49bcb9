#include "helper/cut-link.h"
#include "helper/routed-fixture.h"
#include "helper/scripted-server.h"
#include "helper/scripted-target.h"

#include "pimentomast/transport.h"

#include <criterion/criterion.h>
#include <future>

using namespace pimentomast;
using namespace pimentomast::test;
using namespace std::chrono_literals;

/// A target that works for long is told from one whose connection has gone silent.
namespace {

const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ngoats";
const std::string sale = "POST /ledger/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nsale";

bool isHealthProbe(const std::string& head) { return head.starts_with("GET /pimentomast/health "); }

proxy::destination destinationOf(const scripted_server& server)
{
    return { target_id { "t" }, server.address(), std::nullopt, 64 };
}

/// Returns the answer to a sale whose target is cut off before or after it has read it.
std::string answerOfCutTarget(bool cutsBefore)
{
    std::promise<void> finish;
    const auto finished = finish.get_future().share();
    scripted_server target([&](auto& socket, int) {
        readRequest(socket);
        if (cutsBefore) {
            const cut_link cut(socket);
            write(socket, answer);
            finished.wait();
            return;
        }
        write(socket, answer);
        readRequest(socket);
        const cut_link cut(socket);
        finished.wait();
    });
    proxy_fixture host({ destinationOf(target) });
    raw_connection caller(host.address());
    caller.send(sale);
    caller.readUntil("goats");
    caller.clearInput();
    caller.send(sale);
    auto got = caller.readUntil("}\n");
    finish.set_value();
    return got;
}

} // namespace

// Orders that took 3.5 s were broken off and answered 504, since their targets' health was good.
Test(proxy_silence, request_at_which_a_target_works_for_long_is_not_broken_off)
{
    scripted_server target([](auto& socket, int) {
        for (auto head = readRequest(socket); !head.empty(); head = readRequest(socket)) {
            if (isHealthProbe(head)) {
                write(socket, scripted_target::health);
                continue;
            }
            std::this_thread::sleep_for(2 * transport::silenceLimit);
            write(socket, answer);
        }
    });
    routing::options settings;
    settings.targetsReportLoad = false;
    settings.probeInterval = 100ms;
    routed_fixture host({ target.address() }, settings);
    host.owners.owner = "l1";
    const auto reply = call(host.address(), { "POST", "/ledger/k1", "sale" });
    cr_assert_eq(reply.status, 200, "%d %s", reply.status, reply.body.c_str());
}

Test(proxy_silence, request_that_a_silent_connection_does_not_take_ends_before_its_deadline)
{
    const auto got = answerOfCutTarget(true);
    cr_assert(got.find("target-silent") != std::string::npos, "%s", got.c_str());
}

Test(proxy_silence, request_whose_connection_goes_silent_ends_before_its_deadline)
{
    const auto got = answerOfCutTarget(false);
    cr_assert(got.find("target-silent") != std::string::npos, "%s", got.c_str());
}
