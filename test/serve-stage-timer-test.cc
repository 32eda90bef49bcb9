#include "serve/stage_timer.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace std::chrono_literals;
using serve::detail::stage_timer;

namespace {
constexpr instant start { 10s };
}

Test(stage_timer, names_the_slowest_stage_of_work_over_the_limit)
{
    stage_timer timer(start);
    timer.endStage("first", start + 40ms);
    timer.endStage("second", start + 240ms);
    timer.endStage("third", start + 260ms);
    const auto slowest = timer.slowerThan(250ms);
    cr_assert(slowest.has_value());
    cr_assert(slowest->name == "second");
    cr_assert(slowest->took == 200ms);
    cr_assert(slowest->total == 260ms);
}

Test(stage_timer, work_within_the_limit_has_no_slowest_stage)
{
    stage_timer timer(start);
    timer.endStage("first", start + 250ms);
    cr_assert(!timer.slowerThan(250ms).has_value());
}
