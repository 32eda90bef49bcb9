#include "routing-fixture.h"

#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace pimentomast::routing::testing;

namespace {

std::map<std::string, unsigned> sendOneByOne(driver& test, unsigned count)
{
    std::map<std::string, unsigned> received;
    for (unsigned i = 0; i < count; ++i) {
        const auto attempt = test.lastDispatch(test.arrive(test.make()));
        ++received[attempt.target.value()];
        test.finish(attempt, answered { 200, 1ms, 1ms });
    }
    return received;
}

request unrepeatable(driver& test)
{
    auto made = test.make();
    made.repeatable = false;
    return made;
}

} // namespace

Test(routing_speed, target_twice_as_fast_gets_twice_as_much)
{
    driver test(makeTable(2, false));
    even_load shared;
    shared.factors[target_id { "t0" }] = 2;
    (void)test.host->applyEvenLoad(test.now, shared);
    auto received = sendOneByOne(test, 300);
    cr_assert_geq(received["t0"], 190);
    cr_assert_leq(received["t0"], 210);
    cr_assert_float_eq(test.host->targets().at(0).speedFactor, 2, 1e-9);
    // A factor that is no longer named is 1 again.
    (void)test.host->applyEvenLoad(test.now, {});
    cr_assert_float_eq(test.host->targets().at(0).speedFactor, 1, 1e-9);
}

// What a host counts is sent once: a second report with the same answers would count them twice.
Test(routing_speed, samples_are_taken_once)
{
    driver test(makeTable(1, false));
    const auto attempt = test.lastDispatch(test.arrive(test.make()));
    test.finish(attempt, answered { 200, 10ms, 30ms });
    const auto taken = test.host->takeSpeedSamples();
    cr_assert_eq(taken.size(), 1);
    cr_assert_eq(taken[0], (speed_sample { target_id { "t0" }, 1, 30ms, 0 }));
    cr_assert(test.host->takeSpeedSamples().empty());
}

// A target that fails at once would look fast.
Test(routing_speed, server_errors_are_no_samples)
{
    driver test(makeTable(1, false));
    const auto attempt = test.lastDispatch(test.arrive(test.make()));
    test.finish(attempt, answered { 500, 1ms, 1ms });
    cr_assert(test.host->takeSpeedSamples().empty());
}

Test(routing_speed, resets_and_refusals_count_as_rejections)
{
    options settings;
    settings.targetsReportLoad = false;
    driver test(makeTable(1, false), settings);
    auto attempt = test.lastDispatch(test.arrive(unrepeatable(test)));
    test.sent(attempt, test.now);
    test.finish(attempt, broken {});
    attempt = test.lastDispatch(test.arrive(unrepeatable(test)));
    test.finish(attempt, shed {});
    const auto taken = test.host->takeSpeedSamples();
    cr_assert_eq(taken.size(), 1);
    cr_assert_eq(taken[0].rejections, 2);
    cr_assert_eq(taken[0].answers, 0);
}

// Without the time that a timed-out attempt took, a target that answers too late would not look
// slow; with that of an attempt that had no time, it would look fast.
Test(routing_speed, timeouts_count_if_they_took_longer_than_usual)
{
    driver test(makeTable(1, false));
    test.finish(test.lastDispatch(test.arrive(test.make())), answered { 200, 100ms, 100ms });
    (void)test.host->takeSpeedSamples();
    for (const auto elapsed : { 20ms, 3000ms }) {
        const auto attempt = test.lastDispatch(test.arrive(unrepeatable(test)));
        test.sent(attempt, test.now);
        test.now += elapsed;
        test.finish(attempt, timed_out {});
    }
    const auto taken = test.host->takeSpeedSamples();
    cr_assert_eq(taken.size(), 1);
    cr_assert_eq(taken[0].answers, 1);
    cr_assert_geq(taken[0].total, 3s);
}

// Targets that few hosts prefer would get too little.
Test(routing_speed, hosts_prefer_each_target_equally_often)
{
    constexpr unsigned hosts = 88;
    std::map<std::string, unsigned> preferring;
    for (unsigned rank = 0; rank < hosts; ++rank) {
        driver test(makeTable(128, false));
        even_load shared;
        shared.rank = rank;
        shared.hosts = hosts;
        (void)test.host->applyEvenLoad(test.now, shared);
        const auto received = sendOneByOne(test, 60);
        cr_assert_eq(received.size(), 15);
        for (const auto& [target, count] : received) {
            cr_assert_eq(count, 4);
            ++preferring[target];
        }
    }
    cr_assert_eq(preferring.size(), 128);
    for (const auto& [target, count] : preferring) {
        cr_assert_geq(count, 9);
        cr_assert_leq(count, 12);
    }
}

// Preferred targets that are busy must not make requests wait, nor the rest of all hosts' requests
// go to the same other targets.
Test(routing_speed, other_targets_are_used_in_turn_if_the_preferred_are_busy)
{
    std::set<target_id> used;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        options settings;
        settings.seed = seed;
        driver test(makeTable(40, false), settings);
        even_load shared;
        shared.hosts = 100;
        (void)test.host->applyEvenLoad(test.now, shared);
        const auto preferred = sendOneByOne(test, 200);
        cr_assert_eq(preferred.size(), 4);
        std::set<target_id> others;
        while (others.size() < 6) {
            const auto attempt = test.lastDispatch(test.arrive(test.make()));
            cr_assert_neq(attempt.target, target_id {});
            if (!preferred.contains(attempt.target.value()))
                cr_assert(others.insert(attempt.target).second);
        }
        used.insert(others.begin(), others.end());
    }
    // Five random choices of 6 of 36 have 21 different targets on average; equal ones 6.
    cr_assert_geq(used.size(), 14);
}

// An installation that does not share speeds keeps its order of targets.
Test(routing_speed, without_shared_speed_all_targets_are_used)
{
    driver test(makeTable(40, false));
    cr_assert_eq(sendOneByOne(test, 40).size(), 40);
}
