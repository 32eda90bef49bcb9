#include "coordinator_impl.h"

#include <algorithm>
#include <limits>

namespace pimentomast::ownership::detail {

namespace {
constexpr std::uint64_t highestHash = std::numeric_limits<std::uint64_t>::max();

bool startsBefore(const owned_slice& left, const owned_slice& right)
{
    return left.range.first < right.range.first;
}

/// Adds the parts of the slices outside the ranges to the changed ones; returns all in order.
std::vector<owned_slice> mergeUnchanged(std::vector<owned_slice> changed,
    const std::vector<owned_slice>& slices, const std::vector<slice>& ranges)
{
    for (const auto& each : slices) {
        for (const auto& part : subtract(each.range, ranges))
            changed.push_back({ part, each.owner, each.grant, each.standby });
    }
    std::sort(changed.begin(), changed.end(), startsBefore);
    return changed;
}
} // namespace

std::vector<owned_slice> splitByWeight(
    const std::vector<table::target_row>& targets, token grant, std::uint64_t keyWidth)
{
    std::vector<table::target_row> owners;
    for (const auto& each : targets) {
        if (each.state == table::mark::Active && each.weight > 0)
            owners.push_back(each);
    }
    if (owners.empty())
        owners.push_back(targets.front());
    double total = 0;
    for (const auto& each : owners)
        total += each.weight;
    std::vector<owned_slice> slices;
    double sum = 0;
    std::uint64_t first = 0;
    for (const auto& each : owners) {
        sum += each.weight;
        const bool isLast = &each == &owners.back();
        const auto share = static_cast<long double>(sum / total);
        const auto end = static_cast<std::uint64_t>(share * (highestHash - 1));
        const auto cut = end - end % keyWidth;
        const auto last = isLast ? highestHash : cut - (keyWidth > 1 && cut > 0 ? 1 : 0);
        if (last < first)
            continue;
        slices.push_back({ { key_hash { first }, key_hash { last } }, each.id, grant, {} });
        first = last + 1;
    }
    return slices;
}

std::map<target_id, std::vector<owned_slice>> groupByOwner(const std::vector<owned_slice>& slices)
{
    std::map<target_id, std::vector<owned_slice>> owned;
    for (const auto& each : slices)
        owned[each.owner].push_back(each);
    return owned;
}

std::vector<owned_slice> applyMoves(
    const std::vector<owned_slice>& slices, const std::vector<move>& moves, token grant)
{
    std::vector<slice> ranges;
    std::vector<owned_slice> result;
    for (const auto& each : moves) {
        ranges.push_back(each.range);
        result.push_back({ each.range, each.to, grant, {} });
    }
    return mergeUnchanged(std::move(result), slices, ranges);
}

std::vector<owned_slice> withStandbys(
    const std::vector<owned_slice>& slices, const std::vector<move>& moves)
{
    std::vector<slice> ranges;
    std::vector<owned_slice> result;
    for (const auto& each : moves) {
        ranges.push_back(each.range);
        for (const auto& owned : slices) {
            if (overlap(owned.range, each.range))
                result.push_back(
                    { intersection(owned.range, each.range), owned.owner, owned.grant, each.to });
        }
    }
    return mergeUnchanged(std::move(result), slices, ranges);
}

std::vector<owned_slice> joinNeighbours(
    const std::vector<owned_slice>& slices, const std::vector<slice>& ranges)
{
    std::vector<owned_slice> result;
    for (const auto& each : slices) {
        const auto covers = [&](const slice& range) {
            return range.first <= result.back().range.first && each.range.last <= range.last;
        };
        const bool joins = !result.empty() && result.back().owner == each.owner
            && std::any_of(ranges.begin(), ranges.end(), covers);
        if (!joins) {
            result.push_back(each);
            continue;
        }
        auto& joined = result.back();
        joined.range.last = each.range.last;
        joined.grant = std::max(joined.grant, each.grant);
        joined.standby.reset();
    }
    return result;
}

} // namespace pimentomast::ownership::detail
