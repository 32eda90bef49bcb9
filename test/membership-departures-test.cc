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

/// Entries that the store lacks when it answers again after a silence.
struct after_silence {
    after_silence(unsigned count, unsigned gone, duration silence)
        : known(entries(count))
        , back(start + silence)
    {
        decisions.storeAnswered(start);
        decisions.storeAnswered(back);
        for (unsigned i = 0; i < gone; ++i)
            decisions.gone(back, nameOf(i));
    }

    /// Returns how many count as gone so long after the store's return.
    std::size_t due(duration later) { return decisions.due(back + later, known).size(); }

    departures decisions;
    std::vector<grouped_entry> known;
    instant back;
};

} // namespace

// A host that alone was cut off finds two of nine targets gone, as on the day on which it sent a
// request to one of them; in an outage of the store all nine lapse.
Test(membership_departures, few_that_are_gone_have_left_and_most_have_lapsed)
{
    cr_assert_eq(after_silence(9, 2, 5s).due(0s), 2);
    cr_assert_eq(after_silence(24, 12, 5s).due(0s), 12);
    cr_assert_eq(after_silence(9, 5, 5s).due(0s), 0);
    cr_assert_eq(after_silence(9, 9, 5s).due(0s), 0);
    cr_assert_eq(after_silence(9, 0, 5s).due(0s), 0);
}

Test(membership_departures, a_short_silence_lets_no_entry_lapse)
{
    cr_assert_eq(after_silence(9, 9, 1400ms).due(0s), 9);
    cr_assert_eq(after_silence(9, 9, 1500ms).due(0s), 0);
}

Test(membership_departures, what_lapsed_has_two_seconds_to_come_back)
{
    after_silence lapsed(9, 9, 5s);
    cr_assert_eq(lapsed.due(1s), 0);
    for (unsigned i = 0; i < 8; ++i)
        lapsed.decisions.present(nameOf(i));
    cr_assert_eq(lapsed.due(1100ms), 1);

    after_silence missing(9, 9, 5s);
    (void)missing.due(2200ms);
    cr_assert_eq(missing.due(2300ms), 9);
    cr_assert(!missing.decisions.pending());
}

Test(membership_departures, each_group_is_judged_by_itself)
{
    after_silence seen(4, 4, 5s);
    for (unsigned i = 4; i < 14; ++i)
        seen.known.push_back({ nameOf(i), service_id { "export" } });
    seen.decisions.gone(seen.back, nameOf(4));
    cr_assert(seen.decisions.due(seen.back, seen.known) == std::vector { nameOf(4) });
}
