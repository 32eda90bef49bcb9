#include "gossip.h"

/// What a host tells others of requests that crash targets.
namespace pimentomast::serve::detail {

void gossip::broadcastCrash(const routing::crash& crash)
{
    const std::lock_guard guard(m_crashLock);
    m_crashes.add(crash);
}

void gossip::sendNewCrashes(instant now)
{
    std::vector<routing::crash> batch;
    {
        const std::lock_guard guard(m_crashLock);
        batch = m_crashes.takeBatch(now);
    }
    if (batch.empty())
        return;
    wire::Digest message = digest(now);
    for (const auto& crash : batch)
        *message.add_crashes() = toWire(crash, now);
    for (const auto& each : m_peerRegistry.relayRoutes(now))
        exchangeWith(each, message, now, gossipTimeoutMs);
}

bool gossip::sendsAllCrashes(instant now, std::uint64_t ofPeer)
{
    const std::uint64_t own = m_callbacks.crashesHash();
    const std::lock_guard guard(m_crashLock);
    return m_crashes.sendsAll(now, own, ofPeer);
}

} // namespace pimentomast::serve::detail
