#include "common.h"

#include <cstdio>

namespace pimentomast::bench {

namespace {

// One target, or all of them, refuses connections for the 20 s of load. Counts attempts and
// retries.
void outageRun(const setup& config, const char* label, bool all)
{
    simulation run(config);
    workload steady;
    steady.perSecond = 0.2 * capacity(config);
    steady.callers = { "a", "b", "c", "d" };
    steady.serviceTime = serviceTime;
    steady.deadline = 2s;
    steady.until = run.events.now() + 20s;
    run.load(steady);
    for (auto& [id, target] : run.targets)
        if (all || id == target_id { "t0" })
            run.crash(target, 60s);
    run.runFor(25s);
    const counters sum = run.total();
    std::uint64_t retries = 0;
    for (const std::uint64_t count : sum.retries)
        retries += count;
    std::printf(
        "  %-22s %-11s requests %6llu, attempts %7llu, retries %6llu (%.1f%% of requests)\n",
        all ? "all targets out" : "one of the targets out", label,
        static_cast<unsigned long long>(sum.arrived), static_cast<unsigned long long>(run.attempts),
        static_cast<unsigned long long>(retries),
        100 * static_cast<double>(retries) / static_cast<double>(sum.arrived));
    printReasons(sum);
}

// A caller repeats a request that crashes targets, among harmless requests, while targets are also
// killed for other reasons.
void crashRun(const installation& system, bool keyed, duration killEvery, bool withCrasher)
{
    simulation run(makeSetup(system, keyed));
    workload steady;
    steady.perSecond = 0.3 * capacity(makeSetup(system, keyed));
    steady.callers = { "a", "b", "c", "d" };
    steady.serviceTime = serviceTime;
    steady.fingerprintCount = 2000;
    steady.until = run.events.now() + 60s;
    run.load(steady);
    const std::uint64_t crasher = 1000000000;
    if (withCrasher)
        run.crashers.insert(fingerprint { crasher });
    for (int i = 0; withCrasher && i < 50; ++i)
        run.events.after(1s + i * 1s, [&run, steady] { run.arrive(steady, "bad", crasher); });
    std::uint64_t kills = 0;
    std::mt19937_64 random(runSeed());
    for (duration at = 2s; killEvery > 0s && at < 60s; at += killEvery)
        run.events.after(at, [&run, &kills, index = random()] {
            auto one = run.targets.begin();
            std::advance(one, static_cast<std::ptrdiff_t>(index % run.targets.size()));
            if (!one->second.up)
                return;
            ++kills;
            run.crash(one->second, 1s);
        });
    run.runFor(75s);
    std::uint64_t crashes = 0;
    for (const auto& [id, target] : run.targets)
        crashes += target.crashes;
    std::size_t refusedOthers = 0;
    std::size_t refusedCrashing = 0;
    for (const completion& each : run.completions) {
        if (!each.refusal || each.refusal->reason != refusal_reason::Quarantined)
            continue;
        ++(each.incoming.requestFingerprint.value() == crasher ? refusedCrashing : refusedOthers);
    }
    std::printf("  %-8s kill every %4.1f s: killed %3llu, crashed by the request %llu; refused: "
                "the request %zu of 50, others %zu of %llu\n",
        keyed ? "keyed" : "unkeyed", std::chrono::duration<double>(killEvery).count(),
        static_cast<unsigned long long>(kills), static_cast<unsigned long long>(crashes - kills),
        refusedCrashing, refusedOthers, static_cast<unsigned long long>(run.total().arrived));
}

void silentRun(const setup& config, bool repeatable, duration lateMin)
{
    setup adjusted = config;
    adjusted.settings.lateMin = std::chrono::duration_cast<std::chrono::milliseconds>(lateMin);
    simulation run(adjusted);
    workload steady;
    steady.perSecond = 0.2 * capacity(config);
    steady.callers = { "a", "b", "c", "d" };
    steady.serviceTime = serviceTime;
    steady.repeatable = repeatable;
    steady.until = run.events.now() + 10s;
    run.load(steady);
    const instant cut = run.events.now() + 4s;
    run.events.at(cut, [&run] { run.silenceConnections(); });
    run.runFor(25s);
    double worst = 0;
    std::size_t twice = 0;
    std::size_t unknown = 0;
    for (const completion& each : run.completions) {
        twice += each.runs > 1 ? 1 : 0;
        unknown += each.refusal && each.refusal->requestOutcome == outcome::Unknown ? 1 : 0;
        if (each.at > cut)
            worst = std::max(worst,
                std::chrono::duration<double, std::milli>(each.at - each.incoming.arrival).count());
    }
    std::printf("  %-12s late after %4lld ms: worst latency %7.1f ms, run twice %zu, unknown %zu "
                "of %zu, found silent %llu\n",
        repeatable ? "repeatable" : "unrepeatable",
        static_cast<long long>(adjusted.settings.lateMin.count()), worst, twice, unknown,
        run.completions.size(), static_cast<unsigned long long>(run.total().silentConnections));
}

} // namespace

void outage(const installation& system)
{
    std::printf("outage %s: connections refused for 20 s\n", system.name);
    for (const bool keyed : { true, false }) {
        std::printf("  %s\n", keyed ? "keyed" : "unkeyed");
        for (const bool all : { false, true }) {
            outageRun(makeSetup(system, keyed), "policies", all);
            outageRun(withBaseline(makeSetup(system, keyed), true), "no budget", all);
        }
    }
}

void crashes(const installation& system)
{
    std::printf(
        "crashes %s: one request that crashes targets sent 50 times in 50 s\n", system.name);
    for (const bool keyed : { true, false })
        for (const duration every : { duration(0s), duration(5s), duration(1s) })
            crashRun(system, keyed, every, true);
    for (const bool keyed : { true, false })
        crashRun(system, keyed, 500ms, false);
}

void silent(const installation& system)
{
    std::printf("silent %s: every open connection goes silent at 4 s\n", system.name);
    for (const bool repeatable : { true, false })
        for (const duration late : { duration(250ms), duration(500ms), duration(1s) })
            silentRun(makeSetup(system, false), repeatable, late);
}

} // namespace pimentomast::bench
