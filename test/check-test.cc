#include "helper.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace pimentomast::test;

/// The checker of the failure tests reports each planted breach by its own words, and nothing else.
namespace {

/// Lines of a target's record, as the stand-in writes them.
std::string held(const std::string& target, int fromUs, int toUs, const std::string& last = "ff")
{
    return R"({"kind":"held","target":")" + target + R"(","incarnation":1,"id":)"
        + std::to_string(fromUs) + R"(,"first":"00","last":")" + last
        + R"(","epoch":1,"sequence":1,"from_us":)" + std::to_string(fromUs) + R"(,"to_us":)"
        + std::to_string(toUs) + "}\n";
}

std::string ran(
    const std::string& target, const std::string& method, const std::string& path, int startUs)
{
    const auto line = [&](const std::string& state, int endUs) {
        return R"({"kind":"request","target":")" + target + R"(","method":")" + method
            + R"(","path":")" + path + R"(","state":")" + state + R"(","start_us":)"
            + std::to_string(startUs) + R"(,"end_us":)" + std::to_string(endUs) + "}\n";
    };
    return line("running", 0) + line("completed", startUs + 5);
}

http_reply answerTo(const std::string& method, const std::string& path)
{
    http_reply reply;
    reply.status = 200;
    reply.body = R"({"method":")" + method + R"(","path":")" + path + "\"}";
    reply.fields["Content-Length"] = std::to_string(reply.body.size());
    reply.whole = true;
    return reply;
}

http_reply refusal(const std::string& outcome)
{
    http_reply reply;
    reply.status = 503;
    reply.fields["Pimentomast-Outcome"] = outcome;
    reply.whole = true;
    return reply;
}

const std::string sale = "/ledger/k1?request=1";
const std::string lookup = "/ledger/k1?request=2";

/// Two targets of one service and one of another, and two callers who got their answers.
struct clean_run {
    std::map<std::string, std::string> lines {
        { "l1", held("l1", 0, 100) + ran("l1", "POST", sale, 10) },
        { "l2", held("l2", 100, 200) + ran("l2", "GET", lookup, 110) },
        { "w1", held("w1", 0, 200) },
    };
    std::vector<told> answers {
        { "POST", sale, answerTo("POST", sale) },
        { "GET", lookup, answerTo("GET", lookup) },
    };
    std::vector<std::int64_t> killedUs {};

    [[nodiscard]] target_records records() const
    {
        target_records all { {}, {},
            { { "l1", "ledger" }, { "l2", "ledger" }, { "w1", "weights" } } };
        for (const auto& [target, text] : lines) {
            std::istringstream record(text);
            readRecord(record, target == "l1" ? killedUs : std::vector<std::int64_t> {}, all);
        }
        return all;
    }

    [[nodiscard]] std::vector<std::string> found(const std::set<std::string>& repeatable = {}) const
    {
        return breaches(records(), answers, repeatable);
    }

    /// Expects just one breach, which starts with these words.
    void expect(const std::string& words) const
    {
        const auto all = found();
        cr_assert(all.size() == 1, "%zu breaches", all.size());
        cr_assert(all.front().starts_with(words), "%s", all.front().c_str());
    }
};

} // namespace

Test(check, clean_record_has_no_breach)
{
    clean_run run;
    run.lines["l2"] += R"({"kind":"request","target":"l2","met)";
    run.answers.push_back({ "POST", "/ledger/k1?request=3", refusal("not-run") });
    cr_assert(run.found().empty(), "%s", run.found().front().c_str());
}

Test(check, two_owners_at_once)
{
    clean_run run;
    run.lines["l2"] += held("l2", 99, 100, "0f");
    run.expect("two holders: l1 ");
}

Test(check, owner_that_was_killed_holds_nothing_more)
{
    clean_run run;
    run.lines["l2"] += held("l2", 60, 100);
    run.killedUs = { 60 };
    cr_assert(run.found().empty());
    run.killedUs = { 61 };
    run.expect("two holders: l1 ");
}

Test(check, slice_that_moves_while_records_are_read)
{
    clean_run run;
    run.lines["l2"] += held("l2", 60, 100);
    auto records = run.records();
    endHoldings(records, 60);
    cr_assert(breaches(records, run.answers).empty());
    records = run.records();
    endHoldings(records, 61);
    cr_assert(breaches(records, run.answers).size() == 1);
}

Test(check, sale_runs_twice_at_two_targets_or_at_one)
{
    for (const auto* target : { "l1", "l2" }) {
        clean_run run;
        run.lines[target] += ran(target, "POST", sale, 20);
        run.expect("ran 2 times: POST " + sale);
        cr_assert(run.found({ "ledger" }).empty());
        run.answers.clear();
        run.expect("ran 2 times: POST " + sale);
    }
}

Test(check, sale_that_was_told_not_run_ran)
{
    clean_run run;
    run.answers.front().reply = refusal("not-run");
    run.expect("told not run, but ran: POST " + sale);
    run.answers.front().reply = refusal("unknown");
    cr_assert(run.found().empty());
}

Test(check, answer_comes_from_nowhere)
{
    clean_run run;
    run.lines["l2"] = "";
    run.expect("answered, but never ran: GET " + lookup);
}

Test(check, answer_is_that_of_another_request)
{
    clean_run run;
    run.answers.back().reply = run.answers.front().reply;
    run.expect("got another's answer: GET " + lookup);
    run.answers.back().reply = answerTo("POST", lookup);
    run.expect("got another's answer: GET " + lookup);
}

Test(check, cut_off_body_is_called_whole)
{
    clean_run run;
    auto& reply = run.answers.back().reply;
    reply.body.resize(reply.body.size() / 2);
    run.expect("told whole, but cut short: GET " + lookup);
    reply.fields.clear();
    run.expect("told whole, but cut short: GET " + lookup);
    reply = answerTo("GET", lookup);
    reply.fields["Content-Length"] = "1000";
    run.expect("told whole, but cut short: GET " + lookup);
}

Test(check, leaving_target_runs_new_work_after_the_limit)
{
    const clean_run run;
    cr_assert(workAfter(run.records(), "l2", 110).empty());
    const auto found = workAfter(run.records(), "l2", 109);
    cr_assert(found.size() == 1 && found.front().starts_with("new work at l2"));
}
