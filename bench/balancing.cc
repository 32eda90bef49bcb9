/// Measures placement of slices against rendezvous hashing and greedy moves, in simulated time.
/// Usage: bench-balancing SCENARIO [seed]; without arguments, every scenario.

#include "pimentomast/balancing.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace {

using namespace pimentomast;
using namespace pimentomast::balancing;
using namespace std::chrono_literals;

constexpr duration round = 10s;
constexpr double plannedMoveS = 0.02;
constexpr double lostOwnerS = 2;
constexpr std::size_t keyCount = 6000;
constexpr double requestsPerSecond = 2400;
constexpr double zipfExponent = 0.8;
constexpr unsigned hosts = 12;
constexpr std::size_t sketchSize = 64;

std::uint64_t runSeed = 1;

struct user {
    const char* name;
    unsigned targets;
    unsigned domains;
    double churnPrice;
};
constexpr user shrestha { "shrestha", 24, 3, 0.25 };
constexpr user karoo { "karoo", 22, 4, 0.25 };

struct key_load {
    key_hash hash;
    double rate = 0;
};

/// Keys with Zipf popularity, of which the hottest ones change places over time.
class keyspace {
public:
    explicit keyspace(std::uint64_t seed)
        : m_random(seed)
    {
        double sum = 0;
        for (std::size_t i = 0; i < keyCount; ++i) {
            const double weight = 1 / std::pow(static_cast<double>(i + 1), zipfExponent);
            m_keys.push_back({ key_hash { m_random() }, weight });
            sum += weight;
        }
        for (key_load& each : m_keys)
            each.rate *= requestsPerSecond / sum;
    }

    /// The hottest keys become cold and others take their rates.
    void moveHotKeys(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            std::swap(m_keys[i].hash, m_keys[count + m_random() % (keyCount - count)].hash);
    }
    [[nodiscard]] const std::vector<key_load>& keys() const { return m_keys; }

private:
    std::mt19937_64 m_random;
    std::vector<key_load> m_keys;
};

struct totals {
    double imbalanceSum = 0;
    double imbalanceWorst = 0;
    unsigned rounds = 0;
    double slicesMoved = 0;
    double keysMoved = 0;
    double unavailableKeySeconds = 0;
    std::size_t slicesMost = 0;
};

struct conditions {
    duration length = 2h;
    duration hotKeysMoveEvery = 10min;
    /// Changes the targets at the start of a round.
    std::function<void(instant start, instant now, std::vector<placement_target>&)> change;
    /// While true no change can be committed.
    std::function<bool(duration sinceStart)> storeOut;
    /// Part of its real load that a target reports.
    std::function<double(const target_id&)> reported;
};

enum class policy {
    Planner,
    Rendezvous,
    Greedy,
};

target_id rendezvousOwner(key_hash key, const std::vector<placement_target>& targets)
{
    target_id best;
    double bestScore = -1;
    for (const placement_target& each : targets) {
        if (each.state == target_state::Lost || each.state == target_state::Leaving)
            continue;
        const std::string text = each.id.value() + "/" + std::to_string(key.value());
        const double unit
            = (static_cast<double>(hashKey(text).value()) + 1) / 18446744073709551616.0;
        const double score = -each.weight / std::log(unit);
        if (score <= bestScore)
            continue;
        best = each.id;
        bestScore = score;
    }
    return best;
}

/// Moves the hottest slice that fits from the most to the least loaded target, as long as it helps.
std::vector<proposal> greedyMoves(
    const std::vector<placed_slice>& slices, const std::vector<placement_target>& targets)
{
    std::vector<proposal> moves;
    std::vector<placed_slice> work = slices;
    for (int i = 0; i < 50; ++i) {
        std::map<target_id, double> loads;
        for (const placement_target& each : targets)
            if (each.state == target_state::Ready)
                loads[each.id] = 0;
        const placed_slice* orphan = nullptr;
        for (const placed_slice& each : work) {
            if (each.owner && loads.contains(*each.owner))
                loads[*each.owner] += each.load;
            else
                orphan = &each;
        }
        const auto byLoad = [](const auto& a, const auto& b) { return a.second < b.second; };
        const auto least = std::min_element(loads.begin(), loads.end(), byLoad);
        const auto most = std::max_element(loads.begin(), loads.end(), byLoad);
        const placed_slice* best = orphan;
        for (const placed_slice& each : work)
            if (orphan == nullptr && each.owner == most->first
                && each.load < most->second - least->second
                && (best == nullptr || each.load > best->load))
                best = &each;
        if (best == nullptr || (orphan == nullptr && best->load <= 0))
            break;
        const move_slice change { best->keys, best->owner, least->first, true };
        moves.emplace_back(change);
        apply({}, work, change).value();
    }
    return moves;
}

double imbalanceOf(
    const std::map<target_id, double>& loads, const std::vector<placement_target>& of)
{
    double worst = 0;
    double total = 0;
    double weights = 0;
    for (const placement_target& each : of) {
        if (each.state != target_state::Ready)
            continue;
        const auto found = loads.find(each.id);
        const double load = found == loads.end() ? 0 : found->second;
        worst = std::max(worst, load / each.weight);
        total += load;
        weights += each.weight;
    }
    return total > 0 ? worst * weights / total : 0;
}

class placement_run {
public:
    placement_run(
        const user& of, policy chosen, const planner_options& settings, const conditions& under)
        : m_policy(chosen)
        , m_settings(settings)
        , m_under(under)
        , m_keys(runSeed)
        , m_random(runSeed + 1)
    {
        for (unsigned i = 0; i < of.targets; ++i) {
            placement_target target;
            target.id = target_id { "t" + std::to_string(i) };
            target.domain = domain_id { "d" + std::to_string(i % of.domains) };
            m_targets.push_back(target);
        }
        for (unsigned i = 0; i < hosts; ++i)
            m_sketches.push_back(sketch::create(sketchSize, 20s).value());
        m_slices = planner::create(settings).value().initial(instant {}, m_targets);
    }

    totals run()
    {
        const instant start { 1000s };
        instant lastHot = start;
        for (instant now = start; now < start + m_under.length; now += round) {
            if (now - lastHot >= m_under.hotKeysMoveEvery) {
                m_keys.moveHotKeys(20);
                lastHot = now;
            }
            if (m_under.change)
                m_under.change(start, now, m_targets);
            const bool storeOut = m_under.storeOut && m_under.storeOut(now - start);
            sampleKeys(now);
            measureLoads();
            if (m_policy == policy::Rendezvous)
                stepRendezvous();
            else if (!storeOut)
                stepSlices(now);
            measureLoads();
            countRound(storeOut);
        }
        return m_totals;
    }

private:
    [[nodiscard]] placed_slice& sliceOf(key_hash key)
    {
        const auto next = std::upper_bound(m_slices.begin(), m_slices.end(), key,
            [](key_hash k, const placed_slice& each) { return k < each.keys.first; });
        return *(next - 1);
    }

    // Each host sees its own sample of the requests of this round.
    void sampleKeys(instant now)
    {
        std::vector<double> rates;
        for (const key_load& each : m_keys.keys())
            rates.push_back(each.rate);
        std::discrete_distribution<std::size_t> draw(rates.begin(), rates.end());
        const auto count = static_cast<int>(
            requestsPerSecond * std::chrono::duration<double>(round).count() / 4);
        for (int i = 0; i < count; ++i)
            m_sketches[m_random() % hosts].add(now, m_keys.keys()[draw(m_random)].hash);
    }

    void measureLoads()
    {
        m_loads.clear();
        for (placed_slice& each : m_slices)
            each.load = 0;
        for (const key_load& each : m_keys.keys()) {
            if (m_policy == policy::Rendezvous) {
                const auto owner = m_owners.find(each.hash);
                if (owner != m_owners.end())
                    m_loads[owner->second] += each.rate;
                continue;
            }
            placed_slice& home = sliceOf(each.hash);
            home.load += each.rate;
            if (home.owner)
                m_loads[*home.owner] += each.rate;
        }
    }

    void stepRendezvous()
    {
        std::string state;
        for (const placement_target& each : m_targets)
            state += std::to_string(static_cast<int>(each.state));
        const bool isSame = state == m_lastState;
        m_lastState = state;
        for (const key_load& each : m_keys.keys()) {
            const auto found = m_owners.find(each.hash);
            if (found != m_owners.end() && isSame)
                continue;
            const target_id owner = rendezvousOwner(each.hash, m_targets);
            if (found == m_owners.end()) {
                m_owners[each.hash] = owner;
            } else if (found->second != owner) {
                const bool wasLost = stateOf(found->second) == target_state::Lost;
                m_totals.keysMoved += 1;
                m_totals.unavailableKeySeconds += wasLost ? lostOwnerS : plannedMoveS;
                found->second = owner;
            }
        }
    }

    target_state stateOf(const target_id& id)
    {
        for (const placement_target& each : m_targets)
            if (each.id == id)
                return each.state;
        return target_state::Lost;
    }

    void stepSlices(instant now)
    {
        plan_input input;
        input.now = now;
        input.slices = m_slices;
        input.targets = m_targets;
        if (m_under.reported && m_policy == policy::Greedy)
            for (placed_slice& each : input.slices)
                each.load *= each.owner ? m_under.reported(*each.owner) : 1;
        std::vector<std::vector<hot_key>> lists;
        for (const sketch& each : m_sketches)
            lists.push_back(each.top(now, 20));
        input.hotKeys = merge(lists, 20);
        for (hot_key& each : input.hotKeys) {
            each.rate *= 4;
            each.error *= 4;
        }
        const auto changes = m_policy == policy::Greedy
            ? greedyMoves(input.slices, m_targets)
            : planner::create(m_settings).value().plan(input);
        for (const proposal& change : changes)
            commit(now, change);
    }

    void commit(instant now, const proposal& change)
    {
        if (const auto* moved = std::get_if<move_slice>(&change)) {
            const double keys = keysIn(moved->keys);
            const bool wasLost = !moved->from || stateOf(*moved->from) == target_state::Lost;
            m_totals.slicesMoved += 1;
            m_totals.keysMoved += keys;
            m_totals.unavailableKeySeconds += keys * (wasLost ? lostOwnerS : plannedMoveS);
        }
        apply(now, m_slices, change).value();
    }

    [[nodiscard]] double keysIn(const slice& range) const
    {
        double count = 0;
        for (const key_load& each : m_keys.keys())
            count += range.contains(each.hash) ? 1 : 0;
        return count;
    }

    // Keys of a lost owner that cannot be replaced stay unavailable for the whole round.
    void countRound(bool storeOut)
    {
        const double worst = imbalanceOf(m_loads, m_targets);
        m_totals.imbalanceSum += worst;
        m_totals.imbalanceWorst = std::max(m_totals.imbalanceWorst, worst);
        ++m_totals.rounds;
        m_totals.slicesMost = std::max(m_totals.slicesMost, m_slices.size());
        if (!storeOut || m_policy == policy::Rendezvous)
            return;
        for (const placed_slice& each : m_slices)
            if (each.owner && stateOf(*each.owner) == target_state::Lost)
                m_totals.unavailableKeySeconds
                    += keysIn(each.keys) * std::chrono::duration<double>(round).count();
    }

    policy m_policy;
    planner_options m_settings;
    conditions m_under;
    keyspace m_keys;
    std::mt19937_64 m_random;
    std::vector<placement_target> m_targets;
    std::vector<placed_slice> m_slices;
    std::vector<sketch> m_sketches;
    std::map<target_id, double> m_loads;
    std::map<key_hash, target_id> m_owners;
    std::string m_lastState;
    totals m_totals;
};

planner_options settingsOf(const user& of)
{
    planner_options settings;
    settings.churnPrice = of.churnPrice;
    settings.seed = runSeed;
    return settings;
}

void report(const char* label, const totals& sum, const conditions& under)
{
    const double hours = std::chrono::duration<double>(under.length).count() / 3600;
    std::printf(
        "  %-26s imbalance mean %5.2f worst %5.2f; per hour: slices moved %7.1f, keys moved "
        "%9.0f, unavailable %9.1f key-s; slices at most %zu\n",
        label, sum.imbalanceSum / sum.rounds, sum.imbalanceWorst, sum.slicesMoved / hours,
        sum.keysMoved / hours, sum.unavailableKeySeconds / hours, sum.slicesMost);
}

void compare(const user& of, const char* what, const conditions& under)
{
    std::printf("%s %s\n", what, of.name);
    const auto run = [&](const char* label, policy chosen) {
        report(label, placement_run(of, chosen, settingsOf(of), under).run(), under);
    };
    run("planner", policy::Planner);
    run("rendezvous, no moves", policy::Rendezvous);
    run("greedy, no price", policy::Greedy);
}

conditions hotKeys() { return {}; }

// One failure domain is gone from 20 to 40 minutes and then starts cold.
conditions domainLost()
{
    conditions under;
    under.length = 1h;
    under.change = [](instant start, instant now, std::vector<placement_target>& targets) {
        const bool isOut = now - start >= 20min && now - start < 40min;
        for (placement_target& each : targets) {
            if (each.domain != domain_id { "d0" })
                continue;
            if (!isOut && each.state == target_state::Lost)
                each.readySince = now;
            each.state = isOut ? target_state::Lost : target_state::Ready;
        }
    };
    return under;
}

// Each target in turn leaves for two minutes and comes back cold.
conditions rollingRestart()
{
    conditions under;
    under.length = 2h;
    under.change = [](instant start, instant now, std::vector<placement_target>& targets) {
        const auto turn = static_cast<std::size_t>((now - start) / 4min);
        const bool isAway = (now - start) % 4min < 2min;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const bool isOut = i == turn && isAway;
            if (!isOut && targets[i].state != target_state::Ready)
                targets[i].readySince = now;
            targets[i].state = isOut ? target_state::Leaving : target_state::Ready;
        }
    };
    return under;
}

// The store is out for ten minutes, in which a target is lost.
conditions storeOutage()
{
    conditions under;
    under.length = 1h;
    under.storeOut = [](duration since) { return since >= 20min && since < 30min; };
    under.change = [](instant start, instant now, std::vector<placement_target>& targets) {
        if (now - start >= 25min)
            targets[0].state = target_state::Lost;
    };
    return under;
}

// One target reports a tenth of its load, another one ten times as much. The planner is given what
// the entry hosts counted; greedy believes the targets.
conditions misleading()
{
    conditions under;
    under.reported = [](const target_id& id) {
        if (id == target_id { "t0" })
            return 0.1;
        return id == target_id { "t1" } ? 10.0 : 1.0;
    };
    return under;
}

void sweep(const user& of, const char* what, const std::vector<double>& values,
    const std::function<void(planner_options&, double)>& set)
{
    std::printf("sweep %s %s, hot keys move\n", what, of.name);
    for (const double value : values) {
        planner_options settings = settingsOf(of);
        set(settings, value);
        char label[48];
        std::snprintf(label, sizeof label, "%s %g", what, value);
        report(label, placement_run(of, policy::Planner, settings, hotKeys()).run(), hotKeys());
    }
}

void sweeps(const user& of)
{
    sweep(of, "price", { 0, 0.05, 0.1, 0.25, 0.5, 1, 2, 4 },
        [](planner_options& to, double value) { to.churnPrice = value; });
    sweep(of, "tolerance", { 0.05, 0.15, 0.3, 0.5 },
        [](planner_options& to, double value) { to.tolerance = value; });
    sweep(of, "hot share", { 0.03, 0.05, 0.1, 0.25 },
        [](planner_options& to, double value) { to.hotShare = value; });
    sweep(of, "moves per round", { 1, 2, 8 },
        [](planner_options& to, double value) { to.movesPerRound = static_cast<unsigned>(value); });
    sweep(of, "slices per target", { 2, 8, 32 }, [](planner_options& to, double value) {
        to.slicesPerTarget = static_cast<unsigned>(value);
    });
}

void scenario(const std::string& wanted)
{
    const bool all = wanted == "all";
    for (const user& of : { shrestha, karoo }) {
        if (all || wanted == "hot-keys")
            compare(of, "hot keys that move every 10 minutes,", hotKeys());
        if (all || wanted == "domain-lost")
            compare(of, "failure domain lost for 20 minutes,", domainLost());
        if (all || wanted == "rolling-restart")
            compare(of, "rolling restart of targets,", rollingRestart());
        if (all || wanted == "store-outage")
            compare(of, "store out for 10 minutes, a target lost meanwhile,", storeOutage());
        if (all || wanted == "misleading")
            compare(of, "misleading load reports,", misleading());
        if (all || wanted == "sweeps")
            sweeps(of);
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    if (argc > 2)
        runSeed = std::strtoull(argv[2], nullptr, 10);
    scenario(argc > 1 ? argv[1] : "all");
}
