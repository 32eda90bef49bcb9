#include "pimentomast/membership.h"

#include <algorithm>

namespace pimentomast::membership {

void poll_schedule::recordPoll(instant sentAt, const row_state& read)
{
    recordRows(read);
    m_polledAt = sentAt;
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
}

void poll_schedule::recordRows(const row_state& now)
{
    const bool unchanged = now.content == m_rows.content;
    if (m_newer && unchanged && m_newer->rows.version <= now.version)
        m_disproved = m_newer->rows.content;
    m_rows = { now.content, std::max(now.version, m_rows.version) };
    dropReachedPeer();
}

void poll_schedule::recordChanges(row_version after, row_version until)
{
    if (m_rows.version < after || until <= m_rows.version)
        return;
    m_rows.version = until;
    dropReachedPeer();
}

void poll_schedule::recordPeerState(instant now, const row_state& peer, instant confirmedAt)
{
    if (peer.content == m_rows.content) {
        m_rows.version = std::max(m_rows.version, peer.version);
        m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
        dropReachedPeer();
    } else if (peer.version > m_rows.version && peer.content != m_disproved) {
        m_newer = { peer, m_newer ? m_newer->seenAt : now };
    }
}

// A state of an earlier version cannot tell this host anything.
void poll_schedule::dropReachedPeer()
{
    const bool isReached = m_newer
        && (m_newer->rows.content == m_rows.content || m_newer->rows.version <= m_rows.version);
    if (isReached)
        m_newer.reset();
}

instant poll_schedule::nextPollAt() const noexcept
{
    const auto regular
        = m_isLeader ? m_polledAt + m_options.leaderIntervalMs : m_confirmedAt + m_options.maxAgeMs;
    if (!m_newer)
        return regular;
    return std::min(regular, std::max(m_newer->seenAt, m_polledAt) + m_options.newerPeerDelayMs);
}

} // namespace pimentomast::membership
