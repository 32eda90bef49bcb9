#include "planning.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pimentomast::balancing {

planning_round::planning_round(const planner_options& settings, const plan_input& input)
    : m_settings(settings)
    , m_input(input)
    , m_slices(input.slices)
{
    for (const placement_target& target : input.targets)
        m_targetLoads[target.id] = target_load { target, effectiveWeight(target), 0 };
    for (const placed_slice& each : m_slices) {
        m_totalLoad += each.load;
        if (each.owner && m_targetLoads.contains(*each.owner))
            m_targetLoads.at(*each.owner).load += each.load;
    }
    for (const auto& [id, each] : m_targetLoads)
        m_totalWeight += each.weight;
}

double planning_round::effectiveWeight(const placement_target& target) const
{
    if (target.state != target_state::Ready)
        return 0;
    if (m_settings.slowStart.count() == 0)
        return target.weight;
    const double passed = std::chrono::duration<double>(m_input.now - target.readySince)
        / std::chrono::duration<double>(m_settings.slowStart);
    return target.weight * std::clamp(passed, m_settings.slowStartMinShare, 1.0);
}

double planning_round::evenShare(const target_load& of) const
{
    return m_totalWeight > 0 ? m_totalLoad * of.weight / m_totalWeight : 0;
}

double planning_round::meanLoad() const
{
    std::size_t ready = 0;
    for (const auto& [id, each] : m_targetLoads)
        if (each.weight > 0)
            ++ready;
    return ready > 0 ? m_totalLoad / static_cast<double>(ready) : 0;
}

double planning_round::excess(const target_load& of, double extra) const
{
    return std::max(0.0, of.load + extra - evenShare(of) * (1 + m_settings.tolerance));
}

bool planning_round::domainAllows(const target_load& to, double extra) const
{
    double load = extra;
    double share = 0;
    for (const auto& [id, each] : m_targetLoads) {
        if (each.target.domain != to.target.domain)
            continue;
        load += each.load;
        share += evenShare(each);
    }
    return load <= share * (1 + m_settings.domainTolerance);
}

// Breaks ties between equally loaded targets by rendezvous hashing (D. Thaler, C. Ravishankar,
// 1998), which spreads slices over them.
std::uint64_t planning_round::rank(const target_id& id, const slice& keys) const
{
    const std::string text = id.value() + "/" + std::to_string(keys.first.value()) + "/"
        + std::to_string(m_settings.seed);
    return hashKey(text).value();
}

std::optional<target_id> planning_round::leastLoaded(const placed_slice& moving) const
{
    std::optional<target_id> best;
    bool bestAllowed = false;
    double bestLoad = 0;
    for (const auto& [id, each] : m_targetLoads) {
        if (each.weight <= 0 || moving.owner == id)
            continue;
        const bool allowed = domainAllows(each, moving.load);
        const double load = (each.load + moving.load) / each.weight;
        const bool isBetter = !best || (allowed && !bestAllowed)
            || (allowed == bestAllowed
                && (load < bestLoad
                    || (load == bestLoad && rank(id, moving.keys) > rank(*best, moving.keys))));
        if (!isBetter)
            continue;
        best = id;
        bestAllowed = allowed;
        bestLoad = load;
    }
    return best;
}

void planning_round::propose(const proposal& change)
{
    apply(m_input.now, m_slices, change).value();
    m_proposals.push_back(change);
}

void planning_round::move(std::size_t index, const target_id& to, bool planned)
{
    const placed_slice moving = m_slices[index];
    if (moving.owner && m_targetLoads.contains(*moving.owner))
        m_targetLoads.at(*moving.owner).load -= moving.load;
    m_targetLoads.at(to).load += moving.load;
    propose(move_slice { moving.keys, moving.owner, to, planned });
}

void planning_round::placeUnowned()
{
    for (std::size_t i = 0; i < m_slices.size(); ++i) {
        const auto& owner = m_slices[i].owner;
        const bool isLost = !owner || !m_targetLoads.contains(*owner)
            || m_targetLoads.at(*owner).target.state == target_state::Lost;
        if (!isLost)
            continue;
        if (const auto to = leastLoaded(m_slices[i]))
            move(i, *to, false);
    }
}

void planning_round::drainLeaving()
{
    unsigned left = m_settings.drainMovesPerRound;
    for (std::size_t i = 0; i < m_slices.size() && left > 0; ++i) {
        const auto& owner = m_slices[i].owner;
        if (!owner || !m_targetLoads.contains(*owner)
            || m_targetLoads.at(*owner).target.state != target_state::Leaving)
            continue;
        const auto to = leastLoaded(m_slices[i]);
        if (!to)
            return;
        move(i, *to, true);
        --left;
    }
}

} // namespace pimentomast::balancing
