#pragma once

#include "pimentomast/membership.h"
#include "pimentomast/peers.h"

#include <functional>
#include <map>
#include <mutex>

namespace pimentomast::serve::detail {

/// The other hosts and the clients that call them. Thread-safe; its lock is innermost.
class peer_registry {
public:
    using client_pointer = std::shared_ptr<peers::client>;

    /// The client of a host, and the hosts to which that one passes a message on.
    struct relay_route {
        client_pointer relay;
        std::vector<endpoint> others;
    };

    explicit peer_registry(membership::host_view view)
        : m_view(std::move(view))
    {
    }

    void setListedHosts(instant now, const std::vector<store::listed_host>& hosts);
    void recordSighting(instant now, const membership::peer_contact& seen);
    void recordRelayed(instant now, const std::vector<membership::heard_host>& heard);
    [[nodiscard]] std::vector<membership::heard_host> heardHosts(instant now);
    void setLeaving(bool leaving);

    [[nodiscard]] std::vector<membership::member> live(instant now) const;
    /// Returns whether the platform's list was read and each host on it that is not leaving is
    /// live.
    [[nodiscard]] bool complete(instant now) const;
    /// Returns the hosts on the platform's list, sorted by id.
    [[nodiscard]] std::vector<host_id> listed() const;
    [[nodiscard]] unsigned connectionSharers(instant now) const;
    /// Returns the peers to call in this round of exchange.
    [[nodiscard]] std::vector<client_pointer> exchangePeers(instant now);
    /// Returns the clients of all other hosts that are listed or live.
    [[nodiscard]] std::vector<client_pointer> allPeers(instant now);
    /// Returns all other hosts that are listed or live, in groups for a message to each.
    [[nodiscard]] std::vector<relay_route> relayRoutes(instant now);
    [[nodiscard]] std::vector<client_pointer> clientsAt(const std::vector<endpoint>& addresses);
    /// Returns the client of a host, or null if its address is unknown.
    [[nodiscard]] client_pointer find(const host_id& id);

    /// Destroys all clients, which waits for their calls; afterwards no client is returned.
    void close();

private:
    [[nodiscard]] client_pointer clientOf(const endpoint& address);
    [[nodiscard]] std::vector<client_pointer> clientsOf(const std::vector<endpoint>& addresses);

    mutable std::mutex m_lock;
    membership::host_view m_view;
    std::map<endpoint, client_pointer> m_clients;
    bool m_closed = false;
};

} // namespace pimentomast::serve::detail
