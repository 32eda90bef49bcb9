#include "helper.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;

/// Acknowledged assignments and configurations survive the loss of hosts, of the store and of its
/// replies.
namespace {

load_generator::options weightsLoad(unsigned seed)
{
    return { .services = { "weights" }, .seed = seed };
}

/// Returns the owner of each of the keys k0 to k7.
std::vector<std::string> owners(cluster& system)
{
    std::vector<std::string> all;
    all.reserve(8);
    for (int key = 0; key < 8; ++key)
        all.push_back(system.ownerOf("weights", "k" + std::to_string(key)));
    return all;
}

} // namespace

Test(failure_store, assignment_survives_the_loss_of_all_hosts_but_one)
{
    scenario run(threeKeyedTargets(), weightsLoad(21));
    const auto before = owners(run.system);
    run.system.host("h1").child.kill();
    run.system.host("h2").child.kill();
    run.system.waitUntilServed();
    cr_assert(owners(run.system) == before);
    run.finish();
}

Test(failure_store, assignment_survives_the_loss_of_all_hosts)
{
    cluster system(threeKeyedTargets());
    // Hosts could recompute the first assignment from the table alone, but not one that was made
    // after the loss of a target.
    const auto lost = system.ownerOf("weights", "k0");
    system.killTarget(lost);
    cr_assert(waitUntil([&] { return system.ownerOf("weights", "k0") != lost; }));
    system.startTarget(lost);
    system.waitUntilServed();
    const auto before = owners(system);
    for (auto& host : system.hosts())
        host.child.kill();
    for (const auto* id : { "h1", "h2", "h3" })
        system.startHost(id);
    system.waitUntilServed();
    cr_assert(owners(system) == before);
    expectNoViolations(system, {});
}

Test(failure_store, lost_replies_change_nothing)
{
    scenario run(threeKeyedTargets(), weightsLoad(22));
    for (int round = 0; round < 20; ++round) {
        run.system.platformFault(R"({"lose_replies":3})");
        std::this_thread::sleep_for(milliseconds(100));
    }
    const auto owner = run.system.ownerOf("weights", "k0");
    run.system.platformFault(R"({"lose_replies":5})");
    run.system.killTarget(owner);
    cr_assert(waitUntil([&] { return run.system.ownerOf("weights", "k0") != owner; }));
    run.system.startTarget(owner);
    run.system.platformFault(R"({"lose_replies":0})");
    run.finish();
}

Test(failure_store, requests_are_served_while_the_store_refuses_or_is_silent)
{
    scenario run(threeKeyedTargets(), weightsLoad(23));
    const auto before = owners(run.system);
    for (const auto* kind : { "refuse", "silent" }) {
        run.system.platformFault(std::string(R"({"outage":")") + kind + "\"}");
        std::this_thread::sleep_for(seconds(8));
        cr_assert(owners(run.system) == before);
        run.system.platformFault(R"({"outage":"none"})");
        std::this_thread::sleep_for(seconds(1));
    }
    run.finish();
    for (const auto& answer : run.answers)
        cr_assert(answer.answered(), "%s %s: %d %s %s", answer.method.c_str(), answer.path.c_str(),
            answer.reply.status, answer.reply.body.c_str(), answer.reply.failure.c_str());
}

Test(failure_store, owner_is_killed_during_an_outage)
{
    scenario run(threeKeyedTargets(), weightsLoad(24));
    run.system.platformFault(R"({"outage":"silent"})");
    std::this_thread::sleep_for(seconds(2));
    const auto owner = run.system.ownerOf("weights", "k0");
    run.system.killTarget(owner);
    std::this_thread::sleep_for(seconds(5));
    run.system.startTarget(owner);
    run.system.platformFault(R"({"outage":"none"})");
    run.finish();
}

Test(failure_store, coordinator_is_killed_during_an_outage_while_another_host_is_frozen)
{
    scenario run(threeKeyedTargets(), weightsLoad(25));
    const auto coordinator = run.system.coordinatorOf("weights");
    const std::string other = coordinator == "h1" ? "h2" : "h1";
    run.system.platformFault(R"({"outage":"refuse"})");
    std::this_thread::sleep_for(seconds(2));
    run.system.host(other).child.freeze();
    run.system.host(coordinator).child.kill();
    std::this_thread::sleep_for(seconds(4));
    run.system.platformFault(R"({"outage":"none"})");
    run.system.host(other).child.thaw();
    run.finish();
}

Test(failure_store, slow_store_keeps_ownership_exclusive)
{
    scenario run(threeKeyedTargets(), weightsLoad(26));
    run.system.platformFault(R"({"slow_ms":400})");
    std::this_thread::sleep_for(seconds(5));
    run.system.platformFault(R"({"slow_ms":700})");
    std::this_thread::sleep_for(seconds(5));
    run.system.platformFault(R"({"slow_ms":0})");
    run.finish();
}
