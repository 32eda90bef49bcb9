#include "gossip.h"

#include <boost/asio/post.hpp>

namespace pimentomast::serve::detail {
namespace {

/// The host that polls the store is elected like the coordinator of a service with this name.
constexpr auto storePollerElection = "tables";

} // namespace

void gossip::electStorePoller(instant now)
{
    std::vector<host_id> live;
    ownership::host_millicores millicores;
    for (const auto& each : m_peerRegistry.live(now)) {
        live.push_back(each.id);
        millicores.emplace(each.id, each.millicores);
    }
    m_storePoller
        = ownership::preferredCoordinator(service_id { storePollerElection }, live, millicores)
              .value_or(host_id {});
    if (!m_options.tableSource)
        return;
    m_isStorePoller = m_storePoller == m_options.self;
    m_options.tableSource->setDesignatedPoller(m_isStorePoller);
}

void gossip::exchangeWithAll()
{
    if (!m_options.tableSource)
        return;
    const auto now = monotonic_clock::now();
    auto pushed = m_options.tableSource->standing();
    {
        const std::lock_guard guard(m_lock);
        std::swap(pushed, m_pushed);
    }
    if (!m_isStorePoller)
        return;
    auto message = digest(now);
    addChanges(m_options.tableSource->changesAfter(pushed), message);
    message.set_versions_only(true);
    for (const auto& each : m_peerRegistry.relayRoutes(now))
        exchangeWith(each, message, now, pushTimeoutMs);
}

// A new table waits for locks of the router, so it is not put in force on the thread of a call.
void gossip::applyPeerTables(const table_standing& standing, const row_changes& changes)
{
    if (changes.rows.empty() && !changes.complete)
        return m_options.tableSource->receivePeerStanding(standing);
    const auto arrived = monotonic_clock::now();
    boost::asio::post(m_pool, [this, standing, changes, arrived] {
        m_options.tableSource->receivePeerRows(changes);
        m_options.tableSource->receivePeerStanding(standing);
        m_callbacks.tablesWaited(monotonic_clock::now() - arrived);
    });
}

// The transit time of the message is unknown, so it does not tell when the store was confirmed.
void gossip::receiveTables(const wire::Digest& digest, instant now)
{
    if (!m_options.tableSource || !digest.has_standing())
        return;
    auto standing = standingIn(digest, now);
    standing.targets.confirmedAt = {};
    standing.configuration.confirmedAt = {};
    applyPeerTables(standing, changesIn(digest));
}

void gossip::addChangedRows(const wire::Digest& digest, instant now, wire::Update& update)
{
    if (m_options.tableSource && digest.has_standing() && !digest.versions_only())
        addChanges(m_options.tableSource->changesAfter(standingIn(digest, now)), update);
}

} // namespace pimentomast::serve::detail
