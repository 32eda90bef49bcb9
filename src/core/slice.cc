#include "pimentomast/core.h"

#include <algorithm>

namespace pimentomast {
namespace {

std::vector<slice> subtractOne(const slice& range, const slice& hole)
{
    if (!overlap(range, hole))
        return { range };
    std::vector<slice> rest;
    if (range.first < hole.first)
        rest.push_back({ range.first, key_hash { hole.first.value() - 1 } });
    if (hole.last < range.last)
        rest.push_back({ key_hash { hole.last.value() + 1 }, range.last });
    return rest;
}

} // namespace

bool overlap(const slice& left, const slice& right) noexcept
{
    return left.first <= right.last && right.first <= left.last;
}

slice intersection(const slice& left, const slice& right) noexcept
{
    return { std::max(left.first, right.first), std::min(left.last, right.last) };
}

std::vector<slice> subtract(const slice& range, const std::vector<slice>& holes)
{
    std::vector<slice> parts { range };
    for (const auto& hole : holes) {
        std::vector<slice> rest;
        for (const auto& part : parts) {
            const auto pieces = subtractOne(part, hole);
            rest.insert(rest.end(), pieces.begin(), pieces.end());
        }
        parts = std::move(rest);
    }
    return parts;
}

std::vector<slice> mergeAdjacent(const std::vector<slice>& sorted)
{
    std::vector<slice> runs;
    for (const auto& each : sorted) {
        const bool follows = !runs.empty() && runs.back().last.value() + 1 == each.first.value();
        if (follows)
            runs.back().last = each.last;
        else
            runs.push_back(each);
    }
    return runs;
}

} // namespace pimentomast
