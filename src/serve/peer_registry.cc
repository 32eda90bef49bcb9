#include "peer_registry.h"

namespace pimentomast::serve::detail {

void peer_registry::setListedHosts(instant now, const std::vector<store::listed_host>& hosts)
{
    const std::lock_guard guard(m_lock);
    m_view.replaceList(now, hosts);
}

void peer_registry::recordSighting(instant now, const membership::peer_contact& seen)
{
    const std::lock_guard guard(m_lock);
    m_view.recordContact(now, seen);
}

void peer_registry::recordRelayed(instant now, const std::vector<membership::heard_host>& heard)
{
    const std::lock_guard guard(m_lock);
    m_view.mergeHeard(now, heard);
}

std::vector<membership::heard_host> peer_registry::heardHosts(instant now)
{
    const std::lock_guard guard(m_lock);
    return m_view.sampleHeard(now);
}

void peer_registry::setLeaving(bool leaving)
{
    const std::lock_guard guard(m_lock);
    m_view.setLeaving(leaving);
}

std::vector<membership::member> peer_registry::live(instant now) const
{
    const std::lock_guard guard(m_lock);
    return m_view.live(now);
}

bool peer_registry::complete(instant now) const
{
    const std::lock_guard guard(m_lock);
    return m_view.complete(now);
}

std::vector<host_id> peer_registry::listed() const
{
    const std::lock_guard guard(m_lock);
    return m_view.listed();
}

unsigned peer_registry::connectionSharers(instant now) const
{
    const std::lock_guard guard(m_lock);
    return m_view.connectionSharers(now);
}

std::vector<peer_registry::client_pointer> peer_registry::exchangePeers(instant now)
{
    const std::lock_guard guard(m_lock);
    return clientsOf(m_view.exchangePeers(now));
}

std::vector<peer_registry::client_pointer> peer_registry::allPeers(instant now)
{
    const std::lock_guard guard(m_lock);
    return clientsOf(m_view.allPeers(now));
}

std::vector<peer_registry::relay_route> peer_registry::relayRoutes(instant now)
{
    const std::lock_guard guard(m_lock);
    std::vector<relay_route> routes;
    for (auto& group : m_view.relayGroups(now)) {
        if (auto client = clientOf(group.relay))
            routes.push_back({ std::move(client), std::move(group.others) });
    }
    return routes;
}

std::vector<peer_registry::client_pointer> peer_registry::clientsAt(
    const std::vector<endpoint>& addresses)
{
    const std::lock_guard guard(m_lock);
    return clientsOf(addresses);
}

peer_registry::client_pointer peer_registry::find(const host_id& id)
{
    const std::lock_guard guard(m_lock);
    const auto address = m_view.find(id);
    return address ? clientOf(*address) : nullptr;
}

void peer_registry::close()
{
    std::map<endpoint, client_pointer> closing;
    {
        const std::lock_guard guard(m_lock);
        m_closed = true;
        closing.swap(m_clients);
    }
    closing.clear();
}

peer_registry::client_pointer peer_registry::clientOf(const endpoint& address)
{
    if (m_closed)
        return nullptr;
    auto& known = m_clients[address];
    if (!known)
        known = peers::client::create(address);
    return known;
}

std::vector<peer_registry::client_pointer> peer_registry::clientsOf(
    const std::vector<endpoint>& addresses)
{
    std::vector<client_pointer> found;
    for (const auto& address : addresses) {
        if (auto client = clientOf(address))
            found.push_back(std::move(client));
    }
    return found;
}

} // namespace pimentomast::serve::detail
