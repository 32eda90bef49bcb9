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

bool coordinator::impl::bothHoldNothing(const move& entry) const
{
    return holdsNothingOf(entry.from, entry.range) && holdsNothingOf(entry.to, entry.range);
}

// A target that has adopted this epoch refuses the earlier holder's grants. One that has not, or
// that does not report what it holds, may hold the range until the earlier leases have ended.
void coordinator::impl::adoptInherited(instant now, move& entry)
{
    const bool earlierLeasesEnded = m_earlierRenewalsEnded && now >= earlierLeasesEnd();
    if (holds(entry.from, entry.range))
        resume(now, entry);
    else if (earlierLeasesEnded || holds(entry.to, entry.range) || bothHoldNothing(entry))
        entry.phase = move_phase::Cleared;
}

void coordinator::impl::resume(instant now, move& entry)
{
    entry.phase = move_phase::Holding;
    entry.since = now;
    entry.holdsSent = false;
}

// Both the owner and the standby that the row names may own the range without another write.
void coordinator::impl::chooseAnnouncedOwner(move& entry) const
{
    if (canOwn(entry.to))
        return;
    if (canOwn(entry.from))
        entry.to = entry.from;
    else
        entry.announced = false;
}

void coordinator::impl::promote(instant now)
{
    std::vector<move> ready;
    for (auto& each : m_moves) {
        if (each.phase != move_phase::Cleared || !each.announced)
            continue;
        chooseAnnouncedOwner(each);
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
    m_unwrittenMoves.insert(m_unwrittenMoves.end(), ready.begin(), ready.end());
    grantAndPublish(now, gained);
}

bool coordinator::impl::isAnnounced(const slice& range) const
{
    return std::any_of(m_moves.begin(), m_moves.end(),
        [&](const auto& each) { return each.announced && overlap(each.range, range); });
}

// Removes the standbys of cancelled moves, whose old owners keep the ranges. Returns whether there
// was one.
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

bool coordinator::impl::hasUndecidedSlices() const
{
    const bool announced = std::any_of(
        m_moves.begin(), m_moves.end(), [](const auto& each) { return each.announced; });
    return announced || !m_unwrittenMoves.empty() || m_rowStale;
}

} // namespace pimentomast::ownership
