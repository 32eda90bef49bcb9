#include "serve/request_log.h"

#include <criterion/criterion.h>
#include <map>
#include <thread>

using namespace pimentomast;
using namespace pimentomast::serve::detail;
using namespace std::chrono_literals;

namespace {

const instant start { 1000s };
constexpr unsigned linesPerSecond = 20;

/// Keeps what a request log writes.
struct kept_lines {
    struct line {
        std::string event;
        std::map<std::string, std::string> fields;
    };

    request_log log { linesPerSecond,
        [this](auto, std::string_view event, const std::vector<telemetry::field>& fields) {
            line written { std::string(event), {} };
            for (const auto& each : fields)
                written.fields[std::string(each.key)] = each.value;
            lines.push_back(std::move(written));
        } };
    std::vector<line> lines;
};

proxy::completion served()
{
    proxy::completion finished;
    finished.id = "r1";
    finished.service = service_id { "weights" };
    finished.status = 200;
    finished.attempts = 1;
    finished.history = { { target_id { "w1" }, "200", 80ms } };
    return finished;
}

/// Lines that a budget grants in a second in which far more are asked for.
unsigned granted(line_budget& budget, instant from, bool important)
{
    unsigned lines = 0;
    for (int i = 0; i < 1000; ++i)
        lines += budget.take(from + i * 1ms, important) ? 1 : 0;
    return lines;
}

} // namespace

Test(request_log, says_of_a_failed_request_why_and_by_which_targets)
{
    kept_lines kept;
    auto finished = served();
    finished.status = 503;
    finished.reason = "wait-too-long";
    finished.retryAfter = 400ms;
    finished.attempts = 2;
    finished.key = key_hash { 7 };
    finished.history = { { target_id { "w1" }, "target-shed", 3ms },
        { target_id { "w2" }, "connect-failed", 1ms } };
    kept.log.write(finished, { epoch { 2 }, sequence { 9 } });
    cr_assert_eq(kept.lines.size(), 1);
    auto& line = kept.lines.front();
    cr_assert(line.event == "request-failed");
    cr_assert(line.fields["request"] == "r1");
    cr_assert(line.fields["reason"] == "wait-too-long");
    cr_assert(line.fields["attempts"] == "w1:target-shed:3 w2:connect-failed:1");
    cr_assert(line.fields["retry_after_ms"] == "400");
    cr_assert(line.fields["assignment"] == "2.9");
}

Test(request_log, has_no_line_for_a_request_that_was_served_at_once)
{
    kept_lines kept;
    kept.log.write(served(), {});
    cr_assert(kept.lines.empty());
    auto late = served();
    late.late = true;
    kept.log.write(late, {});
    auto again = served();
    again.attempts = 2;
    kept.log.write(again, {});
    cr_assert_eq(kept.lines.size(), 2);
    cr_assert(kept.lines.front().event == "request-served");
}

Test(request_log, request_without_an_answer_counts_as_failed)
{
    kept_lines kept;
    auto gone = served();
    gone.status = 0;
    gone.reason = "caller-gone";
    kept.log.write(gone, {});
    cr_assert(kept.lines.front().event == "request-failed");
}

Test(request_log, lines_stay_within_their_budget_under_load)
{
    line_budget budget(linesPerSecond);
    const unsigned burst = granted(budget, start, true);
    cr_assert_leq(burst, 6 * linesPerSecond);
    cr_assert_leq(granted(budget, start + 1s, true), linesPerSecond + 1);
    cr_assert_geq(granted(budget, start + 2s, true), linesPerSecond - 1);
}

Test(request_log, late_requests_leave_room_for_failed_ones)
{
    line_budget budget(linesPerSecond);
    (void)granted(budget, start, false);
    cr_assert_geq(granted(budget, start + 1s, true), 2 * linesPerSecond);
}

Test(request_log, says_how_many_lines_were_left_out)
{
    kept_lines kept;
    auto failed = served();
    failed.status = 502;
    constexpr int requests = 500;
    for (int i = 0; i < requests; ++i)
        kept.log.write(failed, {});
    const auto written = kept.lines.size();
    std::this_thread::sleep_for(200ms);
    kept.log.write(failed, {});
    cr_assert(kept.lines.at(written).event == "request-lines-left-out");
    cr_assert(kept.lines.at(written).fields["count"] == std::to_string(requests - written));
}
