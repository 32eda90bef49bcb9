#include "serve/crash_spread.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace std::chrono_literals;
using serve::detail::crash_spread;

namespace {

routing::crash record(std::uint64_t number)
{
    return { routing::fingerprint { number }, target_id { "t1" }, incarnation { 1 }, {}, false };
}

constexpr std::uint64_t ownHash = 17;
constexpr std::uint64_t otherHash = 18;
constexpr instant start { 100s };

} // namespace

Test(crash_spread, records_of_a_burst_travel_in_one_batch_and_only_once)
{
    crash_spread spread;
    spread.add(record(1));
    cr_assert_eq(spread.takeBatch(start).size(), 1);
    for (std::uint64_t i = 2; i <= 51; ++i)
        spread.add(record(i));
    cr_assert(spread.takeBatch(start + 1ms).empty());
    cr_assert_eq(spread.takeBatch(start + 1s).size(), 50);
    cr_assert(spread.takeBatch(start + 2s).empty());
}

Test(crash_spread, equal_or_changing_records_are_not_sent_again)
{
    crash_spread spread;
    cr_assert_eq(spread.settledHash(start, ownHash), 0);
    cr_assert_not(spread.sendsAll(start, ownHash, otherHash));
    const instant settled = start + 10s;
    cr_assert_not(spread.sendsAll(settled, ownHash, ownHash));
    cr_assert_not(spread.sendsAll(settled, ownHash, 0));
    cr_assert_eq(spread.settledHash(settled, otherHash), 0);
}

Test(crash_spread, host_that_missed_records_gets_all_of_them)
{
    crash_spread spread;
    crash_spread restarted;
    (void)spread.settledHash(start, ownHash);
    (void)restarted.settledHash(start, 0);
    const instant settled = start + 10s;
    const std::uint64_t ofRestarted = restarted.settledHash(settled, 0);
    cr_assert(spread.sendsAll(settled, ownHash, ofRestarted));
    cr_assert_not(spread.sendsAll(settled + 1ms, ownHash, ofRestarted));
    cr_assert(spread.sendsAll(settled + 2s, ownHash, ofRestarted));
}
