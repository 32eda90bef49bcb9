#include "routing-fixture.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace pimentomast::routing::testing;

namespace {

constexpr incarnation firstRun { 1 };
constexpr incarnation secondRun { 2 };

probe_answered healthyAnswer(incarnation run, unsigned running = 1)
{
    return { { run, running, 0, 4 }, 1ms };
}

driver makeDriver(unsigned targets, const options& settings = {})
{
    driver test(makeTable(targets, false), settings);
    test.run(1ms);
    for (unsigned i = 0; i < targets; ++i)
        test.probed("t" + std::to_string(i), healthyAnswer(firstRun));
    return test;
}

/// Sends the request and breaks its connection; the next probe is answered by another run of the
/// target.
request_number crashTargetWith(driver& test, const request& submitted, incarnation nextRun)
{
    const auto number = test.arrive(submitted);
    const dispatch attempt = test.lastDispatch(number);
    if (attempt.number != number)
        return number;
    test.finish(attempt, broken {});
    test.probed(attempt.target.value(), healthyAnswer(nextRun));
    return number;
}

std::size_t ejected(const driver& test)
{
    std::size_t count = 0;
    for (const target_view& each : test.host->targets())
        count += each.ejected ? 1 : 0;
    return count;
}

bool refusedAsQuarantined(driver& test, std::uint64_t requestFingerprint)
{
    const auto number = test.arrive(test.make("c", requestFingerprint));
    const auto refusal = test.refusal(number);
    return refusal && refusal->reason == refusal_reason::Quarantined;
}

} // namespace

Test(routing_health, request_is_refused_after_it_crashed_two_targets)
{
    driver test = makeDriver(4);
    request crashing = test.make("c", 5);
    crashing.repeatable = false;
    crashTargetWith(test, crashing, secondRun);
    cr_assert_not(refusedAsQuarantined(test, 6));
    request again = test.make("c", 5);
    again.repeatable = false;
    crashTargetWith(test, again, secondRun);
    cr_assert(refusedAsQuarantined(test, 5));
    cr_assert_not(refusedAsQuarantined(test, 6));
    cr_assert_eq(test.all<broadcast_crash>().size(), 2);
}

Test(routing_health, resent_request_waits_until_a_probe_shows_whether_its_target_crashed)
{
    driver test = makeDriver(4);
    request crashing = test.make("c", 5);
    crashing.repeatable = false;
    request_number number = test.arrive(crashing);
    for (const incarnation next : { secondRun, incarnation { 3 } }) {
        const dispatch attempt = test.lastDispatch(number);
        cr_assert_eq(attempt.number, number);
        test.finish(attempt, broken {});
        crashing.number = request_number { ++test.lastNumber };
        number = test.arrive(crashing);
        test.probed(attempt.target.value(), probe_failed { false });
        cr_assert_neq(test.lastDispatch(number).number, number);
        const auto unrelated = test.arrive(test.make("c", 6));
        cr_assert_eq(test.lastDispatch(unrelated).number, unrelated);
        test.probed(attempt.target.value(), healthyAnswer(next));
    }
    cr_assert(test.refusal(number)->reason == refusal_reason::Quarantined);
}

// Two targets that were lost at once took each look-up with them that was in flight at both.
Test(routing_health, request_in_flight_at_targets_that_end_together_is_not_refused)
{
    driver test = makeDriver(4);
    const std::array<dispatch, 2> attempts { test.lastDispatch(test.arrive(test.make("c", 5))),
        test.lastDispatch(test.arrive(test.make("c", 5))) };
    cr_assert_neq(attempts[0].target, attempts[1].target);
    for (const dispatch& each : attempts)
        test.sent(each, test.now);
    test.now += 50ms;
    for (const dispatch& each : attempts)
        test.finish(each, broken {});
    for (const dispatch& each : attempts)
        test.probed(each.target.value(), healthyAnswer(secondRun));
    cr_assert_eq(test.all<broadcast_crash>().size(), 2);
    cr_assert_not(refusedAsQuarantined(test, 5));
}

Test(routing_health, answer_clears_a_request_that_is_refused_wrongly)
{
    for (const int status : { 200, 404, 503 }) {
        driver test = makeDriver(4);
        const dispatch attempt = test.lastDispatch(test.arrive(test.make("c", 5)));
        for (const char* target : { "t1", "t2" })
            (void)test.host->applyCrashes(test.now,
                { { fingerprint { 5 }, target_id { target }, firstRun, test.now, false } });
        cr_assert(refusedAsQuarantined(test, 5));
        test.now += 1ms;
        test.finish(attempt, answered { status, 1ms, 1ms });
        cr_assert_eq(refusedAsQuarantined(test, 5), status != 200, "status %d", status);
    }
}

// The body of a long request is known only while it is in flight.
Test(routing_health, request_is_blamed_for_a_crash_by_the_fingerprint_of_its_whole_body)
{
    driver test = makeDriver(4);
    for (const incarnation next : { secondRun, incarnation { 3 } }) {
        const auto number = test.arrive(test.make());
        const dispatch attempt = test.lastDispatch(number);
        test.sent(attempt, test.now);
        test.identify(number, 5);
        test.finish(attempt, broken {});
        test.probed(attempt.target.value(), healthyAnswer(next));
        test.run(100ms);
        test.identify(number, 5);
    }
    cr_assert(refusedAsQuarantined(test, 5));
}

Test(routing_health, request_is_refused_in_flight_once_it_is_known_to_be_quarantined)
{
    driver test = makeDriver(4);
    for (const char* target : { "t1", "t2" })
        (void)test.host->applyCrashes(
            test.now, { { fingerprint { 5 }, target_id { target }, firstRun, test.now, false } });
    const auto number = test.arrive(test.make());
    const dispatch attempt = test.lastDispatch(number);
    test.sent(attempt, test.now);
    test.identify(number, 5);
    cr_assert_eq(test.all<abandon>().size(), 1);
    cr_assert(test.refusal(number)->reason == refusal_reason::Quarantined);
    cr_assert(test.refusal(number)->requestOutcome == outcome::Unknown);
    const auto other = test.arrive(test.make());
    test.identify(other, 6);
    cr_assert_not(test.refusal(other));
}

Test(routing_health, answer_that_has_begun_goes_on_when_its_request_is_quarantined)
{
    driver test = makeDriver(4);
    for (const char* target : { "t1", "t2" })
        (void)test.host->applyCrashes(
            test.now, { { fingerprint { 5 }, target_id { target }, firstRun, test.now, false } });
    const auto number = test.arrive(test.make());
    const dispatch attempt = test.lastDispatch(number);
    test.sent(attempt, test.now);
    test.responded(attempt);
    test.identify(number, 5);
    cr_assert_not(test.refusal(number));
    cr_assert(test.all<abandon>().empty());
}

Test(routing_health, crashes_reported_by_other_hosts_count_once_per_run)
{
    driver test = makeDriver(4);
    const crash record { fingerprint { 5 }, target_id { "t1" }, firstRun, test.now, false };
    for (int i = 0; i < 3; ++i)
        (void)test.host->applyCrashes(test.now, { record });
    cr_assert_not(refusedAsQuarantined(test, 5));
    const crash other { fingerprint { 5 }, target_id { "t2" }, firstRun, test.now, false };
    (void)test.host->applyCrashes(test.now, { other });
    cr_assert(refusedAsQuarantined(test, 5));
    const auto listed = test.host->suspects();
    cr_assert(listed.size() == 1 && listed.front().refused && listed.front().crashes.size() == 2);
    (void)test.host->pardon(test.now, fingerprint { 5 });
    cr_assert(test.host->suspects().empty());
    cr_assert_not(refusedAsQuarantined(test, 5));
}

Test(routing_health, request_in_flight_beside_a_crashing_one_is_not_refused)
{
    driver test = makeDriver(4);
    const auto reportCrash = [&](std::uint64_t requestFingerprint, const char* target) {
        (void)test.host->applyCrashes(test.now,
            { { fingerprint { requestFingerprint }, target_id { target }, firstRun, test.now,
                false } });
    };
    reportCrash(5, "t1");
    reportCrash(6, "t1");
    cr_assert_not(refusedAsQuarantined(test, 6));
    reportCrash(5, "t2");
    reportCrash(7, "t2");
    reportCrash(6, "t3");
    cr_assert(refusedAsQuarantined(test, 5));
    cr_assert_not(refusedAsQuarantined(test, 6));
    cr_assert_not(refusedAsQuarantined(test, 7));
}

Test(routing_health, suspects_of_the_same_crashes_are_told_apart_by_the_next_one)
{
    driver test = makeDriver(4);
    const auto reportCrash = [&](std::uint64_t requestFingerprint, const char* target) {
        (void)test.host->applyCrashes(test.now,
            { { fingerprint { requestFingerprint }, target_id { target }, firstRun, test.now,
                false } });
    };
    for (const char* target : { "t1", "t2" }) {
        reportCrash(6, target);
        reportCrash(5, target);
    }
    cr_assert_not(refusedAsQuarantined(test, 5));
    cr_assert_not(refusedAsQuarantined(test, 6));
    reportCrash(5, "t3");
    cr_assert(refusedAsQuarantined(test, 5));
    cr_assert_not(refusedAsQuarantined(test, 6));
}

Test(routing_health, answer_clears_a_suspect_everywhere)
{
    driver test = makeDriver(4);
    (void)test.host->applyCrashes(
        test.now, { { fingerprint { 5 }, target_id { "t1" }, firstRun, test.now, false } });
    test.now += 1ms;
    const auto number = test.arrive(test.make("c", 5));
    test.finish(test.lastDispatch(number), answered { 200, 1ms, 1ms });
    cr_assert(test.all<broadcast_crash>().back().record.forgiven);
    test.now += 1ms;
    (void)test.host->applyCrashes(
        test.now, { { fingerprint { 5 }, target_id { "t2" }, firstRun, test.now, false } });
    cr_assert_not(refusedAsQuarantined(test, 5));
}

Test(routing_health, clearing_that_comes_back_from_another_host_changes_nothing)
{
    driver test = makeDriver(4);
    (void)test.host->applyCrashes(
        test.now, { { fingerprint { 5 }, target_id { "t1" }, firstRun, test.now, false } });
    test.now += 1ms;
    const actions sent = test.host->pardon(test.now, fingerprint { 5 });
    crash relayed = std::get<broadcast_crash>(sent.back()).record;
    const instant cleared = relayed.at;
    // Each hop tells an age, so the transit time of the message is lost.
    relayed.at += 5ms;
    test.now += 10ms;
    (void)test.host->applyCrashes(test.now, { relayed });
    cr_assert(test.host->crashes().back().at == cleared);
}

Test(routing_health, cleared_crashes_are_not_kept)
{
    driver test = makeDriver(4);
    for (std::uint64_t i = 1; i <= 50; ++i)
        (void)test.host->applyCrashes(
            test.now, { { fingerprint { i }, target_id { "t1" }, firstRun, test.now, false } });
    test.now += 1ms;
    for (std::uint64_t i = 1; i <= 50; ++i)
        (void)test.host->pardon(test.now, fingerprint { i });
    cr_assert_eq(test.host->crashes().size(), 50);
}

Test(routing_health, suspect_runs_alone_on_its_target)
{
    driver test = makeDriver(1);
    (void)test.host->applyCrashes(
        test.now, { { fingerprint { 5 }, target_id { "t0" }, firstRun, test.now, false } });
    const auto suspect = test.arrive(test.make("c", 5));
    const auto other = test.arrive(test.make("c", 6));
    cr_assert(test.lastDispatch(suspect).number == suspect);
    cr_assert(test.lastDispatch(other).number != other);
    test.finish(test.lastDispatch(suspect), answered { 200, 1ms, 1ms });
    cr_assert(test.lastDispatch(other).number == other);
}

Test(routing_health, background_crashes_require_a_third_crash)
{
    driver test = makeDriver(6);
    const auto reportCrash = [&](std::uint64_t requestFingerprint, const char* target) {
        (void)test.host->applyCrashes(test.now,
            { { fingerprint { requestFingerprint }, target_id { target }, firstRun, test.now,
                false } });
    };
    reportCrash(11, "t3");
    reportCrash(12, "t4");
    reportCrash(5, "t1");
    reportCrash(5, "t2");
    cr_assert_not(refusedAsQuarantined(test, 5));
    reportCrash(5, "t5");
    cr_assert(refusedAsQuarantined(test, 5));
}

Test(routing_health, quarantine_ends_by_pardon_and_by_expiry)
{
    for (const bool byPardon : { true, false }) {
        driver test = makeDriver(4);
        for (const char* target : { "t1", "t2" })
            (void)test.host->applyCrashes(test.now,
                { { fingerprint { 5 }, target_id { target }, firstRun, test.now, false } });
        cr_assert(refusedAsQuarantined(test, 5));
        if (byPardon)
            (void)test.host->pardon(test.now, fingerprint { 5 });
        test.now += byPardon ? duration(1ms) : duration(601s);
        test.run(1ms);
        cr_assert_not(refusedAsQuarantined(test, 5));
    }
}

Test(routing_health, failed_probes_never_eject_more_than_a_third)
{
    driver test = makeDriver(9);
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 9; ++i)
            test.probed("t" + std::to_string(i), probe_failed {});
        test.run(10ms);
        cr_assert_leq(ejected(test), 3);
    }
    cr_assert_eq(ejected(test), 3);
    cr_assert_gt(test.host->counts().ejectionsPrevented, 0);
    cr_assert(test.lastDispatch(test.arrive(test.make())).attempt.value() == 1);
}

Test(routing_health, last_target_is_never_ejected)
{
    driver test = makeDriver(1);
    for (int i = 0; i < 5; ++i)
        test.probed("t0", probe_failed { true });
    cr_assert_eq(ejected(test), 0);
}

Test(routing_health, ejected_target_returns_after_a_good_probe_and_starts_slowly)
{
    driver test = makeDriver(3);
    test.probed("t0", probe_failed {});
    test.probed("t0", probe_failed {});
    cr_assert_eq(ejected(test), 1);
    test.probed("t0", healthyAnswer(firstRun));
    cr_assert_eq(ejected(test), 1, "not before the shortest ejection has passed");
    test.now += 1100ms;
    test.probed("t0", healthyAnswer(firstRun));
    cr_assert_eq(ejected(test), 0);
    cr_assert_lt(test.host->targets().at(0).slowStartShare, 0.2);
}

Test(routing_health, only_target_that_answers_errors_is_ejected)
{
    driver test = makeDriver(4);
    for (int i = 0; i < 200; ++i) {
        const auto number = test.arrive(test.make());
        const dispatch attempt = test.lastDispatch(number);
        const bool isBad = attempt.target == target_id { "t2" };
        test.finish(attempt, answered { isBad ? 500 : 200, 1ms, 1ms });
    }
    cr_assert(test.host->targets().at(2).ejected);
    cr_assert_eq(ejected(test), 1);
}

Test(routing_health, silent_connection_is_replaced_when_a_new_one_answers)
{
    driver test = makeDriver(2);
    const auto number = test.arrive(test.make());
    const dispatch first = test.lastDispatch(number);
    test.sent(first, test.now - 5s);
    test.run(550ms);
    cr_assert(std::any_of(test.seen.begin(), test.seen.end(), [&](const action& each) {
        const auto* check = std::get_if<probe>(&each);
        return check != nullptr && check->target == first.target;
    }));
    test.probed(first.target.value(), healthyAnswer(firstRun));
    cr_assert_eq(test.all<close_idle>().size(), 1);
    cr_assert_eq(test.all<abandon>().size(), 1);
    test.run(50ms);
    cr_assert(test.lastDispatch(number).attempt == attempt_number { 2 });
    cr_assert(test.lastDispatch(number).newConnection);
}

Test(routing_health, unrepeatable_request_that_an_idle_target_does_not_answer_ends_as_unknown)
{
    driver test = makeDriver(2);
    request submitted = test.make();
    submitted.repeatable = false;
    const auto number = test.arrive(submitted);
    const dispatch first = test.lastDispatch(number);
    cr_assert(first.newConnection);
    test.sent(first, test.now - 5s);
    test.run(550ms);
    test.probed(first.target.value(), healthyAnswer(firstRun, 0));
    // A busy target may answer one probe before it reads a request that arrived earlier.
    test.run(1500ms);
    test.probed(first.target.value(), healthyAnswer(firstRun, 0));
    cr_assert_not(test.refusal(number));
    test.run(1500ms);
    test.probed(first.target.value(), healthyAnswer(firstRun, 0));
    test.run(50ms);
    cr_assert(test.refusal(number)->requestOutcome == outcome::Unknown);
    cr_assert(test.refusal(number)->reason == refusal_reason::ConnectionSilent);
    cr_assert(test.lastDispatch(number).attempt == attempt_number { 1 });
}

// Orders that took 3.5 s were answered 504 while their targets worked on them.
Test(routing_health, unrepeatable_request_is_not_ended_while_its_target_may_work_on_it)
{
    options reportNoLoad;
    reportNoLoad.targetsReportLoad = false;
    for (const auto& [settings, running] :
        { std::pair(options {}, 1U), std::pair(reportNoLoad, 0U) }) {
        driver test = makeDriver(2, settings);
        request submitted = test.make();
        submitted.repeatable = false;
        const auto number = test.arrive(submitted);
        const dispatch only = test.lastDispatch(number);
        test.sent(only, test.now - 5s);
        for (int i = 0; i < 9; ++i) {
            test.run(1s);
            test.probed(only.target.value(), healthyAnswer(firstRun, running));
        }
        cr_assert_not(test.refusal(number));
        cr_assert(test.all<abandon>().empty());
    }
}

// A lookup that is late is tried elsewhere, but what its target may yet answer is not thrown away
// for nothing.
Test(routing_health, late_request_is_not_given_up_if_no_other_attempt_can_follow)
{
    options noTokens;
    noTokens.retryBurst = 0;
    noTokens.retryRatio = 0;
    options oneAttempt;
    oneAttempt.attemptsMax = 1;
    const auto isGivenUp
        = [](const options& settings, bool stops, duration deadline, unsigned attempts) {
              driver test = makeDriver(2, settings);
              request submitted = test.make();
              submitted.deadline = test.now + deadline;
              submitted.attempts = attempts;
              const dispatch only = test.lastDispatch(test.arrive(submitted));
              test.sent(only, test.now - 5s);
              if (stops)
                  (void)test.host->stop(test.now);
              test.run(600ms);
              test.probed(only.target.value(), healthyAnswer(firstRun, 0));
              test.run(200ms);
              return !test.all<abandon>().empty();
          };
    cr_assert(isGivenUp({}, false, 10s, 4));
    cr_assert_not(isGivenUp({}, true, 10s, 4));
    cr_assert_not(isGivenUp({}, false, 900ms, 4));
    cr_assert_not(isGivenUp({}, false, 10s, 1));
    cr_assert_not(isGivenUp(oneAttempt, false, 10s, 4));
    cr_assert_not(isGivenUp(noTokens, false, 10s, 4));
}

// With one token for the retries of two late requests, one was given up and then refused.
Test(routing_health, each_late_request_that_is_given_up_is_attempted_again)
{
    options oneToken;
    oneToken.retryBurst = 1;
    oneToken.retryRatio = 0;
    oneToken.waitsForBudget = false;
    driver test = makeDriver(1, oneToken);
    std::vector<request_number> numbers;
    for (int i = 0; i < 2; ++i) {
        numbers.push_back(test.arrive(test.make()));
        test.sent(test.lastDispatch(numbers.back()), test.now - 5s);
    }
    test.run(600ms);
    test.probed("t0", healthyAnswer(firstRun, 0));
    test.run(600ms);
    cr_assert_eq(test.all<abandon>().size(), 1);
    const auto again = test.all<abandon>().front().number;
    cr_assert(test.lastDispatch(again).attempt == attempt_number { 2 });
    for (const auto number : numbers)
        cr_assert_not(test.refusal(number));
}

// A connection that the kernel gave up as silent is replaced by a new one.
Test(routing_health, request_on_a_connection_that_is_lost_in_silence_goes_out_on_a_new_one)
{
    driver test = makeDriver(2);
    const auto number = test.arrive(test.make());
    test.finish(test.lastDispatch(number), broken { true });
    test.run(600ms);
    cr_assert(test.lastDispatch(number).attempt == attempt_number { 2 });
    cr_assert(test.lastDispatch(number).newConnection);
    request submitted = test.make();
    submitted.repeatable = false;
    const auto sale = test.arrive(submitted);
    test.finish(test.lastDispatch(sale), broken { true });
    cr_assert(test.refusal(sale)->requestOutcome == outcome::Unknown);
    cr_assert(test.refusal(sale)->reason == refusal_reason::ConnectionSilent);
}

Test(routing_health, slow_request_on_a_new_connection_is_not_abandoned)
{
    driver test = makeDriver(2);
    const auto number = test.arrive(test.make());
    const dispatch first = test.lastDispatch(number);
    test.sent(first, test.now);
    test.run(600ms);
    test.probed(first.target.value(), healthyAnswer(firstRun));
    cr_assert(test.all<abandon>().empty());
}

Test(routing_health, lost_request_is_retried_when_the_target_reports_no_load)
{
    driver test = makeDriver(2);
    const auto number = test.arrive(test.make());
    const dispatch first = test.lastDispatch(number);
    test.sent(first, test.now);
    test.run(600ms);
    test.probed(first.target.value(), healthyAnswer(firstRun, 0));
    test.run(50ms);
    cr_assert(test.lastDispatch(number).attempt == attempt_number { 2 });
}

// Each host would otherwise open a connection to each target as soon as it starts.
Test(routing_health, targets_that_report_no_load_are_probed_only_after_a_failure)
{
    options settings;
    settings.targetsReportLoad = false;
    settings.backgroundProbeInterval = 24h;
    auto rows = makeTable(4, false);
    for (auto& target : rows.targets)
        target.run = firstRun;
    driver test(rows, settings);
    test.run(2s);
    cr_assert(test.all<probe>().empty());
    const auto number = test.arrive(test.make("c", 5));
    const dispatch attempt = test.lastDispatch(number);
    test.finish(attempt, connect_failed { true });
    test.run(200ms);
    const auto probes = test.all<probe>();
    cr_assert_eq(probes.size(), 1);
    cr_assert(probes.front().target == attempt.target);
}

// The run of a target that was never probed is the one that the table states.
Test(routing_health, crash_of_a_target_that_was_never_probed_is_attributed)
{
    options settings;
    settings.targetsReportLoad = false;
    settings.backgroundProbeInterval = 24h;
    auto rows = makeTable(1, false);
    rows.targets.front().run = firstRun;
    driver test(rows, settings);
    const auto crashing = test.arrive(test.make("c", 5));
    const auto refused = test.arrive(test.make("c", 6));
    test.finish(test.lastDispatch(refused), connect_failed { true });
    const auto crashes = test.all<broadcast_crash>();
    cr_assert_eq(crashes.size(), 1);
    cr_assert(crashes.front().record.run == firstRun);
    cr_assert(crashes.front().record.requestFingerprint == fingerprint { 5 });
    cr_assert(test.lastDispatch(crashing).target == target_id { "t0" });
}
