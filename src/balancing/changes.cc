#include "planning.h"

#include <algorithm>

namespace pimentomast::balancing {

namespace {

using slice_iterator = std::vector<placed_slice>::iterator;

// The slices are sorted by first hash.
slice_iterator locate(std::vector<placed_slice>& slices, const slice& keys)
{
    const auto found = std::lower_bound(slices.begin(), slices.end(), keys.first,
        [](const placed_slice& each, key_hash first) { return each.keys.first < first; });
    return found != slices.end() && found->keys == keys ? found : slices.end();
}

double width(const slice& keys)
{
    return static_cast<double>(keys.last.value() - keys.first.value()) + 1;
}

error applyError(const std::string& reason) { return { "apply placement change", "", reason }; }

struct apply_visitor {
    instant now;
    std::vector<placed_slice>& slices;

    result<void> operator()(const split_slice& change) const
    {
        const auto found = locate(slices, change.keys);
        if (found == slices.end())
            return applyError("no such slice to split");
        if (change.at <= change.keys.first || change.at > change.keys.last)
            return applyError("the split position is outside of the slice");
        placed_slice upper = *found;
        upper.keys.first = change.at;
        found->keys.last = key_hash { change.at.value() - 1 };
        const double part = width(found->keys) / width(change.keys);
        upper.load = found->load * (1 - part);
        found->load *= part;
        slices.insert(found + 1, upper);
        return boost::outcome_v2::success();
    }

    result<void> operator()(const merge_slices& change) const
    {
        const auto first = locate(slices, change.first);
        if (first == slices.end() || first + 1 == slices.end()
            || (first + 1)->keys != change.second)
            return applyError("no such adjacent slices to merge");
        const auto second = first + 1;
        if (first->owner != second->owner)
            return applyError("the adjacent slices have different owners");
        mergeInto(*first, *second);
        slices.erase(second);
        return boost::outcome_v2::success();
    }

    result<void> operator()(const move_slice& change) const
    {
        const auto found = locate(slices, change.keys);
        if (found == slices.end())
            return applyError("no such slice to move");
        if (found->owner != change.from)
            return applyError("the slice has another owner");
        found->owner = change.to;
        found->movedAt = now;
        return boost::outcome_v2::success();
    }
};

} // namespace

void mergeInto(placed_slice& first, const placed_slice& second)
{
    first.keys.last = second.keys.last;
    first.load += second.load;
    first.movedAt = std::max(first.movedAt, second.movedAt);
}

result<void> apply(instant now, std::vector<placed_slice>& slices, const proposal& change)
{
    return std::visit(apply_visitor { now, slices }, change);
}

double imbalance(
    const std::vector<placed_slice>& slices, const std::vector<placement_target>& targets)
{
    double total = 0;
    double weights = 0;
    double worst = 0;
    for (const placement_target& target : targets) {
        if (target.state != target_state::Ready || target.weight <= 0)
            continue;
        double load = 0;
        for (const placed_slice& each : slices)
            if (each.owner == target.id)
                load += each.load;
        total += load;
        weights += target.weight;
        worst = std::max(worst, load / target.weight);
    }
    return total > 0 ? worst * weights / total : 0;
}

} // namespace pimentomast::balancing
