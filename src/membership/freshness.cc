#include "pimentomast/membership.h"

#include <algorithm>

namespace pimentomast::membership {

result<freshness> freshness::create(const freshness_options& options)
{
    const bool positive = options.confirmTimeoutMs.count() > 0 && options.minPollMs.count() > 0
        && options.readsPerSecond > 0;
    if (!positive)
        return error { "create freshness", "", "a time or the number of reads is not positive" };
    return freshness(options);
}

freshness::freshness(const freshness_options& options)
    : m_options(options)
{
}

bool freshness::offer(config_version offered)
{
    if (offered <= m_version)
        return false;
    m_version = offered;
    return true;
}

void freshness::recordStoreRead(instant sentAt, config_version read)
{
    if (!m_store || sentAt > m_store->at)
        m_store = confirmation { sentAt, read };
}

void freshness::recordPeerVersion(instant sentAt, const host_id& peer, config_version version)
{
    auto& last = m_peers[peer];
    if (sentAt > last.at)
        last = confirmation { sentAt, version };
}

bool freshness::confirmed(instant now, unsigned peers) const
{
    if (m_version == config_version {})
        return false;
    const auto confirms = [&](const confirmation& seen) {
        return seen.version <= m_version && now - seen.at <= m_options.confirmTimeoutMs;
    };
    if (m_store && confirms(*m_store))
        return true;
    const auto confirming = std::count_if(
        m_peers.begin(), m_peers.end(), [&](const auto& peer) { return confirms(peer.second); });
    // This host counts itself, but a host without peers never confirms its own version.
    return peers > 0 && 2 * (static_cast<unsigned>(confirming) + 1) > peers + 1;
}

duration freshness::pollInterval(unsigned hosts) const
{
    const std::chrono::microseconds share { 1'000'000ULL * hosts / m_options.readsPerSecond };
    return std::max<duration>(m_options.minPollMs, share);
}

} // namespace pimentomast::membership
