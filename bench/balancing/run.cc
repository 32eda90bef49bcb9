#include "run.h"

#include <algorithm>

namespace pimentomast::bench {

namespace {

constexpr duration round = 10s;
constexpr double plannedMoveOutageS = 0.02;
constexpr double lostOwnerOutageS = 2;
constexpr unsigned hosts = 12;
constexpr std::size_t sketchCapacity = 64;

class placement_run {
public:
    placement_run(const installation& system, policy selected, const planner_options& settings,
        const environment& env)
        : m_policy(selected)
        , m_settings(settings)
        , m_env(env)
        , m_keys(runSeed())
        , m_random(runSeed() + 1)
    {
        for (unsigned i = 0; i < system.keyedTargets; ++i) {
            placement_target target;
            target.id = target_id { "t" + std::to_string(i) };
            target.domain = domain_id { "d" + std::to_string(i % system.domains) };
            m_targets.push_back(target);
        }
        for (unsigned i = 0; i < hosts; ++i)
            m_sketches.push_back(sketch::create(sketchCapacity, 20s).value());
        m_slices = planner::create(settings).value().initial(instant {}, m_targets);
    }

    totals run()
    {
        const instant start { 1000s };
        instant lastHotKeyMove = start;
        for (instant now = start; now < start + m_env.length; now += round) {
            if (now - lastHotKeyMove >= m_env.hotKeysMoveEvery) {
                m_keys.moveHotKeys(20);
                lastHotKeyMove = now;
            }
            if (m_env.change)
                m_env.change(start, now, m_targets);
            const bool storeUnavailable
                = m_env.storeUnavailable && m_env.storeUnavailable(now - start);
            sampleKeys(now);
            measureLoads();
            if (m_policy == policy::Rendezvous)
                stepRendezvous();
            else if (!storeUnavailable)
                stepSlices(now);
            measureLoads();
            countRound(storeUnavailable);
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

    // Samples a quarter of this round's requests and adds each to the sketch of a random host, so
    // that every host sees its own sample.
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
            placed_slice& containing = sliceOf(each.hash);
            containing.load += each.rate;
            if (containing.owner)
                m_loads[*containing.owner] += each.rate;
        }
    }

    void stepRendezvous()
    {
        std::string state;
        for (const placement_target& each : m_targets)
            state += std::to_string(static_cast<int>(each.state));
        const bool isUnchanged = state == m_lastState;
        m_lastState = state;
        for (const key_load& each : m_keys.keys()) {
            const auto found = m_owners.find(each.hash);
            if (found != m_owners.end() && isUnchanged)
                continue;
            const target_id owner = rendezvousOwner(each.hash, m_targets);
            if (found == m_owners.end()) {
                m_owners[each.hash] = owner;
            } else if (found->second != owner) {
                const bool wasLost = stateOf(found->second) == target_state::Lost;
                m_totals.keysMoved += 1;
                m_totals.unavailableKeySeconds += wasLost ? lostOwnerOutageS : plannedMoveOutageS;
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
        if (m_env.reported && m_policy == policy::Greedy)
            for (placed_slice& each : input.slices)
                each.load *= each.owner ? m_env.reported(*each.owner) : 1;
        std::vector<std::vector<hot_key>> lists;
        for (const sketch& each : m_sketches)
            lists.push_back(each.top(now, 20));
        input.hotKeys = mergeHotKeys(lists, 20);
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
            const double keys = countKeys(moved->keys);
            const bool wasLost = !moved->from || stateOf(*moved->from) == target_state::Lost;
            m_totals.slicesMoved += 1;
            m_totals.keysMoved += keys;
            m_totals.unavailableKeySeconds
                += keys * (wasLost ? lostOwnerOutageS : plannedMoveOutageS);
        }
        apply(now, m_slices, change).value();
    }

    [[nodiscard]] double countKeys(const slice& range) const
    {
        double count = 0;
        for (const key_load& each : m_keys.keys())
            count += range.contains(each.hash) ? 1 : 0;
        return count;
    }

    // While the store is unavailable, the keys of a lost owner stay unavailable for the whole
    // round.
    void countRound(bool storeUnavailable)
    {
        const double worst = imbalanceOf(m_loads, m_targets);
        m_totals.imbalanceSum += worst;
        m_totals.imbalanceWorst = std::max(m_totals.imbalanceWorst, worst);
        ++m_totals.rounds;
        m_totals.slicesMax = std::max(m_totals.slicesMax, m_slices.size());
        if (!storeUnavailable || m_policy == policy::Rendezvous)
            return;
        for (const placed_slice& each : m_slices)
            if (each.owner && stateOf(*each.owner) == target_state::Lost)
                m_totals.unavailableKeySeconds
                    += countKeys(each.keys) * std::chrono::duration<double>(round).count();
    }

    policy m_policy;
    planner_options m_settings;
    environment m_env;
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

} // namespace

totals runPlacement(const installation& system, policy selected, const planner_options& settings,
    const environment& env)
{
    return placement_run(system, selected, settings, env).run();
}

} // namespace pimentomast::bench
