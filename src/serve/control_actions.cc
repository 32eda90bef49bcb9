#include "control.h"

#include "pimentomast/telemetry.h"

#include <boost/asio/post.hpp>

/// Carries out what the coordinators ask for: rows, grants, witnesses, holds and routes.
namespace pimentomast::serve::detail {
namespace {

constexpr unsigned grantsPerTarget = 3;
constexpr std::chrono::milliseconds peerTimeoutMs { 400 };
constexpr std::chrono::milliseconds holdTimeoutMs { 50 };

} // namespace

void control::perform(const service_id& service, const std::vector<ownership::action>& todo)
{
    for (const auto& action : todo)
        std::visit([&](const auto& order) { perform(service, order); }, action);
}

void control::perform(const service_id& service, const ownership::read_row& order)
{
    boost::asio::post(m_storePool, [this, service, order] {
        const auto row = m_store.read(order.key);
        if (row)
            deliver(service, ownership::row_read { order.request, row.value() });
        else
            deliver(service, ownership::row_read_failed { order.request });
    });
}

void control::perform(const service_id& service, const ownership::write_row& order)
{
    boost::asio::post(m_storePool, [this, service, order] {
        auto outcome = m_store.write(order.key, order.expected, order.value, order.writer);
        deliver(service, ownership::write_finished { order.request, std::move(outcome) });
    });
}

void control::perform(const service_id& service, const ownership::send_grant& order)
{
    if (!beginGrant(order.target)) {
        boost::asio::post(m_grantPool, [this, service, order] {
            deliver(service, ownership::target_failed { order.request, order.target });
        });
        return;
    }
    boost::asio::post(m_grantPool, [this, service, order] {
        const auto answer = m_grants->send(order);
        endGrant(order.target);
        deliver(service, answer);
        const auto* taken = std::get_if<ownership::target_acknowledged>(&answer);
        if (taken && taken->reply.load.slots > 0)
            m_calls.report(order.target, taken->reply.target, taken->reply.load);
    });
}

bool control::beginGrant(const target_id& target)
{
    const std::lock_guard guard(m_grantLock);
    auto& running = m_grantsRunning[target];
    if (running >= grantsPerTarget)
        return false;
    ++running;
    return true;
}

void control::endGrant(const target_id& target)
{
    const std::lock_guard guard(m_grantLock);
    --m_grantsRunning[target];
}

void control::perform(const service_id& service, const ownership::ask_witness& order)
{
    if (order.host == m_options.self.host) {
        const auto answer = answerWitness(service, order.asked);
        deliver(service, ownership::witness_answered { order.request, order.host, answer });
        return;
    }
    const auto peer = m_book.find(order.host);
    if (!peer)
        return;
    wire::WitnessRequest request;
    request.set_service(service.value());
    request.set_host(m_options.self.host.value());
    request.set_epoch(order.asked.value());
    peer->witness(request, peerTimeoutMs, [this, service, order](result<wire::WitnessReply> reply) {
        if (!reply)
            return;
        ownership::witness_answer answer { incarnation { reply.value().incarnation() }, {} };
        if (reply.value().read())
            answer.highest = epoch { reply.value().epoch() };
        deliver(service, ownership::witness_answered { order.request, order.host, answer });
    });
}

// Witnesses are answered by answerWitness(), which takes this action's answer itself.
void control::perform(const service_id&, const ownership::answer_witness&) { }

void control::perform(const service_id&, const ownership::publish_assignment& order)
{
    m_calls.publish(order.value);
}

void control::perform(const service_id& service, const ownership::hold_slice& order)
{
    const ownership::hold_answered answered { order.request, order.host };
    if (order.host == m_options.self.host) {
        m_routes.hold(service, order.range, order.version, monotonic_clock::now() + order.hold);
        deliver(service, answered);
        return;
    }
    const auto peer = m_book.find(order.host);
    if (!peer) {
        deliver(service, answered);
        return;
    }
    wire::HoldRequest request;
    request.set_service(service.value());
    request.set_epoch(order.version.coordinator.value());
    request.set_sequence(order.version.assignment.value());
    request.set_first(order.range.first.value());
    request.set_last(order.range.last.value());
    request.set_hold_ms(static_cast<std::uint32_t>(order.hold.count()));
    peer->hold(request, holdTimeoutMs,
        [this, service, answered](const auto&) { deliver(service, answered); });
}

void control::renewOwnRoute(const service_id& service, const ownership::renew_route& order)
{
    const auto now = monotonic_clock::now();
    const auto versions = m_routes.renewRoute(now, service, order);
    deliver(service,
        ownership::route_acknowledged { order.request, order.host, m_options.self.run, clockUs(now),
            versions.confirmed, versions.known });
}

void control::perform(const service_id& service, const ownership::renew_route& order)
{
    if (order.host == m_options.self.host) {
        renewOwnRoute(service, order);
        return;
    }
    const auto peer = m_book.find(order.host);
    if (!peer)
        return;
    peer->renewRoute(toWire(service, order), peerTimeoutMs,
        [this, service, order](result<wire::RouteRenewalReply> reply) {
            if (!reply)
                return;
            const auto& answer = reply.value();
            deliver(service, fromWire(answer, order));
        });
}

void control::perform(const service_id& service, const ownership::role_changed& order)
{
    telemetry::log(telemetry::severity::Info, "role-changed",
        { { "service", service.value() }, { "role", std::string(name(order.now)) },
            { "epoch", std::to_string(order.number.value()) }, { "reason", order.reason } });
}

} // namespace pimentomast::serve::detail
