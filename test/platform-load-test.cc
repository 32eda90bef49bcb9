#include "load.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using platform::detail::readLoadReport;
using platform::detail::readWarmupTime;

Test(platform_load, numbers_are_read_in_their_order)
{
    const auto read = readLoadReport("3, 1,6,250");
    cr_assert(read.has_value());
    cr_assert_eq(read->running, 3);
    cr_assert_eq(read->queued, 1);
    cr_assert_eq(read->slots, 6);
    cr_assert_float_eq(read->slowdown, 2.5, 1e-9);
    cr_assert_eq(read->run.value(), 0);
}

Test(platform_load, slowdown_may_be_missing)
{
    const auto read = readLoadReport("0,0,8");
    cr_assert(read.has_value());
    cr_assert_float_eq(read->slowdown, 1, 1e-9);
}

// A report that is read wrongly would attract load to the target or keep it away.
Test(platform_load, malformed_reports_are_rejected)
{
    for (const std::string text :
        { "", ",", "1,2", "1,2,", "1,,6", "1,2,0", "1,2,6,0", "1,2,6,100,1", "-1,0,6", "1.5,0,6",
            "1,0,6x", "1;0;6", "a,b,c", "1,2,99999999999", "1,0,6,-5" })
        cr_expect_not(readLoadReport(text).has_value(), "%s", text.c_str());
}

// A wrong time would let all hosts send at once to a target that cannot bear it, or keep them away.
Test(platform_load, warmup_time_is_a_whole_number_of_milliseconds)
{
    cr_assert(readWarmupTime(" 2500 ") == std::chrono::milliseconds(2500));
    cr_assert(readWarmupTime("0") == duration {});
    for (const std::string text :
        { "", " ", "-1", "2.5", "2500ms", "2s", "x", "1,2", "700000", "99999999999" })
        cr_expect_not(readWarmupTime(text).has_value(), "%s", text.c_str());
}
