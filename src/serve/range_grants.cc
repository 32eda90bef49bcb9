#include "range_grants.h"

#include "pimentomast/telemetry.h"

namespace pimentomast::serve::detail {
namespace {

std::uint64_t clockReading(instant now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

instant leaseEnd(const ownership::grant_message& message)
{
    return instant { duration { static_cast<duration::rep>(message.echoUs) } } + message.lease;
}

ownership::grant_reply replyTo(const ownership::grant_message& message)
{
    ownership::grant_reply reply;
    reply.target = message.run;
    reply.highest = message.coordinator;
    reply.clockUs = clockReading(monotonic_clock::now());
    return reply;
}

void logFencedOut(const ownership::send_grant& order, const slice& range)
{
    telemetry::log(telemetry::severity::Warning, "grant-fenced-out",
        { { "target", order.target.value() }, { "service", order.message.service.value() },
            { "first", std::to_string(range.first.value()) },
            { "epoch", std::to_string(order.message.coordinator.value()) } });
}

} // namespace

range_grants::target_state& range_grants::stateOf(const target_id& target)
{
    const std::lock_guard guard(m_lock);
    auto& known = m_targets[target];
    if (!known)
        known = std::make_unique<target_state>();
    return *known;
}

range_grants::service_state& range_grants::stateOf(const service_id& service)
{
    const std::lock_guard guard(m_lock);
    auto& known = m_services[service];
    if (!known)
        known = std::make_unique<service_state>();
    return *known;
}

ownership::event range_grants::send(const ownership::send_grant& order)
{
    const auto& message = order.message;
    auto& target = stateOf(order.target);
    const std::unique_lock guard(target.lock, std::try_to_lock);
    if (!guard)
        return ownership::target_failed { order.request, order.target };
    if (target.coordinator != message.coordinator) {
        target.granted = {};
        target.coordinator = message.coordinator;
    }
    if (message.adopt)
        return ownership::target_acknowledged { order.request, order.target, replyTo(message) };
    if (message.repeats == sequence {}) {
        target.listed = message.number;
        target.slices = message.slices;
    } else if (message.repeats != target.listed) {
        return ownership::target_refused { order.request, order.target, replyTo(message) };
    }
    if (!carryOut(order, target))
        return ownership::target_failed { order.request, order.target };
    auto reply = replyTo(message);
    for (const auto& range : target.granted.mayHold(monotonic_clock::now()))
        reply.held.push_back({ range, message.version, false });
    return ownership::target_acknowledged { order.request, order.target, std::move(reply) };
}

// Returns whether the target answered every call.
bool range_grants::carryOut(const ownership::send_grant& order, target_state& target)
{
    auto& service = stateOf(order.message.service);
    std::vector<ranges::call> calls;
    {
        const std::lock_guard guard(service.lock);
        calls = target.granted.plan(
            monotonic_clock::now(), target.slices, order.message.version, service.states);
    }
    bool allAnswered = true;
    for (const auto& each : calls) {
        const duration left = leaseEnd(order.message) - monotonic_clock::now()
            - m_calls.longestDelay();
        const auto lease
            = std::chrono::duration_cast<duration>(left / ranges::clockDrift);
        const auto outcome = make(order, each, lease);
        target.granted.ended(monotonic_clock::now(), each, lease, outcome);
        noteStates(service, each, outcome);
        const bool answered = std::holds_alternative<ranges::accepted>(outcome);
        allAnswered = allAnswered && answered;
        if (std::holds_alternative<ranges::unanswered>(outcome))
            break;
    }
    return allAnswered;
}

ranges::call_result range_grants::make(
    const ownership::send_grant& order, const ranges::call& made, duration lease)
{
    const auto& message = order.message;
    const range_recipient to { message.service, order.address };
    if (const auto* release = std::get_if<ranges::release_range>(&made))
        return m_calls.release(to, *release);
    if (lease <= duration::zero())
        return ranges::not_sent {};
    const auto& grant = std::get<ranges::grant_range>(made);
    auto outcome = m_calls.grant(to, grant, lease);
    if (std::holds_alternative<ranges::fenced_out>(outcome))
        logFencedOut(order, grant.range);
    return outcome;
}

void range_grants::noteStates(
    service_state& service, const ranges::call& made, const ranges::call_result& outcome)
{
    const auto* taken = std::get_if<ranges::accepted>(&outcome);
    if (!taken)
        return;
    const std::lock_guard guard(service.lock);
    if (const auto* release = std::get_if<ranges::release_range>(&made))
        service.states.put(release->range, taken->state);
    else
        service.states.remove(std::get<ranges::grant_range>(made).range);
}

} // namespace pimentomast::serve::detail
