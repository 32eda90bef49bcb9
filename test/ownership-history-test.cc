#include "ownership-simulation.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace ownership_simulation;

namespace {

constexpr milliseconds settleMs { 4000 };
constexpr milliseconds recoveryMs { 12000 };

options optionsFor(std::uint64_t seed, bool checksTokens)
{
    options chosen;
    chosen.seed = seed;
    chosen.checksTokens = checksTokens;
    chosen.hosts = 3 + static_cast<int>(seed % 3);
    chosen.times.maxOutage = milliseconds { 4000 };
    chosen.times.retryMove = milliseconds { 500 };
    return chosen;
}

void changePlacement(simulation& system)
{
    std::vector<wanted_slice> wanted;
    const auto first = simulation::sample(static_cast<int>(system.between(0, sampledHashes / 2)));
    const auto last
        = simulation::sample(static_cast<int>(system.between(sampledHashes / 2 + 1, 15)));
    const auto owner = system.between(0, static_cast<int>(system.targets.size()) - 1);
    wanted.push_back({ { first, last }, system.targets[static_cast<std::size_t>(owner)].id });
    system.place({ wanted, { { first, last } } });
}

std::vector<int> allNodes(const simulation& system)
{
    std::vector<int> nodes;
    nodes.reserve(system.hosts.size() + system.targets.size() + 1);
    for (int i = 0; i < static_cast<int>(system.hosts.size()); ++i)
        nodes.push_back(i);
    for (int i = 0; i < static_cast<int>(system.targets.size()); ++i)
        nodes.push_back(firstTargetNode + i);
    return nodes;
}

void cutLinks(simulation& system)
{
    auto nodes = allNodes(system);
    nodes.push_back(storeNode);
    const auto last = static_cast<std::int64_t>(nodes.size()) - 1;
    const auto from = static_cast<int>(system.between(0, system.lastHost()));
    const auto to = nodes[static_cast<std::size_t>(system.between(0, last))];
    if (system.chance(0.7))
        system.activeFaults.cuts.insert({ from, to });
    if (system.chance(0.7))
        system.activeFaults.cuts.insert({ to, from });
}

/// Partitions the network into two sides, usually with the holder separated from the store. Hosts
/// on different sides may still reach each other.
void partitionNetwork(simulation& system)
{
    const auto holder = system.holder().value_or(0);
    const bool hostsTalk = system.chance(0.6);
    std::set<int> away;
    for (const auto each : allNodes(system)) {
        if (system.chance(each == holder ? 0.9 : 0.4))
            away.insert(each);
    }
    auto nodes = allNodes(system);
    nodes.push_back(storeNode);
    for (const auto left : away) {
        for (const auto right : nodes) {
            const bool bothHosts = left < firstTargetNode && right < firstTargetNode;
            if (away.contains(right) || (bothHosts && hostsTalk))
                continue;
            system.activeFaults.cuts.insert({ left, right });
            system.activeFaults.cuts.insert({ right, left });
        }
    }
}

void changeMarks(simulation& system)
{
    const auto& id = system.targets[static_cast<std::size_t>(system.between(0, 2))].id;
    system.marks.clear();
    if (system.chance(0.5))
        system.marks[id] = table::mark::Leaving;
    for (int i = 0; i < static_cast<int>(system.hosts.size()); ++i)
        system.sendTable(i);
}

void injectFault(simulation& system)
{
    const auto host = static_cast<int>(system.between(0, system.lastHost()));
    const auto target = static_cast<int>(system.between(0, 2));
    auto& hostState = system.hosts[static_cast<std::size_t>(host)];
    auto& targetState = system.targets[static_cast<std::size_t>(target)];
    switch (system.between(0, 15)) {
    case 0:
        hostState.pausedUntil = system.now + system.between(100'000, 5'000'000);
        break;
    case 1:
        targetState.frozenUntil = system.now + system.between(100'000, 5'000'000);
        break;
    case 2:
        system.restartHost(host);
        break;
    case 3:
        system.restartTarget(target);
        break;
    case 4:
        system.activeFaults.outage = system.chance(0.5);
        break;
    case 5:
    case 6:
        cutLinks(system);
        break;
    case 7:
    case 8:
        system.activeFaults.cuts.clear();
        partitionNetwork(system);
        break;
    case 9:
        system.activeFaults.loss = system.chance(0.5) ? 0.1 : 0;
        system.activeFaults.lostReply = system.chance(0.5) ? 0.2 : 0;
        break;
    case 10:
        system.activeFaults.longDelay = system.chance(0.5) ? 0.1 : 0;
        system.activeFaults.pauseBeforeSend = system.chance(0.5) ? 0.002 : 0;
        break;
    case 11:
        changeMarks(system);
        break;
    case 12:
        system.activeFaults.cuts.clear();
        break;
    case 13:
        system.stopHost(host);
        system.runFor(milliseconds { 100 });
        system.restartHost(host);
        break;
    default:
        changePlacement(system);
    }
}

void randomHistory(simulation& system)
{
    system.runFor(settleMs);
    for (int i = 0; i < 60 && system.violation.empty(); ++i) {
        injectFault(system);
        system.runFor(milliseconds { system.between(10, 1200) });
    }
}

/// The store goes away for a moment and comes back from a copy that is up to some seconds old.
void drill(simulation& system)
{
    const bool keepsTrouble = system.chance(0.5);
    if (!keepsTrouble)
        system.activeFaults = {};
    if (system.chance(0.9))
        system.copyStore();
    for (auto left = system.between(0, 3); left > 0; --left) {
        if (system.chance(0.5))
            changePlacement(system);
        else if (keepsTrouble)
            injectFault(system);
        system.runFor(milliseconds { system.between(10, 1500) });
    }
    const bool wasOut = system.activeFaults.outage;
    system.activeFaults.outage = true;
    const auto holder = system.holder();
    const auto fate = system.between(0, 3);
    if (holder && fate == 0)
        system.restartHost(*holder);
    if (holder && fate == 1)
        system.hosts[static_cast<std::size_t>(*holder)].pausedUntil
            = system.now + system.between(100'000, 5'000'000);
    if (holder && fate == 2) {
        system.activeFaults.cuts.insert({ *holder, storeNode });
        system.activeFaults.cuts.insert({ storeNode, *holder });
    }
    system.runFor(milliseconds { system.between(20, 1000) });
    system.restoreStore();
    system.activeFaults.outage = wasOut;
    system.runFor(milliseconds { system.between(10, 1500) });
}

void historyWithDrills(simulation& system)
{
    system.runFor(settleMs);
    for (int i = 0; i < 40 && system.violation.empty(); ++i) {
        if (system.chance(0.2))
            drill(system);
        if (system.chance(0.05))
            drill(system);
        injectFault(system);
        system.runFor(milliseconds { system.between(10, 1200) });
    }
}

void heal(simulation& system)
{
    system.activeFaults = {};
    for (auto& each : system.targets)
        each.frozenUntil = 0;
    system.runFor(recoveryMs);
}

bool allServed(simulation& system)
{
    for (int i = 0; i < sampledHashes; ++i) {
        if (system.owners(simulation::sample(i)) != 1)
            return false;
    }
    return true;
}

/// Over the authority and a lease, two clocks drift apart by at most 18 ms, less than clockMargin.
constexpr double allowedDrift = 0.004;
constexpr double excessiveDrift = 0.2;
constexpr std::uint64_t maxSeeds = 600;

bool checkHistories(bool checksTokens, double drift = 0, bool reportsHeld = true)
{
    return rc::check([=](std::uint64_t seed) {
        auto chosen = optionsFor(seed, checksTokens);
        chosen.drift = drift;
        chosen.reportsHeld = reportsHeld;
        simulation system(chosen);
        randomHistory(system);
        heal(system);
        if (!system.violation.empty())
            RC_FAIL(system.violation);
        RC_ASSERT(allServed(system));
    });
}

} // namespace

Test(ownership_history, never_two_owners_and_all_served_after_healing)
{
    cr_assert(checkHistories(true));
}

Test(ownership_history, never_two_owners_although_targets_tell_nothing_of_earlier_grants)
{
    cr_assert(checkHistories(true, 0, false));
}

Test(ownership_history, never_two_routes_to_targets_that_check_no_tokens)
{
    cr_assert(checkHistories(false));
}

Test(ownership_history, never_two_owners_while_clocks_drift_within_the_margin)
{
    cr_assert(checkHistories(true, allowedDrift));
    cr_assert(checkHistories(false, allowedDrift));
}

Test(ownership_history, clocks_that_drift_far_beyond_the_margin_give_two_owners)
{
    for (const bool checksTokens : { true, false }) {
        std::uint64_t seed = 1;
        for (std::string violation; violation.empty(); ++seed) {
            cr_assert_leq(seed, maxSeeds, "no counterexample");
            auto chosen = optionsFor(seed, checksTokens);
            chosen.drift = excessiveDrift;
            simulation system(chosen);
            randomHistory(system);
            violation = system.violation;
        }
    }
}

// Rows of coordinators and assignments that were acknowledged are gone: epochs and tokens must not
// be given out again, and an owner by a lost row must not share its keys.
Test(ownership_history, never_two_owners_although_the_store_comes_back_from_older_copies)
{
    for (const bool reportsHeld : { true, false }) {
        cr_assert(rc::check([=](std::uint64_t seed) {
            auto chosen = optionsFor(seed, true);
            chosen.reportsHeld = reportsHeld;
            simulation system(chosen);
            historyWithDrills(system);
            heal(system);
            if (!system.violation.empty())
                RC_FAIL(system.violation);
            RC_ASSERT(allServed(system));
        }));
    }
}

// The store comes back without a row, so that nothing names the witnesses of the holder, which are
// cut off with it from the store and from the next holder. With them it goes on granting.
Test(ownership_history, holder_of_a_lost_epoch_with_witnesses_of_its_own_shares_no_key)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        options chosen;
        chosen.seed = seed;
        chosen.hosts = 3;
        simulation system(chosen);
        system.runFor(settleMs);
        const auto holder = system.holder();
        cr_assert(holder.has_value());
        const std::set<int> away { *holder, (*holder + 1) % 3, firstTargetNode };
        auto nodes = allNodes(system);
        nodes.push_back(storeNode);
        for (const auto left : away) {
            for (const auto right : nodes) {
                if (away.contains(right))
                    continue;
                system.activeFaults.cuts.insert({ left, right });
                system.activeFaults.cuts.insert({ right, left });
            }
        }
        system.restoreStore();
        system.runFor(milliseconds { 15000 });
        cr_assert(system.violation.empty(), "%s", system.violation.c_str());
        heal(system);
        cr_assert(system.violation.empty(), "%s", system.violation.c_str());
        cr_assert(allServed(system));
    }
}
