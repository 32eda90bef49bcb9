#include "planning.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace pimentomast::balancing {
namespace {

/// Allows for rounding where a lower bound of a target's load is compared with the load of another.
constexpr double boundSlack = 1 - 1e-9;
/// Number of standard deviations that a load may exceed its share by.
constexpr double chanceDeviations = 1.5;
/// Steps of the approximation of an even share beside hot keys.
constexpr unsigned shareSteps = 8;

} // namespace

planning_round::planning_round(const planner_options& settings, const plan_input& input)
    : m_settings(settings)
    , m_input(input)
    , m_slices(input.slices)
{
    addTargets();
    limitSingleKeys();
    addSlices();
}

void planning_round::addTargets()
{
    std::map<domain_id, std::size_t> domains;
    for (const placement_target& target : m_input.targets) {
        const auto domain = domains.try_emplace(target.domain, domains.size()).first->second;
        m_domains.resize(domains.size());
        const double weight = effectiveWeight(target);
        m_domains[domain].weight += weight;
        m_totalWeight += weight;
        m_highestWeight = std::max(m_highestWeight, weight);
        m_indexes[target.id] = m_targets.size();
        m_targets.push_back({ target, weight, 0, domain, hashKey(target.id.value()).value() });
    }
}

void planning_round::limitSingleKeys()
{
    if (m_totalWeight <= 0)
        return;
    // Each share is that of the strongest target if single keys count as the one before it.
    double share = std::numeric_limits<double>::infinity();
    for (unsigned i = 0; i < shareSteps; ++i) {
        double total = 0;
        for (const placed_slice& each : m_slices)
            total += isSingleKey(each) ? std::min(each.load, share) : each.load;
        share = total * m_highestWeight / m_totalWeight;
    }
    for (placed_slice& each : m_slices) {
        if (isSingleKey(each))
            each.load = std::min(each.load, highestLoad(share));
    }
}

void planning_round::addSlices()
{
    m_owners.reserve(m_slices.size());
    for (const placed_slice& each : m_slices) {
        const auto owner = indexOf(each.owner);
        m_owners.push_back(owner);
        m_totalLoad += each.load;
        if (!owner)
            continue;
        m_targets[*owner].load += each.load;
        m_domains[m_targets[*owner].domain].load += each.load;
    }
    for (target_index i = 0; i < m_targets.size(); ++i) {
        if (m_targets[i].weight > 0)
            m_byLoad.emplace(m_targets[i].load / m_targets[i].weight, i);
    }
    if (!m_byLoad.empty())
        m_meanLoad = m_totalLoad / static_cast<double>(m_byLoad.size());
}

std::optional<planning_round::target_index> planning_round::indexOf(
    const std::optional<target_id>& id) const
{
    const auto found = id ? m_indexes.find(*id) : m_indexes.end();
    return found == m_indexes.end() ? std::nullopt : std::optional(found->second);
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

double planning_round::evenShare(double weight) const
{
    return m_totalWeight > 0 ? m_totalLoad * weight / m_totalWeight : 0;
}

double planning_round::deviation(double load) const
{
    const std::chrono::duration<double> window(m_settings.loadWindow);
    return window.count() > 0 ? std::sqrt(load / window.count()) : 0;
}

double planning_round::excess(const target_load& of, double extra) const
{
    return std::max(0.0, of.load + extra - highestLoad(evenShare(of.weight)));
}

double planning_round::plainExcess(const target_load& of, double extra) const
{
    return std::max(0.0, of.load + extra - evenShare(of.weight) * (1 + m_settings.tolerance));
}

bool planning_round::isIdle(const target_load& one) const
{
    return one.load < lowestLoad(evenShare(one.weight));
}

bool planning_round::hasIdleTarget() const
{
    return !m_byLoad.empty() && isIdle(m_targets[m_byLoad.begin()->second]);
}

double planning_round::lowestLoad(double share) const
{
    return share * (1 - m_settings.tolerance) - chanceDeviations * deviation(share);
}

double planning_round::highestLoad(double share) const
{
    return share * (1 + m_settings.tolerance) + chanceDeviations * deviation(share);
}

bool planning_round::domainAllows(const target_load& to, double extra) const
{
    const domain_load& domain = m_domains[to.domain];
    return domain.load + extra <= evenShare(domain.weight) * (1 + m_settings.domainTolerance);
}

// Breaks ties between equally loaded targets by rendezvous hashing (D. Thaler, C. Ravishankar,
// 1998), which spreads slices over them.
std::uint64_t planning_round::rank(target_index target, const slice& keys) const
{
    const std::array<std::uint64_t, 3> words { m_targets[target].hash, keys.first.value(),
        m_settings.seed };
    return hashKey({ reinterpret_cast<const char*>(words.data()), sizeof(words) }).value();
}

std::optional<planning_round::target_index> planning_round::leastLoaded(std::size_t moving) const
{
    const placed_slice& part = m_slices[moving];
    std::optional<target_index> best;
    bool bestAllowed = false;
    double bestLoad = 0;
    for (const auto& [loadPerWeight, index] : m_byLoad) {
        const double lowest = (loadPerWeight + part.load / m_highestWeight) * boundSlack;
        if (bestAllowed && lowest > bestLoad)
            break;
        if (m_owners[moving] == index)
            continue;
        const target_load& each = m_targets[index];
        const bool allowed = domainAllows(each, part.load);
        const double load = (each.load + part.load) / each.weight;
        const bool isBetter = !best || (allowed && !bestAllowed)
            || (allowed == bestAllowed
                && (load < bestLoad
                    || (load == bestLoad && rank(index, part.keys) > rank(*best, part.keys))));
        if (!isBetter)
            continue;
        best = index;
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

void planning_round::split(std::size_t index, key_hash at)
{
    propose(split_slice { m_slices[index].keys, at });
    m_owners.insert(m_owners.begin() + static_cast<std::ptrdiff_t>(index), m_owners[index]);
}

void planning_round::addLoad(target_index target, double load)
{
    target_load& changed = m_targets[target];
    if (changed.weight > 0)
        m_byLoad.erase({ changed.load / changed.weight, target });
    changed.load += load;
    m_domains[changed.domain].load += load;
    if (changed.weight > 0)
        m_byLoad.emplace(changed.load / changed.weight, target);
}

void planning_round::move(std::size_t index, target_index to, bool planned)
{
    const placed_slice moving = m_slices[index];
    if (m_owners[index])
        addLoad(*m_owners[index], -moving.load);
    addLoad(to, moving.load);
    m_owners[index] = to;
    propose(move_slice { moving.keys, moving.owner, m_targets[to].target.id, planned });
}

void planning_round::placeUnowned()
{
    for (std::size_t i = 0; i < m_slices.size(); ++i) {
        const auto owner = m_owners[i];
        if (owner && m_targets[*owner].target.state != target_state::Lost)
            continue;
        if (const auto to = leastLoaded(i))
            move(i, *to, false);
    }
}

void planning_round::drainLeaving()
{
    unsigned left = m_settings.drainMovesPerRound;
    for (std::size_t i = 0; i < m_slices.size() && left > 0; ++i) {
        const auto owner = m_owners[i];
        if (!owner || m_targets[*owner].target.state != target_state::Leaving)
            continue;
        const auto to = leastLoaded(i);
        if (!to)
            return;
        move(i, *to, true);
        --left;
    }
}

} // namespace pimentomast::balancing
