#include "coordinator_impl.h"

#include <algorithm>

namespace pimentomast::ownership {

namespace {
constexpr std::size_t maxRounds = 8;
/// Limits the queries of a coordinator to 200 per second, regardless of the number of witnesses.
constexpr std::chrono::milliseconds roundPerWitnessMs { 5 };

/// Returns the number of witnesses of a set that a holder needs to extend its authority without the
/// store. It is at least two, so that a holder's own answer is never enough and a set of one does
/// not delay a successor: a holder that had not yet heard of any other host would otherwise delay
/// its successor for as long as an outage may last.
std::size_t quorum(std::size_t size) { return std::max<std::size_t>(size / 2 + 1, 2); }

std::size_t countAgreed(const std::vector<host_run>& set, const std::set<host_run>& agreed)
{
    const auto count = std::count_if(
        set.begin(), set.end(), [&](const auto& each) { return agreed.contains(each); });
    return static_cast<std::size_t>(count);
}

bool isQuorum(const std::vector<host_run>& set, const std::set<host_run>& agreed)
{
    return countAgreed(set, agreed) >= quorum(set.size());
}

/// Whether the witnesses that know the newer epoch leave too few others for a quorum.
bool preventsQuorum(const std::vector<host_run>& set, const std::set<host_id>& informed)
{
    const auto count = std::count_if(
        set.begin(), set.end(), [&](const auto& each) { return informed.contains(each.host); });
    return set.size() < static_cast<std::size_t>(count) + quorum(set.size());
}
} // namespace

bool coordinator::impl::hasOwnQuorums(const std::set<host_run>& agreed) const
{
    const auto sets = ownWitnessSets();
    return std::all_of(
        sets.begin(), sets.end(), [&](const auto& each) { return isQuorum(each, agreed); });
}

bool coordinator::impl::preventsEarlierQuorums() const
{
    const bool known = std::all_of(m_row.earlier.begin(), m_row.earlier.end(),
        [&](const auto& each) { return preventsQuorum(each, m_informed); });
    return known && (!m_row.lostEpochs || preventsLostQuorums());
}

std::vector<host_run> coordinator::impl::uninformedWitnesses() const
{
    std::vector<host_run> uninformed;
    auto sets = m_row.earlier;
    if (m_row.lostEpochs)
        sets.push_back(m_earlierWitnesses.back());
    for (const auto& set : sets) {
        for (const auto& each : set) {
            if (!m_informed.contains(each.host))
                uninformed.push_back(each);
        }
    }
    return uninformed;
}

void coordinator::impl::recordInformed(instant now, const host_id& witness)
{
    m_informed.insert(witness);
    if (m_earlierRenewalsEnded)
        return;
    if (preventsEarlierQuorums())
        endEarlierRenewals(now);
    // A holder steps down when it reads a higher epoch, before it answers.
    if (m_onlyEarlierHolder == witness && !m_row.lostEpochs) {
        m_earlierRenewalsEnded = true;
        m_earlierAuthorityEnds = now;
    }
}

std::vector<std::vector<host_run>> coordinator::impl::ownWitnessSets() const
{
    std::vector<std::vector<host_run>> sets { m_row.witnesses };
    // A write whose outcome is not known may have stored its witnesses in the row.
    if (m_rowWriter.isPending())
        sets.push_back(m_pendingRow.witnesses);
    return sets;
}

bool coordinator::impl::authorityNearExpiry(instant now) const
{
    return now + m_options.times.authority / 2 >= m_authorityUntil;
}

void coordinator::impl::tickWitnessRounds(instant now)
{
    const auto& times = m_options.times;
    const auto outageEnds = m_takeoverTime + times.maxOutage + times.authority + times.clockMargin;
    if (!m_earlierRenewalsEnded && now >= outageEnds)
        endEarlierRenewals(now);
    if (now < m_nextRound)
        return;
    std::vector<std::vector<host_run>> sets;
    if (authorityNearExpiry(now))
        sets = ownWitnessSets();
    if (!m_earlierRenewalsEnded)
        sets.push_back(uninformedWitnesses());
    if (sets.empty())
        return;
    askWitnesses(now, sets);
    const auto asked = static_cast<std::int64_t>(m_rounds.back().asked.size());
    m_nextRound = now + std::max(times.witnessRound, asked * roundPerWitnessMs);
}

void coordinator::impl::askWitnesses(instant now, const std::vector<std::vector<host_run>>& sets)
{
    std::set<host_id> hosts;
    for (const auto& set : sets) {
        for (const auto& each : set)
            hosts.insert(each.host);
    }
    const auto successor = successorToAsk(now);
    detail::witness_round round;
    round.sent = now;
    if (m_witness.answer().highest == m_row.number) {
        round.agreed.insert(m_options.self);
        recordInformed(now, m_options.self.host);
    }
    for (const auto& each : hosts) {
        if (each == m_options.self.host)
            continue;
        const auto request = m_ids.nextRequest();
        round.asked.emplace(request, each);
        m_actions.push_back(ask_witness { request, each, m_row.number, each == successor });
    }
    m_rounds.push_back(std::move(round));
    if (m_rounds.size() > maxRounds)
        m_rounds.pop_front();
    evaluateRound(m_rounds.back());
}

// Without the store no keys move, so hot keys and leaving targets wait, while other hosts may still
// reach the store. It is not known which, so they are asked in turn. A takeover delays moves by a
// lease, so a short outage is not worth one.
std::optional<host_id> coordinator::impl::successorToAsk(instant now) const
{
    const auto& times = m_options.times;
    const auto since = m_storeConfirmed + 2 * times.authority;
    if (m_role != role::Holder || m_stopping || now < since)
        return {};
    std::vector<host_id> others;
    for (const auto& each : m_live) {
        if (each.host != m_options.self.host)
            others.push_back(each.host);
    }
    const auto ranked = rankCoordinators(m_options.service, others, m_millicores);
    if (ranked.empty())
        return {};
    const auto turn = static_cast<std::size_t>((now - since) / times.successorWait);
    return ranked[turn % ranked.size()];
}

void coordinator::impl::on(instant now, const witness_answered& received)
{
    const auto round = std::find_if(m_rounds.begin(), m_rounds.end(), [&](const auto& each) {
        const auto asked = each.asked.find(received.request);
        return asked != each.asked.end() && asked->second == received.host;
    });
    if (round == m_rounds.end() || !received.answer.highest)
        return;
    if (m_row.number < *received.answer.highest) {
        m_highestReported = std::max(m_highestReported, *received.answer.highest);
        stepDown(now, "a witness read a higher epoch");
        return;
    }
    if (*received.answer.highest != m_row.number)
        return;
    const host_run witness { received.host, received.answer.run };
    round->agreed.insert(witness);
    recordInformed(now, witness.host);
    evaluateRound(*round);
}

void coordinator::impl::evaluateRound(const detail::witness_round& round)
{
    const auto& times = m_options.times;
    const bool tooLong = round.sent >= m_storeConfirmed + times.maxOutage;
    if (!tooLong && hasOwnQuorums(round.agreed))
        m_authorityUntil = std::max(m_authorityUntil, round.sent + times.authority);
}

void coordinator::impl::endEarlierRenewals(instant now)
{
    m_earlierRenewalsEnded = true;
    m_earlierAuthorityEnds = now + m_options.times.authority + m_options.times.clockMargin;
}

instant coordinator::impl::earlierLeasesEnd() const
{
    const auto& times = m_options.times;
    const auto lease = times.targetLease + times.clockMargin;
    if (m_earlierRenewalsEnded)
        return m_earlierAuthorityEnds + lease;
    return m_takeoverTime + times.maxOutage + times.authority + lease;
}

void coordinator::impl::on(instant now, const witness_asked& received)
{
    m_witnessQueries.push_back(received.query);
    const bool isInvitation = received.takeOver && m_role == role::Standby;
    if (isInvitation)
        m_invitedBy = received.asked;
    const bool hasRead = m_witness.answer().highest >= received.asked;
    if (hasRead)
        answerQueries();
    if ((!hasRead || isInvitation) && !m_pollRequest)
        poll(now);
}

} // namespace pimentomast::ownership
