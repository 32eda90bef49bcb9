#include "pimentomast/assignment.h"

#include <algorithm>

namespace pimentomast::ownership {
namespace {

bool startsBefore(const owned_slice& left, const owned_slice& right)
{
    return left.range.first < right.range.first;
}

bool overlapsAny(const owned_slice& one, const std::vector<owned_slice>& sorted)
{
    const auto after = std::upper_bound(sorted.begin(), sorted.end(), one.range.last,
        [](key_hash last, const owned_slice& each) { return last < each.range.first; });
    return after != sorted.begin() && overlap(std::prev(after)->range, one.range);
}

} // namespace

assignment_change difference(const assignment& from, const assignment& to)
{
    assignment_change change { to.service, from.version(), to.version(), {} };
    for (const auto& each : to.slices) {
        const auto* before = from.find(each.range.first);
        if (!before || *before != each)
            change.slices.push_back(each);
    }
    return change;
}

result<assignment> apply(const assignment& from, const assignment_change& change)
{
    if (from.service != change.service || from.version() != change.base)
        return error { "apply assignment change", change.service.value(), "other base version" };
    assignment to { from.service, change.version.coordinator, change.version.assignment,
        change.slices };
    for (const auto& each : from.slices) {
        if (!overlapsAny(each, change.slices))
            to.slices.push_back(each);
    }
    std::sort(to.slices.begin(), to.slices.end(), startsBefore);
    if (const auto checked = check(to); !checked)
        return checked.error();
    return to;
}

} // namespace pimentomast::ownership
