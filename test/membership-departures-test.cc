#include "pimentomast/membership.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::membership;
using namespace std::chrono_literals;

namespace {

const instant start { 1000s };
const service_id group { "weights" };

std::string nameOf(unsigned number) { return "t" + std::to_string(number); }

std::vector<grouped_entry> entries(unsigned count)
{
    std::vector<grouped_entry> all;
    for (unsigned i = 0; i < count; ++i)
        all.push_back({ nameOf(i), group });
    return all;
}

/// Entries that are missing from the store when it answers again after an outage.
struct after_outage {
    after_outage(unsigned count, unsigned missing, duration outage)
        : known(entries(count))
        , restoredAt(start + outage)
    {
        filter.recordStoreAnswer(start);
        filter.recordStoreAnswer(restoredAt);
        for (unsigned i = 0; i < missing; ++i)
            filter.markMissing(restoredAt, nameOf(i));
    }

    /// Returns how many entries count as removed this long after the end of the outage.
    std::size_t removedAfter(duration later)
    {
        return filter.takeRemoved(restoredAt + later, known).size();
    }

    removal_filter filter;
    std::vector<grouped_entry> known;
    instant restoredAt;
};

} // namespace

// Guards against requests to a target that left while only this host was cut off from the store:
// then few targets are missing, here two of nine. In an outage of the store all nine expire.
Test(membership_departures, missing_minority_is_removed_and_missing_majority_gets_a_grace_period)
{
    cr_assert_eq(after_outage(9, 2, 5s).removedAfter(0s), 2);
    cr_assert_eq(after_outage(24, 12, 5s).removedAfter(0s), 12);
    cr_assert_eq(after_outage(9, 5, 5s).removedAfter(0s), 0);
    cr_assert_eq(after_outage(9, 9, 5s).removedAfter(0s), 0);
    cr_assert_eq(after_outage(9, 0, 5s).removedAfter(0s), 0);
}

Test(membership_departures, short_outage_grants_no_grace_period)
{
    cr_assert_eq(after_outage(9, 9, 1400ms).removedAfter(0s), 9);
    cr_assert_eq(after_outage(9, 9, 1500ms).removedAfter(0s), 0);
}

Test(membership_departures, expired_entries_have_a_grace_period_to_reregister)
{
    after_outage expired(9, 9, 5s);
    cr_assert_eq(expired.removedAfter(1s), 0);
    for (unsigned i = 0; i < 8; ++i)
        expired.filter.markPresent(nameOf(i));
    cr_assert_eq(expired.removedAfter(1100ms), 1);

    after_outage returnedLate(9, 9, 5s);
    (void)returnedLate.removedAfter(2200ms);
    cr_assert_eq(returnedLate.removedAfter(2300ms), 9);
    cr_assert(!returnedLate.filter.pending());
}

Test(membership_departures, groups_are_evaluated_separately)
{
    after_outage seen(4, 4, 5s);
    for (unsigned i = 4; i < 14; ++i)
        seen.known.push_back({ nameOf(i), service_id { "export" } });
    seen.filter.markMissing(seen.restoredAt, nameOf(4));
    cr_assert(seen.filter.takeRemoved(seen.restoredAt, seen.known) == std::vector { nameOf(4) });
}
