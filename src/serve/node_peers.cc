#include "node.h"

#include <future>

/// Answers of a host to the calls of others.
namespace pimentomast::serve::detail {
namespace {

/// Leaves time for the way back to the coordinator.
constexpr std::chrono::milliseconds relayedHoldTimeoutMs { 35 };
/// Time that a relayed request has beyond the timeout of a call to the store, so that its outcome
/// is known if the store does not answer the other host.
constexpr std::chrono::milliseconds relayMarginMs { 100 };
/// Time after which another host's request is no longer carried out.
constexpr std::chrono::milliseconds maxRowWaitMs { 100 };

} // namespace

peers::wire::Update node::exchange(const peers::wire::Digest& digest)
{
    return m_gossip->exchange(digest);
}

peers::wire::NoticeReply node::publish(const peers::wire::Notice& notice)
{
    return m_gossip->applyNotice(notice);
}

peers::wire::WitnessReply node::witness(const peers::wire::WitnessRequest& request)
{
    const auto answer = m_coordinators->answerWitness(
        service_id { request.service() }, epoch { request.epoch() }, request.take_over());
    peers::wire::WitnessReply reply;
    reply.set_incarnation(answer.run.value());
    reply.set_read(answer.highest.has_value());
    if (answer.highest)
        reply.set_epoch(answer.highest->value());
    return reply;
}

void node::hold(
    const peers::wire::HoldRequest& request, peers::reply_sender<peers::wire::HoldReply> reply)
{
    const service_id service { request.service() };
    const token version { epoch { request.epoch() }, sequence { request.sequence() } };
    const auto until = monotonic_clock::now() + std::chrono::milliseconds(request.hold_ms());
    for (const auto& range : rangesOf(request))
        m_directory.hold(service, range, version, until);
    if (request.hold_ms() == 0)
        m_dispatch->ownersChanged(service);
    peers::wire::HoldReply held;
    held.set_incarnation(m_incarnation.value());
    relayHold(request, [held, reply = std::move(reply)] { reply(held); });
}

void node::relayHold(const peers::wire::HoldRequest& received, std::function<void()> done)
{
    const auto clients = m_peerRegistry->clientsAt(forwardIn(received));
    if (clients.empty())
        return done();
    auto relayed = received;
    relayed.clear_forward_to();
    const auto waiting = std::make_shared<std::atomic<std::size_t>>(clients.size());
    const auto answered = [waiting, done = std::move(done)](const auto&) {
        if (--*waiting == 0)
            done();
    };
    for (const auto& client : clients)
        client->hold(relayed, relayedHoldTimeoutMs, answered);
}

peers::wire::RouteRenewalReply node::renewRoute(const peers::wire::RouteRenewal& renewal)
{
    const service_id service { renewal.service() };
    const auto now = monotonic_clock::now();
    const auto versions = m_directory.renewRoute(now, service, fromWire(renewal));
    peers::wire::RouteRenewalReply reply;
    reply.set_incarnation(m_incarnation.value());
    reply.set_clock_us(clockUs(now));
    reply.set_epoch(versions.confirmed.coordinator.value());
    reply.set_sequence(versions.confirmed.assignment.value());
    reply.set_known_epoch(versions.known.coordinator.value());
    reply.set_known_sequence(versions.known.assignment.value());
    return reply;
}

peers::wire::LoadReply node::reportLoad(const peers::wire::LoadReport& report)
{
    if (!report.loads().empty())
        m_placement->addLoad(host_id { report.host() }, report);
    m_speed.add(report);
    return {};
}

void node::relayRow(
    const peers::wire::RowRequest& request, peers::reply_sender<peers::wire::RowReply> reply)
{
    m_rowJobs.push({ request, std::move(reply), monotonic_clock::now() });
}

// The sender has given up a request that waited for long, and settles it by reading the row.
void node::answerRow(const row_job& job)
{
    const bool isOutdated = monotonic_clock::now() - job.arrived >= maxRowWaitMs;
    job.reply(isOutdated ? peers::wire::RowReply {} : m_store.answer(job.request));
}

relaying_store::relay_call node::makeRelay()
{
    if (!m_values.store.relay)
        return {};
    return [this](const auto& request) { return relayToPeer(request); };
}

result<peers::wire::RowReply> node::relayToPeer(const peers::wire::RowRequest& request)
{
    auto hosts = m_peerRegistry->live(monotonic_clock::now());
    std::erase_if(hosts, [this](const auto& each) { return each.id == m_values.host.id; });
    if (hosts.empty())
        return peers::wire::RowReply {};
    const auto peer = m_peerRegistry->find(hosts[m_nextRelay % hosts.size()].id);
    if (!peer)
        return peers::wire::RowReply {};
    std::promise<result<peers::wire::RowReply>> received;
    peer->relayRow(request, m_values.store.timeoutMs + relayMarginMs,
        [&](result<peers::wire::RowReply> reply) { received.set_value(std::move(reply)); });
    auto reply = received.get_future().get();
    if (!reply || reply.value().outcome() == peers::wire::RowReply::UNAVAILABLE)
        ++m_nextRelay;
    return reply;
}

} // namespace pimentomast::serve::detail
