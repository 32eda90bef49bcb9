#include "helper.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace pimentomast::test;

/// The checker of the failure tests reports each kind of violation with its own message, and
/// nothing else.
namespace {

/// Lines of a target's record, as the stand-in writes them.
std::string heldLine(
    const std::string& target, int fromUs, int toUs, const std::string& last = "ff")
{
    return R"({"kind":"held","target":")" + target + R"(","incarnation":1,"id":)"
        + std::to_string(fromUs) + R"(,"first":"00","last":")" + last
        + R"(","epoch":1,"sequence":1,"from_us":)" + std::to_string(fromUs) + R"(,"to_us":)"
        + std::to_string(toUs) + "}\n";
}

std::string runLine(
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
    reply.complete = true;
    return reply;
}

http_reply refusal(const std::string& outcome)
{
    http_reply reply;
    reply.status = 503;
    reply.fields["Pimentomast-Outcome"] = outcome;
    reply.complete = true;
    return reply;
}

const std::string sale = "/ledger/k1?request=1";
const std::string lookup = "/ledger/k1?request=2";

/// Two targets of one service and one of another, and two answered requests.
struct clean_records {
    std::map<std::string, std::string> lines {
        { "l1", heldLine("l1", 0, 100) + runLine("l1", "POST", sale, 10) },
        { "l2", heldLine("l2", 100, 200) + runLine("l2", "GET", lookup, 110) },
        { "w1", heldLine("w1", 0, 200) },
    };
    std::vector<request_result> answers {
        { "POST", sale, answerTo("POST", sale) },
        { "GET", lookup, answerTo("GET", lookup) },
    };
    std::vector<std::int64_t> killedUs {};

    [[nodiscard]] target_records allRecords() const
    {
        target_records all { {}, {},
            { { "l1", "ledger" }, { "l2", "ledger" }, { "w1", "weights" } } };
        for (const auto& [target, text] : lines) {
            std::istringstream record(text);
            readRecord(record, target == "l1" ? killedUs : std::vector<std::int64_t> {}, all);
        }
        return all;
    }

    [[nodiscard]] std::vector<std::string> findAll(
        const std::set<std::string>& repeatable = {}) const
    {
        return findViolations(allRecords(), answers, repeatable);
    }

    /// Expects exactly one violation, whose message starts with this text.
    void expect(const std::string& words) const
    {
        const auto all = findAll();
        cr_assert(all.size() == 1, "%zu violations", all.size());
        cr_assert(all.front().starts_with(words), "%s", all.front().c_str());
    }
};

} // namespace

Test(violations, clean_records_have_no_violation)
{
    clean_records records;
    records.lines["l2"] += R"({"kind":"request","target":"l2","met)";
    records.answers.push_back({ "POST", "/ledger/k1?request=3", refusal("not-run") });
    cr_assert(records.findAll().empty(), "%s", records.findAll().front().c_str());
}

Test(violations, two_owners_at_once)
{
    clean_records records;
    records.lines["l2"] += heldLine("l2", 99, 100, "0f");
    records.expect("two owners: l1 ");
}

Test(violations, killed_owner_owns_nothing_after_its_end)
{
    clean_records records;
    records.lines["l2"] += heldLine("l2", 60, 100);
    records.killedUs = { 60 };
    cr_assert(records.findAll().empty());
    records.killedUs = { 61 };
    records.expect("two owners: l1 ");
}

Test(violations, slice_that_moves_between_two_record_reads)
{
    clean_records records;
    records.lines["l2"] += heldLine("l2", 60, 100);
    auto allRecords = records.allRecords();
    truncateIntervals(allRecords, 60);
    cr_assert(findViolations(allRecords, records.answers).empty());
    allRecords = records.allRecords();
    truncateIntervals(allRecords, 61);
    cr_assert(findViolations(allRecords, records.answers).size() == 1);
}

Test(violations, sale_runs_twice_at_two_targets_or_at_one)
{
    for (const auto* target : { "l1", "l2" }) {
        clean_records records;
        records.lines[target] += runLine(target, "POST", sale, 20);
        records.expect("ran 2 times: POST " + sale);
        cr_assert(records.findAll({ "ledger" }).empty());
        records.answers.clear();
        records.expect("ran 2 times: POST " + sale);
    }
}

Test(violations, sale_reported_not_run_ran)
{
    clean_records records;
    records.answers.front().reply = refusal("not-run");
    records.expect("reported not run, but ran: POST " + sale);
    records.answers.front().reply = refusal("unknown");
    cr_assert(records.findAll().empty());
}

Test(violations, answered_request_has_no_run)
{
    clean_records records;
    records.lines["l2"] = "";
    records.expect("answered, but never ran: GET " + lookup);
}

Test(violations, answer_belongs_to_another_request)
{
    clean_records records;
    records.answers.back().reply = records.answers.front().reply;
    records.expect("answer belongs to another request: GET " + lookup);
    records.answers.back().reply = answerTo("POST", lookup);
    records.expect("answer belongs to another request: GET " + lookup);
}

Test(violations, truncated_body_is_reported_complete)
{
    clean_records records;
    auto& reply = records.answers.back().reply;
    reply.body.resize(reply.body.size() / 2);
    records.expect("reported complete, but truncated: GET " + lookup);
    reply.fields.clear();
    records.expect("reported complete, but truncated: GET " + lookup);
    reply = answerTo("GET", lookup);
    reply.fields["Content-Length"] = "1000";
    records.expect("reported complete, but truncated: GET " + lookup);
}

Test(violations, leaving_target_starts_a_request_after_the_limit)
{
    const clean_records records;
    cr_assert(runsStartedAfter(records.allRecords(), "l2", 110).empty());
    const auto findAll = runsStartedAfter(records.allRecords(), "l2", 109);
    cr_assert(findAll.size() == 1 && findAll.front().starts_with("request started at l2"));
}
