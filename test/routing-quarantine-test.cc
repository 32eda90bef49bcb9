#include "routing/quarantine.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace std::chrono_literals;

namespace {

constexpr instant start { 1000s };

crash randomRecord(std::mt19937& random)
{
    crash record;
    record.requestFingerprint = fingerprint { random() % 6 };
    record.at = start + std::chrono::milliseconds(random() % 20000);
    record.forgiven = random() % 6 == 0;
    if (record.forgiven) {
        record.clearing = clearing_id { random() };
        return record;
    }
    record.target = target_id { "t" + std::to_string(random() % 8) };
    record.run = incarnation { 1 };
    // All hosts date the end of a run alike but for the transit of messages.
    record.at = start + std::chrono::seconds(std::hash<std::string> {}(record.target.value()) % 20);
    if (random() % 2 == 0)
        record.inFlight = { record.at - std::chrono::milliseconds(random() % 5000), record.at };
    return record;
}

/// The fingerprints with a verdict, and whether their requests are refused.
std::vector<std::pair<std::uint64_t, bool>> verdictsOf(const quarantine& host)
{
    std::vector<std::pair<std::uint64_t, bool>> verdicts;
    for (const suspect& each : host.suspects())
        verdicts.emplace_back(each.requestFingerprint.value(), each.refused);
    return verdicts;
}

/// The record of a request that was in flight at the end of a target's run, in milliseconds.
crash crashOf(const char* target, int from, int until)
{
    crash record { fingerprint { 5 }, target_id { target }, incarnation { 1 },
        start + std::chrono::milliseconds(until) };
    record.inFlight = { start + std::chrono::milliseconds(from), record.at };
    return record;
}

bool isRefused(const quarantine& host)
{
    return host.verdictOf(fingerprint { 5 }) == quarantine::verdict::Refused;
}

} // namespace

Test(quarantine, batches_and_single_records_give_the_same_verdicts)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        std::vector<crash> records;
        records.reserve(40);
        for (int i = 0; i < 40; ++i)
            records.push_back(randomRecord(random));
        quarantine batched({});
        quarantine single({});
        (void)batched.add(records);
        for (const crash& record : records)
            (void)single.add({ record });
        cr_assert(verdictsOf(batched) == verdictsOf(single), "seed %u", seed);
        cr_assert_eq(batched.hash(), single.hash(), "seed %u", seed);
    }
}

Test(quarantine, hosts_that_pass_records_on_come_to_rest)
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        std::vector<quarantine> hosts(3, quarantine({}));
        for (int i = 0; i < 30; ++i) {
            const crash record = randomRecord(random);
            (void)hosts[random() % hosts.size()].add({ record });
        }
        const auto passOn = [&](std::size_t from, std::size_t to) {
            auto records = hosts[from].all();
            for (crash& record : records)
                record.at += 5ms;
            return hosts[to].add(records).size();
        };
        std::size_t news = 1;
        for (int round = 0; round < 10; ++round) {
            news = 0;
            for (std::size_t from = 0; from < hosts.size(); ++from)
                for (std::size_t to = 0; to < hosts.size(); ++to)
                    news += passOn(from, to);
        }
        cr_assert_eq(news, 0, "seed %u", seed);
    }
}

Test(quarantine, clearing_on_this_host_counts_whatever_its_number)
{
    quarantine host({});
    (void)host.clear(start, fingerprint { 5 }, clearing_id { 900 });
    (void)host.add({ { fingerprint { 5 }, target_id { "t1" }, incarnation { 1 }, start + 1ms } });
    const crash again = host.clear(start + 2ms, fingerprint { 5 }, clearing_id { 3 });
    cr_assert(host.suspects().empty());
    cr_assert_gt(again.clearing.value(), 900);
}

// Look-ups of many callers for one path share a fingerprint. When two targets ended at once, all of
// them were refused for ten minutes.
Test(quarantine, targets_that_end_at_the_same_time_count_as_one_crash)
{
    quarantine host({});
    (void)host.add({ crashOf("t1", 0, 100), crashOf("t2", 50, 110), crashOf("t3", 90, 300) });
    cr_assert_not(isRefused(host));
    (void)host.add({ crashOf("t4", 300, 400) });
    cr_assert(isRefused(host));
}

// The other side: a request that crashes its targets is sent again after each crash.
Test(quarantine, crashes_one_after_another_count)
{
    quarantine host({});
    (void)host.add({ crashOf("t2", 101, 200) });
    cr_assert_not(isRefused(host));
    (void)host.add({ crashOf("t1", 0, 100) });
    cr_assert(isRefused(host));
}

Test(quarantine, crash_without_times_counts)
{
    quarantine host({});
    crash untimed = crashOf("t1", 0, 100);
    untimed.inFlight.reset();
    (void)host.add({ untimed, crashOf("t2", 50, 100) });
    cr_assert(isRefused(host));
}
