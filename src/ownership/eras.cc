#include "coordinator_impl.h"

#include <algorithm>

/// The store came back from an older copy: rows of epochs and assignments may be lost.
namespace pimentomast::ownership {

void coordinator::impl::on(instant now, const store_restored& received)
{
    if (received.era <= m_era)
        return;
    m_era = received.era;
    m_witness.recordRead(epochFloor(m_era));
    // While this host had authority, no other holder has moved a slice, and the holder of a lost
    // epoch cannot commit a move in the restored store.
    const bool knowsGrants = m_role == role::Holder && hasAuthority(now) && !withholdsGrants(now);
    m_remembered = knowsGrants ? m_assignment : std::nullopt;
    // Answers under way are of the earlier era.
    m_pollRequest.reset();
    if (m_role == role::Standby || m_role == role::Stopped) {
        forgetObservation();
        m_nextPoll = now;
    } else {
        stepDown(now, "the store came back from an older copy");
    }
    answerQueries();
}

void coordinator::impl::noteEra(instant now, const std::optional<store::row>& row)
{
    if (row)
        on(now, store_restored { store::eraOf(row->version) });
}

void coordinator::impl::noteEra(instant now, const store::write_outcome& outcome)
{
    if (const auto* accepted = std::get_if<store::write_accepted>(&outcome))
        on(now, store_restored { store::eraOf(accepted->version) });
    else if (const auto* conflict = std::get_if<store::write_conflict>(&outcome))
        noteEra(now, conflict->current);
}

bool coordinator::impl::mayHaveLostSuccessors(epoch number) const noexcept
{
    return m_era > 0 && number <= epochFloor(m_era);
}

epoch coordinator::impl::nextEpoch() const
{
    auto highest = m_observedRow ? m_observedRow->number : epoch {};
    if (m_era > 0)
        highest = std::max({ highest, m_highestReported, epochFloor(m_era),
            m_witness.answer().highest.value_or(epoch {}) });
    return epoch { highest.value() + 1 };
}

// The witnesses of a lost epoch are not known. They were among the hosts that are live here, so few
// enough of these may be uninformed: one, since a quorum has at least two; or a quarter, which is
// no quorum of any set of at least half of them.
bool coordinator::impl::preventsLostQuorums() const
{
    const auto uninformed = std::count_if(m_possibleWitnesses.begin(), m_possibleWitnesses.end(),
        [&](const auto& host) { return !m_informed.contains(host); });
    return static_cast<std::size_t>(uninformed)
        <= std::max<std::size_t>(1, m_possibleWitnesses.size() / 4);
}

bool coordinator::impl::withholdsGrants(instant now) const
{
    const bool earlierLeasesEnded = m_earlierRenewalsEnded && now >= earlierLeasesEnd();
    return m_row.lostEpochs && !m_continues && !earlierLeasesEnded;
}

} // namespace pimentomast::ownership
