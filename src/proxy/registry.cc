#include "registry.h"

#include "io.h"

namespace pimentomast::proxy::detail {

void registry::add(std::unique_ptr<exchange> request)
{
    const std::lock_guard lock(m_mutex);
    ++m_waiting;
    m_entries[request->facts.id].parked = std::move(request);
}

std::unique_ptr<exchange> registry::release(request_id id, const decision& what)
{
    const auto found = m_entries.find(id);
    auto request = std::move(found->second.parked);
    --m_waiting;
    if (const auto* to = std::get_if<destination>(&what)) {
        found->second.attempt = to->attempt;
        found->second.abandoned = false;
        found->second.begun = false;
        found->second.superseded = false;
    } else {
        m_entries.erase(found);
    }
    return request;
}

taken registry::decide(request_id id, const decision& what)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return {};
    if (found->second.parked)
        return { release(id, what), false };
    if (!found->second.superseded || found->second.pending)
        return {};
    found->second.pending = what;
    return { nullptr, true };
}

std::unique_ptr<exchange> registry::cancel(request_id id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || !found->second.parked)
        return nullptr;
    auto request = std::move(found->second.parked);
    --m_waiting;
    m_entries.erase(found);
    return request;
}

void registry::ifWaiting(request_id id, const std::function<void()>& function)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && found->second.parked)
        function();
}

bool registry::connected(request_id id, const Poco::Net::StreamSocket& target)
{
    const std::lock_guard lock(m_mutex);
    entry& running = m_entries[id];
    if (running.abandoned)
        return false;
    running.target = target;
    return true;
}

void registry::begun(request_id id)
{
    const std::lock_guard lock(m_mutex);
    entry& running = m_entries[id];
    running.begun = !running.abandoned;
}

void registry::abandon(request_id id, unsigned attempt)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.parked || found->second.attempt != attempt)
        return;
    found->second.superseded = true;
    found->second.abandoned = !found->second.begun;
    if (found->second.abandoned && found->second.target)
        endBoth(*found->second.target);
}

bool registry::detach(request_id id)
{
    const std::lock_guard lock(m_mutex);
    entry& running = m_entries[id];
    running.target.reset();
    return running.abandoned;
}

std::optional<decided> registry::park(std::unique_ptr<exchange> request)
{
    const std::lock_guard lock(m_mutex);
    const request_id id = request->facts.id;
    entry& ended = m_entries[id];
    ended.parked = std::move(request);
    ++m_waiting;
    if (!ended.pending)
        return std::nullopt;
    const decision what = *ended.pending;
    ended.pending.reset();
    return decided { release(id, what), what };
}

unsigned registry::finish(request_id id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return 0;
    unsigned attempt = found->second.attempt;
    if (found->second.pending) {
        if (const auto* to = std::get_if<destination>(&*found->second.pending))
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
