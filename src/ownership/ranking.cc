#include "pimentomast/ownership.h"

#include <algorithm>

namespace pimentomast::ownership {

namespace {
struct scored_host {
    key_hash score;
    host_id host;

    auto operator<=>(const scored_host&) const = default;
};
} // namespace

std::vector<host_id> rankCoordinators(const service_id& service, std::span<const host_id> live)
{
    std::vector<scored_host> scored;
    scored.reserve(live.size());
    for (const auto& host : live)
        scored.push_back({ hashKey(service.value() + '\n' + host.value()), host });
    std::sort(scored.begin(), scored.end(), std::greater<> {});
    scored.erase(std::unique(scored.begin(), scored.end()), scored.end());
    std::vector<host_id> ranked;
    ranked.reserve(scored.size());
    for (auto& each : scored)
        ranked.push_back(std::move(each.host));
    return ranked;
}

std::optional<host_id> preferredCoordinator(
    const service_id& service, std::span<const host_id> live)
{
    const auto ranked = rankCoordinators(service, live);
    if (ranked.empty())
        return {};
    return ranked.front();
}

void witness::recordRead(epoch seen) noexcept
{
    m_answer.highest = std::max(m_answer.highest.value_or(epoch {}), seen);
}

} // namespace pimentomast::ownership
