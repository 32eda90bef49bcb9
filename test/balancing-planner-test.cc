#include "balancing-fixture.h"

#include <cmath>
#include <criterion/criterion.h>
#include <ctime>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace pimentomast;
using namespace pimentomast::balancing;
using namespace pimentomast::balancing::testing;
using namespace std::chrono_literals;

namespace {

constexpr instant now { 1000s };

planner makePlanner(double churnPrice = 0)
{
    planner_options settings;
    settings.churnPrice = churnPrice;
    return planner::create(settings).value();
}

plan_input makeInput(unsigned targets)
{
    plan_input input;
    input.now = now;
    input.targets = makeTargets(targets);
    input.slices = makePlanner().initial(instant {}, input.targets);
    for (placed_slice& each : input.slices)
        each.load = 10;
    return input;
}

void applyAll(plan_input& input, const std::vector<proposal>& changes)
{
    for (const proposal& each : changes)
        apply(input.now, input.slices, each).value();
}

template <class Kind>
std::vector<Kind> only(const std::vector<proposal>& changes)
{
    std::vector<Kind> found;
    for (const proposal& each : changes)
        if (const auto* one = std::get_if<Kind>(&each))
            found.push_back(*one);
    return found;
}

/// Bound of the target for control work, as a fraction of a core, and interval between two plans.
constexpr double controlShare = 0.027;
constexpr std::chrono::duration<double, duration::period> planInterval { 500ms };
constexpr unsigned movesPerRound = 48;

planner makeFrequentPlanner()
{
    planner_options settings;
    settings.movesPerRound = movesPerRound;
    settings.minimumStay = 1s;
    return planner::create(settings).value();
}

/// 204 targets, of whose slices every tenth carries most of the load.
plan_input makeLargeInput()
{
    plan_input input = makeInput(204);
    for (std::size_t i = 0; i < input.slices.size(); ++i)
        input.slices[i].load = i % 10 == 0 ? 40 + static_cast<double>(i % 7) : 1;
    return input;
}

duration threadTime()
{
    timespec spent {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::duration_cast<duration>(
        std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec));
}

std::size_t ownedBy(const plan_input& input, const std::string& id)
{
    std::size_t count = 0;
    for (const placed_slice& each : input.slices)
        count += each.owner == target_id { id } ? 1 : 0;
    return count;
}

} // namespace

Test(balancing_planner, even_load_yields_no_proposals)
{
    cr_assert(makePlanner().plan(makeInput(6)).empty());
}

Test(balancing_planner, move_that_gains_less_than_its_price_is_not_made)
{
    plan_input input = makeInput(6);
    input.slices[0].load = 60;
    cr_assert_not(makePlanner(0).plan(input).empty());
    cr_assert(makePlanner(10).plan(input).empty());
}

Test(balancing_planner, price_does_not_depend_on_the_scale_of_the_load)
{
    for (const double scale : { 0.001, 1.0, 1000.0 }) {
        plan_input input = makeInput(6);
        input.slices[0].load = 60;
        for (placed_slice& each : input.slices)
            each.load *= scale;
        cr_assert_not(makePlanner(0.25).plan(input).empty());
        cr_assert(makePlanner(10).plan(input).empty());
    }
}

Test(balancing_planner, plan_for_a_large_service_stays_within_the_share_of_control)
{
    plan_input input = makeLargeInput();
    duration least = duration::max();
    for (int i = 0; i < 3; ++i) {
        const auto started = threadTime();
        const auto changes = makeFrequentPlanner().plan(input);
        least = std::min(least, threadTime() - started);
        cr_assert_eq(only<move_slice>(changes).size(), movesPerRound);
    }
    cr_assert_leq(least.count(), (planInterval * controlShare).count());
}

Test(balancing_planner, slice_that_is_too_busy_to_move_is_halved)
{
    plan_input input = makeInput(2);
    input.slices = {
        { { key_hash { 0 }, key_hash { UINT64_MAX / 2 } }, target_id { "t0" }, 90, {} },
        { { key_hash { UINT64_MAX / 2 + 1 }, key_hash { UINT64_MAX } }, target_id { "t1" }, 10, {} }
    };
    for (int i = 0; i < 20; ++i) {
        for (placed_slice& each : input.slices)
            each.movedAt = {};
        applyAll(input, makePlanner(0.25).plan(input));
    }
    cr_assert_lt(imbalance(input.slices, input.targets), 1.2);
}

Test(balancing_planner, hot_key_becomes_its_own_slice_and_moves)
{
    plan_input input = makeInput(6);
    input.slices[3].load = 90;
    const key_hash hot { input.slices[3].keys.first.value() + 12345 };
    input.hotKeys = { { hot, 80, 0 } };
    const double before = imbalance(input.slices, input.targets);
    const auto changes = makePlanner(0.1).plan(input);
    cr_assert_eq(only<split_slice>(changes).size(), 2);
    const auto moves = only<move_slice>(changes);
    cr_assert_not(moves.empty());
    applyAll(input, changes);
    for (placed_slice& each : input.slices)
        if (each.keys.first >= hot && each.keys.first.value() <= hot.value() + 1)
            each.load = each.keys.first == hot ? 80 : 5;
    cr_assert_lt(imbalance(input.slices, input.targets), before);
}

Test(balancing_planner, hot_key_does_not_hide_the_imbalance_of_the_other_targets)
{
    plan_input input = makeInput(20);
    const auto first = input.slices.front().keys.first;
    const split_slice isolate { input.slices.front().keys, key_hash { first.value() + 1 } };
    apply(now, input.slices, isolate).value();
    input.slices[0].load = 2000;
    for (placed_slice& each : input.slices)
        if (each.owner == target_id { "t1" })
            each.load = 16;
    const auto moves = only<move_slice>(makeFrequentPlanner().plan(input));
    cr_assert(std::any_of(moves.begin(), moves.end(),
        [](const move_slice& each) { return each.from == target_id { "t1" }; }));
}

Test(balancing_planner, loads_that_differ_by_chance_alone_are_not_moved)
{
    constexpr unsigned targets = 204;
    constexpr double rate = 8;
    planner_options settings;
    settings.movesPerRound = movesPerRound;
    settings.loadWindow = 4600ms;
    const auto seconds = std::chrono::duration<double>(settings.loadWindow).count();
    std::mt19937_64 random(20261205);
    std::poisson_distribution<int> counted(rate * seconds / settings.slicesPerTarget);
    constexpr int rounds = 20;
    std::size_t moves = 0;
    for (int i = 0; i < rounds; ++i) {
        plan_input input = makeInput(targets);
        for (placed_slice& each : input.slices)
            each.load = counted(random) / seconds;
        moves += only<move_slice>(planner::create(settings).value().plan(input)).size();
    }
    cr_assert_leq(moves, rounds * movesPerRound / 10);
}

Test(balancing_planner, margin_for_chance_does_not_leave_targets_that_join_without_keys)
{
    planner_options settings;
    settings.movesPerRound = movesPerRound;
    settings.loadWindow = 4600ms;
    plan_input input = makeInput(204);
    for (placed_slice& each : input.slices)
        each.load = 1;
    input.targets = makeTargets(265);
    constexpr int rounds = 20;
    for (int i = 0; i < rounds; ++i)
        applyAll(input, planner::create(settings).value().plan(input));
    for (unsigned i = 204; i < 265; ++i)
        cr_assert_gt(ownedBy(input, "t" + std::to_string(i)), 1);
}

Test(balancing_planner, hot_key_fills_a_target_of_more_weight_than_the_mean)
{
    plan_input input = makeInput(20);
    input.targets[0].weight = 4;
    const auto first = input.slices.front().keys.first;
    const split_slice isolate { input.slices.front().keys, key_hash { first.value() + 1 } };
    apply(now, input.slices, isolate).value();
    for (placed_slice& each : input.slices)
        each.load = each.owner == target_id { "t1" } ? 16 : 10;
    input.slices[0].load = 400;
    for (const auto& each : only<move_slice>(makeFrequentPlanner().plan(input)))
        cr_assert_neq(each.to, target_id { "t0" });
}

Test(balancing_planner, key_that_is_no_longer_hot_is_merged_back)
{
    plan_input input = makeInput(2);
    const slice whole = input.slices[0].keys;
    const key_hash key { whole.first.value() + 5 };
    apply(now, input.slices, split_slice { whole, key }).value();
    apply(now, input.slices, split_slice { { key, whole.last }, key_hash { key.value() + 1 } })
        .value();
    input.slices[1].load = 0;
    const std::size_t before = input.slices.size();
    applyAll(input, makePlanner().plan(input));
    cr_assert_eq(input.slices.size(), before - 2);
}

Test(balancing_planner, leaving_target_drains_at_a_bounded_rate)
{
    plan_input input = makeInput(6);
    input.targets[2].state = target_state::Leaving;
    planner_options settings;
    settings.drainMovesPerRound = 3;
    const auto limitedPlanner = planner::create(settings).value();
    std::size_t left = ownedBy(input, "t2");
    while (left > 0) {
        const auto moves = only<move_slice>(limitedPlanner.plan(input));
        for (const move_slice& each : moves)
            cr_assert(each.planned);
        applyAll(input, limitedPlanner.plan(input));
        const std::size_t next = ownedBy(input, "t2");
        cr_assert_eq(next, left > 3 ? left - 3 : 0);
        left = next;
    }
}

Test(balancing_planner, slices_of_a_lost_target_get_owners_at_once)
{
    plan_input input = makeInput(6);
    input.targets[2].state = target_state::Lost;
    applyAll(input, makePlanner(1000).plan(input));
    cr_assert_eq(ownedBy(input, "t2"), 0);
    cr_assert_leq(imbalance(input.slices, input.targets), 1.3);
}

Test(balancing_planner, target_that_starts_cold_gets_its_share_slowly)
{
    plan_input input = makeInput(4);
    input.targets[3].state = target_state::Lost;
    applyAll(input, makePlanner().plan(input));
    input.targets[3].state = target_state::Ready;
    input.targets[3].readySince = now;
    const auto countAfter = [&](duration passed) {
        plan_input later = input;
        later.now = now + passed;
        for (placed_slice& each : later.slices)
            each.movedAt = {};
        for (int i = 0; i < 20; ++i) {
            applyAll(later, makePlanner().plan(later));
            for (placed_slice& each : later.slices)
                each.movedAt = {};
        }
        return ownedBy(later, "t3");
    };
    const std::size_t early = countAfter(1s);
    const std::size_t full = countAfter(60s);
    cr_assert_leq(early, 2);
    cr_assert_geq(full, 4);
}

Test(balancing_planner, plans_cover_the_hash_space_and_move_only_to_ready_targets)
{
    const bool holds = rc::check("any loads and states", [] {
        plan_input input = makeInput(5);
        for (placed_slice& each : input.slices)
            each.load = *rc::gen::inRange(0, 100);
        for (placement_target& each : input.targets)
            each.state = *rc::gen::element(target_state::Ready, target_state::Ready,
                target_state::Suspect, target_state::Leaving, target_state::Lost);
        input.hotKeys = { { key_hash { *rc::gen::arbitrary<std::uint64_t>() }, 50, 0 } };
        const auto changes = makePlanner().plan(input);
        RC_ASSERT(changes.size() == makePlanner().plan(input).size());
        for (const move_slice& each : only<move_slice>(changes)) {
            const auto isTo = [&](const placement_target& one) { return one.id == each.to; };
            const auto to = std::find_if(input.targets.begin(), input.targets.end(), isTo);
            RC_ASSERT(to->state == target_state::Ready);
        }
        applyAll(input, changes);
        std::uint64_t next = 0;
        for (const placed_slice& each : input.slices) {
            RC_ASSERT(each.keys.first.value() == next);
            next = each.keys.last.value() + 1;
        }
        RC_ASSERT(next == 0U);
    });
    cr_assert(holds);
}

Test(balancing_planner, sketch_bounds_its_error_against_exact_counts)
{
    const bool holds = rc::check("space-saving against exact counts", [] {
        auto counts = sketch::create(8, 1000000s).value();
        std::map<std::uint64_t, double> exact;
        const auto keys = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 30));
        for (const int each : keys) {
            const auto key = static_cast<std::uint64_t>(each < 20 ? each % 3 : each);
            counts.add(now, key_hash { key });
            exact[key] += 1;
        }
        const double unit = std::log(2.0) / 1000000;
        const auto top = counts.top(now, 8);
        for (const hot_key& each : top) {
            const double count = exact[each.hash.value()] * unit;
            RC_ASSERT(each.rate >= count * 0.999);
            RC_ASSERT(each.rate - each.error <= count * 1.001);
        }
        for (const auto& [key, count] : exact) {
            const auto isKey = [k = key](const hot_key& one) { return one.hash.value() == k; };
            RC_ASSERT(count <= 200.0 / 8 || std::any_of(top.begin(), top.end(), isKey));
        }
    });
    cr_assert(holds);
}
