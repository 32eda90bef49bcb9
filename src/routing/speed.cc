#include "engine.h"

#include <algorithm>

/// Samples of the targets' speed for the other hosts, and the factors computed from those of all.
namespace pimentomast::routing {
namespace {

constexpr int firstServerError = 500;
/// Number of hosts that prefer a target. Each of them takes its targets in turn, so the fewer they
/// are, the more evenly requests follow each other at the target.
constexpr std::size_t hostsPerTarget = 10;
/// Number of targets that a host prefers at least.
constexpr std::size_t preferredMin = 4;

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

actions engine::applyEvenLoad(instant now, const even_load& shared)
{
    m_now = now;
    const bool moved
        = !m_evenLoad || m_evenLoad->rank != shared.rank || m_evenLoad->hosts != shared.hosts;
    m_evenLoad = shared;
    for (auto& [id, target] : m_targets) {
        const auto found = shared.factors.find(id);
        target.speedFactor = found == shared.factors.end() ? 1 : found->second;
    }
    if (!moved)
        return takeActions();
    for (auto& [id, service] : m_services)
        preferTargets(service);
    return takeActions();
}

// The targets lie on a ring in the order of a hash; each host prefers an arc that begins at its
// rank's part of the ring, so arcs overlap and cover all targets equally often. Another host more
// or less moves the arcs by a few targets only.
void engine::preferTargets(service_state& service)
{
    service.preferred.clear();
    if (!m_evenLoad || m_evenLoad->hosts == 0 || service.row.keyed())
        return;
    std::vector<std::pair<key_hash, target_id>> ring;
    for (const target_id& id : service.targets)
        if (m_targets.at(id).row.state == table::mark::Active)
            ring.emplace_back(hashKey(id.value()), id);
    const std::size_t hosts = m_evenLoad->hosts;
    const std::size_t wanted = (ring.size() * hostsPerTarget + hosts - 1) / hosts;
    const std::size_t arc = std::max(wanted, preferredMin);
    if (arc >= ring.size())
        return;
    std::sort(ring.begin(), ring.end());
    const std::size_t first = ring.size() * m_evenLoad->rank / hosts;
    for (std::size_t i = 0; i < arc; ++i)
        service.preferred.push_back(ring[(first + i) % ring.size()].second);
}

} // namespace pimentomast::routing
