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

/// Records the lines that a request log writes.
struct log_recorder {
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

proxy::completion servedRequest()
{
    proxy::completion finished;
    finished.id = "r1";
    finished.service = service_id { "weights" };
    finished.status = 200;
    finished.attempts = 1;
    finished.history = { { target_id { "w1" }, "200", 80ms } };
    return finished;
}

/// Returns how many of 1000 lines within one second the budget admits.
unsigned admittedLines(line_budget& budget, instant from, bool important)
{
    unsigned lines = 0;
    for (int i = 0; i < 1000; ++i)
        lines += budget.take(from + i * 1ms, important) ? 1 : 0;
    return lines;
}

} // namespace

Test(request_log, logs_reason_and_attempts_of_a_failed_request)
{
    log_recorder recorder;
    auto finished = servedRequest();
    finished.status = 503;
    finished.reason = "wait-too-long";
    finished.retryAfter = 400ms;
    finished.attempts = 2;
    finished.key = key_hash { 7 };
    finished.history = { { target_id { "w1" }, "target-shed", 3ms },
        { target_id { "w2" }, "connect-failed", 1ms } };
    recorder.log.write(finished, { epoch { 2 }, sequence { 9 } });
    cr_assert_eq(recorder.lines.size(), 1);
    auto& line = recorder.lines.front();
    cr_assert(line.event == "request-failed");
    cr_assert(line.fields["request"] == "r1");
    cr_assert(line.fields["reason"] == "wait-too-long");
    cr_assert(line.fields["attempts"] == "w1:target-shed:3 w2:connect-failed:1");
    cr_assert(line.fields["retry_after_ms"] == "400");
    cr_assert(line.fields["assignment"] == "2.9");
}

Test(request_log, does_not_log_a_request_served_by_the_first_attempt)
{
    log_recorder recorder;
    recorder.log.write(servedRequest(), {});
    cr_assert(recorder.lines.empty());
    auto late = servedRequest();
    late.late = true;
    recorder.log.write(late, {});
    auto retried = servedRequest();
    retried.attempts = 2;
    recorder.log.write(retried, {});
    cr_assert_eq(recorder.lines.size(), 2);
    cr_assert(recorder.lines.front().event == "request-served");
}

Test(request_log, request_without_an_answer_counts_as_failed)
{
    log_recorder recorder;
    auto unanswered = servedRequest();
    unanswered.status = 0;
    unanswered.reason = "caller-gone";
    recorder.log.write(unanswered, {});
    cr_assert(recorder.lines.front().event == "request-failed");
}

Test(request_log, lines_stay_within_their_budget_under_load)
{
    line_budget budget(linesPerSecond);
    const unsigned burst = admittedLines(budget, start, true);
    cr_assert_leq(burst, 6 * linesPerSecond);
    cr_assert_leq(admittedLines(budget, start + 1s, true), linesPerSecond + 1);
    cr_assert_geq(admittedLines(budget, start + 2s, true), linesPerSecond - 1);
}

Test(request_log, late_requests_leave_budget_for_failed_requests)
{
    line_budget budget(linesPerSecond);
    (void)admittedLines(budget, start, false);
    cr_assert_geq(admittedLines(budget, start + 1s, true), 2 * linesPerSecond);
}

Test(request_log, logs_how_many_lines_were_left_out)
{
    log_recorder recorder;
    auto failed = servedRequest();
    failed.status = 502;
    constexpr int requests = 500;
    for (int i = 0; i < requests; ++i)
        recorder.log.write(failed, {});
    const auto written = recorder.lines.size();
    std::this_thread::sleep_for(200ms);
    recorder.log.write(failed, {});
    cr_assert(recorder.lines.at(written).event == "request-lines-left-out");
    cr_assert(recorder.lines.at(written).fields["count"] == std::to_string(requests - written));
}

Test(request_log, states_the_age_of_old_tables)
{
    log_recorder recorder;
    auto failed = servedRequest();
    failed.status = 503;
    recorder.log.write(failed, {}, 999ms);
    recorder.log.write(failed, {}, 1500ms);
    cr_assert(recorder.lines.at(0).fields["tables_age_ms"].empty());
    cr_assert(recorder.lines.at(1).fields["tables_age_ms"] == "1500");
}
