#include "outage.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace std::chrono_literals;
using platform::detail::storeWasAway;

// The figures are those of the day on which a host that alone was cut off held a removed entry for
// 2.3 s: 39 targets that report each 0.87 s, and a silence of 7.5 s.
Test(platform_outage, reports_of_targets_tell_an_outage_from_a_cut)
{
    cr_assert(storeWasAway({ 7500ms, 0, 39 }));
    cr_assert(storeWasAway({ 7500ms, 58, 39 }), "reports of 1.3 s after the store's return");
    cr_assert(!storeWasAway({ 7500ms, 336, 39 }));
    cr_assert(!storeWasAway({ 1400ms, 0, 39 }), "too short for an entry to lapse");
    cr_assert(!storeWasAway({ 3000ms, 0, 0 }));
}
