#include "common.h"

#include <cstdio>

namespace pimentomast::bench {

namespace {

workload quietLoad(const setup& of, instant until)
{
    workload quiet;
    quiet.perSecond = 0.1 * capacity(of);
    quiet.callers.clear();
    for (int i = 0; i < 9; ++i)
        quiet.callers.push_back("quiet" + std::to_string(i));
    quiet.serviceTime = serviceTime;
    quiet.until = until;
    return quiet;
}

double fairRun(const setup& from, const char* label, double flood)
{
    simulation run(from);
    const instant since = run.events.now() + 3s;
    const instant until = run.events.now() + 11s;
    run.load(quietLoad(from, until));
    if (flood > 0) {
        workload heavy;
        heavy.perSecond = flood * capacity(from);
        heavy.callers = { "flood" };
        heavy.serviceTime = serviceTime;
        heavy.deadline = 2s;
        heavy.until = until;
        run.load(heavy);
    }
    run.runFor(14s);
    const summary quiet = summarize(run, "quiet", since);
    const summary loud = summarize(run, "flood", since);
    std::printf("  %-28s quiet p50 %6.1f p99 %6.1f ms, refused %zu of %zu; flood answered %zu/s\n",
        label, quiet.p50, quiet.p99, quiet.refused, quiet.refused + quiet.answered,
        loud.answered / 8);
    printReasons(run.total());
    return quiet.p99;
}

void fairOf(const user& of, bool keyed)
{
    std::printf("fair %s %s: nine quiet callers at 10%% of capacity, one flooding at 200%%\n",
        of.name, keyed ? "keyed" : "unkeyed");
    const setup from = makeSetup(of, keyed);
    const double alone = fairRun(from, "no flood", 0);
    const double flooded = fairRun(from, "flood", 2);
    const double plain = fairRun(withBaseline(from, false), "flood, no policies", 2);
    std::printf("  ratio of p99: %.2f (no policies: %.2f)\n", flooded / alone, plain / alone);
}

// Twelve hosts share each target's slots: utilization and shed answers at full offered load.
void slotsRun(const user& of, double increase, double decrease)
{
    setup from = makeSetup(of, true);
    from.settings.windowGrowth = increase;
    from.settings.windowDecrease = decrease;
    simulation run(from);
    const instant since = run.events.now() + 2s;
    workload steady;
    steady.perSecond = 1.2 * capacity(from);
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
                "attempts, p99 of the answered %6.1f ms\n",
        increase, decrease, 100 * static_cast<double>(all.answered) / 3 / capacity(from),
        100 * sheds / static_cast<double>(run.attempts), all.p99);
}

// Processor time of the decisions themselves, with a request at each target all the time.
void costOf(const user& of, bool keyed)
{
    const setup from = makeSetup(of, keyed);
    modulo_owners owners;
    for (const table::target_row& row : from.rows.targets)
        owners.targets[row.service].push_back(row.id);
    const auto host = router::create(from.settings, owners).value();
    instant now { 1000s };
    (void)host->applyTable(now, from.rows);
    constexpr int requests = 200000;
    std::mt19937_64 random(runSeed());
    const auto began = std::chrono::steady_clock::now();
    for (int i = 1; i <= requests; ++i) {
        now += 100us;
        request taken;
        taken.number = request_number { static_cast<std::uint64_t>(i) };
        taken.service = from.rows.services.front().id;
        taken.caller = caller_id { "c" + std::to_string(i % 10) };
        taken.deadline = now + 10s;
        taken.requestFingerprint = fingerprint { random() };
        if (keyed)
            taken.key = key_hash { random() };
        for (const action& each : host->arrive(now, taken))
            if (const auto* attempt = std::get_if<dispatch>(&each))
                (void)host->finish(now, attempt->number, attempt->attempt, answered {});
        if (i % 10 == 0)
            (void)host->tick(now);
    }
    const std::chrono::duration<double, std::micro> spent
        = std::chrono::steady_clock::now() - began;
    std::printf("cost %s %s: %.2f us per request, a tick every 10 requests included\n", of.name,
        keyed ? "keyed" : "unkeyed", spent.count() / requests);
}

} // namespace

void fair(const user& of)
{
    for (const bool keyed : { true, false })
        fairOf(of, keyed);
}

void slots(const user& of)
{
    std::printf("slots %s: %u targets of %u slots, 12 hosts, load 120%% of capacity\n", of.name,
        of.keyedTargets, of.slots);
    for (const double growth : { 0.05, 0.15, 0.3, 0.6, 1.2 })
        slotsRun(of, growth, 0.85);
    for (const double decrease : { 0.5, 0.7, 0.95 })
        slotsRun(of, 0.6, decrease);
}

void shares(const user& of)
{
    std::printf("shares %s: what a shed answer leaves of a flooding caller's window\n", of.name);
    for (const double decrease : { 0.3, 0.5, 0.7, 0.85 }) {
        setup from = makeSetup(of, true);
        from.settings.floodDecrease = decrease;
        char label[32];
        std::snprintf(label, sizeof label, "flood decrease %.2f", decrease);
        fairRun(from, label, 2);
    }
}

void cost(const user& of)
{
    for (const bool keyed : { true, false })
        costOf(of, keyed);
}

} // namespace pimentomast::bench
