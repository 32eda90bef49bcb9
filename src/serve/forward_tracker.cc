#include "forward_tracker.h"

namespace pimentomast::serve::detail {
namespace {

ownership::attempt_id forwardId(proxy::request_id id, unsigned attempt)
{
    return { id.value(), attempt };
}

/// Whether the target certainly does not run the request, now or later, after this result.
bool isConclusive(const proxy::attempt_result& result)
{
    return std::holds_alternative<proxy::attempt_answered>(result)
        || std::holds_alternative<proxy::attempt_not_run>(result);
}

/// Whether the request waits for another routing decision after this result.
bool awaitsRetry(const proxy::attempt_result& result)
{
    return std::holds_alternative<proxy::attempt_not_run>(result)
        || std::holds_alternative<proxy::attempt_unknown>(result);
}

} // namespace

void forward_tracker::add(const proxy::request_facts& facts)
{
    if (!facts.key || !m_routes.needsRouteLease(facts.service))
        return;
    const std::lock_guard guard(m_lock);
    m_requests[facts.id] = { facts.service, *facts.key };
}

std::optional<forward_tracker::tracked> forward_tracker::find(proxy::request_id id) const
{
    const std::lock_guard guard(m_lock);
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? std::nullopt : std::optional(found->second);
}

bool forward_tracker::begin(proxy::request_id id, const proxy::destination& to)
{
    const auto known = find(id);
    if (!known)
        return true;
    const ownership::route chosen { to.target, to.grant.value_or(token {}) };
    return m_routes.beginForward(
        monotonic_clock::now(), known->service, known->key, forwardId(id, to.attempt), chosen);
}

void forward_tracker::drop(proxy::request_id id, unsigned attempt)
{
    if (const auto known = find(id))
        m_routes.endForward(known->service, forwardId(id, attempt));
}

void forward_tracker::abandon(proxy::request_id id, unsigned attempt)
{
    if (const auto known = find(id))
        m_routes.abandonForward(monotonic_clock::now(), known->service, forwardId(id, attempt));
}

void forward_tracker::end(const proxy::attempt& finished)
{
    if (isConclusive(finished.result))
        drop(finished.id, finished.number);
    else
        abandon(finished.id, finished.number);
    if (!awaitsRetry(finished.result))
        forget(finished.id);
}

void forward_tracker::forget(proxy::request_id id)
{
    const std::lock_guard guard(m_lock);
    m_requests.erase(id);
}

bool tracking_sink::forward(proxy::request_id id, const proxy::destination& to)
{
    if (!m_tracker.begin(id, to)) {
        proxy::attempt refused;
        refused.id = id;
        refused.target = to.target;
        refused.number = to.attempt;
        refused.result = proxy::attempt_not_run { proxy::reason::TargetNotOwner };
        m_dispatcher.ended(refused, m_next);
        return true;
    }
    if (m_next.forward(id, to))
        return true;
    m_tracker.drop(id, to.attempt);
    m_tracker.forget(id);
    return false;
}

void tracking_sink::refuse(proxy::request_id id, const proxy::refusal& answer)
{
    m_tracker.forget(id);
    m_next.refuse(id, answer);
}

void tracking_sink::abandon(proxy::request_id id, unsigned attempt)
{
    m_tracker.abandon(id, attempt);
    m_next.abandon(id, attempt);
}

void tracking_sink::probe(const target_id& target, const proxy::probe_address& at)
{
    m_next.probe(target, at);
}

void tracking_sink::closeIdle(const endpoint& address, instant openedBefore)
{
    m_next.closeIdle(address, openedBefore);
}

} // namespace pimentomast::serve::detail
