#include "ownership-simulation.h"

#include <criterion/criterion.h>

using namespace ownership_simulation;

namespace {

constexpr milliseconds settleMs { 10000 };
constexpr milliseconds tickMs { 25 };

slice rangeAt(int sampled)
{
    const auto last = simulation::sample(sampled + 1).value() - 1;
    return { simulation::sample(sampled), key_hash { last } };
}

std::set<target_id> holdersOf(const simulation& system, const std::vector<int>& samples)
{
    std::set<target_id> holders;
    for (const auto& target : system.targets) {
        for (const int sampled : samples) {
            if (target.holds(system.now, simulation::sample(sampled)))
                holders.insert(target.id);
        }
    }
    return holders;
}

/// Returns how many routes of hosts to sampled keys lead to a target that would refuse a request.
int refusedRoutes(const simulation& system)
{
    int refused = 0;
    for (const auto& host : system.hosts) {
        for (int sampled = 0; sampled < 16; ++sampled) {
            const auto key = simulation::sample(sampled);
            const auto outcome = host.routes.find(key, system.hostTime(host));
            const auto* found = std::get_if<route>(&outcome);
            if (!found)
                continue;
            const auto owner = std::find_if(system.targets.begin(), system.targets.end(),
                [&](const auto& each) { return each.id == found->owner; });
            const bool serves = std::any_of(owner->held.begin(), owner->held.end(),
                [&](const auto& each) { return each.range.contains(key) && !each.draining; });
            refused += serves ? 0 : 1;
        }
    }
    return refused;
}

} // namespace

Test(ownership_moves, slices_of_a_leaving_target_go_to_several_others)
{
    options chosen;
    chosen.seed = 5;
    chosen.targets = 5;
    simulation system(chosen);
    system.runFor(settleMs);
    const std::vector<int> samples { 1, 4, 7, 10, 13 };
    std::vector<wanted_slice> wanted;
    wanted.reserve(samples.size());
    for (const int sampled : samples)
        wanted.push_back({ rangeAt(sampled), target_id { "t0" } });
    system.want(wanted);
    system.runFor(settleMs);
    cr_assert(holdersOf(system, samples) == std::set { target_id { "t0" } });

    system.want({});
    system.marks[target_id { "t0" }] = table::mark::Leaving;
    for (int i = 0; i <= system.lastHost(); ++i)
        system.sendTable(i);
    system.runFor(settleMs);
    const auto holders = holdersOf(system, samples);
    cr_assert(!holders.contains(target_id { "t0" }));
    cr_assert_gt(holders.size(), 1);
    cr_assert(system.violation.empty());
}

Test(ownership_moves, moves_planned_together_ask_each_host_once_to_hold)
{
    options chosen;
    chosen.seed = 7;
    chosen.targets = 5;
    simulation system(chosen);
    system.runFor(settleMs);
    std::vector<wanted_slice> wanted;
    std::vector<int> samples;
    for (int sampled = 1; sampled < 15; ++sampled) {
        samples.push_back(sampled);
        wanted.push_back({ rangeAt(sampled), target_id { "t0" } });
    }
    system.holdMessages = 0;
    system.want(wanted);
    system.runFor(tickMs);
    cr_assert_eq(system.holdMessages, system.hosts.size());
    system.runFor(settleMs);
    cr_assert(holdersOf(system, samples) == std::set { target_id { "t0" } });
    cr_assert(system.violation.empty());
}

Test(ownership_moves, moves_planned_together_drain_their_old_owner_by_one_message)
{
    options chosen;
    chosen.seed = 6;
    chosen.targets = 2;
    simulation system(chosen);
    system.runFor(settleMs);
    const target_id from { "t0" };
    std::vector<wanted_slice> wanted;
    for (const int sampled : { 0, 2, 4, 6 })
        wanted.push_back({ rangeAt(sampled), target_id { "t1" } });
    system.want(wanted);
    const auto before = system.grantMessages[from];
    constexpr milliseconds span { 150 };
    system.runFor(span);
    constexpr std::size_t drains = 1;
    const auto renewals = static_cast<std::size_t>(span / timings {}.targetRenewal) + 1;
    cr_assert_leq(system.grantMessages[from] - before, drains + renewals);
    system.runFor(settleMs);
    cr_assert(holdersOf(system, { 0, 2, 4, 6 }) == std::set { target_id { "t1" } });
}

Test(ownership_moves, hosts_are_not_sent_to_a_new_owner_whose_grant_has_failed)
{
    options chosen;
    chosen.seed = 8;
    chosen.targets = 2;
    chosen.times.targetLease = milliseconds { 2500 };
    chosen.times.targetRenewal = milliseconds { 500 };
    simulation system(chosen);
    system.runFor(settleMs);
    const target_id to { "t1" };
    const auto moved = simulation::sample(0);
    system.failingGrants[to] = 3;
    system.want({ { rangeAt(0), to } });
    milliseconds astray { 0 };
    for (milliseconds passed { 0 }; passed < milliseconds { 2000 }; passed += milliseconds { 1 }) {
        system.runFor(milliseconds { 1 });
        auto& host = system.hosts.front();
        const auto outcome = host.routes.find(moved, system.hostTime(host));
        const auto* found = std::get_if<route>(&outcome);
        if (found && found->owner == to && !system.targets[1].holds(system.now, moved))
            astray += milliseconds { 1 };
    }
    cr_assert_eq(astray.count(), 0);
    cr_assert_eq(system.failingGrants[to], 0);
    cr_assert(system.targets[1].holds(system.now, moved));
}

Test(ownership_moves, no_host_uses_an_owner_that_drains_while_another_move_ends)
{
    options chosen;
    chosen.seed = 8;
    chosen.targets = 5;
    simulation system(chosen);
    system.runFor(settleMs);
    cr_assert_eq(refusedRoutes(system), 0);
    std::vector<wanted_slice> wanted;
    for (int sampled = 1; sampled < 15; ++sampled)
        wanted.push_back({ rangeAt(sampled), target_id { "t0" } });
    system.want(wanted);
    int refused = 0;
    for (int step = 0; step < 2000; ++step) {
        system.runFor(milliseconds { 1 });
        refused += refusedRoutes(system);
    }
    cr_assert_eq(refused, 0, "%d", refused);
}

Test(ownership_moves, takeover_ends_although_few_witnesses_answer_at_a_time)
{
    options chosen;
    chosen.seed = 11;
    chosen.hosts = 9;
    simulation system(chosen);
    system.runFor(settleMs);
    const int lost = system.holder().value();
    system.hosts[static_cast<std::size_t>(lost)].pausedUntil = system.now + 1'000'000'000;
    system.runFor(milliseconds { 50 });
    for (int period = 0; period < 60; ++period) {
        system.activeFaults.cuts.clear();
        for (int from = 0; from <= system.lastHost(); ++from) {
            for (int to = 0; to <= system.lastHost(); ++to) {
                const bool reachable = (from + to + period) % 3 == 0;
                if (from != to && !reachable)
                    system.activeFaults.cuts.insert({ from, to });
            }
        }
        system.runFor(milliseconds { 200 });
    }
    system.want({ { rangeAt(3), target_id { "t0" } }, { rangeAt(12), target_id { "t0" } } });
    system.runFor(milliseconds { 3000 });
    cr_assert(holdersOf(system, { 3, 12 }) == std::set { target_id { "t0" } });
    cr_assert(system.violation.empty());
}

namespace {

/// Cuts the host off from the store alone.
void cutFromStore(simulation& system, int host)
{
    system.activeFaults.cuts.insert({ host, storeNode });
    system.activeFaults.cuts.insert({ storeNode, host });
}

/// Returns whether the target owns the key within the time, while other hosts want it to.
bool movesWithin(simulation& system, int sampled, const target_id& to, milliseconds limit)
{
    const auto end = system.now + std::chrono::microseconds(limit).count();
    while (system.now < end) {
        system.want({ { rangeAt(sampled), to } });
        system.runFor(tickMs);
        if (holdersOf(system, { sampled }) == std::set { to })
            return true;
    }
    return false;
}

/// Authority and leases of an earlier holder, and a move.
constexpr milliseconds maxMoveDelay { 5000 };

} // namespace

// The witnesses that the row names have ended with their hosts, so none of them can say that it has
// read the new epoch. Keys must move all the same, not only after maxOutage.
Test(ownership_moves, keys_move_after_a_restart_of_all_hosts)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        options chosen;
        chosen.seed = seed;
        chosen.hosts = 5;
        simulation system(chosen);
        system.runFor(settleMs);
        for (int host = 0; host <= system.lastHost(); ++host)
            system.restartHost(host);
        cr_assert(movesWithin(system, 3, target_id { "t0" }, maxMoveDelay));
        cr_assert(movesWithin(system, 3, target_id { "t1" }, maxMoveDelay));
        cr_assert(system.violation.empty(), "%s", system.violation.c_str());
    }
}

// The holder keeps its authority through its witnesses, and the hosts that read the row often don't
// reach the store either; the others read it each six seconds.
Test(ownership_moves, keys_move_while_the_store_answers_only_some_hosts)
{
    constexpr std::size_t cutStandbys = 3;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        options chosen;
        chosen.seed = seed;
        chosen.hosts = 24;
        simulation system(chosen);
        system.runFor(settleMs);
        std::vector<host_id> others;
        for (int host = 0; host <= system.lastHost(); ++host) {
            if (host != system.holder())
                others.push_back(system.hosts[static_cast<std::size_t>(host)].id.host);
        }
        cutFromStore(system, *system.holder());
        const auto ranked = rankCoordinators(service, others, {});
        for (std::size_t i = 0; i < cutStandbys; ++i)
            cutFromStore(system, std::stoi(ranked[i].value().substr(1)));
        const timings times;
        system.runFor(2 * times.authority + (cutStandbys + 1) * times.successorWait);
        const auto limit = times.targetLease + 2 * times.authority;
        cr_assert(movesWithin(system, 3, target_id { "t0" }, limit));
        cr_assert(movesWithin(system, 3, target_id { "t1" }, limit));
        cr_assert(system.violation.empty(), "%s", system.violation.c_str());
    }
}

// An invitation to take over is no order: it must not end the authority of a holder that the store
// answers, nor do harm while the store answers nobody.
Test(ownership_moves, holder_stays_while_the_store_answers_nobody)
{
    options chosen;
    chosen.seed = 3;
    chosen.hosts = 5;
    simulation system(chosen);
    system.runFor(settleMs);
    const auto holder = system.holder();
    system.activeFaults.outage = true;
    system.runFor(milliseconds { 10000 });
    cr_assert(system.holder() == holder);
    cr_assert(system.violation.empty(), "%s", system.violation.c_str());
}
