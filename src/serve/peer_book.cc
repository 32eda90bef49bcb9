#include "peer_book.h"

namespace pimentomast::serve::detail {

void peer_book::list(instant now, const std::vector<store::listed_host>& hosts)
{
    const std::lock_guard guard(m_lock);
    m_view.replaceList(now, hosts);
}

void peer_book::sight(instant now, const membership::peer_contact& seen)
{
    const std::lock_guard guard(m_lock);
    m_view.recordContact(now, seen);
}

void peer_book::relay(instant now, const std::vector<membership::heard_host>& heard)
{
    const std::lock_guard guard(m_lock);
    m_view.mergeHeard(now, heard);
}

std::vector<membership::heard_host> peer_book::heard(instant now)
{
    const std::lock_guard guard(m_lock);
    return m_view.sampleHeard(now);
}

void peer_book::setLeaving(bool leaving)
{
    const std::lock_guard guard(m_lock);
    m_view.setLeaving(leaving);
}

std::vector<membership::member> peer_book::live(instant now) const
{
    const std::lock_guard guard(m_lock);
    return m_view.live(now);
}

bool peer_book::complete(instant now) const
{
    const std::lock_guard guard(m_lock);
    return m_view.complete(now);
}

unsigned peer_book::connectionSharers(instant now) const
{
    const std::lock_guard guard(m_lock);
    return m_view.connectionSharers(now);
}

std::vector<peer_book::client_pointer> peer_book::exchangePeers(instant now)
{
    const std::lock_guard guard(m_lock);
    return clientsOf(m_view.exchangePeers(now));
}

std::vector<peer_book::client_pointer> peer_book::all(instant now)
{
    const std::lock_guard guard(m_lock);
    return clientsOf(m_view.allPeers(now));
}

peer_book::client_pointer peer_book::find(const host_id& id)
{
    const std::lock_guard guard(m_lock);
    const auto address = m_view.find(id);
    return address ? clientOf(*address) : nullptr;
}

void peer_book::close()
{
    std::map<endpoint, client_pointer> closing;
    {
        const std::lock_guard guard(m_lock);
        m_closed = true;
        closing.swap(m_clients);
    }
    closing.clear();
}

peer_book::client_pointer peer_book::clientOf(const endpoint& address)
{
    if (m_closed)
        return nullptr;
    auto& known = m_clients[address];
    if (!known)
        known = peers::client::create(address);
    return known;
}

std::vector<peer_book::client_pointer> peer_book::clientsOf(const std::vector<endpoint>& addresses)
{
    std::vector<client_pointer> found;
    for (const auto& address : addresses) {
        if (auto client = clientOf(address))
            found.push_back(std::move(client));
    }
    return found;
}

} // namespace pimentomast::serve::detail
