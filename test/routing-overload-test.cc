#include "routing-fixture.h"
#include "routing/window.h"

#include <criterion/criterion.h>
#include <set>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace pimentomast::routing::testing;

namespace {

options settingsWithoutLoadReports()
{
    options settings;
    settings.targetsReportLoad = false;
    settings.waitsForBudget = false;
    settings.budgetsShed = true;
    return settings;
}

window::limits limits()
{
    window::limits chosen;
    chosen.min = 0.1;
    chosen.max = 4;
    return chosen;
}

constexpr duration serviceTime = 100ms;

/// Answers each attempt that was dispatched since the last call, with this latency.
void serve(driver& test, std::size_t& seen, duration latency)
{
    const auto attempts = test.all<dispatch>();
    for (; seen < attempts.size(); ++seen)
        test.finish(attempts[seen], answered { 200, latency, latency });
}

/// Lets the router learn the target's latency; returns the number of attempts dispatched.
std::size_t warmUp(driver& test)
{
    std::size_t seen = 0;
    for (int i = 0; i < 50; ++i) {
        test.arrive(test.make());
        test.run(serviceTime);
        serve(test, seen, serviceTime);
    }
    return seen;
}

} // namespace

// Load: one target, more requests at once than it can answer within their objective.
Test(routing_overload, request_that_would_miss_its_objective_is_refused_at_once)
{
    driver test(makeTable(1, false, 1), settingsWithoutLoadReports());
    (void)warmUp(test);
    unsigned refused = 0;
    for (int i = 0; i < 20; ++i) {
        auto submitted = test.make();
        submitted.objective = test.now + 300ms;
        const auto refusal = test.refusal(test.arrive(submitted));
        if (!refusal)
            continue;
        ++refused;
        cr_assert(refusal->reason == refusal_reason::WaitTooLong);
        cr_assert(refusal->requestOutcome == outcome::NotRun);
        cr_assert(refusal->retryAfter > duration::zero());
        cr_assert(refusal->retryAfter < 3s);
    }
    cr_assert_geq(refused, 15);
    cr_assert_leq(refused, 19);
}

namespace {

request makeKeyed(driver& test)
{
    auto made = test.make();
    made.key = key_hash { 1 };
    made.objective = test.now + 250ms;
    return made;
}

/// Sends a request that the target does not answer, until its caller leaves.
void leaveUnanswered(driver& test)
{
    const auto number = test.arrive(makeKeyed(test));
    test.run(4s);
    const auto attempt = test.lastDispatch(number);
    test.sent(attempt, test.now);
    test.run(450ms);
    (void)test.host->cancel(test.now, number);
    test.finish(attempt, cancelled {});
}

} // namespace

Test(routing_overload, requests_for_a_target_that_is_full_and_silent_are_refused_at_once)
{
    driver test(makeTable(1, true, 1), settingsWithoutLoadReports());
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    const auto answeredFirst = test.arrive(makeKeyed(test));
    test.run(serviceTime);
    test.finish(test.lastDispatch(answeredFirst), answered { 200, serviceTime, serviceTime });
    for (int i = 0; i < 20; ++i)
        leaveUnanswered(test);
    cr_assert_not(test.refusal(test.arrive(makeKeyed(test))));
    const auto refusal = test.refusal(test.arrive(makeKeyed(test)));
    cr_assert(refusal && refusal->reason == refusal_reason::WaitTooLong);
    cr_assert_gt(refusal->retryAfter, duration::zero());
}

namespace {

constexpr duration objective = 300ms;

/// Sends a request; if it is refused, returns the time at which it may be sent again.
std::optional<instant> retryTimeIfRefused(driver& test)
{
    auto submitted = test.make();
    submitted.objective = test.now + objective;
    submitted.deadline = test.now + 10s;
    const auto refusal = test.refusal(test.arrive(submitted));
    return refusal ? std::optional(test.now + refusal->retryAfter) : std::nullopt;
}

} // namespace

// Load: a burst of 20 requests for one target; refused requests are sent again after the delay that
// was suggested.
Test(routing_overload, refused_requests_get_staggered_retry_times)
{
    driver test(makeTable(1, false, 1), settingsWithoutLoadReports());
    auto seen = warmUp(test);
    std::multiset<instant> retryTimes;
    for (int i = 0; i < 20; ++i) {
        if (const auto retryAt = retryTimeIfRefused(test))
            retryTimes.insert(*retryAt);
    }
    cr_assert_geq(retryTimes.size(), 15);
    unsigned refusedAgain = 0;
    instant answerAt = test.now + serviceTime;
    while (!retryTimes.empty()) {
        const auto next = std::min(*retryTimes.begin(), answerAt);
        test.run(std::max(next - test.now, duration::zero()));
        if (next == answerAt) {
            serve(test, seen, serviceTime);
            answerAt += serviceTime;
            continue;
        }
        retryTimes.erase(retryTimes.begin());
        refusedAgain += retryTimeIfRefused(test) ? 1 : 0;
    }
    cr_assert_leq(refusedAgain, 2, "%u refused again", refusedAgain);
}

Test(routing_overload, requests_without_an_objective_wait)
{
    driver test(makeTable(1, false, 1), settingsWithoutLoadReports());
    for (int i = 0; i < 20; ++i)
        cr_assert(!test.refusal(test.arrive(test.make())));
}

Test(routing_overload, a_reset_is_repeated_without_a_probe_up_to_the_attempts_of_the_route)
{
    driver test(makeTable(4, false), settingsWithoutLoadReports());
    auto submitted = test.make();
    submitted.attempts = 2;
    const auto number = test.arrive(submitted);
    auto first = test.lastDispatch(number);
    test.sent(first, test.now);
    test.finish(first, broken {});
    test.run(30ms);
    const auto second = test.lastDispatch(number);
    cr_assert(second.attempt == attempt_number { 2 });
    cr_assert(second.target != first.target);
    test.sent(second, test.now);
    test.finish(second, broken {});
    cr_assert(test.refusal(number)->reason == refusal_reason::ConnectionBroken);
    cr_assert(test.refusal(number)->requestOutcome == outcome::Unknown);
}

Test(routing_overload, request_without_retry_budget_is_refused_at_once)
{
    auto settings = settingsWithoutLoadReports();
    settings.retryRatio = 0;
    settings.retryBurst = 0;
    driver test(makeTable(4, false), settings);
    const auto number = test.arrive(test.make());
    const auto first = test.lastDispatch(number);
    test.sent(first, test.now);
    test.finish(first, shed {});
    test.run(30ms);
    cr_assert(test.refusal(number)->reason == refusal_reason::RetryBudget);
    cr_assert(test.refusal(number)->requestOutcome == outcome::NotRun);
}

Test(routing_overload, windows_shrink_while_answers_wait_at_the_target)
{
    window learned(limits());
    for (int i = 0; i < 200; ++i)
        learned.onLatency({}, 80ms);
    const double idle = learned.size({});
    cr_assert_geq(idle, 3.9);
    for (int i = 0; i < 60; ++i)
        learned.onLatency({}, 320ms);
    cr_assert_leq(learned.size({}), idle / 4);
}

// Load: requests for a key whose owner was marked as leaving and that gets no other owner.
Test(routing_overload, leaving_owner_gets_no_requests_after_its_grace)
{
    auto settings = settingsWithoutLoadReports();
    settings.leavingGrace = 1000ms;
    auto rows = makeTable(2, true);
    driver test(rows, settings);
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    rows.version = config_version { 2 };
    rows.targets[0].state = table::mark::Leaving;
    for (const auto& each : test.host->applyTable(test.now, rows))
        test.seen.push_back(each);
    auto early = test.make();
    early.key = key_hash { 1 };
    cr_assert(test.lastDispatch(test.arrive(early)).target == target_id { "t0" });
    test.run(1000ms);
    auto late = test.make();
    late.key = key_hash { 1 };
    late.objective = test.now + 300ms;
    const auto number = test.arrive(late);
    test.run(310ms);
    cr_assert(test.lastDispatch(number).attempt == attempt_number {});
    cr_assert(test.refusal(number)->reason == refusal_reason::NoOwner);
    cr_assert(test.refusal(number)->retryAfter > duration::zero());
}

// Load: hundreds of hosts send a target a request each few seconds. A host that met a full queue
// once must not keep away for minutes, while others find the target idle.
Test(routing_overload, window_that_learns_nothing_recovers)
{
    auto bounds = limits();
    bounds.halfLife = 2s;
    window learned(bounds);
    const instant now { 1000s };
    for (int i = 0; i < 20; ++i)
        learned.onShed(now, false);
    cr_assert_float_eq(learned.size(now), bounds.min, 1e-9);
    cr_assert_float_eq(learned.size(now + 2s), 1 - (1 - bounds.min) / 2, 1e-9);
    cr_assert_geq(learned.size(now + 20s), 0.99);
    cr_assert_leq(learned.size(now + 20s), 1);
    // What is learned next counts from the recovered size.
    learned.onShed(now + 20s, false);
    cr_assert_geq(learned.size(now + 20s), 0.8);
}

Test(routing_overload, window_stays_if_it_has_no_half_life)
{
    window learned(limits());
    const instant now { 1000s };
    for (int i = 0; i < 20; ++i)
        learned.onShed(now, false);
    cr_assert_float_eq(learned.size(now + 600s), limits().min, 1e-9);
}
