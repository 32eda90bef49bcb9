#include "pimentomast/ranges.h"

#include <algorithm>

namespace pimentomast::ranges {

void handovers::put(const slice& range, const handover& state)
{
    remove(range);
    if (!state.value().empty())
        m_handovers.push_back({ range, state });
}

std::vector<grant_range> handovers::split(const slice& range, token fence) const
{
    std::vector<grant_range> parts;
    std::vector<slice> withState;
    for (const auto& each : m_handovers) {
        if (!overlap(each.range, range))
            continue;
        withState.push_back(intersection(each.range, range));
        parts.push_back({ withState.back(), fence, each.state });
    }
    for (const auto& withoutState : subtract(range, withState))
        parts.push_back({ withoutState, fence, {} });
    std::sort(parts.begin(), parts.end(),
        [](const auto& left, const auto& right) { return left.range < right.range; });
    return parts;
}

void handovers::remove(const slice& range)
{
    std::vector<stored_handover> rest;
    for (const auto& each : m_handovers) {
        for (const auto& part : subtract(each.range, { range }))
            rest.push_back({ part, each.state });
    }
    m_handovers = std::move(rest);
}

} // namespace pimentomast::ranges
