#include "pimentomast/link.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace std::chrono_literals;

namespace {

const endpoint near { "10.0.0.1", 7000 };
const endpoint far { "10.0.0.2", 7000 };
const endpoint silent { "10.0.0.3", 7000 };
const instant start { 100s };

void answer(link::queueing_delay& delay, instant sentAt, const endpoint& peer, duration roundTrip)
{
    const auto call = delay.begin(sentAt, peer);
    delay.answered(sentAt + roundTrip, call);
}

} // namespace

// A far peer must not look like a full link.
Test(link, delay_is_what_exceeds_the_shortest_round_trip)
{
    link::queueing_delay delay;
    answer(delay, start, far, 70ms);
    cr_assert(delay.current(start + 1s) == 0ms);
    answer(delay, start + 2s, far, 370ms);
    cr_assert(delay.current(start + 3s) == 300ms);
}

// One peer with a full link of its own must not look like a full link here.
Test(link, least_delayed_of_the_last_calls_counts)
{
    link::queueing_delay delay;
    for (const auto& peer : { near, far })
        answer(delay, start, peer, 5ms);
    answer(delay, start + 2s, far, 800ms);
    answer(delay, start + 2s, near, 25ms);
    cr_assert(delay.current(start + 3s) == 20ms);
}

// A link that fills must show before the calls that wait on it have ended.
Test(link, running_and_timed_out_calls_count)
{
    link::queueing_delay delay;
    answer(delay, start, near, 5ms);
    link::call_number last;
    for (int i = 0; i < 4; ++i)
        last = delay.begin(start + 2s + i * 100ms, near);
    cr_assert(delay.current(start + 2405ms) == 400ms);
    delay.failed(last, true, start + 3100ms);
    cr_assert(delay.current(start + 3200ms) == 795ms);
}

// One peer that is silent must not look like a full link.
Test(link, running_calls_count_only_if_no_later_one_was_answered)
{
    link::queueing_delay delay;
    for (int i = 0; i < 4; ++i)
        (void)delay.begin(start + i * 100ms, silent);
    answer(delay, start + 400ms, near, 5ms);
    cr_assert(delay.current(start + 800ms) == 0ms);
}

// A peer whose process has ended says nothing of the link.
Test(link, refused_calls_do_not_count)
{
    link::queueing_delay delay;
    const auto refused = delay.begin(start, silent);
    delay.failed(refused, false, start + 1ms);
    cr_assert(delay.current(start + 1s) == 0ms);
}
