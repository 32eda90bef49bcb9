#include "ownership-simulation.h"
#include "serve/placement.h"

#include <criterion/criterion.h>

using namespace ownership_simulation;
using serve::detail::placement_planner;

namespace {

constexpr milliseconds roundMs { 1000 };
constexpr double evenRate = 400;
constexpr double hotRate = 200;
constexpr std::size_t targetCount = 4;
constexpr std::size_t usualSlices = 8 * targetCount;

table::service_row serviceRow()
{
    table::service_row row;
    row.id = service;
    row.key = table::path_segment { 1 };
    return row;
}

double fractionOfSpace(const slice& range)
{
    return std::ldexp(static_cast<double>(range.last.value() - range.first.value()) + 1, -64);
}

options withTargets(std::size_t count)
{
    options chosen;
    chosen.seed = 3;
    chosen.targets = static_cast<int>(count);
    return chosen;
}

/// A coordinator and its planner, connected as in a host, under a load with one hot key.
class placement_fixture {
public:
    placement_fixture() { system.runFor(milliseconds { 10000 }); }

    const assignment& committed() { return *coordinatorOfHolder().current(); }

    double rateOf(const slice& range, key_hash hot) const
    {
        return evenRate * fractionOfSpace(range) + (range.contains(hot) ? hotRate : 0);
    }

    void run(key_hash hot, int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            report(hot);
            const auto now = time();
            const auto& core = coordinatorOfHolder();
            system.place(
                m_planner.plan(now, *core.current(), core.moving(), core.targets(now), rows()));
            system.runFor(roundMs);
        }
    }

    double imbalance(key_hash hot)
    {
        std::map<target_id, double> loads;
        for (const auto& each : committed().slices)
            loads[each.owner] += rateOf(each.range, hot);
        double highest = 0;
        for (const auto& [id, load] : loads)
            highest = std::max(highest, load);
        return highest * targetCount / (evenRate + hotRate);
    }

    double ownedBy(const target_id& target)
    {
        double owned = 0;
        for (const auto& each : committed().slices)
            owned += each.owner == target ? fractionOfSpace(each.range) : 0;
        return owned;
    }

    simulation system { withTargets(targetCount) };
    /// Cold according to the rows that the planner gets.
    std::set<target_id> cold;

private:
    coordinator& coordinatorOfHolder() { return *system.hosts[holder()].coordination; }
    std::size_t holder() const { return static_cast<std::size_t>(system.holder().value()); }
    instant time() const { return system.hostTime(system.hosts[holder()]); }

    void report(key_hash hot)
    {
        serve::detail::wire::ServiceLoad load;
        for (const auto& each : committed().slices) {
            auto* part = load.add_slices();
            part->set_first(each.range.first.value());
            part->set_last(each.range.last.value());
            part->set_requests_per_second(rateOf(each.range, hot));
        }
        auto* key = load.add_hot_keys();
        key->set_hash(hot.value());
        key->set_requests_per_second(hotRate);
        m_planner.addLoad(time(), host_id { "h0" }, load);
    }

    std::vector<table::target_row> rows() const
    {
        std::vector<table::target_row> all(system.targets.size());
        for (std::size_t i = 0; i < all.size(); ++i)
            all[i].id = system.targets[i].id;
        for (auto& each : all) {
            if (cold.contains(each.id))
                each.coldUntil = instant::max();
        }
        return all;
    }

    placement_planner m_planner {
        placement_planner::create(serviceRow(), balancing::planner_options {}).value()
    };
};

} // namespace

Test(serve_placement, hot_key_is_split_off_and_moved)
{
    placement_fixture fixture;
    const key_hash hot { 1U << 20U };
    cr_assert_gt(fixture.imbalance(hot), 1.9);
    fixture.run(hot, 40);
    const auto* own = fixture.committed().find(hot);
    cr_assert_eq(own->range.first, own->range.last);
    cr_assert_leq(fixture.imbalance(hot), 1.4);
    cr_assert(fixture.system.violation.empty());
}

// A target that becomes cold gets few requests, so keys must not move there as if it were idle and
// at its full weight.
Test(serve_placement, target_that_becomes_cold_gets_load_by_slow_start)
{
    placement_fixture fixture;
    const key_hash hot { 1U << 20U };
    const target_id owner = fixture.committed().find(hot)->owner;
    fixture.run(hot, 1);
    for (const auto& each : fixture.system.targets) {
        if (each.id != owner)
            fixture.cold.insert(each.id);
    }
    const double before = fixture.ownedBy(owner);
    fixture.run(hot, 2);
    const double atOnce = before - fixture.ownedBy(owner);
    fixture.run(hot, 60);
    cr_assert_leq(fixture.imbalance(hot), 1.4);
    cr_assert_leq(atOnce, (before - fixture.ownedBy(owner)) / 2);
}

Test(serve_placement, slices_of_many_former_hot_keys_are_merged_again)
{
    placement_fixture fixture;
    std::size_t most = 0;
    for (std::uint64_t i = 0; i < 40; ++i) {
        const key_hash hot { 0x9e3779b97f4a7c15U * (i + 1) };
        fixture.run(hot, 15);
        most = std::max(most, fixture.committed().slices.size());
    }
    cr_assert_leq(most, usualSlices * 3 / 2);
    for (int i = 0; i < sampledHashes; ++i)
        cr_assert_eq(fixture.system.owners(simulation::sample(i)), 1);
    cr_assert(fixture.system.violation.empty());
}

Test(serve_placement, former_load_of_a_slice_is_not_counted_for_a_part_of_it)
{
    serve::detail::load_aggregator aggregator;
    const instant now { std::chrono::seconds { 100 } };
    const key_hash hot { 1000 };
    serve::detail::wire::ServiceLoad load;
    auto* whole = load.add_slices();
    whole->set_first(0);
    whole->set_last(9999);
    whole->set_requests_per_second(110);
    auto* key = load.add_hot_keys();
    key->set_hash(hot.value());
    key->set_requests_per_second(100);
    aggregator.addReport(now, host_id { "h0" }, load);
    const auto rate = [&](key_hash first, key_hash last) {
        return aggregator.rates(now, { { first, last } }).front();
    };
    cr_assert_float_eq(rate(key_hash { 0 }, key_hash { 9999 }), 110, 0.01);
    cr_assert_float_eq(rate(key_hash { 0 }, key_hash { 999 }), 1, 0.01);
    cr_assert_float_eq(rate(hot, hot), 100, 0.01);
    const auto parts = aggregator.rates(now,
        { { key_hash { 5000 }, key_hash { 9999 } }, { key_hash { 0 }, key_hash { 999 } },
            { key_hash { 1000 }, key_hash { 4999 } } });
    cr_assert_float_eq(parts[0] + parts[1] + parts[2], 110, 0.01);
    cr_assert_float_eq(parts[1], 1, 0.01);
}

Test(serve_placement, reports_of_many_hosts_stay_within_what_a_coordinator_takes)
{
    constexpr double mostPerSecond = 151;
    for (const unsigned hosts : { 12U, 61U, 195U, 770U }) {
        const std::chrono::duration<double> interval
            = serve::detail::reportInterval(100, hosts, std::chrono::milliseconds { 400 });
        cr_expect_lt(hosts / interval.count(), mostPerSecond, "%u hosts", hosts);
        cr_expect_lt(interval.count(), 6, "%u hosts", hosts);
    }
}

Test(serve_placement, reports_of_many_slices_stay_within_the_byte_rate)
{
    using serve::detail::reportInterval;
    using std::chrono::seconds;
    cr_assert(reportInterval(100, 12, seconds { 1 }) == seconds { 1 });
    cr_assert(reportInterval(30'000, 12, seconds { 1 }) == seconds { 5 });
    cr_assert(reportInterval(1'000'000, 12, seconds { 1 }) == seconds { 10 });
    serve::detail::load_aggregator aggregator;
    serve::detail::wire::ServiceLoad load;
    auto* part = load.add_slices();
    part->set_last(9999);
    part->set_requests_per_second(100);
    const instant start { std::chrono::seconds { 100 } };
    const auto rateAt = [&](int second) {
        const instant now = start + std::chrono::seconds { second };
        return aggregator.rates(now, { { key_hash { 0 }, key_hash { 9999 } } }).front();
    };
    for (const int second : { 0, 10, 20 })
        aggregator.addReport(start + std::chrono::seconds { second }, host_id { "h1" }, load);
    cr_assert_gt(rateAt(31), 90);
    cr_assert_eq(rateAt(46), 0);
}

namespace {

constexpr std::uint64_t numberWidth = table::keyWidth(table::key_form::Number);

slice numbers(std::uint64_t first, std::uint64_t last)
{
    return { key_hash { first * numberWidth },
        key_hash { last * numberWidth + (numberWidth - 1) } };
}

} // namespace

Test(serve_load, profile_adds_up_whole_and_partial_ranges)
{
    const serve::detail::load_profile profile(
        { { numbers(3, 3), 5 }, { numbers(0, 9), 10 }, { numbers(20, 20), 7 } });
    cr_assert_float_eq(profile.rate(numbers(0, 9)), 15, 1e-6);
    cr_assert_float_eq(profile.rate(numbers(3, 3)), 6, 1e-6);
    cr_assert_float_eq(profile.rate(numbers(4, 19)), 6, 1e-6);
    cr_assert_float_eq(profile.rate(numbers(20, 30)), 7, 1e-6);
    cr_assert_float_eq(profile.rate(numbers(40, 50)), 0, 1e-6);
}

// Busy adjacent keys must not stay together: four of 65,536 numeric keys, all owned by one target,
// carry nearly all requests.
Test(serve_placement, busy_adjacent_keys_are_spread_by_their_own_load_in_one_round)
{
    auto row = serviceRow();
    row.key = table::header_field { "Key" };
    row.keyForm = table::key_form::Number;
    balancing::planner_options options;
    options.movesPerRound = 48;
    options.minimumStay = std::chrono::milliseconds { 0 };
    options.slowStart = std::chrono::milliseconds { 0 };
    auto planner = placement_planner::create(row, options).value();
    const instant now { std::chrono::seconds { 1000 } };
    ownership::assignment committed;
    std::vector<ownership::target_view> views;
    std::vector<table::target_row> targets;
    for (std::uint64_t i = 0; i < 4; ++i) {
        const target_id id { "t" + std::to_string(i) };
        committed.slices.push_back({ numbers(i * 16384, i * 16384 + 16383), id, {}, {} });
        views.push_back({ id, true, true, {}, {} });
        table::target_row target;
        target.id = id;
        target.domain = domain_id { "d" };
        targets.push_back(target);
    }
    serve::detail::wire::ServiceLoad load;
    for (std::uint64_t key : { 5, 6, 7, 8 }) {
        auto* part = load.add_slices();
        part->set_first(numbers(key, key).first.value());
        part->set_last(numbers(key, key).last.value());
        part->set_requests_per_second(100);
    }
    planner.addLoad(now, host_id { "h" }, load);
    const auto wanted = planner.plan(now, committed, {}, views, targets);
    std::set<target_id> owners { target_id { "t0" } };
    for (const auto& each : wanted.slices) {
        cr_assert(each.range.first.value() % numberWidth == 0);
        owners.insert(each.owner);
    }
    cr_assert(wanted.slices.size() == 3 && owners.size() == 4);
}
