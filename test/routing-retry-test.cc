#include "routing-fixture.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace pimentomast::routing::testing;

namespace {

/// Answers each dispatch seen since the last call; returns how many there were.
std::size_t finishAll(driver& test, std::size_t& seen, const attempt_result& ended)
{
    const auto attempts = test.all<dispatch>();
    const std::size_t first = seen;
    seen = attempts.size();
    for (std::size_t i = first; i < attempts.size(); ++i)
        test.finish(attempts[i], ended);
    return attempts.size() - first;
}

std::uint64_t sum(const std::array<std::uint64_t, retryReasonCount>& counts)
{
    std::uint64_t all = 0;
    for (const std::uint64_t each : counts)
        all += each;
    return all;
}

const owned_by oldOwner { target_id { "t0" }, { epoch { 1 }, sequence { 1 } } };
const owned_by newOwner { target_id { "t1" }, { epoch { 1 }, sequence { 2 } } };

request_number arriveWithKey(driver& test)
{
    request submitted = test.make();
    submitted.key = key_hash { 7 };
    return test.arrive(submitted);
}

/// The target answers each dispatch of the request in this time that it does not own the key.
void refuseFor(driver& test, request_number number, duration time)
{
    attempt_number last;
    for (const instant end = test.now + time; test.now < end; test.run(1ms)) {
        const dispatch attempt = test.lastDispatch(number);
        if (attempt.attempt == last)
            continue;
        last = attempt.attempt;
        test.sent(attempt, test.now);
        test.finish(attempt, token_refused {});
    }
}

void learnOwner(driver& test, const owned_by& owner)
{
    test.owners.answer = owner;
    const auto next = test.host->ownersChanged(test.now, service_id { "s" });
    test.seen.insert(test.seen.end(), next.begin(), next.end());
}

} // namespace

Test(routing_retry, request_for_a_moved_key_waits_for_its_new_owner)
{
    driver test(makeTable(2, true));
    for (int move = 0; move < 8; ++move) {
        test.owners.answer = oldOwner;
        const auto number = arriveWithKey(test);
        refuseFor(test, number, 80ms);
        cr_expect(
            test.lastDispatch(number).attempt == attempt_number { 1 }, "move %d: sent again", move);
        learnOwner(test, newOwner);
        const dispatch second = test.lastDispatch(number);
        cr_assert_not(test.refusal(number).has_value(), "move %d: refused", move);
        cr_assert(second.target == newOwner.target, "move %d: not sent at once", move);
        test.finish(second, answered {});
        for (int other = 0; other < 12; ++other)
            test.finish(test.lastDispatch(arriveWithKey(test)), answered {});
    }
}

Test(routing_retry, owner_that_refused_a_key_is_asked_again_if_it_stays_the_owner)
{
    driver test(makeTable(2, true));
    test.owners.answer = oldOwner;
    const auto number = arriveWithKey(test);
    refuseFor(test, number, 80ms);
    test.run(1s);
    const dispatch second = test.lastDispatch(number);
    cr_assert(second.attempt == attempt_number { 2 });
    cr_assert(second.target == oldOwner.target);
}

Test(routing_retry, outage_of_all_targets_adds_at_most_a_tenth_in_retries)
{
    driver test(makeTable(9, false));
    std::size_t seen = 0;
    for (int i = 0; i < 2000; ++i) {
        test.arrive(test.make("c" + std::to_string(i % 4)));
        finishAll(test, seen, connect_failed {});
        test.run(1ms);
        finishAll(test, seen, connect_failed {});
    }
    const counters& counts = test.host->counts();
    cr_assert_eq(counts.arrived, 2000);
    cr_assert_gt(sum(counts.retries), 0);
    cr_assert_leq(sum(counts.retries), 200);
}

Test(routing_retry, one_caller_cannot_use_up_the_budget_of_others)
{
    options settings;
    settings.ejectedMax = 0;
    settings.ejectionMin = 1ms;
    driver test(makeTable(9, false), settings);
    std::size_t seen = 0;
    for (int i = 0; i < 20; ++i)
        test.arrive(test.make("noisy"));
    for (int i = 0; i < 30; ++i) {
        finishAll(test, seen, connect_failed {});
        test.run(5ms);
    }
    cr_assert_leq(sum(test.host->counts().retries), 6);
}

Test(routing_retry, no_attempt_starts_after_the_deadline)
{
    driver test(makeTable(1, false));
    request submitted = test.make();
    submitted.deadline = test.now + 5ms;
    const auto number = test.arrive(submitted);
    test.finish(test.lastDispatch(number), shed { 20ms });
    test.run(100ms);
    cr_assert(test.lastDispatch(number).attempt == attempt_number { 1 });
    cr_assert(test.refusal(number)->requestOutcome == outcome::NotRun);
    cr_assert(test.refusal(number)->reason == refusal_reason::TargetShed);
}

Test(routing_retry, pause_of_a_shed_answer_holds_its_target_s_window_but_not_others)
{
    options settings;
    settings.shedPauseMax = 400ms;
    driver test(makeTable(2, false), settings);
    const auto number = test.arrive(test.make());
    const dispatch first = test.lastDispatch(number);
    test.finish(first, shed { 60s });
    test.run(50ms);
    const dispatch second = test.lastDispatch(number);
    cr_assert(second.attempt == attempt_number { 2 });
    cr_assert(second.target != first.target);
    test.finish(second, shed { 60s });
    test.run(300ms);
    cr_assert(test.lastDispatch(number).attempt == attempt_number { 2 });
    test.run(300ms);
    cr_assert(test.lastDispatch(number).attempt == attempt_number { 3 });
}

Test(routing_retry, hosts_retry_at_different_times)
{
    std::set<instant> times;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        options settings;
        settings.seed = seed;
        settings.retryBackoff = 100ms;
        driver test(makeTable(3, false), settings);
        const auto number = test.arrive(test.make());
        test.finish(test.lastDispatch(number), connect_failed {});
        while (test.lastDispatch(number).attempt == attempt_number { 1 })
            test.run(1ms);
        times.insert(test.now);
    }
    cr_assert_geq(times.size(), 6);
}

Test(routing_retry, each_reason_is_counted)
{
    driver test(makeTable(3, false));
    const auto number = test.arrive(test.make());
    test.finish(test.lastDispatch(number), shed {});
    test.run(50ms);
    test.finish(test.lastDispatch(number), draining {});
    test.run(100ms);
    const auto& retries = test.host->counts().retries;
    cr_assert_eq(retries.at(static_cast<std::size_t>(retry_reason::TargetShed)), 1);
    cr_assert_eq(retries.at(static_cast<std::size_t>(retry_reason::TargetDraining)), 1);
}

Test(routing_retry, full_queue_drops_the_longest_callers_newest_request)
{
    auto rows = makeTable(1, false, 1);
    rows.services[0].queue = 10;
    driver test(rows);
    request_number last;
    for (int i = 0; i < 11; ++i)
        last = test.arrive(test.make("loud"));
    const auto quiet = test.arrive(test.make("quiet"));
    cr_assert_not(test.refusal(quiet).has_value());
    cr_assert(test.refusal(last).has_value());
    cr_assert(test.refusal(last)->reason == refusal_reason::QueueFull);
    const auto more = test.arrive(test.make("loud"));
    cr_assert(test.refusal(more)->reason == refusal_reason::QueueFull);
}

Test(routing_retry, full_workers_of_one_service_leave_room_for_another)
{
    auto rows = makeTable(9, false);
    table::service_row lookups = rows.services[0];
    lookups.id = service_id { "lookups" };
    rows.services.push_back(lookups);
    table::target_row target = rows.targets[0];
    target.id = target_id { "l0" };
    target.service = lookups.id;
    rows.targets.push_back(target);
    options settings;
    settings.workers = 8;
    driver test(rows, settings);
    for (int i = 0; i < 30; ++i)
        test.arrive(test.make("exports"));
    cr_assert_lt(test.all<dispatch>().size(), 8);
    request lookup = test.make("trader");
    lookup.service = lookups.id;
    cr_assert(test.lastDispatch(test.arrive(lookup)).target == target_id { "l0" });
}
