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

bool coordinator::impl::needsCommit(const std::vector<slice>& joins) const
{
    const bool moves = std::any_of(m_moves.begin(), m_moves.end(),
        [&](const auto& each) { return each.phase == move_phase::Cleared && !each.announced; });
    return moves || !joins.empty() || !m_unwritten.empty() || m_staleStandbys;
}

void coordinator::impl::commit(instant now)
{
    const auto joins = possibleJoins(now);
    const bool waits = m_assignmentWriter.isOpen() || now < m_nextCommit || m_releasing;
    if (waits || !needsCommit(joins))
        return;
    const bool behind = !m_unwritten.empty() || m_staleStandbys;
    withdrawStandbys();
    propose(joins);
    if (!behind && m_proposed.slices == m_assignment->slices)
        return;
    m_lastNumber = m_proposed.number;
    m_unwritten.clear();
    m_staleStandbys = false;
    holdJoined();
    m_assignmentWriter.start(now, m_assignmentVersion, format(m_proposed), m_numbers, m_todo);
}

void coordinator::impl::propose(const std::vector<slice>& joins)
{
    auto shares = sharesPerWeight();
    std::vector<move> lost;
    std::vector<move> planned;
    for (auto& each : m_moves) {
        const bool cleared = each.phase == move_phase::Cleared && !each.announced;
        if (!cleared || !decideOwner(each, shares))
            continue;
        each.phase = each.byLoss ? move_phase::Committing : move_phase::Announcing;
        (each.byLoss ? lost : planned).push_back(each);
    }
    m_proposed = *m_assignment;
    m_proposed.number = sequence { m_lastNumber.value() + 1 };
    m_proposed.slices = detail::applyMoves(m_proposed.slices, lost, m_proposed.version());
    m_proposed.slices = detail::withStandbys(m_proposed.slices, planned);
    m_proposed.slices = detail::joinNeighbours(m_proposed.slices, joins);
    m_proposalPublishes = ownersChange();
    m_joins.clear();
}

// Whether the open write gives keys to others or changes their tokens, which hosts must learn.
bool coordinator::impl::ownersChange() const
{
    const auto& before = *m_assignment;
    return std::any_of(m_proposed.slices.begin(), m_proposed.slices.end(), [&](const auto& each) {
        const auto* first = before.find(each.range.first);
        const auto* last = before.find(each.range.last);
        return first->owner != each.owner || first->grant != each.grant
            || last->range != first->range;
    });
}

void coordinator::impl::install(std::vector<owned_slice> slices)
{
    m_assignment->slices = std::move(slices);
    m_ownedBy = detail::byOwner(m_assignment->slices);
}

void coordinator::impl::written(instant now)
{
    m_staleStandbys = !m_unwritten.empty();
    std::set<target_id> gained = std::exchange(m_joinedOwners, {});
    auto slices = m_proposed.slices;
    for (const auto& each : m_unwritten)
        slices = detail::applyMoves(slices, { each }, each.grant);
    for (auto& each : m_moves) {
        if (each.phase == move_phase::Committing)
            gained.insert(each.to);
        if (each.phase != move_phase::Announcing)
            continue;
        each.phase = move_phase::Cleared;
        each.announced = true;
    }
    std::erase_if(m_moves, [](const auto& each) { return each.phase == move_phase::Committing; });
    if (m_proposalPublishes)
        m_assignment->number = m_unwritten.empty() ? m_proposed.number : nextNumber();
    m_unwritten.clear();
    install(std::move(slices));
    m_staleStandbys = m_staleStandbys || withdrawStandbys();
    if (m_proposalPublishes)
        grantTo(now, gained);
    promote(now);
}

void coordinator::impl::grantTo(instant now, const std::set<target_id>& gained)
{
    refreshTargets(now);
    for (const auto& id : gained) {
        if (const auto request = sendGrant(now, m_targets.at(id)))
            m_awaitedGrants[id] = *request;
    }
    // Hosts that check for the target must confirm before it may be used, so they are told at once.
    const auto latest = needsRoutes() ? now : now + grantWaitMs;
    m_publishAt = m_publicationDue ? std::min(m_publishAt, latest) : latest;
    m_publicationDue = true;
    tickPublication(now);
}

void coordinator::impl::dropMoves(instant now)
{
    m_nextCommit = now + commitRetryMs;
    m_joinedOwners.clear();
    m_staleStandbys = true;
    for (auto& each : m_moves) {
        if (each.phase != move_phase::Committing && each.phase != move_phase::Announcing)
            continue;
        each.phase = move_phase::Cleared;
        if (!each.forced)
            giveBack(now, each);
    }
    eraseGivenUp();
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
