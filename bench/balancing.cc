#include "balancing/run.h"

#include <cstdio>

namespace {

using namespace pimentomast;
using namespace pimentomast::bench;

planner_options settingsOf(const installation& system)
{
    planner_options settings;
    settings.churnPrice = system.churnPrice;
    settings.seed = runSeed();
    return settings;
}

void report(const char* label, const totals& sum, const environment& env)
{
    const double hours = std::chrono::duration<double>(env.length).count() / 3600;
    std::printf(
        "  %-26s imbalance mean %5.2f worst %5.2f; per hour: slices moved %7.1f, keys moved "
        "%9.0f, unavailable %9.1f key-s; at most %zu slices\n",
        label, sum.imbalanceSum / sum.rounds, sum.imbalanceWorst, sum.slicesMoved / hours,
        sum.keysMoved / hours, sum.unavailableKeySeconds / hours, sum.slicesMax);
}

void compare(const installation& system, const char* what, const environment& env)
{
    std::printf("%s %s\n", what, system.name);
    const auto run = [&](const char* label, policy selected) {
        report(label, runPlacement(system, selected, settingsOf(system), env), env);
    };
    run("planner", policy::Planner);
    run("rendezvous, no moves", policy::Rendezvous);
    run("greedy, no churn price", policy::Greedy);
}

environment hotKeys() { return {}; }

// One failure domain is lost from minute 20 to minute 40 and then starts cold.
environment domainLost()
{
    environment env;
    env.length = 1h;
    env.change = [](instant start, instant now, std::vector<placement_target>& targets) {
        const bool isOut = now - start >= 20min && now - start < 40min;
        for (placement_target& each : targets) {
            if (each.domain != domain_id { "d0" })
                continue;
            if (!isOut && each.state == target_state::Lost)
                each.readySince = now;
            each.state = isOut ? target_state::Lost : target_state::Ready;
        }
    };
    return env;
}

// Each target in turn leaves for two minutes and returns cold.
environment rollingRestart()
{
    environment env;
    env.length = 2h;
    env.change = [](instant start, instant now, std::vector<placement_target>& targets) {
        const auto turn = static_cast<std::size_t>((now - start) / 4min);
        const bool isAway = (now - start) % 4min < 2min;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const bool isOut = i == turn && isAway;
            if (!isOut && targets[i].state != target_state::Ready)
                targets[i].readySince = now;
            targets[i].state = isOut ? target_state::Leaving : target_state::Ready;
        }
    };
    return env;
}

// The store is unavailable for ten minutes; a target is lost during that time.
environment storeOutage()
{
    environment env;
    env.length = 1h;
    env.storeUnavailable = [](duration since) { return since >= 20min && since < 30min; };
    env.change = [](instant start, instant now, std::vector<placement_target>& targets) {
        if (now - start >= 25min)
            targets[0].state = target_state::Lost;
    };
    return env;
}

// One target reports a tenth of its load, another one ten times its load. The planner gets the
// loads that the hosts counted; the greedy policy gets those that the targets report.
environment misleading()
{
    environment env;
    env.reported = [](const target_id& id) {
        if (id == target_id { "t0" })
            return 0.1;
        return id == target_id { "t1" } ? 10.0 : 1.0;
    };
    return env;
}

void sweep(const installation& system, const char* what, const std::vector<double>& values,
    const std::function<void(planner_options&, double)>& set)
{
    std::printf("sweep %s %s, hot keys move\n", what, system.name);
    for (const double value : values) {
        planner_options settings = settingsOf(system);
        set(settings, value);
        char label[48];
        std::snprintf(label, sizeof label, "%s %g", what, value);
        report(label, runPlacement(system, policy::Planner, settings, hotKeys()), hotKeys());
    }
}

void sweeps(const installation& system)
{
    sweep(system, "price", { 0, 0.05, 0.1, 0.25, 0.5, 1, 2, 4 },
        [](planner_options& options, double value) { options.churnPrice = value; });
    sweep(system, "tolerance", { 0.05, 0.15, 0.3, 0.5 },
        [](planner_options& options, double value) { options.tolerance = value; });
    sweep(system, "hot share", { 0.03, 0.05, 0.1, 0.25 },
        [](planner_options& options, double value) { options.hotShare = value; });
    sweep(system, "moves per round", { 1, 2, 8 }, [](planner_options& options, double value) {
        options.movesPerRound = static_cast<unsigned>(value);
    });
    sweep(system, "slices per target", { 2, 8, 32 }, [](planner_options& options, double value) {
        options.slicesPerTarget = static_cast<unsigned>(value);
    });
}

scenario comparison(const char* name, const char* what, environment (*env)())
{
    return { name, [=](const installation& system) { compare(system, what, env()); } };
}

} // namespace

/// Compares the planner's placement of slices with rendezvous hashing and greedy moves, in
/// simulated time. Usage: bench-balancing SCENARIO [seed]; without arguments, every scenario.
int main(int count, char** arguments)
{
    return runScenarios(count, arguments,
        { comparison("hot-keys", "hot keys that move every 10 minutes,", hotKeys),
            comparison("domain-lost", "failure domain lost for 20 minutes,", domainLost),
            comparison("rolling-restart", "rolling restart of targets,", rollingRestart),
            comparison("store-outage", "store unavailable for 10 minutes, a target lost meanwhile,",
                storeOutage),
            comparison("misleading", "misleading load reports,", misleading),
            { "sweeps", sweeps } });
}
