#include "coordinator_impl.h"

namespace pimentomast::ownership {

namespace {
constexpr std::chrono::milliseconds assignmentRetryMs { 50 };
} // namespace

void coordinator::impl::beginTakeover(instant now)
{
    m_takeoverTime = now;
    m_nextRenewal = now + m_options.times.authorityRenewal;
    m_releasing = false;
    m_earlierRenewalsEnded = m_row.earlier.empty() && !m_row.lostEpochs;
    m_continues = m_remembered.has_value();
    m_earlierAuthorityEnds = now;
    m_informed.clear();
    m_messageNumber = {};
    m_nextRound = now;
    changeRole(role::TakingOver, "wrote the next epoch");
    // A query makes the witnesses read the new epoch now, while the store is available.
    auto sets = ownWitnessSets();
    sets.insert(sets.end(), m_row.earlier.begin(), m_row.earlier.end());
    if (m_row.lostEpochs)
        sets.push_back(m_earlierWitnesses.back());
    askWitnesses(now, sets);
    readAssignment(now);
}

void coordinator::impl::readAssignment(instant now)
{
    m_assignmentRead = m_ids.nextRequest();
    m_assignmentReadSent = now;
    m_nextAssignmentRead = now + assignmentRetryMs;
    m_actions.push_back(read_row { *m_assignmentRead, assignmentKey(m_options.service) });
}

void coordinator::impl::tickTakeover(instant now)
{
    if (m_assignmentRead && now - m_assignmentReadSent >= m_options.times.storeTimeout)
        m_assignmentRead.reset();
    const bool waits = m_assignmentRead || m_assignmentWriter.isPending();
    if (!waits && now >= m_nextAssignmentRead)
        readAssignment(now);
}

void coordinator::impl::handleAssignmentRow(instant now, const std::optional<store::row>& row)
{
    if (m_role == role::TakingOver && !m_assignmentWriter.isPending())
        fence(now, row);
}

// Targets register one after the other: keys dealt to the first few would have to move again.
instant coordinator::impl::firstDealAt() const
{
    const auto& times = m_options.times;
    return std::min(m_targetsGrew + times.targetsSettling, m_takeoverTime + times.firstDealDelay);
}

void coordinator::impl::fence(instant now, const std::optional<store::row>& row)
{
    if (!row && !m_continues && now < firstDealAt()) {
        m_nextAssignmentRead = firstDealAt();
        return;
    }
    m_assignmentVersion = row ? row->version : row_version {};
    if (row) {
        const auto parsed = parseAssignment(row->value);
        if (!parsed) {
            m_actions.push_back(role_changed { m_role, m_row.number, parsed.error().text() });
            m_nextAssignmentRead = now + m_options.times.storeTimeout;
            return;
        }
        if (m_row.number < parsed.value().coordinator) {
            stepDown(now, "the assignment row has a higher epoch");
            return;
        }
        m_proposed = parsed.value();
        m_proposed.number = sequence { m_proposed.number.value() + 1 };
    } else {
        const token first { m_row.number, sequence { 1 } };
        m_proposed = { m_options.service, m_row.number, first.assignment,
            detail::splitByWeight(m_tableRows, first, m_options.keyWidth) };
    }
    const bool lost = m_row.lostEpochs || mayHaveLostSuccessors(m_proposed.coordinator);
    if (m_continues) {
        m_proposed.slices = m_remembered->slices;
        m_proposed.number
            = std::max(m_proposed.number, sequence { m_remembered->number.value() + 1 });
    }
    m_proposed.coordinator = m_row.number;
    raiseTokens(lost);
    m_assignmentWriter.start(now, m_assignmentVersion, format(m_proposed), m_ids, m_actions);
}

// A host must not route a slice with a standby to its old owner under an earlier holder's route
// lease, since another host may still route it to the new owner. Where rows are lost, targets may
// have higher tokens than the row tells, for any slice.
void coordinator::impl::raiseTokens(bool all)
{
    for (auto& each : m_proposed.slices) {
        if (all || each.standby)
            each.grant = m_proposed.version();
    }
}

void coordinator::impl::handleAssignmentWrite(instant now, const detail::write_state& state)
{
    const bool takingOver = m_role == role::TakingOver;
    if (const auto* done = std::get_if<detail::write_applied>(&state)) {
        m_assignmentVersion = done->version;
        if (takingOver)
            becomeHolder(now);
        else
            onAssignmentWritten(now);
    } else if (std::holds_alternative<detail::write_superseded>(state)) {
        if (takingOver)
            readAssignment(now);
        else
            stepDown(now, "another host wrote the assignment row");
    } else if (std::holds_alternative<detail::write_rejected>(state) && !takingOver) {
        revertProposedMoves(now);
    }
}

void coordinator::impl::becomeHolder(instant now)
{
    changeRole(role::Holder, "took over the assignment");
    m_targets.clear();
    m_moves.clear();
    m_joinedOwners.clear();
    m_postponed.clear();
    m_awaitedGrants.clear();
    m_unwrittenMoves.clear();
    m_rowStale = false;
    m_nextCommit = now;
    m_lastNumber = m_proposed.number;
    m_assignment = m_proposed;
    m_remembered.reset();
    install(m_proposed.slices);
    inheritMoves(now);
    refreshTargets(now);
    startRoutes(now);
    m_publicationDue = true;
    m_publishAt = now;
    tickPublication(now);
    tickTargets(now);
}

} // namespace pimentomast::ownership
