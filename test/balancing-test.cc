#include "balancing-fixture.h"

#include <criterion/criterion.h>
#include <map>

using namespace pimentomast;
using namespace pimentomast::balancing;
using namespace pimentomast::balancing::testing;
using namespace std::chrono_literals;

Test(balancing, initial_slices_cover_the_space_once_by_weight)
{
    auto targets = makeTargets(3);
    targets[0].weight = 2;
    const auto slices = planner::create({}).value().initial(instant { 1s }, targets);
    std::map<target_id, int> owned;
    std::uint64_t next = 0;
    for (const placed_slice& each : slices) {
        cr_assert_eq(each.keys.first.value(), next);
        next = each.keys.last.value() + 1;
        ++owned[each.owner.value()];
    }
    cr_assert_eq(next, 0);
    cr_assert_eq(owned[target_id { "t0" }], 2 * owned[target_id { "t1" }]);
}

Test(balancing, sketch_finds_the_keys_that_are_hot_now)
{
    auto counts = sketch::create(16, 1s).value();
    instant now { 10s };
    for (int i = 0; i < 4000; ++i) {
        now += 1ms;
        const std::uint64_t hot = i < 2000 ? 1 : 2;
        counts.add(now, key_hash { i % 2 == 0 ? hot : 1000U + static_cast<unsigned>(i) % 97 });
    }
    const auto top = counts.top(now, 2);
    cr_assert_eq(top.at(0).hash.value(), 2);
    cr_assert_float_eq(top.at(0).rate, 500, 200);
}
