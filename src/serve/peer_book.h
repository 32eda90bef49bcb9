#pragma once

#include "pimentomast/membership.h"
#include "pimentomast/peers.h"

#include <functional>
#include <map>
#include <mutex>

namespace pimentomast::serve::detail {

/// The other hosts and the clients that call them. Thread-safe; its lock is innermost.
class peer_book {
public:
    using client_pointer = std::shared_ptr<peers::client>;

    explicit peer_book(membership::host_view view)
        : m_view(std::move(view))
    {
    }

    void list(instant now, const std::vector<store::listed_host>& hosts);
    void sight(instant now, const membership::peer_contact& seen);
    void relay(instant now, const std::vector<membership::heard_host>& heard);
    [[nodiscard]] std::vector<membership::heard_host> heard(instant now);
    void setLeaving(bool leaving);

    [[nodiscard]] std::vector<membership::member> live(instant now) const;
    /// Returns whether the platform's list was read and each host on it that stays is live.
    [[nodiscard]] bool complete(instant now) const;
    [[nodiscard]] unsigned connectionSharers(instant now) const;
    /// Returns the peers to call in this round of exchange.
    [[nodiscard]] std::vector<client_pointer> exchangePeers(instant now);
    /// Returns every other host that is listed or live.
    [[nodiscard]] std::vector<client_pointer> all(instant now);
    /// Returns the client of a host, or null if its address is unknown.
    [[nodiscard]] client_pointer find(const host_id& id);

    /// Forgets all clients and waits for their calls; from then on no client is found.
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
