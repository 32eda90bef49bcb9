#include "shared/senders.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <numeric>

/// Measures how long a key is not served when its owner or coordinator is lost, when it moves and
/// when the platform is unavailable. Uses real processes on the loopback interface and a new
/// installation for each run. Prints a Markdown table. Usage: bench-unavailability [--runs N]
/// [--lanes N] [--case NAME]
namespace {

using namespace pimentomast;
using namespace pimentomast::bench;
using test::cluster_options;

constexpr unsigned senders = 40;
constexpr milliseconds sendInterval { 10 };
constexpr milliseconds settleTime { 2000 };
constexpr milliseconds watchTime { 5000 };
constexpr milliseconds outageTime { 60000 };
const std::string service = "weights";
const std::string key = "k0";

struct measured {
    double gapMs = 0;
    double p99BeforeMs = 0;
    double p99AfterMs = 0;
    unsigned sent = 0;
    unsigned failed = 0;
};

double p99Ms(const std::vector<sample>& samples, std::int64_t fromUs, std::int64_t toUs)
{
    std::vector<double> latencies;
    for (const auto& each : samples)
        if (each.startUs >= fromUs && each.startUs < toUs)
            latencies.push_back(static_cast<double>(each.endUs - each.startUs) / 1000);
    return percentile(std::move(latencies), 0.99);
}

/// The gap is the longest interval between two answers that ends after the fault.
measured evaluate(const std::vector<sample>& samples, std::int64_t faultUs, std::int64_t endUs)
{
    measured result;
    std::int64_t last = 0;
    for (const auto& each : samples) {
        result.sent += each.startUs >= faultUs ? 1 : 0;
        result.failed += each.startUs >= faultUs && !each.answered ? 1 : 0;
        if (!each.answered)
            continue;
        if (each.endUs >= faultUs && last != 0)
            result.gapMs = std::max(result.gapMs, static_cast<double>(each.endUs - last) / 1000);
        last = each.endUs;
    }
    result.gapMs = std::max(result.gapMs, static_cast<double>(endUs - last) / 1000);
    const auto window = std::chrono::microseconds(settleTime).count();
    result.p99BeforeMs = p99Ms(samples, faultUs - window, faultUs);
    result.p99AfterMs = p99Ms(samples, faultUs, faultUs + window);
    return result;
}

/// Injects the faults of a case. Callers never use the coordinator's host, as if the load balancer
/// in front of the hosts had removed a lost host.
struct fault_injector {
    cluster& system;
    std::string owner;
    std::string coordinator;

    void killOwner() const { system.killTarget(owner); }
    void freezeOwner() const { system.target(owner).child.freeze(); }
    void killCoordinator() const { system.host(coordinator).child.kill(); }
};

struct test_case {
    std::string name;
    std::function<void(const fault_injector&)> inject;
    milliseconds watch = watchTime;
};

std::vector<test_case> cases()
{
    return {
        { "none", [](const fault_injector&) {} },
        { "owner-killed", [](const fault_injector& faults) { faults.killOwner(); } },
        { "owner-frozen", [](const fault_injector& faults) { faults.freezeOwner(); } },
        { "coordinator-killed", [](const fault_injector& faults) { faults.killCoordinator(); } },
        { "owner-and-coordinator-killed",
            [](const fault_injector& faults) {
                faults.killOwner();
                faults.killCoordinator();
            } },
        { "planned-move",
            [](const fault_injector& faults) {
                faults.system.applyTable(faults.system.table({ faults.owner }), 1);
            } },
        { "store-outage-60s",
            [](const fault_injector& faults) {
                faults.system.platformFault(R"({"outage":"silent"})");
            },
            outageTime },
    };
}

cluster_options installation()
{
    auto options = test::threeKeyedTargets();
    options.targets.push_back({ "w4", service });
    options.useCutter = false;
    return options;
}

measured runOnce(const test_case& selected)
{
    cluster system(installation());
    std::this_thread::sleep_for(settleTime);
    const fault_injector faults { system, system.ownerOf(service, key),
        system.coordinatorOf(service) };
    std::vector<std::size_t> hosts;
    for (std::size_t i = 0; i < system.hosts().size(); ++i)
        if (system.hosts()[i].id != faults.coordinator)
            hosts.push_back(i);
    test::http_call request;
    request.path = "/" + service + "/" + key;
    steady_senders load(
        system, hosts, senders, sendInterval, [request](std::mt19937_64&) { return request; });
    std::this_thread::sleep_for(settleTime);
    const auto faultUs = nowUs();
    selected.inject(faults);
    std::this_thread::sleep_for(selected.watch);
    const auto endUs = nowUs();
    return evaluate(load.stop(), faultUs, endUs);
}

std::vector<measured> runAll(const test_case& selected, unsigned runs, unsigned parallelRuns)
{
    std::atomic<unsigned> next = 0;
    std::mutex mutex;
    std::vector<measured> results;
    std::vector<std::thread> threads;
    for (unsigned worker = 0; worker < parallelRuns; ++worker)
        threads.emplace_back([&] {
            while (next++ < runs) {
                const auto one = runOnce(selected);
                const std::lock_guard lock(mutex);
                results.push_back(one);
            }
        });
    for (auto& thread : threads)
        thread.join();
    return results;
}

void print(const std::string& name, const std::vector<measured>& results)
{
    std::vector<double> gaps;
    std::vector<double> added;
    unsigned sent = 0;
    unsigned failed = 0;
    for (const auto& each : results) {
        gaps.push_back(each.gapMs);
        added.push_back(each.p99AfterMs - each.p99BeforeMs);
        sent += each.sent;
        failed += each.failed;
    }
    std::cout << std::fixed << std::setprecision(0) << "| " << name << " | " << results.size()
              << " | " << percentile(gaps, 0) << " | " << percentile(gaps, 0.5) << " | "
              << percentile(gaps, 0.9) << " | " << percentile(gaps, 1) << " | "
              << std::setprecision(1) << percentile(added, 0.5) << " | " << percentile(added, 1)
              << " | " << failed << " of " << sent << " |" << std::endl;
}

} // namespace

int main(int count, char** arguments)
{
    namespace options = boost::program_options;
    unsigned runs = 20;
    unsigned parallelRuns = 2;
    std::string only;
    options::options_description described("bench-unavailability");
    described.add_options()("runs", options::value(&runs), "runs of each case")("lanes",
        options::value(&parallelRuns),
        "runs at a time")("case", options::value(&only), "only this case");
    options::variables_map given;
    options::store(options::parse_command_line(count, arguments, described), given);
    options::notify(given);
    std::cout << "| case | runs | gap min ms | p50 | p90 | max | p99 added, median ms | max | "
                 "failed |\n|---|---|---|---|---|---|---|---|---|\n";
    for (const auto& each : cases())
        if (only.empty() || each.name == only)
            print(each.name, runAll(each, runs, parallelRuns));
}
