#include "coordinator_impl.h"

#include <algorithm>

namespace pimentomast::ownership {

using detail::move;
using detail::move_phase;

sequence coordinator::impl::nextNumber() noexcept
{
    m_lastNumber = sequence { m_lastNumber.value() + 1 };
    return m_lastNumber;
}

bool coordinator::impl::holds(const target_id& id, const slice& range) const
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || !found->second.adopted)
        return false;
    const auto& held = found->second.held;
    return std::any_of(held.begin(), held.end(), [&](const auto& each) {
        return !each.draining && each.range.first <= range.first && range.last <= each.range.last;
    });
}

void coordinator::impl::inheritMoves(instant now)
{
    for (const auto& each : m_assignment->slices) {
        if (!each.standby)
            continue;
        move inherited;
        inherited.range = each.range;
        inherited.from = each.owner;
        inherited.to = *each.standby;
        inherited.phase = move_phase::Inherited;
        inherited.announced = true;
        inherited.since = now;
        inherited.forced = true;
        m_moves.push_back(std::move(inherited));
    }
}

bool coordinator::impl::holdsNothingOf(const target_id& id, const slice& range) const
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || !found->second.adopted || !found->second.heldComplete)
        return false;
    const auto& held = found->second.held;
    return std::none_of(
        held.begin(), held.end(), [&](const auto& each) { return overlap(each.range, range); });
}

bool coordinator::impl::bothHoldNothing(const move& each) const
{
    return holdsNothingOf(each.from, each.range) && holdsNothingOf(each.to, each.range);
}

// A target that has taken this epoch refuses the earlier holder's grants. One that has not, or that
// does not tell what it holds, may have the range until the earlier leases have ended.
void coordinator::impl::adoptInherited(instant now, move& each)
{
    const bool earlierEnded = m_earlierSeen && now >= earlierLeasesEnd();
    if (holds(each.from, each.range))
        resume(now, each);
    else if (earlierEnded || holds(each.to, each.range) || bothHoldNothing(each))
        each.phase = move_phase::Cleared;
}

void coordinator::impl::resume(instant now, move& each)
{
    each.phase = move_phase::Holding;
    each.since = now;
    startHolds(each);
}

// Either of the two that the row names may own the range without another write.
void coordinator::impl::chooseNamed(move& each) const
{
    if (canOwn(each.to))
        return;
    if (canOwn(each.from))
        each.to = each.from;
    else
        each.announced = false;
}

void coordinator::impl::promote(instant now)
{
    std::vector<move> ready;
    for (auto& each : m_moves) {
        if (each.phase != move_phase::Cleared || !each.announced)
            continue;
        chooseNamed(each);
        if (each.announced)
            ready.push_back(each);
    }
    if (ready.empty())
        return;
    std::erase_if(m_moves,
        [](const auto& each) { return each.phase == move_phase::Cleared && each.announced; });
    m_assignment->number = nextNumber();
    std::set<target_id> gained;
    for (auto& each : ready) {
        each.grant = m_assignment->version();
        gained.insert(each.to);
    }
    install(detail::applyMoves(m_assignment->slices, ready, m_assignment->version()));
    m_unwritten.insert(m_unwritten.end(), ready.begin(), ready.end());
    grantTo(now, gained);
}

bool coordinator::impl::isAnnounced(const slice& range) const
{
    return std::any_of(m_moves.begin(), m_moves.end(),
        [&](const auto& each) { return each.announced && overlap(each.range, range); });
}

// Old owners keep the ranges of moves that were given up. Returns whether there was one.
bool coordinator::impl::withdrawStandbys()
{
    bool withdrawn = false;
    for (auto& each : m_assignment->slices) {
        if (!each.standby || isAnnounced(each.range))
            continue;
        each.standby.reset();
        withdrawn = true;
    }
    return withdrawn;
}

bool coordinator::impl::isHandingOver() const
{
    const bool announced = std::any_of(
        m_moves.begin(), m_moves.end(), [](const auto& each) { return each.announced; });
    return announced || !m_unwritten.empty() || m_staleStandbys;
}

} // namespace pimentomast::ownership
