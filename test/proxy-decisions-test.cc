#include "helper/proxy-fixture.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;

/// Decisions that the dispatcher makes while an attempt runs.
namespace {

const std::string closingGet = "GET /weights/g1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Waits until the target runs a request, and returns its id.
proxy::request_id runningRequest(proxy_fixture& host, const target_process& target)
{
    cr_assert(waitUntil([&] { return !target.record("running").empty(); }));
    const auto waiting = host.dispatcher.waiting();
    cr_assert_eq(waiting.size(), 1);
    return waiting[0].id;
}

proxy::destination secondAttempt(const target_process& target)
{
    auto next = target.destination();
    next.attempt = 2;
    return next;
}

} // namespace

Test(proxy_decisions, attempt_that_is_decided_before_the_last_one_is_abandoned_is_made)
{
    target_process slow("t1", { "--no-token-checks", "--service-ms", "60000" });
    target_process quick("t2", { "--no-token-checks" });
    proxy_fixture host({ slow.destination() });
    raw_connection caller(host.address());
    caller.send(closingGet);
    const auto id = runningRequest(host, slow);
    cr_assert(host.server->sink().forward(id, secondAttempt(quick)));
    host.server->sink().abandon(id, 1);
    cr_assert(contains(caller.readAll(), "\"target\":\"t2\""));
}

Test(proxy_decisions, refusal_that_is_decided_before_the_attempt_is_abandoned_is_sent)
{
    target_process slow("t1", { "--no-token-checks", "--service-ms", "20000" });
    proxy_fixture host({ slow.destination() });
    raw_connection caller(host.address());
    caller.send(closingGet);
    const auto id = runningRequest(host, slow);
    proxy::refusal answer;
    answer.outcome = proxy::request_outcome::Unknown;
    answer.status = 502;
    answer.reason = "too-late";
    host.server->sink().refuse(id, answer);
    host.server->sink().abandon(id, 1);
    cr_assert(contains(caller.readAll(), "\"reason\":\"too-late\""));
}

Test(proxy_decisions, abandoned_request_whose_body_was_not_kept_is_not_sent_without_it)
{
    target_process slow("t1", { "--no-token-checks", "--service-ms", "60000" });
    target_process quick("t2", { "--no-token-checks" });
    proxy_fixture host({ slow.destination() });
    raw_connection caller(host.address());
    caller.send("PUT /weights/g1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: "
                "chunked\r\n\r\n"
                "20000\r\n"
        + std::string(0x20000, 'g') + "\r\n0\r\n\r\n");
    const auto id = runningRequest(host, slow);
    host.server->sink().abandon(id, 1);
    cr_assert(host.server->sink().forward(id, secondAttempt(quick)));
    const auto response = caller.readAll();
    cr_expect(contains(response, "\"reason\":\"body-not-replayable\""), "%s", response.c_str());
    cr_expect(contains(response, "Pimentomast-Outcome: unknown"));
    cr_expect_eq(quick.runs("/weights/g1"), 0);
    cr_expect(waitUntil([&] { return host.dispatcher.waiting().empty(); }));
}
