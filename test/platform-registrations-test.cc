#include "registrations.h"

#include "helper/table-pages.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::platform::detail;
using namespace std::chrono_literals;

namespace {

const instant start { 1000s };

stored_row rowOf(const std::string& instance, std::uint64_t version, const std::string& state)
{
    return { { targetTable, {}, instance }, test::registrationText(state), row_version { version },
        false };
}

serve::changed_row changeOf(
    const std::string& instance, std::uint64_t version, const std::string& state)
{
    return { targetTable, instance, test::registrationText(state), row_version { version }, false };
}

serve::changed_row removalOf(const std::string& instance, std::uint64_t version)
{
    return { targetTable, instance, {}, row_version { version }, true };
}

/// A row whose target states for how long it is cold.
stored_row coldRow(const std::string& coldFor, std::uint64_t version)
{
    return rowOf("i-1", version, R"(ready","warmup_time":")" + coldFor);
}

/// Reads the row as a page of its own.
registrations::changes read(registrations& known, instant now, const stored_row& row)
{
    return known.applyPage(now, { { row }, row.version }, false, {});
}

/// Three targets as of version 10, read at `start`.
registrations threeTargets()
{
    registrations known;
    known.applyPage(start,
        { { rowOf("i-1", 8, "ready"), rowOf("i-2", 9, "ready"), rowOf("i-3", 10, "ready") },
            row_version { 10 } },
        true, {});
    return known;
}

} // namespace

Test(platform_registrations, older_row_of_a_peer_changes_nothing)
{
    auto known = threeTargets();
    cr_assert_eq(known.applyPeerRows(start, { changeOf("i-1", 12, "draining") }, start).leaving, 1);
    cr_assert_not(known.applyPeerRows(start, { changeOf("i-1", 11, "ready") }, start).any());
    cr_assert(known.list()[0].draining);
}

Test(platform_registrations, late_row_brings_no_removed_target_back)
{
    auto known = threeTargets();
    cr_assert_eq(known.applyPeerRows(start, { removalOf("i-1", 12) }, start).removed, 1);
    cr_assert_not(known.applyPeerRows(start, { changeOf("i-1", 11, "ready") }, start).any());
    cr_assert_eq(known.list().size(), 2);
}

Test(platform_registrations, targets_that_expired_in_an_outage_keep_their_grace_when_a_peer_tells)
{
    auto known = threeTargets();
    const std::vector<serve::changed_row> removals { removalOf("i-1", 12), removalOf("i-2", 13),
        removalOf("i-3", 14) };
    cr_assert_not(known.applyPeerRows(start + 5s, removals, start).any());
    cr_assert_eq(known.list().size(), 3);
    known.recordStoreAnswer(start + 6s);
    known.recordStoreAnswer(start + 7s);
    cr_assert_not(known.applyPeerRows(start + 7200ms, {}, start).any());
    cr_assert_eq(known.applyPeerRows(start + 7400ms, {}, start).removed, 3);
}

Test(platform_registrations, host_that_is_behind_gets_what_it_lacks)
{
    auto known = threeTargets();
    cr_assert(known.recent().after({}, {}).rows.empty(), "the first reading is no change");
    known.applyPeerRows(start, { changeOf("i-1", 12, "draining") }, start);
    known.applyPeerRows(start, { removalOf("i-2", 13) }, start);
    cr_assert_eq(known.recent().after(row_version { 10 }, {}).rows.size(), 2);
    const auto lacking = known.recent().after(row_version { 12 }, {}).rows;
    cr_assert_eq(lacking.size(), 1);
    cr_assert(lacking[0].key == "i-2" && lacking[0].removed);
}

// A host that takes an incomplete list for a complete one would never learn of what is missing.
Test(platform_registrations, list_of_changes_is_complete_only_if_none_was_dropped)
{
    auto known = threeTargets();
    known.applyPeerRows(start, { changeOf("i-1", 12, "draining") }, start);
    const row_version own { 20 };
    cr_assert(known.recent().after(row_version { 11 }, own).complete.has_value());
    cr_assert_not(known.recent().after(row_version { 1 }, own).complete.has_value(),
        "before the first reading");
    cr_assert_not(known.recent().after(row_version { 21 }, own).complete.has_value());
    for (unsigned i = 0; i < 200; ++i)
        known.applyPeerRows(start, { changeOf("j-" + std::to_string(i), 100 + i, "ready") }, start);
    cr_assert_not(
        known.recent().after(row_version { 11 }, row_version { 400 }).complete.has_value(),
        "more than a message holds");
    cr_assert(known.recent().after(row_version { 200 }, row_version { 400 }).complete.has_value());
}

// A target that changes often must not fill the message with its earlier rows.
Test(platform_registrations, only_the_latest_change_of_a_target_is_sent)
{
    auto known = threeTargets();
    known.applyPeerRows(start, { changeOf("i-1", 12, "ready") }, start);
    known.applyPeerRows(start, { changeOf("i-1", 13, "draining") }, start);
    known.applyPeerRows(start, { changeOf("i-1", 14, "draining") }, start);
    const auto changes = known.recent().after(row_version { 11 }, row_version { 14 });
    cr_assert_eq(changes.rows.size(), 1);
    cr_assert_eq(changes.rows[0].version.value(), 13, "the last one changed nothing");
}

Test(platform_registrations, leaving_counts_from_the_last_confirmation_before_it)
{
    auto known = threeTargets();
    known.applyPeerRows(start + 3s, { changeOf("i-1", 12, "draining") }, start + 1s);
    known.applyPeerRows(start + 4s, { changeOf("i-1", 13, "draining") }, start + 3s);
    cr_assert(known.list()[0].drainingSince == start + 1s);
}

Test(platform_registrations, equal_targets_have_equal_hashes)
{
    auto first = threeTargets();
    auto second = threeTargets();
    first.applyPeerRows(start, { changeOf("i-1", 12, "draining") }, start);
    cr_assert_neq(first.contentHash(), second.contentHash());
    second.applyPeerRows(start + 2s, { changeOf("i-1", 14, "draining") }, start + 1s);
    cr_assert_eq(first.contentHash(), second.contentHash());
}

// A target writes a shorter remaining time with each heartbeat; a new table for each of them would
// keep every host busy.
Test(platform_registrations, shorter_remaining_time_of_each_heartbeat_changes_nothing)
{
    registrations known;
    known.applyPage(start, { { coldRow("3s", 2) }, row_version { 2 } }, true, {});
    const auto until = known.list()[0].coldUntil;
    cr_assert(until && *until >= start + 3s && *until <= start + 3500ms);
    const std::vector<std::pair<instant, std::string>> heartbeats { { start + 500ms, "2500ms" },
        { start + 1250ms, "2000ms" }, { start + 1500ms, "1500ms" }, { start + 2000ms, "0.8s" } };
    std::uint64_t version = 3;
    for (const auto& [at, coldFor] : heartbeats) {
        cr_expect_not(read(known, at, coldRow(coldFor, version++)).any(), "%s", coldFor.c_str());
        cr_assert(known.list()[0].coldUntil == until);
    }
}

// Heartbeats of a cold target, read at long intervals, must not each be sent to all peers.
Test(platform_registrations, end_of_a_warmup_is_sent_to_peers_only_if_it_is_precise)
{
    registrations known;
    known.applyPage(start, { { coldRow("3s", 2) }, row_version { 2 } }, true, {});
    const row_page late { { coldRow("2s", 3) }, row_version { 3 } };
    cr_assert_eq(known.applyPage(start + 2s, late, false, start + 1100ms).set, 1);
    cr_assert(known.recent().after(row_version { 2 }, row_version { 9 }).rows.empty());
    const row_page timely { { coldRow("5s", 4) }, row_version { 4 } };
    cr_assert_eq(known.applyPage(start + 3s, timely, false, start + 2700ms).set, 1);
    cr_assert_eq(known.recent().after(row_version { 2 }, row_version { 9 }).rows.size(), 1);
    const row_page warm { { coldRow("0ms", 5) }, row_version { 5 } };
    known.applyPage(start + 4s, warm, false, start + 3100ms);
    cr_assert_eq(known.recent().after(row_version { 4 }, row_version { 9 }).rows.size(), 1);
}

Test(platform_registrations, target_that_is_warm_or_cold_again_changes)
{
    registrations known;
    known.applyPage(start, { { coldRow("3s", 2) }, row_version { 2 } }, true, {});
    const auto coldContent = known.contentHash();
    cr_assert_eq(read(known, start + 1s, coldRow("0ms", 3)).set, 1);
    cr_assert_not(known.list()[0].coldUntil.has_value());
    cr_assert_neq(known.contentHash(), coldContent, "peers would not learn of it");
    cr_assert_eq(read(known, start + 60s, coldRow("2s", 4)).set, 1);
    cr_assert(*known.list()[0].coldUntil >= start + 62s);
    cr_assert_eq(read(known, start + 61s, coldRow("2s", 5)).set, 1, "it is cold for longer");
    cr_assert(*known.list()[0].coldUntil >= start + 63s);
}

// A new process of the same name has a warm-up of its own.
Test(platform_registrations, new_process_does_not_keep_the_end_of_an_earlier_one)
{
    registrations known;
    known.applyPage(start, { { coldRow("3s", 2) }, row_version { 2 } }, true, {});
    auto restarted = coldRow("2900ms", 3);
    restarted.value.replace(restarted.value.find("1790000000000"), 13, "1790000000001");
    cr_assert_eq(read(known, start + 100ms, restarted).set, 1);
    cr_assert(*known.list()[0].coldUntil >= start + 3s);
}

// A target that states nothing may have just started, unless it was there before this host.
Test(platform_registrations, new_target_that_states_nothing_is_known_as_new)
{
    auto known = threeTargets();
    cr_assert_not(known.list()[0].newSince.has_value());
    read(known, start + 5s, rowOf("i-4", 11, "ready"));
    cr_assert(known.list()[3].newSince == start + 5s);
    cr_assert_not(read(known, start + 6s, rowOf("i-4", 12, "ready")).any());
    cr_assert(known.list()[3].newSince == start + 5s);
}

// A second list, or a peer, brings a row again: read anew, it would prolong the warm-up.
Test(platform_registrations, same_row_again_changes_nothing)
{
    registrations known;
    (void)read(known, start, coldRow("3000ms", 10));
    const auto until = known.list().at(0).coldUntil;
    cr_assert(until.has_value());
    cr_assert_not(read(known, start + 2s, coldRow("3000ms", 10)).any());
    cr_assert(known.list().at(0).coldUntil == until);
}

// A restored row is older than what is known of a leaving target, however often it is read.
Test(platform_registrations, restored_row_read_twice_brings_no_leaving_target_back)
{
    constexpr std::uint64_t restored = (std::uint64_t { 1 } << store::versionBits) | 5;
    registrations known;
    (void)read(known, start, rowOf("i-1", 10, "draining"));
    (void)read(known, start + 1s, rowOf("i-1", restored, "ready"));
    (void)read(known, start + 2s, rowOf("i-1", restored, "ready"));
    cr_assert(known.list().at(0).draining);
}
