#include "outage.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace std::chrono_literals;
using platform::detail::looksLikeLapse;
using platform::detail::mayHaveLapsed;

// A host that alone was cut off finds two of nine targets gone, as on the day on which it sent a
// request to one of them; in an outage of the store all nine lapse.
Test(platform_outage, few_that_are_gone_have_left_and_most_have_lapsed)
{
    cr_assert(!looksLikeLapse({ 9, 2 }));
    cr_assert(!looksLikeLapse({ 24, 12 }));
    cr_assert(looksLikeLapse({ 9, 5 }));
    cr_assert(looksLikeLapse({ 9, 9 }));
    cr_assert(!looksLikeLapse({ 9, 0 }));
}

Test(platform_outage, a_short_silence_lets_no_entry_lapse)
{
    cr_assert(!mayHaveLapsed(1400ms));
    cr_assert(mayHaveLapsed(1500ms));
}
