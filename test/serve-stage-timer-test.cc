#include "serve/round_watch.h"
#include "serve/stage_timer.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace std::chrono_literals;
using serve::detail::round_watch;
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

Test(round_watch, round_that_never_ends_is_told_while_it_runs)
{
    round_watch watch(1s);
    watch.begin("first", start);
    watch.enter("second");
    cr_assert(!watch.overdue(start + 999ms));
    const auto round = watch.overdue(start + 1500ms);
    cr_assert(round && std::string_view(round->stage) == "second" && round->running == 1500ms);
    cr_assert(!watch.overdue(start + 2999ms));
    cr_assert(watch.overdue(start + 3000ms));
}

Test(round_watch, round_that_has_ended_is_not_told)
{
    round_watch watch(1s);
    cr_assert(!watch.overdue(start));
    watch.begin("first", start);
    watch.end();
    cr_assert(!watch.overdue(start + 9s));
    watch.begin("first", start + 10s);
    cr_assert(!watch.overdue(start + 10s + 999ms));
    cr_assert(watch.overdue(start + 11s));
}
