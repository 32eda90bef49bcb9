#include "helper/routed-fixture.h"
#include "helper/scripted-target.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;
using ending = scripted_response::ending;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(proxy_routing, request_goes_to_the_owner_with_its_token)
{
    scripted_target target({ { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ngoats" } });
    routed_fixture host({ target.destination().address });
    const auto reply = call(host.address(), { "GET", "/weights/g1" });
    cr_assert_eq(reply.status, 200, "%s %s", reply.failure.c_str(), reply.body.c_str());
    cr_assert_eq(target.heads().size(), 1);
    cr_assert(contains(target.heads()[0], "Pimentomast-Token: 3.7\r\n"));
}

Test(proxy_routing, refusals_carry_the_router_s_reason)
{
    scripted_target target({});
    routed_fixture host({ target.destination().address });
    host.owners.owner.clear();
    auto reply = call(host.address(), { "GET", "/export?bytes=1" });
    cr_assert_eq(reply.status, 503);
    cr_assert_eq(reply.field("Pimentomast-Outcome"), "not-run");
    cr_assert(contains(reply.body, "\"reason\":\"no-target\""), "%s", reply.body.c_str());
    cr_assert(target.heads().empty());
}

Test(proxy_routing, retry_after_of_a_target_is_honored)
{
    scripted_target target({ { "HTTP/1.1 503 Busy\r\nPimentomast-Outcome: not-run\r\n"
                               "Retry-After: 1\r\nContent-Length: 0\r\n\r\n" },
        { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ngoats" } });
    routed_fixture host({ target.destination().address });
    const auto started = monotonic_clock::now();
    const auto reply = call(host.address(), { "GET", "/weights/g1" });
    cr_assert_eq(reply.status, 200, "%s %s", reply.failure.c_str(), reply.body.c_str());
    cr_assert_geq((monotonic_clock::now() - started).count(), 1000000);
}

Test(proxy_routing, unrepeatable_request_with_a_lost_connection_ends_unknown)
{
    scripted_target target({ { "", ending::Reset } });
    routed_fixture host({ target.destination().address });
    host.owners.owner = "l1";
    const auto reply = call(host.address(), { "POST", "/ledger/k1", "sale" });
    cr_assert_eq(
        reply.field("Pimentomast-Outcome"), "unknown", "%d %s", reply.status, reply.body.c_str());
    cr_assert_eq(target.heads().size(), 1);
}

Test(proxy_routing, repeatable_request_with_a_lost_connection_is_retried)
{
    scripted_target target(
        { { "", ending::Reset }, { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ngoats" } });
    routed_fixture host({ target.destination().address });
    const auto reply = call(host.address(), { "GET", "/weights/g1" });
    cr_assert_eq(reply.status, 200, "%s %s", reply.failure.c_str(), reply.body.c_str());
    cr_assert_eq(target.heads().size(), 2);
}

// A request that ran and found no token for its retry was answered 503, which promises that it did
// not run.
Test(proxy_routing, request_that_may_have_run_is_not_answered_as_not_run)
{
    routing::options noRetries;
    noRetries.retryBurst = 0;
    noRetries.retryRatio = 0;
    noRetries.waitsForBudget = false;
    scripted_target target({ { "", ending::Reset } });
    routed_fixture host({ target.destination().address }, noRetries);
    const auto reply = call(host.address(), { "GET", "/weights/g1" });
    cr_assert_eq(reply.field("Pimentomast-Outcome"), "unknown");
    cr_assert(contains(reply.body, "\"reason\":\"retry-budget\""), "%s", reply.body.c_str());
    cr_assert_eq(reply.status, 502);
}

Test(proxy_routing, silent_connection_is_abandoned_when_a_new_one_gets_a_response)
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ngoats";
    std::vector<scripted_response> script(30, { response });
    script.push_back({ "" });
    script.push_back({ response });
    scripted_target target(script);
    routed_fixture host({ target.destination().address });
    for (int i = 0; i < 30; ++i)
        cr_assert_eq(call(host.address(), { "GET", "/weights/g1" }).status, 200);
    const auto reply = call(host.address(), { "GET", "/weights/g1" });
    cr_assert_eq(reply.status, 200, "%s %s", reply.failure.c_str(), reply.body.c_str());
}

namespace {

/// A sink that rejects every decision, as for requests that have already ended.
class rejecting_sink : public proxy::dispatch_sink {
public:
    bool forward(proxy::request_id, const proxy::destination&) override
    {
        ++forwarded;
        return false;
    }
    void refuse(proxy::request_id, const proxy::refusal&) override { }
    void abandon(proxy::request_id, unsigned) override { }
    void probe(const target_id&, const proxy::probe_address&) override { }
    void closeIdle(const endpoint&, instant) override { }

    int forwarded = 0;
};

} // namespace

Test(proxy_routing, attempt_rejected_by_the_sink_takes_no_slot)
{
    scripted_target target({});
    routed_fixture host({ target.destination().address });
    rejecting_sink sink;
    proxy::request_facts facts;
    facts.id = proxy::request_id { 1000001 };
    facts.service = service_id { "weights" };
    facts.key = key_hash { 1 };
    facts.arrived = monotonic_clock::now();
    facts.deadline = facts.arrived + seconds(10);
    host.dispatcher->submit(facts, sink);
    cr_assert_eq(sink.forwarded, 1);
    host.dispatcher->inspect([](const routing::router& router) {
        for (const auto& view : router.targets())
            cr_expect_eq(view.outstanding, 0);
    });
}
