#include "ownership-simulation.h"

#include <criterion/criterion.h>
#include <limits>

using namespace ownership_simulation;

namespace {

options registeringTargets(int targets)
{
    options chosen;
    chosen.seed = 11;
    chosen.targets = targets;
    chosen.listedTargets = 1;
    return chosen;
}

/// Lists one target more after each interval, until all are listed or the time is over.
void registerTargets(simulation& system, milliseconds interval, milliseconds span)
{
    const auto count = static_cast<int>(system.targets.size());
    for (milliseconds passed { 0 }; passed < span; passed += interval) {
        system.listedTargets = std::min(system.listedTargets + 1, count);
        for (int i = 0; i <= system.lastHost(); ++i)
            system.sendTable(i);
        system.runFor(interval);
    }
}

std::set<target_id> assignedTargets(const simulation& system)
{
    std::set<target_id> owners;
    const auto row = system.rows.find(assignmentKey(service));
    if (row == system.rows.end())
        return owners;
    const auto assigned = parseAssignment(row->second.value).value();
    for (const auto& each : assigned.slices)
        owners.insert(each.owner);
    return owners;
}

} // namespace

Test(ownership_first_deal, targets_that_register_after_the_takeover_get_keys)
{
    simulation system(registeringTargets(20));
    registerTargets(system, milliseconds { 100 }, milliseconds { 2000 });
    system.runFor(2 * timings {}.targetsSettling);
    cr_assert_eq(assignedTargets(system).size(), 20);
    for (int i = 0; i < sampledHashes; ++i)
        cr_assert(system.served(simulation::sample(i)));
}

Test(ownership_first_deal, registrations_without_end_do_not_keep_keys_without_an_owner)
{
    simulation system(registeringTargets(40));
    const auto limit = timings {}.firstDealDelay + milliseconds { 1000 };
    registerTargets(system, milliseconds { 500 }, limit);
    for (int i = 0; i < sampledHashes; ++i)
        cr_assert(system.served(simulation::sample(i)));
}

Test(ownership_first_deal, keys_of_targets_lost_together_do_not_all_go_to_the_first_that_returns)
{
    simulation system(registeringTargets(40));
    registerTargets(system, milliseconds { 20 }, milliseconds { 380 });
    system.runFor(4 * timings {}.targetsSettling);
    cr_assert_eq(assignedTargets(system).size(), 20);
    for (std::size_t i = 0; i < 20; ++i)
        system.targets[i].frozenUntil = std::numeric_limits<std::int64_t>::max();
    system.runFor(3 * timings {}.targetLease);
    registerTargets(system, milliseconds { 100 }, milliseconds { 2000 });
    system.runFor(5 * timings {}.targetsSettling);
    cr_assert_eq(assignedTargets(system).size(), 20);
}
