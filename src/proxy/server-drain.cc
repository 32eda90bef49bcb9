#include "server-impl.h"

#include "pimentomast/telemetry.h"

#include <algorithm>

namespace pimentomast::proxy::detail {
namespace {

/// Time for handshakes in progress to complete once a drain has stopped new ones.
constexpr std::chrono::milliseconds handshakeDrainTime { 200 };
/// Longest time for taking in the connections that were made before the listener closes.
constexpr std::chrono::seconds backlogTime { 2 };
/// Interval at which requests that can't be finished are looked for.
constexpr std::chrono::milliseconds stopCheckInterval { 25 };

void sleepUntil(instant time)
{
    std::this_thread::sleep_for(std::max(time - monotonic_clock::now(), duration::zero()));
}

} // namespace

// Closing a listener resets the connections in its backlog, so the backlog is emptied first.
void server_impl::stopAccepting()
{
    (void)dropIncomingSyns(m_listener);
    const instant started = monotonic_clock::now();
    sleepUntil(std::min(started + handshakeDrainTime, m_schedule.lastDeadline));
    m_pollers.front()->stopListening();
    const instant limit = std::min(started + backlogTime, m_schedule.lastDeadline);
    while (hasPendingConnection(m_listener) && monotonic_clock::now() < limit)
        accept();
    const std::lock_guard lock(m_acceptMutex);
    m_listener.close();
}

void server_impl::drain(duration accepting, instant end)
{
    m_schedule = drain_schedule(monotonic_clock::now(), accepting, end);
    m_draining = true;
    sleepUntil(m_schedule.acceptUntil);
    stopAccepting();
    for (const auto& callerPoller : m_pollers)
        callerPoller->closeIdle(m_schedule.lastDeadline);
    while (!waitForClosed(stopCheckInterval)) {
        const instant now = monotonic_clock::now();
        if (now >= m_schedule.shortenUntil)
            refuseUnfinishable(now);
        if (now < m_schedule.flushed)
            continue;
        telemetry::log(telemetry::severity::Info, "drain-ended-early",
            { { "connections", std::to_string(state().connections) } });
        return;
    }
}

bool server_impl::waitForClosed(duration limit)
{
    std::unique_lock lock(m_connectionsMutex);
    return m_allClosed.wait_for(lock, limit, [this] { return m_connections == 0; });
}

void server_impl::refuseUnfinishable(instant now)
{
    auto ended = m_registry.cancelIf([&](const exchange& request) {
        return !m_schedule.deadlineFor(now, request.facts.deadline);
    });
    for (const auto& request : ended) {
        if (request->ownsInput)
            (void)pollerOf(*request->caller).unwatch(request->caller);
        request->waited += now - request->submitted;
        const reason why = request->mayHaveRun ? reason::HostStopped : reason::HostStopping;
        m_counts.add(why);
        m_dispatcher.cancelled(request->facts.id, *this);
        endStopped(*request, why);
    }
}

drain_schedule server_impl::schedule() const { return m_draining ? m_schedule : drain_schedule(); }

std::optional<reason> server_impl::checkStop(exchange& request, const drain_schedule& times)
{
    const auto deadline = times.deadlineFor(monotonic_clock::now(), request.facts.deadline);
    if (!deadline)
        return request.mayHaveRun ? reason::HostStopped : reason::HostStopping;
    request.facts.deadline = *deadline;
    return std::nullopt;
}

void server_impl::endStopped(const exchange& request, reason why)
{
    refusal last;
    last.outcome = why == reason::HostStopping ? request_outcome::NotRun : request_outcome::Unknown;
    last.status = statusOf(why);
    last.reason = name(why);
    if (why == reason::HostStopping)
        last.retryAfter = stopRetryAfter;
    sendRefusal(request, last);
}

} // namespace pimentomast::proxy::detail
