#include "pimentomast/membership.h"

#include <algorithm>

namespace pimentomast::membership {

void poll_schedule::recordPoll(instant sentAt, bool changed)
{
    if (m_mismatch && !changed)
        m_ignoreMismatchUntil = sentAt + m_options.maxAgeMs;
    m_mismatch = false;
    m_polledAt = sentAt;
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
}

void poll_schedule::recordPeerState(instant seenAt, bool same)
{
    if (same)
        m_confirmedAt = std::max(m_confirmedAt, seenAt);
    else if (m_polledAt < seenAt && m_ignoreMismatchUntil <= seenAt)
        m_mismatch = true;
}

instant poll_schedule::nextPollAt() const noexcept
{
    if (m_mismatch)
        return m_polledAt;
    return m_isLeader ? m_polledAt + m_options.leaderIntervalMs
                      : m_confirmedAt + m_options.maxAgeMs;
}

} // namespace pimentomast::membership
