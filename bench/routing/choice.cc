#include "common.h"

#include <cstdio>

namespace pimentomast::bench {

namespace {

double servedImbalance(const simulation& finished)
{
    double most = 0;
    double all = 0;
    double weights = 0;
    for (const auto& [id, target] : finished.targets) {
        const auto served = static_cast<double>(target.served);
        most = std::max(most, served / target.row.weight);
        all += served;
        weights += target.row.weight;
    }
    return all > 0 ? most * weights / all : 0;
}

/// A fault that is injected 2 s after the start of a run.
struct fault {
    const char* name;
    std::function<void(simulation&)> begin;
};

void faultRun(const setup& config, const char* label, double loadFraction, const fault& injected)
{
    simulation run(config);
    const instant since = run.events.now() + 2s;
    workload steady;
    steady.perSecond = loadFraction * capacity(config);
    steady.callers = { "a", "b", "c", "d" };
    steady.serviceTime = serviceTime;
    steady.until = run.events.now() + 8s;
    run.load(steady);
    run.events.at(since, [&] { injected.begin(run); });
    run.runFor(20s);
    const summary all = summarize(run, "", since);
    std::size_t errors = 0;
    for (const completion& each : run.completions)
        errors += each.status >= 500 ? 1 : 0;
    const counters sum = run.total();
    std::printf("  %-14s %-14s p50 %6.1f p99 %7.1f ms, refused %5zu of %6zu, errors %4zu, "
                "attempts/request %.3f, served max/mean %.2f, ejected %llu prevented %llu\n",
        injected.name, label, all.p50, all.p99, all.refused, all.refused + all.answered, errors,
        static_cast<double>(run.attempts) / static_cast<double>(sum.arrived), servedImbalance(run),
        static_cast<unsigned long long>(sum.ejections),
        static_cast<unsigned long long>(sum.ejectionsPrevented));
}

const std::vector<fault>& faults()
{
    static const std::vector<fault> list {
        { "none", [](simulation&) {} },
        { "slow x5", [](simulation& run) { run.target("t0").slowness = 5; } },
        { "freezing",
            [](simulation& run) {
                run.target("t0").frozen = true;
                run.events.after(4s, [&run] { run.thaw(run.target("t0")); });
            } },
        { "shedding", [](simulation& run) { run.target("t0").shedsAll = true; } },
        { "failing fast", [](simulation& run) { run.target("t0").failsAll = true; } },
        { "reports none",
            [](simulation& run) {
                run.target("t0").reportBias = -100;
                run.target("t0").slowness = 5;
            } },
        { "reports busy", [](simulation& run) { run.target("t0").reportBias = 100; } },
        { "crashed 3s", [](simulation& run) { run.crash(run.target("t0"), 3s); } },
        { "domain lost",
            [](simulation& run) {
                for (auto& [id, target] : run.targets)
                    if (target.row.domain.value() == "d0")
                        run.crash(target, 3s);
            } },
    };
    return list;
}

} // namespace

void choice(const installation& system)
{
    std::printf("choice %s: unkeyed, %u targets of %u slots, faults at t0\n", system.name,
        system.unkeyedTargets, system.slots);
    for (const double loadFraction : { 0.3, 0.7 }) {
        std::printf("  load %.0f%% of capacity\n", loadFraction * 100);
        for (const fault& injected : faults()) {
            faultRun(makeSetup(system, false), "policies", loadFraction, injected);
            faultRun(withBaseline(makeSetup(system, false), true), "round robin", loadFraction,
                injected);
            faultRun(
                withBaseline(makeSetup(system, false), false), "random", loadFraction, injected);
        }
    }
}

} // namespace pimentomast::bench
