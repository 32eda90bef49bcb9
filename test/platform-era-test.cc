#include "evacuations.h"
#include "helper/era-store.h"
#include "host_row.h"
#include "registrations.h"
#include "tables.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::platform::detail;
using namespace std::chrono_literals;

namespace {

const row_id row { "t", "p", "k" };
const test::era_store::id stored { "t", "p", "k" };
const test::era_store::id target { targetTable, "", "i-1" };
const test::era_store::id configured { operatorTable, "", "config" };
const test::era_store::id evacuated { operatorTable, "", "evacuate/k" };

row_version versionOf(std::uint64_t era, std::uint64_t count)
{
    return row_version { (era << store::versionBits) | count };
}

row_version versionOf(const row_client::write_result& done)
{
    const auto* written = std::get_if<row_client::written>(&done);
    cr_assert(written != nullptr);
    return written->version;
}

std::size_t countOf(const std::vector<std::string>& requests, const std::string& part)
{
    return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(),
        [&](const auto& each) { return each.find(part) != std::string::npos; }));
}

} // namespace

// ---- Rows ----

Test(platform_era, store_without_the_header_has_plain_versions)
{
    test::era_store store;
    row_client client(store.address(), test::waitTimeout);
    cr_assert_eq(versionOf(client.write(row, {}, "a")).value(), 1);
    cr_assert_eq(versionOf(client.write(row, row_version { 1 }, "b")).value(), 2);
    cr_assert_eq(client.find(row).value()->version.value(), 2);
    cr_assert_eq(client.list("t", "p").value().version.value(), 2);
    cr_assert_eq(client.eras().rises(), 0);
}

// A rise that is told more than once, or at the first response of a process, would have hosts write
// their rows for nothing.
Test(platform_era, each_rise_is_told_once)
{
    test::era_store store;
    store.setEra(5);
    row_client client(store.address(), test::waitTimeout);
    std::vector<std::pair<std::uint64_t, std::uint64_t>> rises;
    client.eras().onRise([&](auto before, auto now) { rises.emplace_back(before, now); });
    (void)client.find(row);
    store.restore();
    (void)client.find(row);
    (void)client.find(row);
    store.restore();
    (void)client.find(row);
    const std::vector<std::pair<std::uint64_t, std::uint64_t>> expected { { 5, 6 }, { 6, 7 } };
    cr_assert(rises == expected);
    cr_assert_eq(client.eras().rises(), 2);
}

Test(platform_era, versions_of_a_later_era_are_higher)
{
    test::era_store store;
    row_client client(store.address(), test::waitTimeout);
    store.copy();
    for (int i = 0; i < 9; ++i)
        (void)client.overwrite(row, "a");
    const auto before = client.find(row).value()->version;
    store.restore();
    (void)client.overwrite(row, "b");
    const auto after = client.find(row).value()->version;
    cr_assert(after == versionOf(1, 1));
    cr_assert_gt(after.value(), before.value());
}

// The number of a lost version is given out again: a condition with it would hold for content that
// its writer has not seen.
Test(platform_era, condition_of_an_earlier_era_is_not_sent_but_read_afresh)
{
    test::era_store store;
    row_client client(store.address(), test::waitTimeout);
    store.copy();
    const auto version = versionOf(client.write(row, {}, "lost"));
    store.restore();
    cr_assert_eq(store.put(stored, "other"), version.value());
    (void)client.list("t", "p");
    const auto outcome = client.write(row, version, "mine");
    const auto* conflict = std::get_if<row_client::conflicting>(&outcome);
    cr_assert(conflict && conflict->current);
    cr_assert_str_eq(conflict->current->value.c_str(), "other");
    cr_assert(conflict->current->version == versionOf(1, 1));
    cr_assert_str_eq(store.find(stored)->value.c_str(), "other");
    cr_assert(std::holds_alternative<row_client::conflicting>(client.remove(row, version)));
    cr_assert(store.find(stored).has_value());
    cr_assert_eq(countOf(store.requests(), "POST"), 1);
}

Test(platform_era, condition_of_an_earlier_era_is_refused_while_the_row_cannot_be_read)
{
    test::era_store store;
    row_client client(store.address(), test::waitTimeout);
    const auto version = versionOf(client.write(row, {}, "a"));
    store.copy();
    store.restore();
    (void)client.find(row);
    store.goAway();
    cr_assert(std::holds_alternative<row_client::refused>(client.write(row, version, "b")));
    cr_assert_eq(countOf(store.requests(), "POST"), 1);
}

// The condition may have held in the restored store for other content.
Test(platform_era, write_during_which_the_era_rose_is_unknown)
{
    test::era_store store;
    row_client client(store.address(), test::waitTimeout);
    const auto version = versionOf(client.write(row, {}, "a"));
    store.raiseEraInTransaction();
    cr_assert(std::holds_alternative<row_client::unknown>(client.write(row, version, "b")));
    cr_assert(client.find(row).value()->version == versionOf(1, 2));
}

Test(platform_era, late_response_of_an_earlier_era_is_not_used)
{
    test::era_store store;
    store.setEra(3);
    store.put(stored, "a");
    row_client client(store.address(), test::waitTimeout);
    cr_assert(client.find(row).has_value());
    store.setEra(2);
    cr_assert_not(client.find(row).has_value());
    cr_assert_not(client.list("t", "p").has_value());
    cr_assert(std::holds_alternative<error>(client.feed("t", versionOf(3, 1), 0ms)));
    cr_assert(std::holds_alternative<row_client::unknown>(client.overwrite(row, "b")));
    store.setEra(std::nullopt);
    cr_assert_not(client.find(row).has_value(), "a response without an era has era 0");
    cr_assert_eq(client.eras().newest(), 3);
}

Test(platform_era, feed_of_an_earlier_era_has_no_history)
{
    test::era_store store;
    store.put(stored, "a");
    row_client client(store.address(), test::waitTimeout);
    const auto version = client.list("t", "p").value().version;
    store.copy();
    store.restore();
    // The era is found by the feed itself, and then known.
    cr_assert(std::holds_alternative<history_gone>(client.feed("t", version, 0ms)));
    cr_assert(std::holds_alternative<history_gone>(client.feed("t", version, 0ms)));
    cr_assert_eq(countOf(store.requests(), "/rows-feed"), 1);
    const auto listed = client.list("t", "p").value().version;
    cr_assert(std::holds_alternative<row_page>(client.feed("t", listed, 0ms)));
}

Test(platform_era, odd_era_is_an_error)
{
    std::string era;
    test::scripted_server server([&](auto& socket, int) {
        while (!test::readRequest(socket).empty())
            test::write(socket,
                "HTTP/1.1 200 OK\r\nStore-Era: " + era
                    + "\r\nContent-Length: 19\r\n\r\n{\"ver\":1,\"rows\":[]}");
    });
    row_client client(server.address(), test::waitTimeout);
    for (const auto* odd : { "x", "-1", "1x", "65536", "99999999999999999999", "1.0" }) {
        era = odd;
        cr_expect_not(client.find(row).has_value(), "%s", odd);
    }
    era = "65535";
    cr_expect(client.find(row).has_value());
}

// ---- Registrations and evacuations ----

namespace {

constexpr instant start { 1000s };

stored_row rowOf(const std::string& instance, row_version version, const std::string& state)
{
    return { { targetTable, {}, instance }, test::registrationText(state), version, false };
}

registrations threeTargets()
{
    registrations known;
    known.applyPage(start,
        { { rowOf("i-1", row_version { 8 }, "ready"), rowOf("i-2", row_version { 9 }, "ready"),
              rowOf("i-3", row_version { 10 }, "ready") },
            row_version { 10 } },
        true, {});
    return known;
}

stored_row operatorRow(const std::string& key, row_version version)
{
    return { { operatorTable, {}, key }, "{}", version, false };
}

} // namespace

// One of three targets is missing: without the restore it would count as removed at once.
Test(platform_era, target_whose_row_was_lost_has_time_to_register_again)
{
    auto known = threeTargets();
    known.recordRestore(start + 1s);
    const row_page restored { { rowOf("i-1", versionOf(1, 5), "ready"),
                                  rowOf("i-2", versionOf(1, 6), "ready") },
        versionOf(1, 6) };
    cr_assert_not(known.applyPage(start + 1s, restored, true, start).any());
    cr_assert_not(known.applyPage(start + 3s, { {}, versionOf(1, 7) }, false, start).any());
    cr_assert_eq(known.list().size(), 3);
    cr_assert_eq(known.applyPage(start + 3400ms, { {}, versionOf(1, 8) }, false, start).removed, 1);
}

Test(platform_era, target_that_registers_again_in_time_stays)
{
    auto known = threeTargets();
    known.recordRestore(start + 1s);
    known.applyPage(start + 1s, { {}, versionOf(1, 6) }, true, start);
    known.applyPage(start + 2s,
        { { rowOf("i-1", versionOf(1, 7), "ready"), rowOf("i-2", versionOf(1, 8), "ready"),
              rowOf("i-3", versionOf(1, 9), "ready") },
            versionOf(1, 9) },
        false, start);
    cr_assert_not(known.applyPage(start + 9s, { {}, versionOf(1, 9) }, false, start).any());
    cr_assert_eq(known.list().size(), 3);
}

Test(platform_era, row_of_a_host_of_the_earlier_era_replaces_no_newer_one)
{
    auto known = threeTargets();
    known.applyPage(start + 1s, { { rowOf("i-1", versionOf(1, 5), "draining") }, versionOf(1, 5) },
        false, start);
    known.applyPeerRows(start + 1s,
        { { targetTable, "i-1", test::registrationText("ready"), row_version { 900 }, false } },
        start);
    cr_assert(known.list()[0].draining);
}

// Requests to a target that is about to exit would fail.
Test(platform_era, leaving_target_does_not_return_with_an_older_row)
{
    auto known = threeTargets();
    known.applyPage(start, { { rowOf("i-1", row_version { 20 }, "draining") }, row_version { 20 } },
        false, start);
    known.recordRestore(start + 1s);
    known.applyPage(start + 1s,
        { { rowOf("i-1", versionOf(1, 8), "ready"), rowOf("i-2", versionOf(1, 9), "ready"),
              rowOf("i-3", versionOf(1, 10), "ready") },
            versionOf(1, 10) },
        true, start);
    cr_assert(known.list()[0].draining);
}

Test(platform_era, evacuation_whose_row_was_lost_stays_for_the_grace_only)
{
    evacuations known;
    (void)known.applyPage(
        { { operatorRow("evacuate/north", row_version { 5 }) }, row_version { 5 }, false, start },
        false, start);
    known.recordRestore(start + 1s);
    const auto listed = known.applyPage({ {}, versionOf(1, 3), false, start + 1s }, true, start);
    cr_assert_not(listed.any());
    cr_assert_eq(known.domains().size(), 1);
    cr_assert(known.peerRow().value.empty(), "each host counts the grace itself");
    cr_assert_not(known.applyPage({ {}, versionOf(1, 4), false, start + 5s }, false, start).any());
    const auto later = known.applyPage({ {}, versionOf(1, 4), false, start + 6s }, false, start);
    cr_assert_eq(later.ended.size(), 1);
}

Test(platform_era, evacuation_whose_row_is_written_again_stays)
{
    evacuations known;
    (void)known.applyPage(
        { { operatorRow("evacuate/north", row_version { 5 }) }, row_version { 5 }, false, start },
        false, start);
    known.recordRestore(start + 1s);
    (void)known.applyPage({ {}, versionOf(1, 3), false, start + 1s }, true, start);
    (void)known.applyPage(
        { { operatorRow("evacuate/north", versionOf(1, 4)) }, versionOf(1, 4), false, start + 3s },
        false, start);
    cr_assert_not(known.applyPage({ {}, versionOf(1, 5), false, start + 9s }, false, start).any());
    cr_assert(known.domains().at(domain_id { "north" }) == start);
}

Test(platform_era, evacuation_is_kept_when_a_peer_tells_of_the_restore)
{
    evacuations known;
    (void)known.applyPage(
        { { operatorRow("evacuate/north", row_version { 5 }) }, row_version { 5 }, false, start },
        false, start);
    known.recordRestore(start + 1s);
    const serve::changed_row none { operatorTable, "evacuate/", "", versionOf(1, 3), false };
    cr_assert_not(known.applyPeerRow(start, none, start).any());
    cr_assert_eq(known.domains().size(), 1);
    const auto later = known.applyPage({ {}, versionOf(1, 4), false, start + 6s }, true, start);
    cr_assert_eq(later.ended.size(), 1);
}

// ---- A host ----

namespace {

/// A host that follows the tables of a store.
class following_host {
public:
    explicit following_host(const endpoint& store)
        : client(store, 500ms)
        , feed(client, { 10ms, 20ms })
    {
        client.eras().onRise([this](auto, auto) { feed.recordRestore(monotonic_clock::now()); });
        feed.start([this](const auto& table) {
            targets = table->targets.size();
            editor = static_cast<int>(table->editor.back());
            isEvacuated = !table->targets.empty() && table->targets[0].evacuatedBy.has_value();
            lowest = std::min<std::size_t>(lowest, targets);
            everActive = everActive || (isWatched && !isEvacuated);
            everOlder = everOlder || (isWatched && editor != watchedEditor);
        });
    }
    ~following_host() { feed.stop(); }

    void watch()
    {
        lowest = targets.load();
        watchedEditor = editor.load();
        isWatched = true;
    }

    row_client client;
    table_feed feed;
    std::atomic<std::size_t> targets { 0 };
    std::atomic<std::size_t> lowest { 0 };
    std::atomic<int> editor { 0 };
    std::atomic<int> watchedEditor { 0 };
    std::atomic<bool> isEvacuated { false };
    std::atomic<bool> everActive { false };
    std::atomic<bool> everOlder { false };
    std::atomic<bool> isWatched { false };
};

} // namespace

Test(platform_era, host_keeps_what_the_restored_store_lacks_until_it_is_written_again)
{
    test::era_store store;
    store.put(configured, test::configurationWith("", "0000000c"));
    store.copy();
    store.put(configured, test::configurationWith("", "0000000d"));
    store.put(target, test::registrationText("ready"));
    store.put(evacuated, "{}");
    following_host host(store.address());
    host.feed.setDesignatedPoller(true);
    cr_assert(test::waitUntil([&] { return host.targets == 1 && host.isEvacuated; }));
    host.watch();
    for (int drill = 1; drill <= 2; ++drill) {
        store.goAway();
        std::this_thread::sleep_for(200ms);
        store.restore();
        cr_assert(
            test::waitUntil([&] { return host.client.eras().rises() == std::uint64_t(drill); }));
        std::this_thread::sleep_for(700ms);
        store.put(target, test::registrationText("ready"));
        store.put(configured, test::configurationWith("", "0000000d"));
        store.put(evacuated, "{}");
        std::this_thread::sleep_for(300ms);
    }
    std::this_thread::sleep_for(3s);
    cr_assert_eq(host.lowest, 1, "a target vanished");
    cr_assert_not(host.everActive, "the evacuation ended");
    cr_assert_not(host.everOlder, "the configuration went back");
    store.put(configured, test::configurationWith("", "0000000e"));
    cr_assert(test::waitUntil([&] { return host.editor != host.watchedEditor; }));
}

// A host that does not ask the store itself must not stay in the earlier era.
Test(platform_era, host_learns_of_the_rise_from_a_peer)
{
    test::era_store store;
    store.put(configured, test::configurationText);
    store.put(target, test::registrationText("ready"));
    store.copy();
    following_host first(store.address());
    following_host second(store.address());
    cr_assert(test::waitUntil([&] { return first.targets == 1 && second.targets == 1; }));
    second.feed.stop();
    store.restore();
    cr_assert(test::waitUntil([&] { return first.client.eras().newest() == 1; }));
    cr_assert(test::waitUntil(
        [&] { return store::eraOf(first.feed.standing().targets.rows.version) == 1; }));
    second.feed.receivePeerStanding(first.feed.standing());
    cr_assert_eq(second.client.eras().rises(), 1);
}

Test(platform_era, host_writes_its_row_again_and_removes_that_one)
{
    test::era_store store;
    store.copy();
    row_client client(store.address(), test::waitTimeout);
    platform_store rows(client);
    host_row own(rows);
    client.eras().onRise([&](auto, auto) { own.rewriteSoon(); });
    const host_id self { "h1" };
    const test::era_store::id listed { "pimentomast-hosts", "", "h1" };
    own.announce({ self, domain_id { "d1" }, { "10.0.0.1", 7000 } });
    cr_assert(store.find(listed).has_value());
    store.goAway();
    store.restore();
    cr_assert_not(store.find(listed).has_value());
    (void)rows.hosts();
    cr_assert(test::waitUntil(
        [&] { return store.find(listed).has_value(); }, host_row::maxRewriteDelay + 1s));
    own.withdraw(self);
    cr_assert_not(store.find(listed).has_value());
}
