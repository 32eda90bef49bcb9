#include "coordinator_impl.h"

#include <algorithm>

namespace pimentomast::ownership {

using detail::move;
using detail::move_phase;

namespace {
constexpr std::chrono::milliseconds commitRetryMs { 100 };
constexpr std::chrono::milliseconds grantWaitMs { 100 };
constexpr std::chrono::milliseconds republishMs { 500 };
constexpr std::chrono::milliseconds joinHoldMs { 200 };
} // namespace

bool coordinator::impl::decideOwner(move& each, std::map<target_id, double>& shares) const
{
    if (each.to.value().empty() || !canOwn(each.to)) {
        const auto found = newOwner(each.range, each.from, shares);
        if (!found)
            return false;
        each.to = *found;
    }
    const auto hashes = static_cast<double>(each.range.last.value() - each.range.first.value());
    shares[each.to] += hashes / m_targets.at(each.to).row.weight;
    return true;
}

std::vector<slice> coordinator::impl::possibleJoins(instant now) const
{
    if (!mayMoveByConsent(now))
        return {};
    std::vector<slice> possible;
    for (const auto& range : m_joins) {
        if (!isMoving(range))
            possible.push_back(range);
    }
    return possible;
}

// Keys whose token changes wait at the hosts for the new assignment.
void coordinator::impl::holdJoined()
{
    for (const auto& each : m_assignment->slices) {
        const auto* next = m_proposed.find(each.range.first);
        const bool joined = next->range != each.range && next->range.contains(each.range.last);
        if (next->owner != each.owner || !joined)
            continue;
        m_joinedOwners.insert(each.owner);
        std::set<request_number> ignored;
        if (next->grant != each.grant)
            sendHolds(each.range, joinHoldMs, ignored);
    }
}

void coordinator::impl::commit(instant now)
{
    const bool cleared = std::any_of(m_moves.begin(), m_moves.end(),
        [](const auto& each) { return each.phase == move_phase::Cleared; });
    const auto joins = possibleJoins(now);
    const bool waits = m_assignmentWriter.isOpen() || now < m_nextCommit || m_releasing;
    if ((!cleared && joins.empty()) || waits)
        return;
    auto shares = sharesPerWeight();
    std::vector<move> chosen;
    for (auto& each : m_moves) {
        if (each.phase != move_phase::Cleared || !decideOwner(each, shares))
            continue;
        each.phase = move_phase::Committing;
        chosen.push_back(each);
    }
    m_proposed = *m_assignment;
    m_proposed.number = sequence { m_assignment->number.value() + 1 };
    m_proposed.slices = detail::applyMoves(m_assignment->slices, chosen, m_proposed.version());
    m_proposed.slices = detail::joinNeighbours(m_proposed.slices, joins);
    m_joins.clear();
    if (m_proposed.slices == m_assignment->slices)
        return;
    holdJoined();
    m_assignmentWriter.start(now, m_assignmentVersion, format(m_proposed), m_numbers, m_todo);
}

void coordinator::impl::committedMoves(instant now)
{
    std::set<target_id> gained = std::exchange(m_joinedOwners, {});
    for (const auto& each : m_moves) {
        if (each.phase == move_phase::Committing)
            gained.insert(each.to);
    }
    std::erase_if(m_moves, [](const auto& each) { return each.phase == move_phase::Committing; });
    refreshTargets(now);
    for (const auto& id : gained) {
        if (const auto request = sendGrant(now, m_targets.at(id)))
            m_awaitedGrants[id] = *request;
    }
    m_publicationDue = true;
    // Hosts that check for the target must confirm before it may be used, so they are told at once.
    m_publishAt = needsRoutes() ? now : now + grantWaitMs;
    tickPublication(now);
}

void coordinator::impl::dropMoves(instant now)
{
    m_nextCommit = now + commitRetryMs;
    m_joinedOwners.clear();
    for (auto& each : m_moves) {
        if (each.phase != move_phase::Committing)
            continue;
        each.phase = move_phase::Cleared;
        if (!each.forced)
            giveBack(now, each);
    }
    std::erase_if(m_moves, [](const auto& each) { return each.givenUp; });
}

void coordinator::impl::noteGranted(const target_id& id, request_number request)
{
    const auto awaited = m_awaitedGrants.find(id);
    if (awaited != m_awaitedGrants.end() && awaited->second <= request)
        m_awaitedGrants.erase(awaited);
}

void coordinator::impl::tickPublication(instant now)
{
    const bool unconfirmed = needsRoutes() && m_leasable != m_assignment->version();
    if (!m_publicationDue && !(unconfirmed && now >= m_publishAt + republishMs))
        return;
    if (now < m_publishAt && !m_awaitedGrants.empty())
        return;
    m_publicationDue = false;
    m_publishAt = now;
    m_awaitedGrants.clear();
    m_todo.push_back(publish_assignment { *m_assignment });
}

} // namespace pimentomast::ownership
