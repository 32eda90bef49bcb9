#include "ownership/row_writer.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <limits>
#include <rapidcheck.h>
#include <set>

using namespace pimentomast;
using namespace pimentomast::ownership;

namespace {

constexpr std::uint64_t highestHash = std::numeric_limits<std::uint64_t>::max();
const service_id service { "weights" };

assignment randomAssignment(std::vector<std::uint64_t> ends, std::uint64_t number)
{
    std::sort(ends.begin(), ends.end());
    ends.erase(std::unique(ends.begin(), ends.end()), ends.end());
    std::erase(ends, highestHash);
    ends.push_back(highestHash);
    assignment value { service, epoch { 3 }, sequence { number }, {} };
    std::uint64_t first = 0;
    for (const auto last : ends) {
        const target_id owner { "t" + std::to_string(last % 5) };
        const token grant { epoch { 2 }, sequence { last % 7 } };
        value.slices.push_back({ { key_hash { first }, key_hash { last } }, owner, grant, {} });
        if (last % 3 == 0)
            value.slices.back().standby = target_id { "s" };
        first = last + 1;
    }
    return value;
}

const owned_slice* linearFind(const assignment& value, key_hash hash)
{
    for (const auto& each : value.slices) {
        if (each.range.contains(hash))
            return &each;
    }
    return nullptr;
}

instant at(int ms) { return instant { std::chrono::milliseconds(ms) }; }

store::row rowOf(const write_row& written, std::uint64_t version)
{
    return { written.key, written.value, row_version { version }, written.writer };
}

struct writer_fixture {
    ownership::detail::id_generator ids { { host_id { "h" }, incarnation { 1 } }, service, 7 };
    ownership::detail::row_writer writer { "row" };
    ownership::detail::actions sent;
    write_row first;

    writer_fixture()
    {
        writer.start(at(0), row_version { 4 }, "value", ids, sent);
        first = std::get<write_row>(sent.back());
    }
    request_number readBack()
    {
        writer.tick(at(5000), std::chrono::milliseconds { 1000 }, ids, sent);
        return std::get<read_row>(sent.back()).request;
    }
};

} // namespace

Test(ownership_rows, lookup_agrees_with_a_linear_search)
{
    cr_assert(rc::check([](const std::vector<std::uint64_t>& ends, std::uint64_t hash) {
        const auto value = randomAssignment(ends, 9);
        RC_ASSERT(check(value).has_value());
        std::vector<std::uint64_t> probes { hash, 0, highestHash };
        probes.insert(probes.end(), ends.begin(), ends.end());
        for (const auto probe : probes) {
            RC_ASSERT(value.find(key_hash { probe }) == linearFind(value, key_hash { probe }));
            RC_ASSERT(value.find(key_hash { probe }) != nullptr);
        }
    }));
}

Test(ownership_rows, text_reads_back_to_an_equal_assignment)
{
    cr_assert(rc::check([](const std::vector<std::uint64_t>& ends, std::uint64_t number) {
        const auto value = randomAssignment(ends, std::max<std::uint64_t>(number, 7));
        RC_ASSERT(parseAssignment(format(value)).value() == value);
    }));
}

Test(ownership_rows, assignment_of_a_large_service_fits_into_a_row)
{
    constexpr std::size_t maxRowBytes = 65536;
    constexpr std::size_t targets = 204;
    constexpr std::uint64_t sliceCount = 2048;
    constexpr std::uint64_t keysPerSlice = 65536 / sliceCount;
    assignment value { service_id { "profiles" }, epoch { 12 }, sequence { 99999 }, {} };
    for (std::uint64_t i = 0; i < sliceCount; ++i) {
        const auto first = i * keysPerSlice << 48U;
        const auto last = i + 1 == sliceCount ? highestHash : ((i + 1) * keysPerSlice << 48U) - 1;
        const target_id owner { "i-cfd30addbb@17909907320" + std::to_string(100 + i % targets) };
        value.slices.push_back(
            { { key_hash { first }, key_hash { last } }, owner, value.version(), {} });
    }
    cr_assert_lt(format(value).size(), maxRowBytes);
    cr_assert(parseAssignment(format(value)).value() == value);
}

Test(ownership_rows, change_leads_from_one_assignment_to_the_other)
{
    cr_assert(rc::check(
        [](const std::vector<std::uint64_t>& before, const std::vector<std::uint64_t>& after) {
            const auto from = randomAssignment(before, 9);
            const auto to = randomAssignment(after, 10);
            RC_ASSERT(apply(from, difference(from, to)).value() == to);
            RC_ASSERT(apply(to, difference(from, to)).has_error());
        }));
}

Test(ownership_rows, change_of_one_slice_names_no_other)
{
    const auto from = randomAssignment({ 10, 20, 30, 40 }, 9);
    auto to = from;
    to.number = sequence { 10 };
    to.slices[2].owner = target_id { "other" };
    to.slices[2].grant = to.version();
    const auto change = difference(from, to);
    cr_assert(change.slices == std::vector { to.slices[2] });
    cr_assert(apply(from, change).value() == to);
}

Test(ownership_rows, assignment_of_the_version_before_is_read)
{
    const auto read = parseAssignment(
        R"({"epoch":3,"sequence":9,"service":"s","slices":[)"
        R"({"epoch":2,"first":"0000000000000000","last":"00ffffffffffffff","owner":"a","sequence":4},)"
        R"({"epoch":3,"first":"0100000000000000","last":"ffffffffffffffff","owner":"b",)"
        R"("sequence":9,"standby":"a"}]})")
                          .value();
    cr_assert(read.slices.size() == 2 && read.slices[0].owner == target_id { "a" });
    cr_assert(read.slices[1].range.first == key_hash { 1ULL << 56U });
    cr_assert(read.slices[1].standby == target_id { "a" });
}

Test(ownership_rows, faulty_assignments_are_refused)
{
    for (const std::string slices : { "0,5,1,1", "0,0,1", "0,0,1,1,0,0", "0,x,1,1", "zz,0,1,1",
             "0,0,1,1;0,0,1,1", "1,0,1,1", "0,0,1,99", "00000000000000000,0,1,1", "" })
        cr_expect(
            parseAssignment(R"({"service":"s","epoch":1,"sequence":2,"owners":["a"],"slices":")"
                + slices + "\"}")
                .has_error(),
            "%s", slices.c_str());
    const auto whole = randomAssignment({ 10, 20 }, 9);
    auto gap = whole;
    gap.slices.erase(gap.slices.begin() + 1);
    auto noOwner = whole;
    noOwner.slices[1].owner = target_id {};
    auto high = whole;
    high.slices[1].grant = { epoch { 3 }, sequence { 10 } };
    auto incomplete = whole;
    incomplete.slices.pop_back();
    for (const auto& each : { gap, noOwner, high, incomplete, assignment {} })
        cr_assert(check(each).has_error());
    cr_assert(parseAssignment("{\"service\":1").has_error());
    cr_assert(parseAssignment("{}").has_error());
    cr_assert(parseAssignment("[1]").has_error());
}

Test(ownership_rows, coordinator_row_reads_back)
{
    coordinator_row row { service, epoch { 5 }, { host_id { "h" }, incarnation { highestHash } },
        17, true, { { host_id { "a" }, incarnation { 1 } } }, { {}, {} } };
    row.earlier[1].push_back({ host_id { "b" }, incarnation { 2 } });
    cr_assert(parseCoordinatorRow(format(row)).value() == row);
    cr_assert(parseCoordinatorRow("{\"epoch\":5}").has_error());
}

Test(ownership_rows, lost_answer_of_a_write_that_took_effect_is_settled_by_reading)
{
    writer_fixture fixture;
    const auto request = fixture.readBack();
    const auto state
        = fixture.writer.handle(at(5001), row_read { request, rowOf(fixture.first, 5) });
    const auto* done = std::get_if<ownership::detail::write_applied>(&state);
    cr_assert(done != nullptr && done->version == row_version { 5 } && done->firstSent == at(0));
}

Test(ownership_rows, unchanged_row_leaves_the_write_open_and_sends_the_same_again)
{
    writer_fixture fixture;
    const auto request = fixture.readBack();
    const store::row before { "row", "old", row_version { 4 }, store::write_id { "x" } };
    const auto state = fixture.writer.handle(at(5001), row_read { request, before });
    cr_assert(std::holds_alternative<ownership::detail::write_pending>(state)
        && fixture.writer.isPending());
    fixture.writer.tick(at(5002), std::chrono::milliseconds { 1000 }, fixture.ids, fixture.sent);
    const auto& again = std::get<write_row>(fixture.sent.back());
    cr_assert(again.writer == fixture.first.writer && again.expected == row_version { 4 });
    const write_finished conflict { again.request,
        store::write_conflict { rowOf(fixture.first, 5) } };
    cr_assert(std::holds_alternative<ownership::detail::write_applied>(
        fixture.writer.handle(at(5003), conflict)));
}

Test(ownership_rows, unknown_outcome_is_neither_accepted_nor_dropped)
{
    writer_fixture fixture;
    const write_finished unknown { fixture.first.request, store::write_unknown {} };
    cr_assert(std::holds_alternative<ownership::detail::write_pending>(
        fixture.writer.handle(at(1), unknown)));
    const auto request = fixture.readBack();
    (void)fixture.writer.handle(at(5001), row_read { request, std::nullopt });
    cr_assert(!fixture.writer.isPending(),
        "the version is not the expected one: the write is superseded");
}

Test(ownership_rows, refusal_after_an_unknown_outcome_drops_nothing)
{
    writer_fixture fixture;
    (void)fixture.writer.handle(
        at(1), write_finished { fixture.first.request, store::write_unknown {} });
    const auto request = fixture.readBack();
    const store::row before { "row", "old", row_version { 4 }, store::write_id { "x" } };
    (void)fixture.writer.handle(at(5001), row_read { request, before });
    fixture.writer.tick(at(5002), std::chrono::milliseconds { 1000 }, fixture.ids, fixture.sent);
    const auto again = std::get<write_row>(fixture.sent.back()).request;
    const write_finished refused { again, store::write_refused {} };
    cr_assert(std::holds_alternative<ownership::detail::write_pending>(
        fixture.writer.handle(at(5003), refused)));
    cr_assert(fixture.writer.isPending());
}

Test(ownership_rows, ranking_ignores_order_and_moves_only_the_services_of_a_lost_host)
{
    std::vector<host_id> hosts;
    hosts.reserve(12);
    for (int i = 0; i < 12; ++i)
        hosts.emplace_back("h" + std::to_string(i));
    std::set<host_id> preferred;
    for (int i = 0; i < 100; ++i) {
        const service_id each { "s" + std::to_string(i) };
        const auto ranked = rankCoordinators(each, hosts);
        const std::vector<host_id> reversed(hosts.rbegin(), hosts.rend());
        cr_assert(ranked == rankCoordinators(each, reversed) && ranked.size() == hosts.size());
        const std::vector<host_id> rest(hosts.begin() + 1, hosts.end());
        const auto expected = ranked[0] == hosts[0] ? ranked[1] : ranked[0];
        cr_assert(preferredCoordinator(each, rest) == expected);
        preferred.insert(ranked[0]);
    }
    cr_assert(preferred.size() == hosts.size());
    cr_assert(!preferredCoordinator(service, {}).has_value());
}

Test(ownership_rows, hosts_with_little_processor_time_do_not_coordinate_beside_stronger_ones)
{
    std::vector<host_id> hosts;
    host_millicores millicores;
    for (int i = 0; i < 60; ++i) {
        hosts.emplace_back("h" + std::to_string(i));
        millicores[hosts.back()] = i % 6 == 0 ? 500 : 100;
    }
    std::set<host_id> preferred;
    for (int i = 0; i < 100; ++i) {
        const auto ranked
            = rankCoordinators(service_id { "s" + std::to_string(i) }, hosts, millicores);
        for (std::size_t rank = 0; rank < ranked.size(); ++rank)
            cr_assert_eq(millicores[ranked[rank]], rank < 10 ? 500U : 100U);
        preferred.insert(ranked.front());
    }
    cr_assert_eq(preferred.size(), 10);
}

Test(ownership_rows, witness_keeps_the_highest_epoch)
{
    witness seen(incarnation { 4 });
    cr_assert(!seen.answer().highest.has_value());
    seen.recordRead(epoch { 3 });
    seen.recordRead(epoch { 2 });
    cr_assert(seen.answer().highest == epoch { 3 });
}

Test(ownership_rows, route_table_takes_only_newer_assignments_and_ends_holds)
{
    route_table routes;
    cr_assert(std::holds_alternative<no_route>(routes.find(key_hash { 5 }, at(0))));
    cr_assert(routes.replaceIfNewer(randomAssignment({ 10 }, 8)));
    cr_assert(!routes.replaceIfNewer(randomAssignment({ 20 }, 7)));
    cr_assert(!routes.replaceIfNewer(randomAssignment({ 20 }, 8)));
    routes.hold({ key_hash { 0 }, key_hash { 10 } }, routes.version(), at(100));
    cr_assert(std::holds_alternative<held_route>(routes.find(key_hash { 5 }, at(0))));
    cr_assert(std::holds_alternative<route>(routes.find(key_hash { 11 }, at(0))));
    cr_assert(std::holds_alternative<route>(routes.find(key_hash { 5 }, at(100))));
    auto moved = randomAssignment({ 10 }, 9);
    moved.slices[0].grant = moved.version();
    cr_assert(routes.replaceIfNewer(moved));
    cr_assert(std::holds_alternative<route>(routes.find(key_hash { 5 }, at(0))));
}

Test(ownership_rows, hold_outlasts_assignments_that_do_not_move_its_keys)
{
    route_table routes;
    routes.replaceIfNewer(randomAssignment({ 10 }, 8));
    routes.hold({ key_hash { 0 }, key_hash { highestHash } }, routes.version(), at(100));
    auto moved = randomAssignment({ 10 }, 9);
    moved.slices[0].grant = moved.version();
    routes.replaceIfNewer(moved);
    cr_assert(std::holds_alternative<route>(routes.find(key_hash { 5 }, at(0))));
    cr_assert(std::holds_alternative<held_route>(routes.find(key_hash { 11 }, at(0))));
    moved.number = sequence { 10 };
    moved.slices[1].grant = moved.version();
    routes.replaceIfNewer(moved);
    cr_assert(std::holds_alternative<route>(routes.find(key_hash { 11 }, at(0))));
}

Test(ownership_rows, hold_that_arrives_after_another_move_counts)
{
    route_table routes;
    const token asked = randomAssignment({ 10 }, 8).version();
    routes.replaceIfNewer(randomAssignment({ 10 }, 9));
    routes.hold({ key_hash { 0 }, key_hash { 10 } }, asked, at(100));
    cr_assert(std::holds_alternative<held_route>(routes.find(key_hash { 5 }, at(0))));
    routes.hold({ key_hash { 0 }, key_hash { 10 } }, asked, at(0));
    cr_assert(std::holds_alternative<route>(routes.find(key_hash { 5 }, at(0))));
}

Test(ownership_rows, hold_of_an_earlier_coordinator_ends_with_its_epoch)
{
    route_table routes;
    auto value = randomAssignment({ 10 }, 8);
    routes.replaceIfNewer(value);
    const token asked = value.version();
    routes.hold({ key_hash { 0 }, key_hash { 10 } }, asked, at(100));
    value.coordinator = epoch { 4 };
    routes.replaceIfNewer(value);
    cr_assert(std::holds_alternative<route>(routes.find(key_hash { 5 }, at(0))));
    routes.hold({ key_hash { 0 }, key_hash { 10 } }, asked, at(100));
    cr_assert(std::holds_alternative<route>(routes.find(key_hash { 5 }, at(0))));
}

Test(ownership_rows, route_lease_covers_only_slices_that_it_knows)
{
    route_table routes;
    routes.requireLease(true);
    auto value = randomAssignment({ 10 }, 8);
    value.slices[1].grant = value.version();
    routes.replaceIfNewer(value);
    const token older { epoch { 3 }, sequence { 7 } };
    const renew_route renewal { {}, {}, incarnation { 1 }, older, 1000,
        std::chrono::milliseconds { 50 } };
    routes.renew(renewal, incarnation { 2 });
    cr_assert(std::holds_alternative<expired_route>(routes.find(key_hash { 5 }, at(10))));
    routes.renew(renewal, incarnation { 1 });
    cr_assert(std::holds_alternative<route>(routes.find(key_hash { 5 }, at(10))));
    cr_assert(std::holds_alternative<expired_route>(routes.find(key_hash { 11 }, at(10))));
    cr_assert(std::holds_alternative<expired_route>(routes.find(key_hash { 5 }, at(51))));
}

Test(ownership_rows, contradictory_times_are_refused)
{
    coordinator_options chosen { service, { host_id { "h" }, incarnation { 1 } }, 1, {} };
    cr_assert(coordinator::create(chosen).has_value());
    chosen.times.authority = chosen.times.targetLease;
    cr_assert(coordinator::create(chosen).has_error());
    chosen.times = {};
    chosen.times.drain = {};
    cr_assert(coordinator::create(chosen).has_error());
    chosen.times = {};
    chosen.service = {};
    cr_assert(coordinator::create(chosen).has_error());
}
