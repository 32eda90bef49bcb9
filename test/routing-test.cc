#include "routing-fixture.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace pimentomast::routing::testing;

Test(routing, request_is_dispatched_at_once_and_answered)
{
    driver test(makeTable(2, false));
    const auto number = test.arrive(test.make());
    const dispatch attempt = test.lastDispatch(number);
    cr_assert(attempt.attempt == attempt_number { 1 });
    test.finish(attempt, answered { 200, 5ms, 6ms });
    cr_assert_eq(test.host->counts().answered, 1);
    cr_assert(test.all<refuse>().empty());
}

Test(routing, keyed_request_carries_the_owners_token)
{
    driver test(makeTable(2, true));
    const token grant { epoch { 3 }, sequence { 9 } };
    test.owners.answer = owned_by { target_id { "t1" }, grant };
    request submitted = test.make();
    submitted.key = key_hash { 7 };
    const dispatch attempt = test.lastDispatch(test.arrive(submitted));
    cr_assert(attempt.target == target_id { "t1" });
    cr_assert(attempt.grant == grant);
}

Test(routing, keyed_request_waits_while_its_key_has_no_owner)
{
    driver test(makeTable(2, true));
    request submitted = test.make();
    submitted.key = key_hash { 7 };
    const auto number = test.arrive(submitted);
    test.run(100ms);
    cr_assert(test.lastDispatch(number).number != number);
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    test.run(2ms);
    cr_assert(test.lastDispatch(number).number == number);
}

Test(routing, request_without_an_owner_ends_as_not_run_at_its_deadline)
{
    driver test(makeTable(2, true));
    request submitted = test.make();
    submitted.key = key_hash { 7 };
    submitted.deadline = test.now + 50ms;
    const auto number = test.arrive(submitted);
    test.run(60ms);
    const auto refusal = test.refusal(number);
    cr_assert(refusal.has_value());
    cr_assert(refusal->requestOutcome == outcome::NotRun);
    cr_assert(refusal->reason == refusal_reason::NoOwner);
}

Test(routing, unrepeatable_request_is_sent_again_only_after_not_run)
{
    driver test(makeTable(3, false));
    request submitted = test.make();
    submitted.repeatable = false;
    const auto number = test.arrive(submitted);
    const dispatch first = test.lastDispatch(number);
    test.finish(first, shed {});
    test.run(50ms);
    const dispatch second = test.lastDispatch(number);
    cr_assert(second.attempt == attempt_number { 2 });
    cr_assert(second.target != first.target);
    test.finish(second, broken {});
    test.run(50ms);
    const auto refusal = test.refusal(number);
    cr_assert(refusal.has_value());
    cr_assert(refusal->requestOutcome == outcome::Unknown);
    cr_assert(refusal->reason == refusal_reason::ConnectionBroken);
    cr_assert(test.lastDispatch(number).attempt == attempt_number { 2 });
}

Test(routing, request_that_may_have_run_is_never_reported_as_not_run)
{
    driver test(makeTable(3, false));
    request submitted = test.make();
    submitted.deadline = test.now + 200ms;
    const auto number = test.arrive(submitted);
    test.finish(test.lastDispatch(number), broken {});
    test.probed("t0", probe_answered {});
    test.run(1500ms);
    const auto refusal = test.refusal(number);
    cr_assert(refusal.has_value());
    cr_assert(refusal->requestOutcome == outcome::Unknown);
}

Test(routing, finish_of_an_older_attempt_is_ignored)
{
    driver test(makeTable(3, false));
    const auto number = test.arrive(test.make());
    const dispatch first = test.lastDispatch(number);
    test.finish(first, shed {});
    test.run(50ms);
    test.finish(first, answered {});
    cr_assert_eq(test.host->counts().answered, 0);
    test.finish(test.lastDispatch(number), answered {});
    cr_assert_eq(test.host->counts().answered, 1);
}

Test(routing, names_cover_every_reason)
{
    cr_assert(name(refusal_reason::HostStopping) == "host-stopping");
    cr_assert(name(refusal_reason::TableUnconfirmed) == "table-unconfirmed");
    cr_assert(name(retry_reason::AttemptTimedOut) == "attempt-timed-out");
    cr_assert(name(outcome::NotRun) == "not-run");
}

Test(routing, services_without_keys_are_refused_while_the_table_is_unconfirmed)
{
    driver test(makeTable(1, false));
    (void)test.host->applyTableConfirmed(test.now, false);
    const auto refused = test.arrive(test.make());
    cr_assert(test.refusal(refused)->reason == refusal_reason::TableUnconfirmed);
    cr_assert(test.refusal(refused)->requestOutcome == outcome::NotRun);
    (void)test.host->applyTableConfirmed(test.now, true);
    const auto accepted = test.arrive(test.make());
    cr_assert_eq(test.lastDispatch(accepted).number, accepted);
}
