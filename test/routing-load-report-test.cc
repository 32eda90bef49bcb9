#include "routing-fixture.h"

#include <criterion/criterion.h>
#include <map>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace pimentomast::routing::testing;

namespace {

/// Sends requests one after the other, each of which is answered at once, and returns how many each
/// target got.
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

load_report loaded(unsigned running, unsigned queued, double slowdown = 1)
{
    load_report load;
    load.running = running;
    load.queued = queued;
    load.slots = 4;
    load.slowdown = slowdown;
    return load;
}

void report(driver& test, const std::string& target, const load_report& load)
{
    (void)test.host->report(test.now, target_id { target }, load);
}

} // namespace

// Load: other hosts keep one of two targets busy; this host learns it only from an answer.
Test(routing_load_report, target_that_reports_others_requests_gets_fewer)
{
    driver test(makeTable(2, false));
    report(test, "t0", loaded(4, 3));
    auto received = sendOneByOne(test, 100);
    cr_assert_lt(3 * received["t0"], received["t1"]);
}

// Load: work takes three times as long on the machine of one of two idle targets.
Test(routing_load_report, target_on_a_slow_machine_gets_fewer)
{
    driver test(makeTable(2, false));
    report(test, "t0", loaded(0, 0, 3));
    auto received = sendOneByOne(test, 100);
    cr_assert_lt(2 * received["t0"], received["t1"]);
    cr_assert_gt(received["t0"], 0);
}

// A report that never expired would keep requests away from a target that has long been idle.
Test(routing_load_report, old_report_no_longer_counts)
{
    driver test(makeTable(2, false));
    report(test, "t0", loaded(4, 20, 3));
    test.now += 5s;
    auto received = sendOneByOne(test, 100);
    cr_assert_geq(received["t0"], 45);
}

// A report without a run must not look like the end of the target's run, which would make the
// requests in flight there suspects of a crash.
Test(routing_load_report, report_without_a_run_is_no_restart)
{
    auto rows = makeTable(1, false);
    rows.targets[0].run = incarnation { 7 };
    driver test(rows);
    test.arrive(test.make());
    report(test, "t0", loaded(1, 0));
    cr_assert(test.host->suspects().empty());
    cr_assert_float_eq(test.host->targets().front().slowStartShare, 1, 1e-9);
}
