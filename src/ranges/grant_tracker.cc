#include "pimentomast/ranges.h"

#include <algorithm>

namespace pimentomast::ranges {
namespace {

duration maxLease(duration lease)
{
    return std::chrono::duration_cast<duration>(lease * maxClockDriftRatio);
}

const slice& rangeOf(const call& made)
{
    return std::visit([](const auto& each) -> const slice& { return each.range; }, made);
}

std::vector<slice> rangesOf(const std::vector<ownership::granted_slice>& wanted)
{
    std::vector<slice> ranges;
    ranges.reserve(wanted.size());
    for (const auto& each : wanted)
        ranges.push_back(each.range);
    return mergeAdjacent(ranges);
}

/// Adds renewals for the parts of the range that are held, and grants with saved states for the
/// other parts.
void addGrants(const slice& range, const std::vector<slice>& held, token fence,
    const handovers& states, std::vector<call>& calls)
{
    for (const auto& each : held) {
        if (overlap(each, range))
            calls.emplace_back(grant_range { intersection(each, range), fence, {} });
    }
    for (const auto& notHeld : subtract(range, held)) {
        for (const auto& part : states.split(notHeld, fence))
            calls.emplace_back(part);
    }
}

} // namespace

std::vector<call> grant_tracker::plan(instant now,
    const std::vector<ownership::granted_slice>& wanted, token fence, const handovers& states) const
{
    const auto ranges = rangesOf(wanted);
    const auto held = heldAt(now);
    std::vector<call> calls;
    for (const auto& range : ranges)
        addGrants(range, held, fence, states, calls);
    for (const auto& each : held) {
        for (const auto& part : subtract(each, ranges))
            calls.emplace_back(release_range { part, fence });
    }
    return calls;
}

std::vector<slice> grant_tracker::heldAt(instant now) const
{
    std::vector<slice> held;
    for (const auto& each : m_held) {
        if (each.until > now)
            held.push_back(each.range);
    }
    std::sort(held.begin(), held.end());
    return mergeAdjacent(held);
}

void grant_tracker::recordResult(
    instant now, const call& made, duration lease, const call_result& outcome)
{
    removeExpired(now);
    const slice& range = rangeOf(made);
    const bool isGrant = std::holds_alternative<grant_range>(made);
    if (isGrant && std::holds_alternative<unanswered>(outcome))
        m_unconfirmed.push_back({ range, now + maxLease(lease) });
    if (!std::holds_alternative<accepted>(outcome))
        return;
    std::vector<entry> rest;
    for (const auto& each : m_held) {
        for (const auto& part : subtract(each.range, { range }))
            rest.push_back({ part, each.until });
    }
    if (isGrant)
        rest.push_back({ range, now + maxLease(lease) });
    m_held = std::move(rest);
}

std::vector<slice> grant_tracker::mayHold(instant now) const
{
    std::vector<slice> ranges;
    for (const auto* entries : { &m_held, &m_unconfirmed }) {
        for (const auto& each : *entries) {
            if (each.until > now)
                ranges.push_back(each.range);
        }
    }
    return ranges;
}

void grant_tracker::removeExpired(instant now)
{
    const auto isExpired = [now](const entry& each) { return each.until <= now; };
    std::erase_if(m_held, isExpired);
    std::erase_if(m_unconfirmed, isExpired);
}

} // namespace pimentomast::ranges
