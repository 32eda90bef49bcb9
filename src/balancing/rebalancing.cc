#include "planning.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace pimentomast::balancing {

bool planning_round::isSingleKey(const placed_slice& one) const
{
    return one.keys.last.value() - one.keys.first.value() < m_settings.keyWidth;
}

bool planning_round::isReady(const std::optional<target_index>& target) const
{
    return target && m_targets[*target].weight > 0;
}

bool planning_round::isOverloaded(const std::optional<target_index>& target) const
{
    return isReady(target) && excess(m_targets[*target], 0) > 0;
}

void planning_round::splitHotKeys()
{
    const double hot = m_settings.hotShare * m_meanLoad;
    for (const hot_key& key : m_input.hotKeys)
        if (key.rate - key.error > hot && m_slices.size() + 2 <= m_settings.slicesMax)
            isolate(key);
}

void planning_round::isolate(const hot_key& key)
{
    const auto found = std::find_if(m_slices.begin(), m_slices.end(),
        [&](const placed_slice& each) { return each.keys.contains(key.hash); });
    if (found == m_slices.end() || isSingleKey(*found))
        return;
    auto index = static_cast<std::size_t>(found - m_slices.begin());
    if (!isOverloaded(m_owners[index]))
        return;
    const placed_slice whole = *found;
    if (key.hash > whole.keys.first) {
        split(index, key.hash);
        ++index;
    }
    const std::uint64_t keyLast = key.hash.value() + (m_settings.keyWidth - 1);
    if (keyLast < whole.keys.last.value())
        split(index, key_hash { keyLast + 1 });
    const double rate = std::min(key.rate, whole.load);
    for (placed_slice& part : m_slices) {
        if (part.keys.first < whole.keys.first || part.keys.last > whole.keys.last)
            continue;
        const bool isKey = part.keys.contains(key.hash);
        part.load = isKey ? rate : part.load * (whole.load - rate) / std::max(whole.load, 1e-9);
    }
}

void planning_round::splitBusySlices()
{
    const double most = 2 * m_meanLoad / m_settings.slicesPerTarget;
    for (std::size_t i = 0; i < m_slices.size();) {
        const placed_slice& each = m_slices[i];
        const bool isBusy = each.load > most && !isSingleKey(each);
        if (!isBusy || m_slices.size() >= m_settings.slicesMax || !isOverloaded(m_owners[i])) {
            ++i;
            continue;
        }
        const auto half = (each.keys.last.value() - each.keys.first.value()) / 2 + 1;
        const auto lower = std::max(half - half % m_settings.keyWidth, m_settings.keyWidth);
        split(i, key_hash { each.keys.first.value() + lower });
    }
}

double planning_round::price(const placed_slice& moving) const
{
    const double partOfKeys = std::ldexp(
        static_cast<double>(moving.keys.last.value() - moving.keys.first.value()) + 1, -64);
    return m_settings.churnPrice * partOfKeys * m_totalLoad;
}

std::optional<planning_round::candidate> planning_round::bestMoveOf(std::size_t slice) const
{
    const placed_slice& moving = m_slices[slice];
    const auto& owner = m_owners[slice];
    const bool mayMove = moving.load > 0 && moving.movedAt + m_settings.minimumStay <= m_input.now;
    if (!mayMove || !isReady(owner))
        return std::nullopt;
    const target_load& from = m_targets[*owner];
    if ((hasIdleTarget() ? plainExcess(from, 0) : excess(from, 0)) <= 0)
        return std::nullopt;
    const auto to = leastLoaded(slice);
    if (!to || !domainAllows(m_targets[*to], moving.load))
        return std::nullopt;
    const target_load& next = m_targets[*to];
    const auto over = isIdle(next) ? &planning_round::plainExcess : &planning_round::excess;
    const double before = (this->*over)(from, 0) + (this->*over)(next, 0);
    const double after = (this->*over)(from, -moving.load) + (this->*over)(next, moving.load);
    const double net = before - after - price(moving);
    if (net <= 0)
        return std::nullopt;
    return candidate { slice, *to, net };
}

// What a move gains rarely rises through other moves. So only the highest candidate is computed
// again before each move, instead of all of them.
bool planning_round::moveForBalance()
{
    std::priority_queue<candidate> candidates;
    for (std::size_t i = 0; i < m_slices.size(); ++i) {
        if (const auto found = bestMoveOf(i))
            candidates.push(*found);
    }
    unsigned moveCount = 0;
    while (moveCount < m_settings.movesPerRound && !candidates.empty()) {
        const auto current = bestMoveOf(candidates.top().slice);
        candidates.pop();
        if (!current)
            continue;
        if (!candidates.empty() && *current < candidates.top()) {
            candidates.push(*current);
            continue;
        }
        move(current->slice, current->to, true);
        ++moveCount;
    }
    return moveCount > 0;
}

// Splits are kept only if they make a move possible.
void planning_round::rebalance()
{
    planning_round withSplits(*this);
    withSplits.splitBusySlices();
    if (!withSplits.moveForBalance()) {
        moveForBalance();
        return;
    }
    m_slices = std::move(withSplits.m_slices);
    m_owners = std::move(withSplits.m_owners);
    m_targets = std::move(withSplits.m_targets);
    m_domains = std::move(withSplits.m_domains);
    m_byLoad = std::move(withSplits.m_byLoad);
    m_proposals = std::move(withSplits.m_proposals);
}

std::size_t planning_round::nominalSliceCount() const
{
    return m_settings.slicesPerTarget * m_targets.size();
}

// Adjacent slices that were split around a hot key are merged again once their load is low.
bool planning_round::mayMerge(
    const placed_slice& first, const placed_slice& second, std::size_t sliceCount) const
{
    if (!first.owner || first.owner != second.owner)
        return false;
    const double cold = m_settings.coldShare * m_meanLoad;
    const bool firstCold = isSingleKey(first) && first.load < cold;
    const bool secondCold = isSingleKey(second) && second.load < cold;
    if (firstCold || secondCold)
        return true;
    const bool isHot = isSingleKey(first) || isSingleKey(second);
    const double nominalLoad = m_meanLoad / m_settings.slicesPerTarget;
    return !isHot && sliceCount > nominalSliceCount() && first.load + second.load <= nominalLoad;
}

void planning_round::mergeNeighbours()
{
    std::vector<placed_slice> merged;
    merged.reserve(m_slices.size());
    std::size_t left = m_slices.size();
    for (placed_slice& each : m_slices) {
        if (merged.empty() || !mayMerge(merged.back(), each, left)) {
            merged.push_back(std::move(each));
            continue;
        }
        m_proposals.emplace_back(merge_slices { merged.back().keys, each.keys });
        mergeInto(merged.back(), each);
        --left;
    }
    m_slices = std::move(merged);
}

// Slices of one key can only be merged with a neighbour of the same owner. So a key that is no
// longer hot moves to the preceding slice's owner when there are many more slices than usual.
void planning_round::returnColdKeys()
{
    const double cold = m_settings.coldShare * m_meanLoad;
    const auto most = nominalSliceCount() + nominalSliceCount() / 4;
    unsigned left = m_settings.movesPerRound;
    for (std::size_t i = 1; i < m_slices.size() && left > 0; ++i) {
        const placed_slice& one = m_slices[i];
        const auto neighbour = m_owners[i - 1];
        const bool isStale = m_slices.size() > most && isSingleKey(one) && one.load < cold
            && one.movedAt + m_settings.minimumStay <= m_input.now;
        if (!isStale || m_owners[i] == neighbour || !isReady(neighbour))
            continue;
        move(i, *neighbour, true);
        --left;
    }
}

} // namespace pimentomast::balancing
