#include "coordinator_driver.h"

#include "pimentomast/telemetry.h"

/// Carries out the coordinators' actions on rows, grants, witnesses, holds and routes.
namespace pimentomast::serve::detail {
namespace {

constexpr unsigned maxGrantsPerTarget = 3;
constexpr std::chrono::milliseconds peerTimeoutMs { 400 };
constexpr std::chrono::milliseconds holdTimeoutMs { 50 };

/// Returns why a write had no effect or may have had none; null if it was accepted or another write
/// came first.
const error* failureOf(const store::write_outcome& outcome)
{
    if (const auto* refused = std::get_if<store::write_refused>(&outcome))
        return &refused->cause;
    const auto* unknown = std::get_if<store::write_unknown>(&outcome);
    return unknown ? &unknown->cause : nullptr;
}

bool isSameHold(const ownership::hold_slices& a, const ownership::hold_slices& b)
{
    return a.hold == b.hold && a.version == b.version && a.ranges == b.ranges;
}

} // namespace

// Only the first of several failures in a row is logged: a write is repeated many times a second.
void coordinator_driver::logIfNotWritten(
    const ownership::write_row& action, const store::write_outcome& outcome)
{
    const auto* failure = failureOf(outcome);
    const std::lock_guard guard(m_failingRowsLock);
    if (!failure) {
        m_failingRows.erase(action.key);
        return;
    }
    if (m_failingRows.insert(action.key).second)
        telemetry::log(telemetry::severity::Warning, "row-not-written",
            { { "row", action.key }, { "bytes", std::to_string(action.value.size()) },
                { "reason", failure->text() } });
}

void coordinator_driver::perform(
    const service_id& service, const std::vector<ownership::action>& actions)
{
    std::vector<const ownership::hold_slices*> holds;
    for (const auto& each : actions) {
        const auto* hold = std::get_if<ownership::hold_slices>(&each);
        if (!holds.empty() && (!hold || !isSameHold(*holds.front(), *hold)))
            sendHolds(service, std::exchange(holds, {}));
        if (hold && hold->host != m_options.self.host)
            holds.push_back(hold);
        else
            std::visit([&](const auto& action) { perform(service, action); }, each);
    }
    if (!holds.empty())
        sendHolds(service, holds);
}

// Before what was read or written: a row that is absent has no version that tells its era.
void coordinator_driver::deliverEra(const service_id& service)
{
    if (const auto era = m_store.era().era; era > 0)
        deliver(service, ownership::store_restored { era });
}

void coordinator_driver::perform(const service_id& service, const ownership::read_row& action)
{
    m_storePool.push([this, service, action] {
        const auto row = m_store.read(action.key);
        deliverEra(service);
        if (row)
            deliver(service, ownership::row_read { action.request, row.value() });
        else
            deliver(service, ownership::row_read_failed { action.request });
    });
}

void coordinator_driver::perform(const service_id& service, const ownership::write_row& action)
{
    m_storePool.push([this, service, action] {
        auto outcome = m_store.write(action.key, action.expected, action.value, action.writer);
        logIfNotWritten(action, outcome);
        deliverEra(service);
        deliver(service, ownership::write_finished { action.request, std::move(outcome) });
    });
}

void coordinator_driver::perform(const service_id& service, const ownership::send_grant& action)
{
    if (!tryBeginGrant(action.target)) {
        m_grantPool.push([this, service, action] {
            deliver(service, ownership::target_failed { action.request, action.target, false });
        });
        return;
    }
    m_grantPool.push([this, service, action] {
        const auto answer = m_grants->send(action);
        endGrant(action.target);
        deliver(service, answer);
        const auto* taken = std::get_if<ownership::target_acknowledged>(&answer);
        if (taken && taken->reply.load.slots > 0)
            m_callbacks.report(action.target, taken->reply.target, taken->reply.load);
    });
}

bool coordinator_driver::tryBeginGrant(const target_id& target)
{
    const std::lock_guard guard(m_grantLock);
    auto& running = m_grantsRunning[target];
    if (running >= maxGrantsPerTarget)
        return false;
    ++running;
    return true;
}

void coordinator_driver::endGrant(const target_id& target)
{
    const std::lock_guard guard(m_grantLock);
    --m_grantsRunning[target];
}

void coordinator_driver::perform(const service_id& service, const ownership::ask_witness& action)
{
    if (action.host == m_options.self.host) {
        const auto answer = answerWitness(service, action.asked, false);
        deliver(service, ownership::witness_answered { action.request, action.host, answer });
        return;
    }
    const auto peer = m_peerRegistry.find(action.host);
    if (!peer)
        return;
    wire::WitnessRequest request;
    request.set_service(service.value());
    request.set_host(m_options.self.host.value());
    request.set_epoch(action.asked.value());
    request.set_take_over(action.takeOver);
    peer->witness(
        request, peerTimeoutMs, [this, service, action](result<wire::WitnessReply> reply) {
            if (!reply)
                return;
            ownership::witness_answer answer { incarnation { reply.value().incarnation() }, {} };
            if (reply.value().read())
                answer.highest = epoch { reply.value().epoch() };
            deliver(service, ownership::witness_answered { action.request, action.host, answer });
        });
}

// answerWitness() takes the answer out of this action itself and returns it to the asking host.
void coordinator_driver::perform(const service_id&, const ownership::answer_witness&) { }

void coordinator_driver::perform(const service_id&, const ownership::publish_assignment& action)
{
    m_callbacks.publish(action.value);
}

void coordinator_driver::perform(const service_id& service, const ownership::hold_slices& action)
{
    if (action.host == m_options.self.host)
        holdHere(service, action);
    else
        sendHold(service, action, {});
}

void coordinator_driver::holdHere(const service_id& service, const ownership::hold_slices& action)
{
    const auto until = monotonic_clock::now() + action.hold;
    for (const auto& range : action.ranges)
        m_routes.hold(service, range, action.version, until);
    deliver(service, ownership::hold_answered { action.request, action.host });
}

void coordinator_driver::sendHolds(
    const service_id& service, const std::vector<const ownership::hold_slices*>& actions)
{
    std::map<endpoint, const ownership::hold_slices*> byAddress;
    std::vector<membership::relay_candidate> receivers;
    for (const auto* action : actions) {
        const auto peer = m_peerRegistry.find(action->host);
        if (!peer || !byAddress.emplace(peer->address(), action).second) {
            sendHold(service, *action, {});
            continue;
        }
        receivers.push_back({ peer->address(), millicoresOf(action->host), true });
    }
    for (const auto& group :
        membership::groupByRelay(std::move(receivers), actions.front()->request.value())) {
        std::vector<ownership::hold_slices> others;
        for (const auto& address : group.others)
            others.push_back(*byAddress.at(address));
        sendHold(service, *byAddress.at(group.relay), others);
    }
}

unsigned coordinator_driver::millicoresOf(const host_id& host) const
{
    const std::lock_guard guard(m_lock);
    const auto found = m_members.millicores.find(host);
    return found == m_members.millicores.end() ? 0 : found->second;
}

void coordinator_driver::sendHold(const service_id& service, const ownership::hold_slices& action,
    const std::vector<ownership::hold_slices>& others)
{
    const ownership::hold_answered answered { action.request, action.host };
    const auto peer = m_peerRegistry.find(action.host);
    if (!peer)
        return deliver(service, answered);
    auto request = toWire(service, action);
    for (const auto& each : others) {
        if (const auto receiver = m_peerRegistry.find(each.host))
            *request.add_forward_to() = toWire(receiver->address());
    }
    peer->hold(request, holdTimeoutMs, [this, service, answered, others](const auto& reply) {
        deliver(service, answered);
        for (const auto& each : others) {
            if (reply)
                deliver(service, ownership::hold_answered { each.request, each.host });
            else
                sendHold(service, each, {});
        }
    });
}

void coordinator_driver::renewOwnRoute(
    const service_id& service, const ownership::renew_route& action)
{
    const auto now = monotonic_clock::now();
    const auto versions = m_routes.renewRoute(now, service, action);
    deliver(service,
        ownership::route_acknowledged { action.request, action.host, m_options.self.run,
            clockUs(now), versions.confirmed, versions.known });
}

void coordinator_driver::perform(const service_id& service, const ownership::renew_route& action)
{
    if (action.host == m_options.self.host) {
        renewOwnRoute(service, action);
        return;
    }
    const auto peer = m_peerRegistry.find(action.host);
    if (!peer)
        return;
    peer->renewRoute(toWire(service, action), peerTimeoutMs,
        [this, service, action](result<wire::RouteRenewalReply> reply) {
            if (!reply)
                return;
            const auto& answer = reply.value();
            deliver(service, fromWire(answer, action));
        });
}

void coordinator_driver::perform(const service_id& service, const ownership::role_changed& action)
{
    telemetry::log(telemetry::severity::Info, "role-changed",
        { { "service", service.value() }, { "role", std::string(name(action.now)) },
            { "epoch", std::to_string(action.number.value()) }, { "reason", action.reason } });
}

} // namespace pimentomast::serve::detail
