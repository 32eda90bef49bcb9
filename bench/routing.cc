/// Measures the routing policies against simple ones, in simulated time.
/// Usage: bench-routing SCENARIO [seed]; without arguments, every scenario.

#include "shared/simulation.h"

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

using namespace pimentomast;
using namespace pimentomast::bench;

struct user {
    const char* name;
    unsigned keyedTargets;
    unsigned unkeyedTargets;
    unsigned slots;
    duration betweenDomains;
};

constexpr user shrestha { "shrestha", 24, 9, 4, 4ms };
constexpr user karoo { "karoo", 22, 9, 2, 3ms };
constexpr duration serviceTime = 10ms;

std::uint64_t g_seed = 1;

table::table makeRows(const user& of, bool keyed)
{
    table::table rows;
    table::service_row service;
    service.id = service_id { "s" };
    if (keyed)
        service.key = table::path_segment { 1 };
    rows.services.push_back(service);
    const unsigned count = keyed ? of.keyedTargets : of.unkeyedTargets;
    for (unsigned i = 0; i < count; ++i) {
        table::target_row target;
        target.id = target_id { "t" + std::to_string(i) };
        target.service = service.id;
        target.slots = of.slots;
        target.domain = domain_id { "d" + std::to_string(i % 3) };
        rows.targets.push_back(target);
    }
    return rows;
}

setup makeSetup(const user& of, bool keyed)
{
    setup made;
    made.betweenDomains = of.betweenDomains;
    made.seed = g_seed;
    made.rows = makeRows(of, keyed);
    return made;
}

double capacity(const setup& of)
{
    const auto& rows = of.rows.targets;
    return static_cast<double>(rows.size() * rows.front().slots)
        / std::chrono::duration<double>(serviceTime).count();
}

struct summary {
    std::size_t answered = 0;
    std::size_t refused = 0;
    double p50 = 0;
    double p99 = 0;
};

summary summarize(const simulation& done, const std::string& caller, instant since)
{
    summary sum;
    std::vector<double> latencies;
    for (const ending& each : done.endings) {
        if (each.taken.arrival < since || !each.taken.caller.value().starts_with(caller))
            continue;
        if (each.refusal) {
            ++sum.refused;
            continue;
        }
        ++sum.answered;
        latencies.push_back(
            std::chrono::duration<double, std::milli>(each.at - each.taken.arrival).count());
    }
    sum.p50 = percentileMs(latencies, 0.5);
    sum.p99 = percentileMs(latencies, 0.99);
    return sum;
}

void printReasons(const counters& sum)
{
    std::printf("    refusals:");
    for (std::size_t i = 0; i < refusalReasons; ++i)
        if (sum.refusals.at(i) > 0)
            std::printf(" %s=%llu", name(static_cast<refusal_reason>(i)).data(),
                static_cast<unsigned long long>(sum.refusals.at(i)));
    std::printf("; retries:");
    for (std::size_t i = 0; i < retryReasons; ++i)
        if (sum.retries.at(i) > 0)
            std::printf(" %s=%llu", name(static_cast<retry_reason>(i)).data(),
                static_cast<unsigned long long>(sum.retries.at(i)));
    std::printf("\n");
}

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

void fair(const user& of, bool keyed)
{
    std::printf("fair %s %s: nine quiet callers at 10%% of capacity, one flooding at 200%%\n",
        of.name, keyed ? "keyed" : "unkeyed");
    const setup from = makeSetup(of, keyed);
    const double alone = fairRun(from, "no flood", 0);
    const double flooded = fairRun(from, "flood", 2);
    setup random = from;
    random.make = [](const options& settings, const owner_lookup& owners) {
        return makeBaseline(false, settings, owners);
    };
    const double plain = fairRun(random, "flood, no policies", 2);
    std::printf("  ratio of p99: %.2f (no policies: %.2f)\n", flooded / alone, plain / alone);
}

setup withBaseline(setup from, bool byTurns)
{
    from.make = [byTurns](const options& settings, const owner_lookup& owners) {
        return makeBaseline(byTurns, settings, owners);
    };
    return from;
}

double servedImbalance(const simulation& done)
{
    double most = 0;
    double all = 0;
    double weights = 0;
    for (const auto& [id, target] : done.targets) {
        const auto served = static_cast<double>(target.served);
        most = std::max(most, served / target.row.weight);
        all += served;
        weights += target.row.weight;
    }
    return all > 0 ? most * weights / all : 0;
}

/// What goes wrong at a target during a run, 2 s after its start.
struct fault {
    const char* name;
    std::function<void(simulation&)> begin;
};

void stepRun(const setup& from, const char* label, double part, const fault& bad)
{
    simulation run(from);
    const instant since = run.events.now() + 2s;
    workload steady;
    steady.perSecond = part * capacity(from);
    steady.callers = { "a", "b", "c", "d" };
    steady.serviceTime = serviceTime;
    steady.until = run.events.now() + 8s;
    run.load(steady);
    run.events.at(since, [&] { bad.begin(run); });
    run.runFor(20s);
    const summary all = summarize(run, "", since);
    std::size_t errors = 0;
    for (const ending& each : run.endings)
        errors += each.status >= 500 ? 1 : 0;
    const counters sum = run.total();
    std::printf("  %-14s %-14s p50 %6.1f p99 %7.1f ms, refused %5zu of %6zu, errors %4zu, "
                "attempts/request %.3f, served max/mean %.2f, ejected %llu prevented %llu\n",
        bad.name, label, all.p50, all.p99, all.refused, all.refused + all.answered, errors,
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

void choice(const user& of)
{
    std::printf("choice %s: unkeyed, %u targets of %u slots, faults at t0\n", of.name,
        of.unkeyedTargets, of.slots);
    for (const double part : { 0.3, 0.7 }) {
        std::printf("  load %.0f%% of capacity\n", part * 100);
        for (const fault& bad : faults()) {
            stepRun(makeSetup(of, false), "policies", part, bad);
            stepRun(withBaseline(makeSetup(of, false), true), "round robin", part, bad);
            stepRun(withBaseline(makeSetup(of, false), false), "random", part, bad);
        }
    }
}

// One owner of keys refuses connections for 20 s; its requests and the retries that reach it.
void outageRun(const setup& from, const char* label, bool all)
{
    simulation run(from);
    workload steady;
    steady.perSecond = 0.2 * capacity(from);
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

void outage(const user& of)
{
    std::printf("outage %s: connections refused for 20 s\n", of.name);
    for (const bool keyed : { true, false }) {
        std::printf("  %s\n", keyed ? "keyed" : "unkeyed");
        for (const bool all : { false, true }) {
            outageRun(makeSetup(of, keyed), "policies", all);
            outageRun(withBaseline(makeSetup(of, keyed), true), "no budget", all);
        }
    }
}

// A crashing request that its caller sends again, among innocent ones, while targets are killed.
void crashRun(const user& of, bool keyed, duration killEvery, bool withCrasher)
{
    simulation run(makeSetup(of, keyed));
    workload steady;
    steady.perSecond = 0.3 * capacity(makeSetup(of, keyed));
    steady.callers = { "a", "b", "c", "d" };
    steady.serviceTime = serviceTime;
    steady.prints = 2000;
    steady.until = run.events.now() + 60s;
    run.load(steady);
    const std::uint64_t crasher = 1000000000;
    if (withCrasher)
        run.crashers.insert(fingerprint { crasher });
    for (int i = 0; withCrasher && i < 50; ++i)
        run.events.after(1s + i * 1s, [&run, steady] { run.arrive(steady, "bad", crasher); });
    std::uint64_t kills = 0;
    std::mt19937_64 random(g_seed);
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
    std::size_t innocent = 0;
    std::size_t guilty = 0;
    for (const ending& each : run.endings) {
        if (!each.refusal || each.refusal->reason != refusal_reason::Quarantined)
            continue;
        ++(each.taken.print.value() == crasher ? guilty : innocent);
    }
    std::printf("  %-8s kill every %4.1f s: killed %3llu, crashed by the request %llu; refused: "
                "the request %zu of 50, innocent %zu of %llu\n",
        keyed ? "keyed" : "unkeyed", std::chrono::duration<double>(killEvery).count(),
        static_cast<unsigned long long>(kills), static_cast<unsigned long long>(crashes - kills),
        guilty, innocent, static_cast<unsigned long long>(run.total().arrived));
}

void crashes(const user& of)
{
    std::printf("crashes %s: one request that crashes targets sent 50 times in 50 s\n", of.name);
    for (const bool keyed : { true, false })
        for (const duration every : { duration(0s), duration(5s), duration(1s) })
            crashRun(of, keyed, every, true);
    for (const bool keyed : { true, false })
        crashRun(of, keyed, 500ms, false);
}

void silentRun(const setup& from, bool repeatable, duration lateMin)
{
    setup adjusted = from;
    adjusted.settings.lateMin = std::chrono::duration_cast<std::chrono::milliseconds>(lateMin);
    simulation run(adjusted);
    workload steady;
    steady.perSecond = 0.2 * capacity(from);
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
    for (const ending& each : run.endings) {
        twice += each.runs > 1 ? 1 : 0;
        unknown += each.refusal && each.refusal->certainty == outcome::Unknown ? 1 : 0;
        if (each.at > cut)
            worst = std::max(worst,
                std::chrono::duration<double, std::milli>(each.at - each.taken.arrival).count());
    }
    std::printf("  %-12s late after %4lld ms: worst latency %7.1f ms, run twice %zu, unknown %zu "
                "of %zu, found silent %llu\n",
        repeatable ? "repeatable" : "unrepeatable",
        static_cast<long long>(adjusted.settings.lateMin.count()), worst, twice, unknown,
        run.endings.size(), static_cast<unsigned long long>(run.total().silentConnections));
}

void silent(const user& of)
{
    std::printf("silent %s: every open connection goes silent at 4 s\n", of.name);
    for (const bool repeatable : { true, false })
        for (const duration late : { duration(250ms), duration(500ms), duration(1s) })
            silentRun(makeSetup(of, false), repeatable, late);
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

// Processor time of the decisions themselves, with a request at each target all the time.
void cost(const user& of, bool keyed)
{
    const setup from = makeSetup(of, keyed);
    modulo_owners owners;
    for (const table::target_row& row : from.rows.targets)
        owners.targets[row.service].push_back(row.id);
    const auto host = router::create(from.settings, owners).value();
    instant now { 1000s };
    (void)host->applyTable(now, from.rows);
    constexpr int requests = 200000;
    std::mt19937_64 random(g_seed);
    const auto began = std::chrono::steady_clock::now();
    for (int i = 1; i <= requests; ++i) {
        now += 100us;
        request taken;
        taken.number = request_number { static_cast<std::uint64_t>(i) };
        taken.service = from.rows.services.front().id;
        taken.caller = caller_id { "c" + std::to_string(i % 10) };
        taken.deadline = now + 10s;
        taken.print = fingerprint { random() };
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

void scenario(const std::string& wanted)
{
    const bool all = wanted == "all";
    for (const user& of : { shrestha, karoo }) {
        if (all || wanted == "fair")
            for (const bool keyed : { true, false })
                fair(of, keyed);
        if (all || wanted == "cost")
            for (const bool keyed : { true, false })
                cost(of, keyed);
        if (all || wanted == "shares")
            shares(of);
        if (all || wanted == "slots")
            slots(of);
        if (all || wanted == "choice")
            choice(of);
        if (all || wanted == "outage")
            outage(of);
        if (all || wanted == "crashes")
            crashes(of);
        if (all || wanted == "silent")
            silent(of);
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    if (argc > 2)
        g_seed = std::strtoull(argv[2], nullptr, 10);
    scenario(argc > 1 ? argv[1] : "all");
}
