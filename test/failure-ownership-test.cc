#include "helper.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;

/// Sole ownership and repeatability while owners, coordinators or both are killed or frozen.
namespace {

constexpr milliseconds longerThanLease { 4000 };

load::options weightsLoad(unsigned seed) { return { .services = { "weights" }, .seed = seed }; }

/// Waits until another target serves the key.
void expectMoved(cluster& system, const std::string& from)
{
    const bool moved = waitUntil([&] {
        const auto owner = system.ownerOf("weights", "k0");
        return !owner.empty() && owner != from;
    });
    cr_assert(moved, "the key still has its lost owner %s", from.c_str());
}

void expectNewCoordinator(const cluster& system, const std::string& lost)
{
    const bool taken = waitUntil([&] {
        const auto now = system.coordinatorOf("weights");
        return !now.empty() && now != lost;
    });
    cr_assert(taken, "nobody took over from %s", lost.c_str());
}

} // namespace

Test(failure_ownership, owner_is_killed)
{
    scenario run(threeKeyedTargets(), weightsLoad(1));
    const auto owner = run.system.ownerOf("weights", "k0");
    run.system.killTarget(owner);
    expectMoved(run.system, owner);
    run.system.startTarget(owner);
    run.finish();
}

Test(failure_ownership, owner_is_killed_and_restarts_at_once)
{
    scenario run(threeKeyedTargets(), weightsLoad(2));
    for (const auto* id : { "w1", "w2", "w3" }) {
        run.system.killTarget(id);
        run.system.startTarget(id);
    }
    run.finish();
}

Test(failure_ownership, owner_is_frozen)
{
    scenario run(threeKeyedTargets(), weightsLoad(3));
    const auto owner = run.system.ownerOf("weights", "k0");
    run.system.target(owner).running.freeze();
    expectMoved(run.system, owner);
    run.system.target(owner).running.thaw();
    run.finish();
}

Test(failure_ownership, coordinator_is_killed)
{
    scenario run(threeKeyedTargets(), weightsLoad(4));
    const auto coordinator = run.system.coordinatorOf("weights");
    run.system.host(coordinator).running.kill();
    expectNewCoordinator(run.system, coordinator);
    run.finish();
}

Test(failure_ownership, coordinator_is_frozen)
{
    scenario run(threeKeyedTargets(), weightsLoad(5));
    const auto coordinator = run.system.coordinatorOf("weights");
    run.system.host(coordinator).running.freeze();
    expectNewCoordinator(run.system, coordinator);
    run.system.host(coordinator).running.thaw();
    run.finish();
}

Test(failure_ownership, owner_and_coordinator_are_killed)
{
    scenario run(threeKeyedTargets(), weightsLoad(6));
    const auto coordinator = run.system.coordinatorOf("weights");
    const auto owner = run.system.ownerOf("weights", "k0");
    run.system.killTarget(owner);
    run.system.host(coordinator).running.kill();
    expectMoved(run.system, owner);
    run.finish();
}

Test(failure_ownership, owner_and_coordinator_are_frozen)
{
    scenario run(threeKeyedTargets(), weightsLoad(7));
    const auto coordinator = run.system.coordinatorOf("weights");
    const auto owner = run.system.ownerOf("weights", "k0");
    run.system.host(coordinator).running.freeze();
    run.system.target(owner).running.freeze();
    expectNewCoordinator(run.system, coordinator);
    std::this_thread::sleep_for(longerThanLease);
    run.system.target(owner).running.thaw();
    run.system.host(coordinator).running.thaw();
    run.finish();
}

Test(failure_ownership, coordinator_without_store_and_its_target_without_anyone_else)
{
    scenario run(threeKeyedTargets(), weightsLoad(8));
    const auto coordinator = run.system.coordinatorOf("weights");
    const auto owner = run.system.ownerOf("weights", "k0");
    const auto process = run.system.host(coordinator).running.id();
    run.system.cut("platform/" + coordinator, "drop-both");
    run.system.cut("target/" + owner, "pass", process);
    run.system.cut("target/" + owner, "drop-both");
    expectNewCoordinator(run.system, coordinator);
    std::this_thread::sleep_for(longerThanLease);
    run.system.cut("platform/" + coordinator, "pass");
    run.system.cut("target/" + owner, "pass");
    run.finish();
}

Test(failure_ownership, coordinator_is_isolated_but_reaches_its_targets)
{
    scenario run(threeKeyedTargets(), weightsLoad(9));
    const auto coordinator = run.system.coordinatorOf("weights");
    const auto owner = run.system.ownerOf("weights", "k0");
    run.system.isolateHost(coordinator, "drop-both");
    expectNewCoordinator(run.system, coordinator);
    // Now the isolated coordinator's assignment differs from the one in force.
    cr_assert(run.system.apply(run.system.table({ owner }), 1) == 0);
    std::this_thread::sleep_for(2 * longerThanLease);
    run.system.isolateHost(coordinator, "pass");
    run.finish();
}

Test(failure_ownership, targets_that_check_no_tokens_under_frozen_hosts)
{
    cluster_options options { 3,
        { { "w1", "weights", false }, { "w2", "weights", false }, { "w3", "weights", false } } };
    scenario run(options, weightsLoad(10));
    const auto owner = run.system.ownerOf("weights", "k0");
    const auto coordinator = run.system.coordinatorOf("weights");
    run.system.host(coordinator).running.freeze();
    run.system.killTarget(owner);
    expectMoved(run.system, owner);
    run.system.host(coordinator).running.thaw();
    run.system.startTarget(owner);
    run.finish();
}
