#include "helper.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <future>

using namespace pimentomast;
using namespace pimentomast::test;

/// Ownership stays exclusive, and requests that may not be repeated run at most once, while owners,
/// coordinators or both are killed or frozen.
namespace {

constexpr milliseconds longerThanLease { 4000 };

load_generator::options weightsLoad(unsigned seed)
{
    return { .services = { "weights" }, .seed = seed };
}

/// Waits until another target serves the key.
void expectMoved(cluster& system, const std::string& from)
{
    const bool moved = waitUntil([&] {
        const auto owner = system.ownerOf("weights", "k0");
        return !owner.empty() && owner != from;
    });
    cr_assert(moved, "the key did not move from its failed owner %s", from.c_str());
}

void expectNewCoordinator(const cluster& system, const std::string& lost)
{
    const bool taken = waitUntil([&] {
        const auto now = system.coordinatorOf("weights");
        return !now.empty() && now != lost;
    });
    cr_assert(taken, "no host took over from coordinator %s", lost.c_str());
}

cluster_options uncheckedTargets()
{
    return { 3,
        { { "w1", "weights", false }, { "w2", "weights", false }, { "w3", "weights", false } } };
}

std::future<http_reply> post(const cluster& system, std::size_t host, const std::string& query)
{
    const http_call request { "POST", "/weights/k0?" + query, "one crate" };
    return std::async(
        std::launch::async, [&system, host, request] { return system.send(host, request); });
}

bool hasRun(const cluster& system, const std::string& name)
{
    const auto all = system.runs();
    return std::any_of(all.begin(), all.end(),
        [&](const request_run& each) { return each.path.find(name) != std::string::npos; });
}

/// Waits until the key k0 is granted to a target other than its owner.
void expectGrantedElsewhere(const cluster& system, const std::string& owner)
{
    const auto hash = hashKey("k0").value();
    const bool granted = waitUntil([&] {
        const auto all = system.records().ownedIntervals;
        return std::any_of(all.begin(), all.end(), [&](const ownership_interval& each) {
            return each.target != owner && each.first <= hash && hash <= each.last;
        });
    });
    cr_assert(granted, "the key was granted to no target other than %s", owner.c_str());
}

/// Fails the test if two targets ran requests of the key k0 at the same time.
void expectOneTargetAtATime(const cluster& system)
{
    const auto all = system.runs();
    for (const auto& one : all)
        for (const auto& other : all)
            cr_assert(one.target == other.target || one.startUs >= other.endUs
                    || other.startUs >= one.endUs || !one.path.starts_with("/weights/k0?")
                    || !other.path.starts_with("/weights/k0?"),
                "%s ran %s for %lld us while %s ran %s for %lld us", one.target.c_str(),
                one.path.c_str(), static_cast<long long>(one.endUs - one.startUs),
                other.target.c_str(), other.path.c_str(),
                static_cast<long long>(other.endUs - other.startUs));
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
    run.system.target(owner).child.freeze();
    expectMoved(run.system, owner);
    run.system.target(owner).child.thaw();
    run.finish();
}

Test(failure_ownership, coordinator_is_killed)
{
    scenario run(threeKeyedTargets(), weightsLoad(4));
    const auto coordinator = run.system.coordinatorOf("weights");
    run.system.host(coordinator).child.kill();
    expectNewCoordinator(run.system, coordinator);
    run.finish();
}

Test(failure_ownership, coordinator_is_frozen)
{
    scenario run(threeKeyedTargets(), weightsLoad(5));
    const auto coordinator = run.system.coordinatorOf("weights");
    run.system.host(coordinator).child.freeze();
    expectNewCoordinator(run.system, coordinator);
    run.system.host(coordinator).child.thaw();
    run.finish();
}

Test(failure_ownership, owner_and_coordinator_are_killed)
{
    scenario run(threeKeyedTargets(), weightsLoad(6));
    const auto coordinator = run.system.coordinatorOf("weights");
    const auto owner = run.system.ownerOf("weights", "k0");
    run.system.killTarget(owner);
    run.system.host(coordinator).child.kill();
    expectMoved(run.system, owner);
    run.finish();
}

Test(failure_ownership, owner_and_coordinator_are_frozen)
{
    scenario run(threeKeyedTargets(), weightsLoad(7));
    const auto coordinator = run.system.coordinatorOf("weights");
    const auto owner = run.system.ownerOf("weights", "k0");
    run.system.host(coordinator).child.freeze();
    run.system.target(owner).child.freeze();
    expectNewCoordinator(run.system, coordinator);
    std::this_thread::sleep_for(longerThanLease);
    run.system.target(owner).child.thaw();
    run.system.host(coordinator).child.thaw();
    run.finish();
}

Test(failure_ownership, coordinator_loses_the_store_and_owner_is_reachable_only_from_it)
{
    scenario run(threeKeyedTargets(), weightsLoad(8));
    const auto coordinator = run.system.coordinatorOf("weights");
    const auto owner = run.system.ownerOf("weights", "k0");
    const auto process = run.system.host(coordinator).child.id();
    run.system.setLinkMode("platform/" + coordinator, "drop-both");
    run.system.setLinkMode("target/" + owner, "pass", process);
    run.system.setLinkMode("target/" + owner, "drop-both");
    expectNewCoordinator(run.system, coordinator);
    std::this_thread::sleep_for(longerThanLease);
    run.system.setLinkMode("platform/" + coordinator, "pass");
    run.system.setLinkMode("target/" + owner, "pass");
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
    cr_assert(run.system.applyTable(run.system.table({ owner }), 1) == 0);
    std::this_thread::sleep_for(2 * longerThanLease);
    run.system.isolateHost(coordinator, "pass");
    run.finish();
}

Test(failure_ownership, targets_without_token_checks_while_a_host_is_frozen)
{
    scenario run(uncheckedTargets(), weightsLoad(10));
    const auto owner = run.system.ownerOf("weights", "k0");
    const auto coordinator = run.system.coordinatorOf("weights");
    run.system.host(coordinator).child.freeze();
    run.system.killTarget(owner);
    expectMoved(run.system, owner);
    run.system.host(coordinator).child.thaw();
    run.system.startTarget(owner);
    run.finish();
}

Test(failure_ownership, delayed_request_reaches_a_leaving_target_without_token_checks)
{
    auto options = uncheckedTargets();
    options.deadlineMs = 30000;
    cluster system(options);
    const auto owner = system.ownerOf("weights", "k0");
    const std::size_t coordinator = system.coordinatorOf("weights") == "h1" ? 0 : 1;
    const std::size_t other = 1 - coordinator;
    // If the target seemed idle, the host would give up the late request.
    system.targetFault(owner, R"({"wrong_running":1})");
    system.setLinkMode("target/" + owner, "drop-forward", system.hosts()[other].child.id());
    auto late = post(system, other, "request=late&service_ms=500");
    std::this_thread::sleep_for(milliseconds(500));
    cr_assert(system.applyTable(system.table({ owner }), 1) == 0);
    expectGrantedElsewhere(system, owner);
    auto next = post(system, coordinator, "request=next&service_ms=3000");
    // The next request may start only after the late one, so this usually times out.
    (void)waitUntil([&] { return hasRun(system, "request=next"); }, longerThanLease);
    system.setLinkMode("target/" + owner, "pass", system.hosts()[other].child.id());
    const auto lateReply = late.get();
    const auto nextReply = next.get();
    expectOneTargetAtATime(system);
    cr_assert(lateReply.status == 200, "%d %s", lateReply.status, lateReply.body.c_str());
    cr_assert(nextReply.status == 200, "%d %s", nextReply.status, nextReply.body.c_str());
    cr_assert(jsonField(nextReply.body, "target") != owner);
}
