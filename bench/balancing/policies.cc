#include "policies.h"

#include <algorithm>
#include <cmath>

namespace pimentomast::bench {

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
    const std::map<target_id, double>& loads, const std::vector<placement_target>& targets)
{
    double worst = 0;
    double total = 0;
    double weights = 0;
    for (const placement_target& each : targets) {
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

} // namespace pimentomast::bench
