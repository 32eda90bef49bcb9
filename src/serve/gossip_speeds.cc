#include "gossip.h"

#include <boost/asio/post.hpp>

/// What the host that collects tells the others of the speed of targets.
namespace pimentomast::serve::detail {

void gossip::publish(const wire::SpeedFactors& speeds)
{
    const auto notice = std::make_shared<wire::Notice>();
    notice->set_host(m_options.self.value());
    *notice->mutable_speeds() = speeds;
    for (const auto& each : m_peerRegistry.relayRoutes(monotonic_clock::now()))
        publishSpeedsTo(each, notice);
}

// A message that is lost on its last way is not repeated: the next one carries all factors.
void gossip::publishSpeedsTo(
    const peer_registry::relay_route& to, const std::shared_ptr<const wire::Notice>& notice)
{
    auto sent = *notice;
    addForward(to.others, sent);
    to.relay->publish(sent, gossipTimeoutMs, [=, this, others = to.others](const auto& reply) {
        if (reply || others.empty())
            return;
        // The last owner of a client must not be one of its own handlers.
        boost::asio::post(m_pool, [=, this] {
            for (const auto& peer : m_peerRegistry.clientsAt(others))
                publishSpeedsTo({ peer, {} }, notice);
        });
    });
}

void gossip::applySpeeds(const wire::Notice& received)
{
    if (!received.forward_to().empty()) {
        const auto notice = std::make_shared<wire::Notice>(received);
        notice->clear_forward_to();
        for (const auto& peer : m_peerRegistry.clientsAt(forwardIn(received)))
            publishSpeedsTo({ peer, {} }, notice);
    }
    m_callbacks.applySpeeds(host_id { received.host() }, received.speeds());
}

} // namespace pimentomast::serve::detail
