#include "coordinator_impl.h"

#include <algorithm>

namespace pimentomast::ownership {

using detail::move;
using detail::move_phase;

namespace {
constexpr std::chrono::milliseconds commitRetryMs { 100 };
/// Longest time for which a publication waits until the new owners have their slices.
constexpr std::chrono::milliseconds grantWaitMs { 300 };
constexpr std::chrono::milliseconds republishMs { 500 };
constexpr std::chrono::milliseconds joinHoldMs { 200 };
/// Limits the messages of publications to 500 per second, regardless of the number of hosts.
constexpr std::chrono::milliseconds publicationPerHostMs { 2 };
} // namespace

bool coordinator::impl::decideOwner(move& entry, std::map<target_id, double>& shares) const
{
    if (entry.to.value().empty() || !canOwn(entry.to)) {
        const auto found = chooseNewOwner(entry.range, entry.from, shares);
        if (!found)
            return false;
        entry.to = *found;
    }
    const auto hashes = static_cast<double>(entry.range.last.value() - entry.range.first.value());
    shares[entry.to] += hashes / m_targets.at(entry.to).row.weight;
    return true;
}

std::vector<slice> coordinator::impl::possibleJoins(instant now) const
{
    if (!mayPlanMoves(now))
        return {};
    std::vector<slice> possible;
    for (const auto& range : m_joins) {
        if (!isMoving(range))
            possible.push_back(range);
    }
    return possible;
}

// Hosts hold requests for keys whose token changes until the new assignment arrives.
void coordinator::impl::holdJoined()
{
    for (const auto& each : m_assignment->slices) {
        const auto* next = m_proposed.find(each.range.first);
        const bool joined = next->range != each.range && next->range.contains(each.range.last);
        if (next->owner != each.owner || !joined)
            continue;
        m_joinedOwners.insert(each.owner);
        if (next->grant != each.grant)
            queueHold(each.range, joinHoldMs);
    }
}

bool coordinator::impl::needsCommit(const std::vector<slice>& joins) const
{
    const bool moves = std::any_of(m_moves.begin(), m_moves.end(),
        [&](const auto& each) { return each.phase == move_phase::Cleared && !each.announced; });
    return moves || !joins.empty() || !m_unwrittenMoves.empty() || m_rowStale;
}

void coordinator::impl::commit(instant now)
{
    const auto joins = possibleJoins(now);
    const bool waits = m_assignmentWriter.isPending() || now < m_nextCommit || m_releasing;
    if (waits || !needsCommit(joins))
        return;
    const bool behind = !m_unwrittenMoves.empty() || m_rowStale;
    withdrawStandbys();
    propose(now, joins);
    if (!behind && m_proposed.slices == m_assignment->slices)
        return;
    m_lastNumber = m_proposed.number;
    m_unwrittenMoves.clear();
    m_rowStale = false;
    holdJoined();
    m_assignmentWriter.start(now, m_assignmentVersion, format(m_proposed), m_ids, m_actions);
}

void coordinator::impl::propose(instant now, const std::vector<slice>& joins)
{
    auto shares = sharesPerWeight();
    const bool lostWait = waitsForTargets(now);
    std::vector<move> lost;
    std::vector<move> planned;
    for (auto& each : m_moves) {
        const bool cleared = each.phase == move_phase::Cleared && !each.announced;
        const bool waits = each.ownerLost && lostWait;
        if (!cleared || waits || !decideOwner(each, shares))
            continue;
        each.phase = each.ownerLost ? move_phase::Committing : move_phase::Announcing;
        (each.ownerLost ? lost : planned).push_back(each);
    }
    m_proposed = *m_assignment;
    m_proposed.number = sequence { m_lastNumber.value() + 1 };
    m_proposed.slices = detail::applyMoves(m_proposed.slices, lost, m_proposed.version());
    m_proposed.slices = detail::withStandbys(m_proposed.slices, planned);
    m_proposed.slices = detail::joinNeighbours(m_proposed.slices, joins);
    m_publishAfterWrite = ownersChange();
    m_joins.clear();
}

// Whether the pending write changes the owner or token of a key, which must be published to hosts.
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
    m_ownedBy = detail::groupByOwner(m_assignment->slices);
}

void coordinator::impl::onAssignmentWritten(instant now)
{
    m_rowStale = !m_unwrittenMoves.empty();
    std::set<target_id> gained = std::exchange(m_joinedOwners, {});
    auto slices = m_proposed.slices;
    for (const auto& each : m_unwrittenMoves)
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
    if (m_publishAfterWrite)
        m_assignment->number = m_unwrittenMoves.empty() ? m_proposed.number : nextNumber();
    m_unwrittenMoves.clear();
    install(std::move(slices));
    m_rowStale = m_rowStale || withdrawStandbys();
    if (m_publishAfterWrite)
        grantAndPublish(now, gained);
    promote(now);
}

void coordinator::impl::grantAndPublish(instant now, const std::set<target_id>& gained)
{
    refreshTargets(now);
    for (const auto& id : gained) {
        if (const auto request = sendGrant(now, m_targets.at(id)))
            m_awaitedGrants[id] = *request;
    }
    // Targets that check no tokens may be used only after the hosts have confirmed the assignment,
    // so it is published at once.
    const auto latest = needsRouteLeases() ? now : now + grantWaitMs;
    m_publishAt = m_publicationDue ? std::min(m_publishAt, latest) : latest;
    m_publicationDue = true;
    tickPublication(now);
}

void coordinator::impl::revertProposedMoves(instant now)
{
    m_nextCommit = now + commitRetryMs;
    m_joinedOwners.clear();
    m_rowStale = true;
    for (auto& each : m_moves) {
        if (each.phase != move_phase::Committing && each.phase != move_phase::Announcing)
            continue;
        each.phase = move_phase::Cleared;
        if (!each.forced)
            cancelMove(now, each);
    }
    eraseCancelled();
}

void coordinator::impl::noteGranted(const target_id& id, request_number request)
{
    const auto awaited = m_awaitedGrants.find(id);
    if (awaited != m_awaitedGrants.end() && awaited->second <= request)
        m_awaitedGrants.erase(awaited);
}

void coordinator::impl::tickPublication(instant now)
{
    // Hosts keep to the owners that they know until the targets get their slices.
    if (withholdsGrants(now))
        return;
    const bool unconfirmed = needsRouteLeases() && m_leasableVersion != m_assignment->version();
    if (!m_publicationDue && !(unconfirmed && now >= m_publishAt + republishMs))
        return;
    if (now < m_nextPublication || (now < m_publishAt && !m_awaitedGrants.empty()))
        return;
    m_nextPublication = now + static_cast<std::int64_t>(m_live.size()) * publicationPerHostMs;
    m_publicationDue = false;
    m_publishAt = now;
    m_awaitedGrants.clear();
    m_actions.push_back(publish_assignment { *m_assignment });
}

} // namespace pimentomast::ownership
