#include "coordinator_impl.h"

#include <algorithm>

namespace pimentomast::ownership {

using detail::move;
using detail::move_phase;

namespace {
constexpr std::size_t maxMoves = 64;

double hashCount(const slice& range)
{
    return static_cast<double>(range.last.value() - range.first.value()) + 1;
}
} // namespace

void coordinator::impl::tickMoves(instant now)
{
    if (!hasAuthority(now))
        return;
    std::erase_if(m_postponed, [&](const auto& each) { return each.until <= now; });
    handleLostOwners(now);
    planWanted(now);
    for (auto& each : m_moves)
        advance(now, each);
    eraseCancelled();
    sendDrains(now);
    promote(now);
    commit(now);
}

void coordinator::impl::eraseCancelled()
{
    std::erase_if(m_moves, [](const auto& each) { return each.cancelled; });
}

std::vector<wanted_slice> coordinator::impl::moving() const
{
    std::vector<wanted_slice> all;
    for (const auto& each : m_moves) {
        if (!each.to.value().empty())
            all.push_back({ each.range, each.to });
    }
    return all;
}

bool coordinator::impl::isMoving(const slice& range) const
{
    return std::any_of(m_moves.begin(), m_moves.end(),
        [&](const auto& each) { return overlap(each.range, range); });
}

bool coordinator::impl::isMoving(const target_id& target) const
{
    return std::any_of(m_moves.begin(), m_moves.end(),
        [&](const auto& each) { return each.from == target || each.to == target; });
}

bool coordinator::impl::isPostponed(instant now, const slice& range) const
{
    return std::any_of(m_postponed.begin(), m_postponed.end(),
        [&](const auto& each) { return now < each.until && overlap(each.range, range); });
}

bool coordinator::impl::canOwn(const target_id& id) const
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return false;
    const auto& state = found->second;
    const bool isActive = state.inTable && state.row.state == table::mark::Active;
    return isActive && state.row.weight > 0 && isReachable(state);
}

std::map<target_id, double> coordinator::impl::sharesPerWeight() const
{
    std::map<target_id, double> shares;
    for (const auto& [id, state] : m_targets) {
        if (canOwn(id))
            shares[id] = 0;
    }
    const auto add = [&](const target_id& id, const slice& range) {
        const auto found = shares.find(id);
        if (found != shares.end())
            found->second += hashCount(range) / m_targets.at(id).row.weight;
    };
    for (const auto& each : m_assignment->slices)
        add(each.owner, each.range);
    for (const auto& each : m_moves)
        add(each.to, each.range);
    return shares;
}

std::optional<target_id> coordinator::impl::chooseNewOwner(
    const slice& range, const target_id& from, const std::map<target_id, double>& shares) const
{
    for (const auto& each : m_wanted) {
        const bool covers = each.range.first <= range.first && range.last <= each.range.last;
        if (covers && each.owner != from && canOwn(each.owner))
            return each.owner;
    }
    std::optional<target_id> best;
    for (const auto& [id, share] : shares) {
        if (id != from && (!best || share < shares.at(*best)))
            best = id;
    }
    return best;
}

void coordinator::impl::handleLostOwners(instant now)
{
    for (auto& each : m_moves) {
        const bool waits = each.phase == move_phase::Holding || each.phase == move_phase::Draining;
        const auto from = m_targets.find(each.from);
        if (waits && from != m_targets.end() && isLost(now, from->second)) {
            each.phase = move_phase::Cleared;
            each.forced = true;
            each.ownerLost = true;
        }
    }
    planLostSlices(now);
}

bool coordinator::impl::waitsForTargets(instant now) const
{
    constexpr double mostHashes = 0x1p63;
    const auto& times = m_options.times;
    const auto until
        = std::min(m_targetsGrew + times.targetsSettling, m_growthBegan + times.firstDealDelay);
    if (now >= until)
        return false;
    double lost = 0;
    for (const auto& each : m_moves)
        lost += each.ownerLost ? hashCount(each.range) : 0;
    return lost > mostHashes;
}

void coordinator::impl::planLostSlices(instant now)
{
    for (const auto& [id, owned] : m_ownedBy) {
        if (!isLost(now, m_targets.at(id)))
            continue;
        for (const auto& each : owned) {
            if (isMoving(each.range))
                continue;
            move lost;
            lost.range = each.range;
            lost.from = id;
            lost.phase = move_phase::Cleared;
            lost.since = now;
            lost.forced = true;
            lost.ownerLost = true;
            m_moves.push_back(std::move(lost));
        }
    }
}

bool coordinator::impl::mayPlanMoves(instant now) const
{
    // A target may still accept an unanswered grant of an earlier holder until its lease has ended.
    const bool earlierLeasesEnded = m_earlierRenewalsEnded && now >= earlierLeasesEnd();
    const bool storeAnswers = now - m_storeConfirmed < m_options.times.authority;
    return earlierLeasesEnded && storeAnswers && !m_stopping && m_moves.size() < maxMoves;
}

void coordinator::impl::planWanted(instant now)
{
    if (!mayPlanMoves(now))
        return;
    planLeaving(now);
    for (const auto& wanted : m_wanted) {
        if (!canOwn(wanted.owner))
            continue;
        const auto* const end = m_assignment->slices.data() + m_assignment->slices.size();
        for (const auto* each = m_assignment->find(wanted.range.first);
             each != end && each->range.first <= wanted.range.last; ++each) {
            if (each->owner != wanted.owner)
                planMove(
                    now, intersection(each->range, wanted.range), each->owner, wanted.owner, false);
        }
    }
}

void coordinator::impl::planLeaving(instant now)
{
    for (const auto& [id, owned] : m_ownedBy) {
        const auto& owner = m_targets.at(id);
        if (owner.inTable && owner.row.state == table::mark::Active)
            continue;
        for (const auto& each : owned) {
            if (m_moves.size() >= maxMoves)
                return;
            if (isMoving(each.range))
                continue;
            // Recomputed for each slice, so that the slices of one owner go to several targets.
            if (const auto to = chooseNewOwner(each.range, id, sharesPerWeight()))
                planMove(now, each.range, id, *to, true);
        }
    }
}

void coordinator::impl::planMove(
    instant now, const slice& range, const target_id& from, const target_id& to, bool forced)
{
    const bool full = m_moves.size() >= maxMoves;
    if (full || !isReachable(m_targets.at(from)) || isMoving(range) || isPostponed(now, range))
        return;
    move planned;
    planned.range = range;
    planned.from = from;
    planned.to = to;
    planned.since = now;
    planned.forced = forced;
    m_moves.push_back(std::move(planned));
}

void coordinator::impl::queueHold(const slice& range, std::chrono::milliseconds hold)
{
    m_queuedHolds[hold].push_back(range);
}

std::vector<request_number> coordinator::impl::askToHold(
    const std::vector<slice>& ranges, std::chrono::milliseconds hold)
{
    std::vector<request_number> requests;
    for (const auto& each : liveHosts()) {
        requests.push_back(m_ids.nextRequest());
        m_actions.push_back(
            hold_slices { requests.back(), each.host, ranges, m_assignment->version(), hold });
    }
    return requests;
}

void coordinator::impl::sendMoveHolds()
{
    std::vector<move*> unsent;
    std::vector<slice> ranges;
    for (auto& each : m_moves) {
        if (each.phase != move_phase::Holding || each.holdsSent)
            continue;
        unsent.push_back(&each);
        ranges.push_back(each.range);
    }
    if (unsent.empty())
        return;
    const auto& times = m_options.times;
    const auto requests = askToHold(ranges, times.holdAnswer + times.drain + times.announce);
    for (auto* each : unsent) {
        each->holdsSent = true;
        each->pendingHolds = { requests.begin(), requests.end() };
    }
}

void coordinator::impl::sendHolds()
{
    const auto queued = std::exchange(m_queuedHolds, {});
    if (m_role != role::Holder || !m_assignment)
        return;
    for (const auto& [hold, ranges] : queued)
        askToHold(ranges, hold);
    sendMoveHolds();
}

void coordinator::impl::on(instant now, const hold_answered& received)
{
    for (auto& each : m_moves) {
        each.pendingHolds.erase(received.request);
        if (m_role == role::Holder && hasAuthority(now))
            advance(now, each);
    }
    eraseCancelled();
    sendDrains(now);
}

void coordinator::impl::advance(instant now, move& entry)
{
    const auto& times = m_options.times;
    const auto waited = now - entry.since;
    if (entry.phase == move_phase::Holding) {
        const bool answered = entry.holdsSent && entry.pendingHolds.empty();
        if (answered || waited >= times.holdAnswer)
            startDrain(now, entry);
    } else if (entry.phase == move_phase::Draining) {
        if (!entry.forced && waited >= times.drain)
            cancelMove(now, entry);
    } else if (waitsForRow(entry)) {
        if (waited >= times.announce)
            cancelMove(now, entry);
    } else if (entry.phase == move_phase::Inherited) {
        adoptInherited(now, entry);
    }
}

// Until the row is written the keys have no owner, although the old owner could take them back.
bool coordinator::impl::waitsForRow(const move& entry)
{
    const bool unannounced = entry.phase == move_phase::Cleared && !entry.announced;
    return !entry.ownerLost && (unannounced || entry.phase == move_phase::Announcing);
}

void coordinator::impl::startDrain(instant now, move& entry)
{
    entry.since = now;
    entry.phase = move_phase::Draining;
}

// One message to each old owner for all of its moves: a target carries out one message at a time,
// and one that leaves several unanswered counts as unreachable.
void coordinator::impl::sendDrains(instant now)
{
    std::map<target_id, std::vector<move*>> unsent;
    for (auto& each : m_moves) {
        if (each.phase == move_phase::Draining && each.drainRequest == request_number {})
            unsent[each.from].push_back(&each);
    }
    for (const auto& [id, moves] : unsent) {
        auto& from = m_targets.at(id);
        const auto request = sendGrant(now, from);
        if (!request || from.outstanding.back().adopt)
            continue;
        for (auto* each : moves)
            each->drainRequest = *request;
    }
}

bool coordinator::impl::isDrained(const move& entry, request_number request) const
{
    const bool asked = entry.drainRequest != request_number {} && entry.drainRequest <= request;
    if (entry.phase != move_phase::Draining || !asked)
        return false;
    const auto& held = m_targets.at(entry.from).held;
    return std::none_of(
        held.begin(), held.end(), [&](const auto& one) { return overlap(one.range, entry.range); });
}

void coordinator::impl::noteDrained(instant now, const target_id& from, request_number request)
{
    bool cleared = false;
    for (auto& each : m_moves) {
        if (each.from != from || !isDrained(each, request))
            continue;
        each.phase = move_phase::Cleared;
        each.since = now;
        cleared = true;
    }
    if (!cleared || !hasAuthority(now))
        return;
    promote(now);
    commit(now);
}

void coordinator::impl::cancelMove(instant now, move& entry)
{
    entry.cancelled = true;
    m_rowStale = m_rowStale || entry.announced;
    // Hosts soon stop sending requests to a leaving target, so its moves are retried sooner.
    const auto pause = entry.forced ? m_options.times.announce : m_options.times.retryMove;
    m_postponed.push_back({ entry.range, now + pause });
    queueHold(entry.range, std::chrono::milliseconds { 0 });
    m_targets.at(entry.from).nextSend = now;
}

} // namespace pimentomast::ownership
