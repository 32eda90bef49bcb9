#include "planning.h"

#include <algorithm>
#include <cmath>

namespace pimentomast::balancing {

bool planning_round::isSingleKey(const placed_slice& one) const
{
    return one.keys.last.value() - one.keys.first.value() < m_settings.keyWidth;
}

bool planning_round::isOverloaded(const target_id& id) const
{
    const auto found = m_targetLoads.find(id);
    return found != m_targetLoads.end() && isReady(id) && excess(found->second, 0) > 0;
}

void planning_round::splitHotKeys()
{
    const double hot = m_settings.hotShare * meanLoad();
    for (const hot_key& key : m_input.hotKeys)
        if (key.rate - key.error > hot && m_slices.size() + 2 <= m_settings.slicesMax)
            isolate(key);
}

void planning_round::isolate(const hot_key& key)
{
    const auto found = std::find_if(m_slices.begin(), m_slices.end(),
        [&](const placed_slice& each) { return each.keys.contains(key.hash); });
    if (found == m_slices.end() || isSingleKey(*found) || !found->owner
        || !isOverloaded(*found->owner))
        return;
    const placed_slice whole = *found;
    slice rest = whole.keys;
    if (key.hash > rest.first) {
        propose(split_slice { rest, key.hash });
        rest.first = key.hash;
    }
    const std::uint64_t keyLast = key.hash.value() + (m_settings.keyWidth - 1);
    if (keyLast < rest.last.value())
        propose(split_slice { rest, key_hash { keyLast + 1 } });
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
    const double most = 2 * meanLoad() / m_settings.slicesPerTarget;
    for (std::size_t i = 0; i < m_slices.size();) {
        const placed_slice& each = m_slices[i];
        const bool isBusy = each.load > most && !isSingleKey(each) && each.owner;
        if (!isBusy || m_slices.size() >= m_settings.slicesMax || !isOverloaded(*each.owner)) {
            ++i;
            continue;
        }
        const auto half = (each.keys.last.value() - each.keys.first.value()) / 2 + 1;
        const auto lower = std::max(half - half % m_settings.keyWidth, m_settings.keyWidth);
        propose(split_slice { each.keys, key_hash { each.keys.first.value() + lower } });
    }
}

double planning_round::price(const placed_slice& moving) const
{
    const double partOfKeys = std::ldexp(
        static_cast<double>(moving.keys.last.value() - moving.keys.first.value()) + 1, -64);
    return m_settings.churnPrice * partOfKeys * m_totalLoad;
}

std::optional<planning_round::candidate> planning_round::bestMove() const
{
    std::optional<candidate> best;
    double bestNet = 0;
    for (std::size_t i = 0; i < m_slices.size(); ++i) {
        const placed_slice& moving = m_slices[i];
        const bool mayMove = moving.owner && m_targetLoads.contains(*moving.owner)
            && moving.load > 0 && moving.movedAt + m_settings.minimumStay <= m_input.now;
        if (!mayMove || !isOverloaded(*moving.owner))
            continue;
        const auto to = leastLoaded(moving);
        if (!to || !domainAllows(m_targetLoads.at(*to), moving.load))
            continue;
        const target_load& from = m_targetLoads.at(*moving.owner);
        const target_load& next = m_targetLoads.at(*to);
        const double before = excess(from, 0) + excess(next, 0);
        const double after = excess(from, -moving.load) + excess(next, moving.load);
        const double net = before - after - price(moving);
        if (net <= bestNet)
            continue;
        bestNet = net;
        best = candidate { i, *to };
    }
    return best;
}

bool planning_round::moveForBalance()
{
    for (unsigned moveCount = 0; moveCount < m_settings.movesPerRound; ++moveCount) {
        const auto best = bestMove();
        if (!best)
            return moveCount > 0;
        move(best->slice, best->to, true);
    }
    return m_settings.movesPerRound > 0;
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
    m_targetLoads = std::move(withSplits.m_targetLoads);
    m_proposals = std::move(withSplits.m_proposals);
}

std::size_t planning_round::nominalSliceCount() const
{
    return m_settings.slicesPerTarget * m_targetLoads.size();
}

// Adjacent slices that were split around a hot key are merged again once their load is low.
bool planning_round::mayMerge(const placed_slice& first, const placed_slice& second) const
{
    if (!first.owner || first.owner != second.owner)
        return false;
    const double cold = m_settings.coldShare * meanLoad();
    const bool firstCold = isSingleKey(first) && first.load < cold;
    const bool secondCold = isSingleKey(second) && second.load < cold;
    if (firstCold || secondCold)
        return true;
    const bool isHot = isSingleKey(first) || isSingleKey(second);
    const double nominalLoad = meanLoad() / m_settings.slicesPerTarget;
    return !isHot && m_slices.size() > nominalSliceCount()
        && first.load + second.load <= nominalLoad;
}

void planning_round::mergeNeighbours()
{
    for (std::size_t i = 0; i + 1 < m_slices.size();) {
        if (mayMerge(m_slices[i], m_slices[i + 1]))
            propose(merge_slices { m_slices[i].keys, m_slices[i + 1].keys });
        else
            ++i;
    }
}

// Slices of one key can only be merged with a neighbour of the same owner. So a key that is no
// longer hot moves to the preceding slice's owner when there are many more slices than usual.
void planning_round::returnColdKeys()
{
    const double cold = m_settings.coldShare * meanLoad();
    const auto most = nominalSliceCount() + nominalSliceCount() / 4;
    unsigned left = m_settings.movesPerRound;
    for (std::size_t i = 1; i < m_slices.size() && left > 0; ++i) {
        const placed_slice& one = m_slices[i];
        const auto& neighbour = m_slices[i - 1].owner;
        const bool isStale = m_slices.size() > most && isSingleKey(one) && one.load < cold
            && one.movedAt + m_settings.minimumStay <= m_input.now;
        if (!isStale || !neighbour || one.owner == neighbour || !isReady(*neighbour))
            continue;
        move(i, *neighbour, true);
        --left;
    }
}

bool planning_round::isReady(const target_id& id) const
{
    const auto found = m_targetLoads.find(id);
    return found != m_targetLoads.end() && found->second.weight > 0;
}

} // namespace pimentomast::balancing
