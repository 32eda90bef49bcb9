#include "engine.h"

/// Samples of the targets' speed for the other hosts, and the factors computed from those of all.
namespace pimentomast::routing {
namespace {

constexpr int firstServerError = 500;

} // namespace

// A target that fails at once is not fast.
void engine::countAnswer(target_state& target, const answered& result)
{
    if (result.status >= firstServerError)
        return;
    ++target.speed.answers;
    target.speed.total += result.total;
}

// The answer would have taken at least that long. An attempt that ended sooner says nothing:
// counted with its time, it would make the target look fast.
void engine::countUnanswered(target_state& target, const pending_request& ended)
{
    const service_state* service = findService(target.row.service);
    const duration elapsed = m_now - ended.dispatched;
    if (!ended.wasSent || service == nullptr || elapsed < service->latency.smoothed(initialLatency))
        return;
    ++target.speed.answers;
    target.speed.total += elapsed;
}

std::vector<speed_sample> engine::takeSpeedSamples()
{
    std::vector<speed_sample> taken;
    for (auto& [id, target] : m_targets) {
        if (target.speed == speed_sample {})
            continue;
        taken.push_back(std::exchange(target.speed, {}));
        taken.back().target = id;
    }
    return taken;
}

actions engine::applySpeedFactors(instant now, const speed_factors& factors)
{
    m_now = now;
    for (auto& [id, target] : m_targets) {
        const auto found = factors.find(id);
        target.speedFactor = found == factors.end() ? 1 : found->second;
    }
    return takeActions();
}

} // namespace pimentomast::routing
