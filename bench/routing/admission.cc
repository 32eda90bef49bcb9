#include "common.h"

#include <cstdio>

namespace pimentomast::bench {

namespace {

workload quietLoad(const setup& config, instant until)
{
    workload quiet;
    quiet.perSecond = 0.1 * capacity(config);
    quiet.callers.clear();
    for (int i = 0; i < 9; ++i)
        quiet.callers.push_back("quiet" + std::to_string(i));
    quiet.serviceTime = serviceTime;
    quiet.until = until;
    return quiet;
}

double fairRun(const setup& config, const char* label, double flood)
{
    simulation run(config);
    const instant since = run.events.now() + 3s;
    const instant until = run.events.now() + 11s;
    run.load(quietLoad(config, until));
    if (flood > 0) {
        workload heavy;
        heavy.perSecond = flood * capacity(config);
        heavy.callers = { "flood" };
        heavy.serviceTime = serviceTime;
        heavy.deadline = 2s;
        heavy.until = until;
        run.load(heavy);
    }
    run.runFor(14s);
    const summary quiet = summarize(run, "quiet", since);
    const summary flooding = summarize(run, "flood", since);
    std::printf("  %-28s quiet p50 %6.1f p99 %6.1f ms, refused %zu of %zu; flood answered %zu/s\n",
        label, quiet.p50, quiet.p99, quiet.refused, quiet.refused + quiet.answered,
        flooding.answered / 8);
    printReasons(run.total());
    return quiet.p99;
}

void fairCase(const installation& system, bool keyed)
{
    std::printf("fair %s %s: nine quiet callers at 10%% of capacity, one flooding at 200%%\n",
        system.name, keyed ? "keyed" : "unkeyed");
    const setup config = makeSetup(system, keyed);
    const double aloneP99 = fairRun(config, "no flood", 0);
    const double floodedP99 = fairRun(config, "flood", 2);
    const double baselineP99 = fairRun(withBaseline(config, false), "flood, no policies", 2);
    std::printf("  ratio of p99: %.2f (no policies: %.2f)\n", floodedP99 / aloneP99,
        baselineP99 / aloneP99);
}

// Twelve hosts share the slots of each target. Measures goodput and shed responses under overload.
void slotsRun(const installation& system, double increase, double decrease)
{
    setup config = makeSetup(system, true);
    config.settings.windowGrowth = increase;
    config.settings.windowDecrease = decrease;
    simulation run(config);
    const instant since = run.events.now() + 2s;
    workload steady;
    steady.perSecond = 1.2 * capacity(config);
    steady.callers = { "a" };
    steady.serviceTime = serviceTime;
    steady.deadline = 1s;
    steady.until = run.events.now() + 5s;
    run.load(steady);
    run.runFor(5s);
    const summary all = summarize(run, "", since);
    const counters sum = run.total();
    const auto sheds = static_cast<double>(sum.retries.at(0));
    std::printf("  growth %.3f decrease %.2f: goodput %5.1f%% of capacity, shed %4.1f%% of "
                "attempts, p99 of answered requests %6.1f ms\n",
        increase, decrease, 100 * static_cast<double>(all.answered) / 3 / capacity(config),
        100 * sheds / static_cast<double>(run.attempts), all.p99);
}

// Measures the time of the routing decisions alone; each request finishes as soon as it is
// dispatched.
void costCase(const installation& system, bool keyed)
{
    const setup config = makeSetup(system, keyed);
    modulo_owners owners;
    for (const table::target_row& row : config.rows.targets)
        owners.targets[row.service].push_back(row.id);
    const auto host = router::create(config.settings, owners).value();
    instant now { 1000s };
    (void)host->applyTable(now, config.rows);
    constexpr int requests = 200000;
    std::mt19937_64 random(runSeed());
    const auto began = std::chrono::steady_clock::now();
    for (int i = 1; i <= requests; ++i) {
        now += 100us;
        request incoming;
        incoming.number = request_number { static_cast<std::uint64_t>(i) };
        incoming.service = config.rows.services.front().id;
        incoming.caller = caller_id { "c" + std::to_string(i % 10) };
        incoming.deadline = now + 10s;
        incoming.requestFingerprint = fingerprint { random() };
        if (keyed)
            incoming.key = key_hash { random() };
        for (const action& each : host->arrive(now, incoming))
            if (const auto* attempt = std::get_if<dispatch>(&each))
                (void)host->finish(now, attempt->number, attempt->attempt, answered {});
        if (i % 10 == 0)
            (void)host->tick(now);
    }
    const std::chrono::duration<double, std::micro> spent
        = std::chrono::steady_clock::now() - began;
    std::printf("cost %s %s: %.2f us per request, a tick every 10 requests included\n", system.name,
        keyed ? "keyed" : "unkeyed", spent.count() / requests);
}

} // namespace

void fair(const installation& system)
{
    for (const bool keyed : { true, false })
        fairCase(system, keyed);
}

void slots(const installation& system)
{
    std::printf("slots %s: %u targets of %u slots, 12 hosts, load 120%% of capacity\n", system.name,
        system.keyedTargets, system.slots);
    for (const double growth : { 0.05, 0.15, 0.3, 0.6, 1.2 })
        slotsRun(system, growth, 0.85);
    for (const double decrease : { 0.5, 0.7, 0.95 })
        slotsRun(system, 0.6, decrease);
}

void shares(const installation& system)
{
    std::printf("shares %s: factor applied to a flooding caller's window on a shed response\n",
        system.name);
    for (const double decrease : { 0.3, 0.5, 0.7, 0.85 }) {
        setup config = makeSetup(system, true);
        config.settings.floodDecrease = decrease;
        char label[32];
        std::snprintf(label, sizeof label, "flood decrease %.2f", decrease);
        fairRun(config, label, 2);
    }
}

void cost(const installation& system)
{
    for (const bool keyed : { true, false })
        costCase(system, keyed);
}

} // namespace pimentomast::bench
