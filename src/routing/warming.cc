#include "engine.h"

#include <algorithm>

namespace pimentomast::routing {

instant engine::coldUntil(const target_state& target)
{
    if (!target.quota.limited())
        return instant::min();
    return std::max(target.row.coldUntil.value_or(instant::min()), target.probedColdUntil);
}

bool engine::isCold(const target_state& target) const { return m_now < coldUntil(target); }

bool engine::warmupAllows(const target_state& target) const
{
    return !isCold(target) || (target.isSender && target.quota.allows(m_now));
}

instant engine::warmupOpensAt(const target_state& target) const
{
    const instant warm = coldUntil(target);
    if (m_now >= warm)
        return m_now;
    return target.isSender ? std::min(warm, target.quota.nextFree(m_now)) : warm;
}

duration engine::warmupWait(const target_state& target, std::size_t ahead) const
{
    const instant warm = coldUntil(target);
    if (m_now >= warm)
        return {};
    const duration left = warm - m_now;
    return target.isSender ? std::min(left, target.quota.waitBehind(m_now, ahead)) : left;
}

duration engine::warmupWait(const service_state& service) const
{
    std::optional<duration> least;
    for (const target_id& id : service.targets) {
        const target_state& target = m_targets.at(id);
        if (target.row.state != table::mark::Active || target.health.ejected())
            continue;
        if (!isCold(target))
            return {};
        const std::size_t queued = service.waiting.size();
        const duration wait = warmupWait(target, queued == 0 ? 0 : queued - 1);
        least = std::min(least.value_or(wait), wait);
    }
    return least.value_or(duration {});
}

void engine::applyWarmup(target_state& target, const table::table& rows)
{
    const auto* service = rows.service(target.row.service);
    const bool isLimited = service != nullptr && service->warmup;
    target.quota.setLimit(isLimited ? service->warmup->requestsPerSecond : 0);
    if (!isCold(target))
        return;
    updateSender(target);
}

// A target that states nothing, or that it is warm, is judged by its row alone.
void engine::applyProbedWarmup(target_state& target, duration coldFor)
{
    if (coldFor <= duration::zero())
        return;
    const bool wasCold = isCold(target);
    target.probedColdUntil = m_now + coldFor;
    updateSender(target);
    if (!wasCold)
        refuseWarming();
}

void engine::updateSender(target_state& target)
{
    target.isSender = m_senders.isSender(target.row.id, target.quota.senders());
}

void engine::updateSenders()
{
    for (auto& [id, target] : m_targets) {
        if (isCold(target))
            updateSender(target);
    }
}

bool engine::refuseWarming(pending_request& waiting, target_state& target, std::size_t ahead)
{
    if (!isCold(target))
        return false;
    const request& submitted = waiting.submitted;
    const auto estimate = targetQueueEstimate(target, ahead);
    const instant latest = std::min(submitted.objective, submitted.deadline) - estimate.latency;
    const duration slack = std::max(latest - m_now, duration {});
    if (estimate.warming <= slack)
        return false;
    waiting.target = target.row.id;
    waiting.expectedWait = estimate.warming;
    waiting.retryAfter = target.retryAfterSchedule.next(m_now, estimate.warming - slack,
        estimate.perRequest, submitted.deadline - estimate.latency);
    end(waiting, outcome::NotRun, refusal_reason::TargetWarming);
    return true;
}

// A target may become cold while requests wait for it.
void engine::refuseWarming()
{
    std::vector<request_number> waiting;
    for (const auto& [number, each] : m_requests) {
        if (each.currentPhase != phase::Queued)
            continue;
        const target_state* target = findTarget(each.queuedTarget);
        const service_state* service = findService(each.submitted.service);
        if (target != nullptr && service != nullptr && service->row.keyed() && isCold(*target))
            waiting.push_back(number);
    }
    std::sort(waiting.begin(), waiting.end());
    std::map<target_id, std::size_t> ahead;
    for (const request_number number : waiting) {
        pending_request& each = m_requests.at(number);
        const target_id id = each.queuedTarget;
        std::size_t& kept = ahead[id];
        kept += refuseWarming(each, m_targets.at(id), kept) ? 0 : 1;
    }
}

void engine::countDelay(pending_request& waiting, const target_state& target)
{
    if (waiting.delayedByWarmup || warmupAllows(target))
        return;
    waiting.delayedByWarmup = true;
    ++m_counts.delayedByWarmup;
}

void engine::countDelay(pending_request& waiting, const service_state& service)
{
    for (const target_id& id : service.targets) {
        if (waiting.delayedByWarmup)
            return;
        countDelay(waiting, m_targets.at(id));
    }
}

} // namespace pimentomast::routing
