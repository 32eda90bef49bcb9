#include "registry.h"

#include "io.h"

namespace pimentomast::proxy::detail {

void registry::add(std::unique_ptr<exchange> request)
{
    const std::lock_guard lock(m_mutex);
    ++m_waiting;
    m_entries[request->facts.id].waitingRequest = std::move(request);
}

std::unique_ptr<exchange> registry::release(request_id id, const decision& what)
{
    const auto found = m_entries.find(id);
    auto request = std::move(found->second.waitingRequest);
    --m_waiting;
    if (const auto* to = std::get_if<destination>(&what)) {
        found->second.attempt = to->attempt;
        found->second.abandoned = false;
        found->second.responseStarted = false;
    } else {
        m_entries.erase(found);
    }
    return request;
}

decide_result registry::decide(request_id id, const decision& what)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return {};
    if (found->second.waitingRequest)
        return { release(id, what), false };
    const auto* to = std::get_if<destination>(&what);
    const bool isRepeated = to != nullptr && to->attempt <= found->second.attempt;
    if (isRepeated || found->second.pendingDecision)
        return {};
    // The dispatcher has abandoned the attempt, even if another thread has yet to call abandon().
    supersede(found->second);
    found->second.pendingDecision = what;
    return { nullptr, true };
}

std::unique_ptr<exchange> registry::cancel(request_id id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || !found->second.waitingRequest)
        return nullptr;
    auto request = std::move(found->second.waitingRequest);
    --m_waiting;
    m_entries.erase(found);
    return request;
}

std::vector<std::unique_ptr<exchange>> registry::cancelIf(
    const std::function<bool(const exchange&)>& chosen)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::unique_ptr<exchange>> cancelled;
    for (auto each = m_entries.begin(); each != m_entries.end();) {
        auto& request = each->second.waitingRequest;
        if (!request || !chosen(*request)) {
            ++each;
            continue;
        }
        cancelled.push_back(std::move(request));
        --m_waiting;
        each = m_entries.erase(each);
    }
    return cancelled;
}

void registry::ifWaiting(request_id id, const std::function<void()>& function)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && found->second.waitingRequest)
        function();
}

bool registry::attachConnection(request_id id, const Poco::Net::StreamSocket& target)
{
    const std::lock_guard lock(m_mutex);
    entry& running = m_entries[id];
    if (running.abandoned)
        return false;
    running.target = target;
    return true;
}

void registry::markResponseStarted(request_id id)
{
    const std::lock_guard lock(m_mutex);
    entry& running = m_entries[id];
    running.responseStarted = !running.abandoned;
}

void registry::abandon(request_id id, unsigned attempt)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.waitingRequest
        || found->second.attempt != attempt)
        return;
    supersede(found->second);
}

void registry::supersede(entry& running)
{
    running.abandoned = !running.responseStarted;
    if (running.abandoned && running.target)
        shutdownReceive(*running.target);
}

bool registry::detachConnection(request_id id)
{
    const std::lock_guard lock(m_mutex);
    entry& running = m_entries[id];
    running.target.reset();
    return running.abandoned;
}

std::optional<decided_request> registry::requeue(std::unique_ptr<exchange> request)
{
    const std::lock_guard lock(m_mutex);
    const request_id id = request->facts.id;
    entry& ended = m_entries[id];
    ended.waitingRequest = std::move(request);
    ++m_waiting;
    if (!ended.pendingDecision)
        return std::nullopt;
    const decision what = *ended.pendingDecision;
    ended.pendingDecision.reset();
    return decided_request { release(id, what), what };
}

unsigned registry::finish(request_id id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return 0;
    unsigned attempt = found->second.attempt;
    if (found->second.pendingDecision) {
        if (const auto* to = std::get_if<destination>(&*found->second.pendingDecision))
            attempt = to->attempt;
    }
    m_entries.erase(found);
    return attempt;
}

std::size_t registry::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_waiting;
}

} // namespace pimentomast::proxy::detail
