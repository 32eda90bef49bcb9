#include "gossip.h"

#include <boost/asio/post.hpp>

/// Publication of assignments to the other hosts.
namespace pimentomast::serve::detail {
namespace {

/// Returns the service whose assignment is published, if there is one.
std::optional<service_id> serviceOf(const wire::Notice& notice)
{
    for (const auto& each : notice.changes())
        return service_id { each.service() };
    for (const auto& each : notice.assignments())
        return service_id { each.service() };
    return {};
}

/// Returns the version that the receivers of the notice have once they have applied it.
token versionIn(const wire::Notice& notice)
{
    for (const auto& each : notice.changes())
        return { epoch { each.epoch() }, sequence { each.sequence() } };
    for (const auto& each : notice.assignments())
        return { epoch { each.epoch() }, sequence { each.sequence() } };
    return {};
}

} // namespace

void gossip::applyAssignment(const wire::Assignment& message)
{
    const auto value = fromWire(message);
    if (!value)
        throw failure(value.error());
    m_callbacks.putAssignment(value.value(), host_id { message.coordinator() });
}

void gossip::applyChange(const wire::AssignmentChange& message)
{
    const auto change = fromWire(message);
    const auto current = m_routes.assignmentOf(change.service);
    if (!current || current->version() != change.base)
        return;
    const auto value = ownership::apply(*current, change);
    if (!value)
        throw failure(value.error());
    m_callbacks.putAssignment(value.value(), host_id { message.coordinator() });
}

// Only the change is sent: the whole assignment of a large service, sent to each host for each
// commit, fills the links of the coordinator and of the slowest hosts.
void gossip::publish(const ownership::assignment& value)
{
    const auto notice = std::make_shared<wire::Notice>();
    notice->set_host(m_options.self.value());
    const auto base = exchangePublished(value);
    if (base && base->coordinator == value.coordinator)
        *notice->add_changes() = toWire(ownership::difference(*base, value), m_options.self);
    else
        *notice->add_assignments() = toWire(value, m_options.self);
    for (const auto& each : m_peerRegistry.relayRoutes(monotonic_clock::now()))
        publishTo(each, notice, value.service);
}

void gossip::relay(const wire::Notice& received)
{
    const auto service = serviceOf(received);
    if (!service || received.forward_to().empty())
        return;
    const auto notice = std::make_shared<wire::Notice>(received);
    notice->clear_forward_to();
    for (const auto& peer : m_peerRegistry.clientsAt(forwardIn(received)))
        publishTo({ peer, {} }, notice, *service);
}

std::optional<ownership::assignment> gossip::exchangePublished(const ownership::assignment& value)
{
    const std::lock_guard guard(m_lock);
    auto& published = m_published[value.service];
    // Publications of two steps may arrive here in either order.
    if (published && published->version() >= value.version())
        return {};
    return std::exchange(published, value);
}

void gossip::publishTo(const peer_registry::relay_route& to,
    const std::shared_ptr<const wire::Notice>& notice, const service_id& service)
{
    const std::weak_ptr receiver = to.relay;
    auto sent = *notice;
    addForward(to.others, sent);
    to.relay->publish(sent, gossipTimeoutMs, [=, this, others = to.others](auto reply) {
        // The last owner of a client must not be one of its own handlers.
        if (!reply) {
            boost::asio::post(m_pool, [=, this] {
                for (const auto& peer : m_peerRegistry.clientsAt(others))
                    publishTo({ peer, {} }, notice, service);
            });
            return;
        }
        const auto known = directory::versionIn(reply.value().assignments(), service);
        if (known < versionIn(*notice))
            boost::asio::post(m_pool,
                [this, receiver, service, known] { catchUp(receiver.lock(), service, known); });
    });
}

// A host that lacks the base of a change gets the whole assignment.
void gossip::catchUp(
    const peer_registry::client_pointer& peer, const service_id& service, token known)
{
    if (!peer || known >= m_routes.version(service))
        return;
    const auto newest = m_routes.assignmentOf(service);
    if (!newest)
        return;
    wire::Notice whole;
    whole.set_host(m_options.self.value());
    *whole.add_assignments() = toWire(*newest, m_routes.coordinator(service));
    peer->publish(whole, gossipTimeoutMs, [](const auto&) {});
}

} // namespace pimentomast::serve::detail
