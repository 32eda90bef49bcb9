#include "helper.h"

#include "pimentomast/command.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace pimentomast;
using namespace pimentomast::test;

/// A request reported as not-run never ran, and one that may not be repeated runs at most once,
/// despite resets, lost answers, silent connections, crashes and moves.
namespace {

using argument_list = std::vector<std::string>;

load_generator::options ledgerLoad(unsigned seed)
{
    return { .services = { "ledger" }, .seed = seed };
}

cluster_options threeLedgerTargets()
{
    return { 3, { { "l1", "ledger" }, { "l2", "ledger" }, { "l3", "ledger" } } };
}

http_call makeSale(const std::string& id)
{
    return { "POST", "/ledger/k0?request=" + id, std::string(200'000, 'x') };
}

request_result sendRequest(const cluster& system, const http_call& request)
{
    return { request.method, request.path, system.send(0, request) };
}

bool isAnswered(const request_result& answer) { return answer.answered(); }

/// Sends one sale whose connection to the target is reset at the given byte; returns the result.
request_result sendSaleWithResetAt(cluster& system, const std::string& direction, std::size_t bytes)
{
    const auto id = direction + "-" + std::to_string(bytes);
    system.resetNextConnection("target/" + system.ownerOf("ledger", "k0"), id, direction, bytes);
    return sendRequest(system, makeSale(id));
}

/// Runs a command with the settings of a host and returns its output.
std::string runCrashCommand(cluster& system, const std::string& host, argument_list arguments)
{
    arguments.insert(arguments.end(), { "--settings", system.host(host).settingsFile });
    std::ostringstream out;
    std::ostringstream err;
    cr_assert(command::run(arguments, out, err) == 0, "%s", err.str().c_str());
    return out.str();
}

} // namespace

Test(failure_outcomes, sale_is_reset_at_each_stage)
{
    cluster system(threeLedgerTargets());
    std::vector<request_result> answers;
    for (const std::size_t bytes : { 0, 1, 100, 1000, 60'000, 200'000 })
        answers.push_back(sendSaleWithResetAt(system, "forward", bytes));
    for (const std::size_t bytes : { 0, 1, 20, 100 }) {
        answers.push_back(sendSaleWithResetAt(system, "backward", bytes));
        cr_assert(!answers.back().notRun());
        cr_assert(!answers.back().answered());
    }
    std::this_thread::sleep_for(seconds(1));
    expectNoViolations(system, answers);
}

Test(failure_outcomes, target_resets_before_during_and_after_it_runs)
{
    for (const auto* kind : { "before", "upload", "during", "after" }) {
        scenario run(threeLedgerTargets(), ledgerLoad(31));
        for (const auto* id : { "l1", "l2", "l3" })
            run.system.targetFault(
                id, std::string(R"({"reset":")") + kind + R"(","reset_count":20})");
        std::this_thread::sleep_for(seconds(2));
        run.finish();
    }
}

Test(failure_outcomes, answers_of_a_target_are_lost_or_late)
{
    auto options = threeLedgerTargets();
    options.deadlineMs = 1500;
    scenario run(options, ledgerLoad(32));
    const auto owner = run.system.ownerOf("ledger", "k0");
    for (int round = 0; round < 3; ++round) {
        run.system.setLinkMode(
            "target/" + owner, round % 2 == 0 ? "drop-backward" : "drop-forward");
        std::this_thread::sleep_for(seconds(3));
        run.system.setLinkMode("target/" + owner, "pass");
        std::this_thread::sleep_for(seconds(1));
    }
    run.finish();
}

Test(failure_outcomes, open_connections_go_silent_while_new_ones_work)
{
    auto options = threeLedgerTargets();
    options.deadlineMs = 3000;
    scenario run(options, ledgerLoad(33));
    for (int round = 0; round < 3; ++round) {
        for (const auto* id : { "l1", "l2", "l3" })
            run.system.setLinkMode(std::string("target/") + id, "silence");
        std::this_thread::sleep_for(seconds(3));
    }
    run.finish();
}

Test(failure_outcomes, connections_to_targets_and_between_hosts_are_reset)
{
    scenario run(threeLedgerTargets(), ledgerLoad(34));
    for (int round = 0; round < 10; ++round) {
        for (const auto* link : { "target/l1", "peers/h1", "target/l2", "platform/h2" })
            run.system.setLinkMode(link, "close");
        std::this_thread::sleep_for(milliseconds(200));
    }
    run.finish();
}

Test(failure_outcomes, target_refuses_connections_for_a_while)
{
    scenario run(threeLedgerTargets(), ledgerLoad(35));
    run.system.setLinkMode("target/l1", "refuse");
    std::this_thread::sleep_for(seconds(4));
    run.system.setLinkMode("target/l1", "pass");
    run.finish();
}

Test(failure_outcomes, target_crashes_and_its_host_is_killed)
{
    scenario run(threeLedgerTargets(), ledgerLoad(36));
    run.system.killTarget("l2");
    run.system.host("h2").child.kill();
    std::this_thread::sleep_for(seconds(4));
    run.system.startTarget("l2");
    run.system.startHost("h2");
    run.finish();
}

Test(failure_outcomes, planned_moves_refuse_nothing)
{
    scenario run(threeLedgerTargets(), ledgerLoad(37));
    std::uint64_t version = 1;
    for (const auto* leaving : { "l1", "l2", "l3" }) {
        cr_assert(run.system.applyTable(run.system.table({ leaving }), version) == 0);
        run.system.waitForVersion(++version);
        const bool moved = waitUntil([&] { return run.system.ownerOf("ledger", "k0") != leaving; });
        cr_assert(moved);
        std::this_thread::sleep_for(seconds(2));
    }
    run.finish();
    const auto refused = std::find_if_not(run.answers.begin(), run.answers.end(), isAnswered);
    if (refused != run.answers.end())
        cr_assert_fail(
            "%s: %d %s", refused->path.c_str(), refused->reply.status, refused->reply.body.c_str());
}

Test(failure_outcomes, request_that_crashes_each_target_stops_after_two)
{
    auto options = threeLedgerTargets();
    // Behind the fault-injection proxy, an exited target would reset connections instead of
    // refusing them.
    options.useCutter = false;
    cluster system(options);
    const std::string path = "/ledger/k0?request=poison";
    for (int attempt = 0; attempt < 6; ++attempt) {
        for (auto& target : system.targets())
            if (!target.child.running())
                system.startTarget(target.spec.id);
        system.waitUntilServed();
        (void)system.send(static_cast<std::size_t>(attempt % 3),
            { "GET", path, "", { { "X-Caller", "a" }, { "X-Crash", "1" } } });
        std::this_thread::sleep_for(seconds(2));
    }
    std::size_t crashes = 0;
    for (const auto& run : system.runs())
        crashes += run.path == path ? 1 : 0;
    cr_assert(crashes <= 2, "%zu targets crashed", crashes);
    const auto listed = runCrashCommand(system, "h1", { "crash", "list" });
    cr_assert(listed.find(" refused ") != std::string::npos, "%s", listed.c_str());
    const auto fingerprint = listed.substr(0, listed.find(' '));
    (void)runCrashCommand(system, "h2", { "crash", "pardon", fingerprint });
    for (const auto* host : { "h1", "h2", "h3" })
        cr_assert(waitUntil([&] {
            return runCrashCommand(system, host, { "crash", "list" }).empty();
        }));
}
