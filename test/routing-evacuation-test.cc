#include "routing-fixture.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace pimentomast::routing::testing;

namespace {

constexpr duration grace = 3s;

options shortLeavingGrace()
{
    options settings;
    settings.leavingGrace = 1s;
    return settings;
}

void evacuate(driver& test, table::table rows, std::size_t index)
{
    rows.targets[index].state = table::mark::Leaving;
    rows.targets[index].evacuatedBy = test.now + grace;
    (void)test.host->applyTable(test.now, rows);
}

} // namespace

Test(routing_evacuation, service_without_keys_sends_nothing_there_at_once)
{
    const auto rows = makeTable(2, false);
    driver test(rows);
    evacuate(test, rows, 0);
    for (int i = 0; i < 20; ++i) {
        const auto attempt = test.lastDispatch(test.arrive(test.make()));
        cr_assert_eq(attempt.target.value(), "t1");
        test.finish(attempt, answered { 200, 1ms, 1ms });
    }
}

// The keys of a third of the targets move at once, so their owners serve longer than the owner of a
// few keys that leaves, but never beyond the limit of the evacuation.
Test(routing_evacuation, owner_is_used_until_its_grace_has_passed)
{
    const auto rows = makeTable(2, true);
    driver test(rows, shortLeavingGrace());
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    evacuate(test, rows, 0);
    const auto arrive = [&] {
        auto submitted = test.make();
        submitted.key = key_hash { 7 };
        return test.arrive(submitted);
    };
    test.now += 2s;
    const auto inTime = arrive();
    cr_assert_eq(test.lastDispatch(inTime).number.value(), inTime.value());
    test.now += 2s;
    const auto late = arrive();
    cr_assert_neq(test.lastDispatch(late).number.value(), late.value());
    test.owners.answer = owned_by { target_id { "t1" }, {} };
    test.run(200ms);
    cr_assert_eq(test.lastDispatch(late).target.value(), "t1");
}

// A target that leaves by itself during an evacuation keeps its own, shorter grace.
Test(routing_evacuation, leaving_target_is_not_used_for_longer)
{
    auto rows = makeTable(2, true);
    driver test(rows, shortLeavingGrace());
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    rows.targets[0].leavingSince = test.now;
    evacuate(test, rows, 0);
    test.now += 2s;
    auto submitted = test.make();
    submitted.key = key_hash { 7 };
    const auto number = test.arrive(submitted);
    cr_assert_neq(test.lastDispatch(number).number.value(), number.value());
}

Test(routing_evacuation, domain_that_is_taken_back_is_used_again)
{
    const auto rows = makeTable(1, false);
    driver test(rows);
    evacuate(test, rows, 0);
    const auto number = test.arrive(test.make());
    cr_assert_neq(test.lastDispatch(number).number.value(), number.value());
    (void)test.host->applyTable(test.now, rows);
    const auto next = test.arrive(test.make());
    cr_assert_eq(test.lastDispatch(next).number.value(), next.value());
}
