#include "coordinator_impl.h"

#include <algorithm>

namespace pimentomast::ownership {

namespace {
constexpr std::size_t fastChallengers = 2;
constexpr std::chrono::milliseconds renewalRetryMs { 50 };
/// Limits the slow polls of all hosts together to four per second, regardless of their number.
constexpr std::chrono::milliseconds slowPollPerHostMs { 250 };
} // namespace

// Standby.

void coordinator::impl::tickStandby(instant now)
{
    if (!m_firstTick)
        m_firstTick = now;
    const bool timedOut = m_pollRequest && now - m_pollSent >= m_options.times.storeTimeout;
    if (timedOut) {
        m_pollRequest.reset();
        forgetObservation();
    }
    if (!m_pollRequest && now >= m_nextPoll)
        poll(now);
}

void coordinator::impl::poll(instant now)
{
    m_pollRequest = m_ids.nextRequest();
    m_pollSent = now;
    const bool fast = challengeRank() < fastChallengers;
    const auto hosts = static_cast<std::int64_t>(m_live.size());
    const auto slow = std::max(m_options.times.slowPoll, hosts * slowPollPerHostMs);
    m_nextPoll = now + (fast ? m_options.times.fastPoll : slow);
    m_actions.push_back(read_row { *m_pollRequest, coordinatorKey(m_options.service) });
}

// An invitation counts only if the store answers this host now: the holder may reach it again soon.
void coordinator::impl::forgetObservation() noexcept
{
    m_observing = false;
    m_invitedBy.reset();
}

std::optional<coordinator_row> coordinator::impl::recordRow(const std::optional<store::row>& row)
{
    if (!row)
        return {};
    auto parsed = parseCoordinatorRow(row->value);
    if (!parsed)
        return {};
    m_witness.recordRead(parsed.value().number);
    // Another host has taken over in this era, and may have granted slices anew.
    if (!mayHaveLostSuccessors(parsed.value().number) && parsed.value().holder != m_options.self)
        m_remembered.reset();
    return std::move(parsed).value();
}

void coordinator::impl::answerQueries()
{
    for (const auto query : m_witnessQueries)
        m_actions.push_back(answer_witness { query, m_witness.answer() });
    m_witnessQueries.clear();
}

void coordinator::impl::observe(instant now, const std::optional<store::row>& row)
{
    auto parsed = recordRow(row);
    answerQueries();
    if (m_role == role::TakingOver || m_role == role::Holder) {
        if (parsed && m_row.number < parsed->number)
            stepDown(now, "another host took over");
        return;
    }
    if (m_role != role::Standby)
        return;
    const auto version = row ? row->version : row_version {};
    if (!m_observing || version != m_observedVersion)
        m_observedSince = now;
    m_observing = !row || parsed.has_value();
    m_observedVersion = version;
    m_observedRow = std::move(parsed);
    m_lastRead = now;
    if (mayChallenge(now))
        challenge(now);
}

std::size_t coordinator::impl::challengeRank() const
{
    std::vector<host_id> candidates;
    for (const auto& each : m_live) {
        const bool holds = m_observedRow && !m_observedRow->released
            && m_observedRow->holder.host == each.host && each != m_options.self;
        if (!holds)
            candidates.push_back(each.host);
    }
    const auto ranked = rankCoordinators(m_options.service, candidates, m_millicores);
    const auto self = std::find(ranked.begin(), ranked.end(), m_options.self.host);
    return static_cast<std::size_t>(self - ranked.begin());
}

bool coordinator::impl::hasSettled(instant now) const
{
    return m_membershipComplete || (m_firstTick && now - *m_firstTick >= m_options.times.settling);
}

bool coordinator::impl::observedHolderEnded() const
{
    if (!m_observedRow)
        return false;
    const auto isLaterRun = [this](const host_run& run) {
        return run.host == m_observedRow->holder.host && run != m_observedRow->holder;
    };
    return isLaterRun(m_options.self) || std::any_of(m_live.begin(), m_live.end(), isLaterRun);
}

bool coordinator::impl::isInvited() const
{
    return m_observedRow && m_invitedBy == m_observedRow->number;
}

bool coordinator::impl::mayChallenge(instant now) const
{
    if (!m_observing || m_stopping || m_tableRows.empty())
        return false;
    if (isInvited())
        return true;
    // After a restart of all hosts, targets keep their keys only for what is left of their leases.
    const bool holderEnded = observedHolderEnded();
    if (!holderEnded && !hasSettled(now))
        return false;
    const auto& times = m_options.times;
    duration wait = times.stagger * static_cast<std::int64_t>(challengeRank());
    if (m_observedRow && !m_observedRow->released && !holderEnded)
        wait += times.authority + times.clockMargin;
    // Targets keep their leases if the holder of before returns at once.
    if (m_remembered)
        wait = {};
    return now - m_observedSince >= wait;
}

void coordinator::impl::challenge(instant now)
{
    m_pendingRow = {};
    m_pendingRow.service = m_options.service;
    m_pendingRow.holder = m_options.self;
    m_pendingRow.witnesses = liveHosts();
    m_earlierWitnesses.clear();
    m_onlyEarlierHolder.reset();
    if (m_observedRow) {
        if (m_observedRow->earlier.empty() && !m_observedRow->released)
            m_onlyEarlierHolder = m_observedRow->holder.host;
        m_pendingRow.earlier = m_observedRow->earlier;
        m_earlierWitnesses = m_observedRow->earlier;
        m_earlierWitnesses.push_back(m_observedRow->witnesses);
        if (!m_observedRow->released)
            m_pendingRow.earlier.push_back(m_observedRow->witnesses);
    }
    m_pendingRow.number = nextEpoch();
    m_possibleWitnesses.clear();
    m_pendingRow.lostEpochs
        = mayHaveLostSuccessors(m_observedRow ? m_observedRow->number : epoch {})
        || (m_observedRow && m_observedRow->lostEpochs);
    if (m_pendingRow.lostEpochs) {
        for (const auto& each : m_pendingRow.witnesses)
            m_possibleWitnesses.insert(each.host);
        m_earlierWitnesses.push_back(m_pendingRow.witnesses);
    }
    changeRole(role::Challenger, "no renewal of the coordinator row was seen");
    forgetObservation();
    m_rowWriter.start(now, m_observedVersion, format(m_pendingRow), m_ids, m_actions);
}

void coordinator::impl::changeRole(role next, const std::string& reason)
{
    m_role = next;
    m_actions.push_back(role_changed { next, currentEpoch(), reason });
}

void coordinator::impl::stepDown(instant now, const std::string& reason)
{
    m_rowWriter.abandon();
    m_assignmentWriter.abandon();
    m_assignmentRead.reset();
    m_assignment.reset();
    m_ownedBy.clear();
    m_targets.clear();
    m_moves.clear();
    m_joinedOwners.clear();
    m_unwrittenMoves.clear();
    m_rowStale = false;
    m_rounds.clear();
    m_routes.clear();
    m_awaitedGrants.clear();
    m_publicationDue = false;
    m_authorityUntil = {};
    forgetObservation();
    m_nextPoll = now;
    changeRole(m_stopping ? role::Stopped : role::Standby, reason);
}

// Holder.

bool coordinator::impl::hasAuthority(instant now) const noexcept
{
    const bool holds = m_role == role::TakingOver || m_role == role::Holder;
    return holds && !m_releasing && now < m_authorityUntil;
}

std::vector<host_run> coordinator::impl::liveHosts() const
{
    std::vector<host_run> witnesses { m_options.self };
    for (const auto& each : m_live) {
        if (each.host != m_options.self.host)
            witnesses.push_back(each);
    }
    std::sort(witnesses.begin(), witnesses.end());
    return witnesses;
}

std::vector<host_run> coordinator::impl::namedWitnesses(instant now) const
{
    auto witnesses = liveHosts();
    for (const auto& entry : m_routes) {
        const auto& host = entry.first;
        const auto& state = entry.second;
        const bool named = std::any_of(witnesses.begin(), witnesses.end(),
            [&](const auto& each) { return each.host == host; });
        if (!named && now < state.leaseEnds)
            witnesses.push_back({ host, state.run });
    }
    std::sort(witnesses.begin(), witnesses.end());
    return witnesses;
}

coordinator_row coordinator::impl::nextRow(instant now) const
{
    auto row = m_row;
    row.renewals++;
    row.witnesses = namedWitnesses(now);
    if (m_earlierRenewalsEnded && now >= m_earlierAuthorityEnds)
        row.earlier.clear();
    if (m_earlierRenewalsEnded && now >= earlierLeasesEnd())
        row.lostEpochs = false;
    return row;
}

void coordinator::impl::renew(instant now)
{
    if (m_rowWriter.isPending() || m_releasing || now < m_nextRenewal)
        return;
    m_pendingRow = nextRow(now);
    m_nextRenewal = now + m_options.times.authorityRenewal;
    m_rowWriter.start(now, m_rowVersion, format(m_pendingRow), m_ids, m_actions);
}

void coordinator::impl::handleCoordinatorWrite(instant now, const detail::write_state& state)
{
    if (const auto* done = std::get_if<detail::write_applied>(&state)) {
        onCoordinatorWritten(now, *done);
    } else if (const auto* superseded = std::get_if<detail::write_superseded>(&state)) {
        recordRow(superseded->current);
        stepDown(now, "another host wrote the coordinator row");
    } else if (std::holds_alternative<detail::write_rejected>(state)) {
        m_nextRenewal = now + renewalRetryMs;
        if (m_role == role::Challenger)
            stepDown(now, "the store refused the write");
    }
}

void coordinator::impl::onCoordinatorWritten(instant now, const detail::write_applied& done)
{
    m_row = m_pendingRow;
    m_rowVersion = done.version;
    m_authorityUntil = std::max(m_authorityUntil, done.firstSent + m_options.times.authority);
    m_storeConfirmed = done.firstSent;
    m_witness.recordRead(m_row.number);
    if (m_role == role::Challenger)
        beginTakeover(now);
    if (m_row.released)
        stepDown(now, "released the authority");
}

// Stopping.

void coordinator::impl::release(instant now)
{
    m_releasing = true;
    m_pendingRow = nextRow(now);
    m_pendingRow.released = true;
    m_rowWriter.start(now, m_rowVersion, format(m_pendingRow), m_ids, m_actions);
}

void coordinator::impl::tickStopping(instant now)
{
    if (m_role == role::Stopped)
        return;
    if (now - m_stopBegan >= 2 * m_options.times.storeTimeout) {
        stepDown(now, "stopped without releasing the authority");
        return;
    }
    const bool holds = m_role == role::TakingOver || m_role == role::Holder;
    // Slices with a standby in the row would have no owner until the next holder may choose one of
    // the two.
    if (hasUndecidedSlices() && now - m_stopBegan < m_options.times.storeTimeout)
        return;
    if (holds && !m_rowWriter.isPending() && !m_assignmentWriter.isPending())
        release(now);
}

} // namespace pimentomast::ownership
