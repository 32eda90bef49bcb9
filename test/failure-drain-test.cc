#include "helper.h"

#include "stand-ins/pattern.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <future>

using namespace pimentomast;
using namespace pimentomast::test;

/// Leaving targets get no new requests, and a graceful shutdown interrupts no request.
namespace {

constexpr std::size_t longBytes = 4'000'000;
constexpr seconds leavingLimit { 10 };

std::int64_t nowUs() { return monotonic_clock::now().time_since_epoch().count(); }

cluster_options allServices()
{
    cluster_options options { 3,
        { { "w1", "weights" }, { "w2", "weights" }, { "e1", "export", true, 4, false },
            { "e2", "export", true, 4, false }, { "a1", "archives", false, 4, false },
            { "a2", "archives", false, 4, false } } };
    options.settings = "[drain]\naccept_ms = 500\n";
    options.deadlineMs = 60000;
    return options;
}

load_generator::options allLoad(unsigned seed)
{
    return { .services = { "weights", "export", "archives" }, .seed = seed };
}

/// A download and an upload through one host, each several seconds long.
struct long_transfers {
    long_transfers(const cluster& system, std::size_t host, const std::string& service)
        : download(std::async(std::launch::async,
            [&system, host, service] {
                return system.send(host,
                    { "GET",
                        "/" + service
                            + "/k0?request=long&pause_ms=60&bytes=" + std::to_string(longBytes) });
            }))
        , upload(std::async(std::launch::async, [&system, host, service] {
            return system.send(host,
                { "POST", "/" + service + "/k0?request=long", stand_in::patternBytes(0, longBytes),
                    { { "X-Caller", "vet" } }, waitTimeout, milliseconds(60) });
        }))
    {
    }

    void expectComplete()
    {
        const auto down = download.get();
        cr_assert(down.status == 200 && down.complete, "download: %d %s, %zu bytes", down.status,
            down.failure.c_str(), down.body.size());
        cr_assert(down.body == stand_in::patternBytes(0, longBytes));
        const auto up = upload.get();
        cr_assert(up.status == 200 && up.complete, "upload: %d %s %s", up.status, up.body.c_str(),
            up.failure.c_str());
        cr_assert(jsonField(up.body, "bytes") == std::to_string(longBytes));
    }

    std::future<http_reply> download;
    std::future<http_reply> upload;
};

/// Waits until both transfers of a service run at its targets.
void waitRunning(const cluster& system)
{
    const bool running = waitUntil([&] {
        const auto all = system.runs();
        return std::count_if(all.begin(), all.end(), [](const request_run& each) {
            return each.path.find("request=long") != std::string::npos && each.state == "running";
        }) == 2;
    });
    cr_assert(running, "the long transfers do not run");
}

void expectNoRunsAfter(const cluster& system, const std::string& target, std::int64_t afterUs)
{
    const auto found = runsStartedAfter(system.records(), target, afterUs);
    cr_assert(found.empty(), "%s", found.front().c_str());
}

/// Returns whether a host's log has a line on live hosts that counts this host alone, after one
/// that counts all three.
bool wasAlone(cluster& system, const std::string& id)
{
    const std::filesystem::path settings = system.host(id).settingsFile;
    std::ifstream log(settings.parent_path() / (id + ".log"));
    bool metAll = false;
    for (std::string line; std::getline(log, line);) {
        if (line.find("event=live-hosts-changed") == std::string::npos)
            continue;
        metAll = metAll || line.find(" live=3 ") != std::string::npos;
        if (metAll && line.find(" live=1 ") != std::string::npos)
            return true;
    }
    return false;
}

} // namespace

Test(failure_drain, isolation_of_one_host_does_not_separate_the_others)
{
    auto options = allServices();
    options.deadlineMs = 5000;
    scenario run(options, allLoad(54));
    run.system.isolateHost("h3", "drop-both");
    std::this_thread::sleep_for(leavingLimit);
    cr_expect(wasAlone(run.system, "h3"));
    cr_expect_not(wasAlone(run.system, "h1"));
    cr_expect_not(wasAlone(run.system, "h2"));
}

Test(failure_drain, leaving_targets_get_no_new_requests)
{
    scenario run(allServices(), allLoad(51));
    cr_assert(run.system.applyTable(run.system.table({ "w1", "e1", "a1" }), 1) == 0);
    const auto limit = nowUs() + std::chrono::microseconds(leavingLimit).count();
    std::this_thread::sleep_for(leavingLimit + seconds(3));
    run.finish();
    for (const auto* target : { "w1", "e1", "a1" })
        expectNoRunsAfter(run.system, target, limit);
}

Test(failure_drain, leaving_targets_get_no_new_requests_from_an_isolated_host)
{
    scenario run(allServices(), allLoad(52));
    run.system.isolateHost("h3", "drop-both");
    std::this_thread::sleep_for(seconds(1));
    cr_assert(run.system.applyTable(run.system.table({ "w1", "e1", "a1" }), 1) == 0);
    const auto limit = nowUs() + std::chrono::microseconds(leavingLimit).count();
    std::this_thread::sleep_for(leavingLimit + seconds(5));
    run.system.isolateHost("h3", "pass");
    run.finish();
    for (const auto* target : { "w1", "e1", "a1" })
        expectNoRunsAfter(run.system, target, limit);
}

Test(failure_drain, host_shutdown_interrupts_no_transfer)
{
    for (const auto* service : { "export", "weights" }) {
        cluster system(allServices());
        long_transfers transfers(system, 0, service);
        waitRunning(system);
        system.host("h1").child.terminate();
        transfers.expectComplete();
        cr_assert(system.host("h1").child.wait() == 0);
    }
}

Test(failure_drain, rolling_host_shutdown_under_load_interrupts_no_exchange)
{
    scenario run(allServices(), allLoad(53));
    for (const auto* id : { "h1", "h2", "h3" }) {
        run.system.host(id).child.terminate();
        cr_assert(run.system.host(id).child.wait() == 0);
        run.system.startHost(id);
        run.system.waitUntilServed();
    }
    run.finish();
    // A connection may be refused after the host has exited, but no exchange is interrupted.
    for (const auto& answer : run.answers)
        cr_assert(answer.answered() || answer.notRun()
                || answer.reply.failure.find("refused") != std::string::npos,
            "%s %s: %d %s %s", answer.method.c_str(), answer.path.c_str(), answer.reply.status,
            answer.reply.body.c_str(), answer.reply.failure.c_str());
}

Test(failure_drain, leaving_target_completes_its_transfers)
{
    for (const auto* service : { "export", "weights" }) {
        cluster system(allServices());
        long_transfers transfers(system, 0, service);
        waitRunning(system);
        std::set<std::string> leaving;
        for (const auto& run : system.runs())
            if (run.path.find("request=long") != std::string::npos)
                leaving.insert(run.target);
        cr_assert(system.applyTable(system.table(leaving), 1) == 0);
        transfers.expectComplete();
        expectNoViolations(system, {});
    }
}
