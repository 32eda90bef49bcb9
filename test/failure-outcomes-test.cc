#include "helper.h"

#include "pimentomast/command.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace pimentomast;
using namespace pimentomast::test;

/// "Not run" means never run, and what may not be repeated runs at most once, through resets, lost
/// answers, silent connections, crashes and moves.
namespace {

using words = std::vector<std::string>;

load::options ledgerLoad(unsigned seed) { return { .services = { "ledger" }, .seed = seed }; }

cluster_options threeLedgers()
{
    return { 3, { { "l1", "ledger" }, { "l2", "ledger" }, { "l3", "ledger" } } };
}

http_call sale(const std::string& id)
{
    return { "POST", "/ledger/k0?request=" + id, std::string(200'000, 'x') };
}

told tell(const cluster& system, const http_call& request)
{
    return { request.method, request.path, system.send(0, request) };
}

bool isAnswered(const told& answer) { return answer.answered(); }

/// Breaks the connection of one sale at the given byte and returns what its caller was told.
told saleBrokenAt(cluster& system, const std::string& way, std::size_t bytes)
{
    const auto id = way + "-" + std::to_string(bytes);
    system.breakNext("target/" + system.ownerOf("ledger", "k0"), id, way, bytes);
    return tell(system, sale(id));
}

/// Runs a command with the settings of a host, and returns what it prints.
std::string crashCommand(cluster& system, const std::string& host, words arguments)
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
    cluster system(threeLedgers());
    std::vector<told> answers;
    for (const std::size_t bytes : { 0, 1, 100, 1000, 60'000, 200'000 })
        answers.push_back(saleBrokenAt(system, "forward", bytes));
    for (const std::size_t bytes : { 0, 1, 20, 100 }) {
        answers.push_back(saleBrokenAt(system, "backward", bytes));
        cr_assert(!answers.back().notRun());
        cr_assert(!answers.back().answered());
    }
    std::this_thread::sleep_for(seconds(1));
    expectNoBreach(system, answers);
}

Test(failure_outcomes, target_resets_before_during_and_after_it_runs)
{
    for (const auto* kind : { "before", "upload", "during", "after" }) {
        scenario run(threeLedgers(), ledgerLoad(31));
        for (const auto* id : { "l1", "l2", "l3" })
            run.system.targetFault(
                id, std::string(R"({"reset":")") + kind + R"(","reset_count":20})");
        std::this_thread::sleep_for(seconds(2));
        run.finish();
    }
}

Test(failure_outcomes, answers_of_a_target_are_lost_and_come_late)
{
    auto options = threeLedgers();
    options.deadlineMs = 1500;
    scenario run(options, ledgerLoad(32));
    const auto owner = run.system.ownerOf("ledger", "k0");
    for (int round = 0; round < 3; ++round) {
        run.system.cut("target/" + owner, round % 2 == 0 ? "drop-backward" : "drop-forward");
        std::this_thread::sleep_for(seconds(3));
        run.system.cut("target/" + owner, "pass");
        std::this_thread::sleep_for(seconds(1));
    }
    run.finish();
}

Test(failure_outcomes, open_connections_go_silent_while_new_ones_work)
{
    auto options = threeLedgers();
    options.deadlineMs = 3000;
    scenario run(options, ledgerLoad(33));
    for (int round = 0; round < 3; ++round) {
        for (const auto* id : { "l1", "l2", "l3" })
            run.system.cut(std::string("target/") + id, "silence");
        std::this_thread::sleep_for(seconds(3));
    }
    run.finish();
}

Test(failure_outcomes, connections_to_targets_and_between_hosts_are_reset)
{
    scenario run(threeLedgers(), ledgerLoad(34));
    for (int round = 0; round < 10; ++round) {
        for (const auto* link : { "target/l1", "peers/h1", "target/l2", "platform/h2" })
            run.system.cut(link, "close");
        std::this_thread::sleep_for(milliseconds(200));
    }
    run.finish();
}

Test(failure_outcomes, target_refuses_connections_for_a_while)
{
    scenario run(threeLedgers(), ledgerLoad(35));
    run.system.cut("target/l1", "refuse");
    std::this_thread::sleep_for(seconds(4));
    run.system.cut("target/l1", "pass");
    run.finish();
}

Test(failure_outcomes, target_crashes_and_its_host_is_killed)
{
    scenario run(threeLedgers(), ledgerLoad(36));
    run.system.killTarget("l2");
    run.system.host("h2").running.kill();
    std::this_thread::sleep_for(seconds(4));
    run.system.startTarget("l2");
    run.system.startHost("h2");
    run.finish();
}

Test(failure_outcomes, planned_moves_refuse_nothing)
{
    scenario run(threeLedgers(), ledgerLoad(37));
    std::uint64_t version = 1;
    for (const auto* leaving : { "l1", "l2", "l3" }) {
        cr_assert(run.system.apply(run.system.table({ leaving }), version) == 0);
        run.system.waitVersion(++version);
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
    auto options = threeLedgers();
    // Through the cutter the end of a target would look like a reset, not like a refusal.
    options.cut = false;
    cluster system(options);
    const std::string path = "/ledger/k0?request=poison";
    for (int attempt = 0; attempt < 6; ++attempt) {
        for (auto& target : system.targets())
            if (!target.running.running())
                system.startTarget(target.spec.id);
        system.waitServed();
        (void)system.send(static_cast<std::size_t>(attempt % 3),
            { "GET", path, "", { { "X-Caller", "a" }, { "X-Crash", "1" } } });
        std::this_thread::sleep_for(seconds(2));
    }
    std::size_t crashes = 0;
    for (const auto& run : system.runs())
        crashes += run.path == path ? 1 : 0;
    cr_assert(crashes <= 2, "%zu targets crashed", crashes);
    const auto listed = crashCommand(system, "h1", { "crash", "list" });
    cr_assert(listed.find(" refused ") != std::string::npos, "%s", listed.c_str());
    const auto print = listed.substr(0, listed.find(' '));
    (void)crashCommand(system, "h2", { "crash", "pardon", print });
    for (const auto* host : { "h1", "h2", "h3" })
        cr_assert(waitUntil([&] {
            return crashCommand(system, host, { "crash", "list" }).empty();
        }));
}
