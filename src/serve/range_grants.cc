#include "range_grants.h"

#include "pimentomast/telemetry.h"

#include <future>

namespace pimentomast::serve::detail {
namespace {

/// Releases that can wait for targets at the same time, in addition to one per call of send().
constexpr unsigned maxParallelReleases = 16;
/// A shorter lease would end before requests for its keys could reach the target.
constexpr duration minLease = std::chrono::milliseconds(10);

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
    reply.heldComplete = false;
    return reply;
}

std::vector<telemetry::field> fieldsOf(const ownership::send_grant& action, const slice& range)
{
    return { { "target", action.target.value() }, { "service", action.message.service.value() },
        { "first", std::to_string(range.first.value()) },
        { "epoch", std::to_string(action.message.coordinator.value()) } };
}

} // namespace

range_grants::range_grants(range_client& client)
    : m_client(client)
    , m_releasePool({ maxParallelReleases }, [](const auto& each) { each(); })
{
}

range_grants::~range_grants() = default;

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

ownership::event range_grants::send(const ownership::send_grant& action)
{
    const auto& message = action.message;
    auto& target = stateOf(action.target);
    const std::unique_lock guard(target.lock, std::try_to_lock);
    if (!guard)
        return ownership::target_failed { action.request, action.target, false };
    if (target.coordinator < message.coordinator) {
        target.granted = {};
        target.coordinator = message.coordinator;
        target.handled = {};
    }
    // An older message would grant again what a newer one revoked.
    if (message.coordinator < target.coordinator || message.number <= target.handled)
        return ownership::target_failed { action.request, action.target, false };
    target.handled = message.number;
    if (message.adopt)
        return ownership::target_acknowledged { action.request, action.target, replyTo(message) };
    if (message.repeats == sequence {}) {
        target.listed = message.number;
        target.slices = message.slices;
    } else if (message.repeats != target.listed) {
        return ownership::target_refused { action.request, action.target, replyTo(message) };
    }
    if (!carryOut(action, target))
        return ownership::target_failed { action.request, action.target };
    auto reply = replyTo(message);
    for (const auto& range : target.granted.mayHold(monotonic_clock::now()))
        reply.held.push_back({ range, message.version, false });
    return ownership::target_acknowledged { action.request, action.target, std::move(reply) };
}

// Returns whether the target accepted all calls.
bool range_grants::carryOut(const ownership::send_grant& action, target_state& target)
{
    auto& service = stateOf(action.message.service);
    std::vector<ranges::call> calls;
    {
        const std::lock_guard guard(service.lock);
        calls = target.granted.plan(
            monotonic_clock::now(), target.slices, action.message.version, service.states);
    }
    bool allDone = true;
    const auto note = [&](const ended_call& ended) {
        target.granted.recordResult(monotonic_clock::now(), ended.made, ended.lease, ended.outcome);
        recordHandovers(service, ended.made, ended.outcome);
        allDone = allDone && std::holds_alternative<ranges::accepted>(ended.outcome);
        return !std::holds_alternative<ranges::unanswered>(ended.outcome);
    };
    std::vector<ranges::call> releases;
    for (const auto& each : calls) {
        if (std::holds_alternative<ranges::release_range>(each))
            releases.push_back(each);
        else if (!note(execute(action, each)))
            return false;
    }
    for (const auto& ended : releaseAll(action, releases))
        note(ended);
    return allDone;
}

range_grants::ended_call range_grants::execute(
    const ownership::send_grant& action, const ranges::call& made)
{
    const auto& message = action.message;
    const range_recipient to { message.service, action.address, action.instance };
    if (const auto* release = std::get_if<ranges::release_range>(&made))
        return { made, {}, m_client.release(to, *release) };
    const duration left = leaseEnd(message) - monotonic_clock::now() - m_client.maxDeliveryDelay();
    const auto lease = std::chrono::duration_cast<duration>(left / ranges::maxClockDriftRatio);
    const auto& grant = std::get<ranges::grant_range>(made);
    if (lease < minLease) {
        telemetry::log(
            telemetry::severity::Warning, "grant-too-late", fieldsOf(action, grant.range));
        return { made, {}, ranges::not_sent {} };
    }
    ended_call ended { made, lease, m_client.grant(to, grant, lease) };
    if (std::holds_alternative<ranges::fenced_out>(ended.outcome))
        telemetry::log(
            telemetry::severity::Warning, "grant-fenced-out", fieldsOf(action, grant.range));
    return ended;
}

std::vector<range_grants::ended_call> range_grants::releaseAll(
    const ownership::send_grant& action, const std::vector<ranges::call>& releases)
{
    std::vector<std::future<ended_call>> running;
    for (std::size_t i = 1; i < releases.size(); ++i) {
        const auto task = std::make_shared<std::packaged_task<ended_call()>>(
            [this, &action, &each = releases[i]] { return execute(action, each); });
        running.push_back(task->get_future());
        m_releasePool.push([task] { (*task)(); });
    }
    std::vector<ended_call> ended;
    if (!releases.empty())
        ended.push_back(execute(action, releases.front()));
    for (auto& each : running)
        ended.push_back(each.get());
    return ended;
}

void range_grants::recordHandovers(
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
