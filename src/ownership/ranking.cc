#include "pimentomast/ownership.h"

#include <algorithm>

namespace pimentomast::ownership {

namespace {
struct scored_host {
    unsigned millicores = 0;
    key_hash score;
    host_id host;

    auto operator<=>(const scored_host&) const = default;
};
} // namespace

std::vector<host_id> rankCoordinators(
    const service_id& service, std::span<const host_id> live, const host_millicores& millicores)
{
    std::vector<scored_host> scored;
    scored.reserve(live.size());
    for (const auto& host : live) {
        const auto known = millicores.find(host);
        scored.push_back({ known == millicores.end() ? 0 : known->second,
            hashKey(service.value() + '\n' + host.value()), host });
    }
    std::sort(scored.begin(), scored.end(), std::greater<> {});
    scored.erase(std::unique(scored.begin(), scored.end()), scored.end());
    std::vector<host_id> ranked;
    ranked.reserve(scored.size());
    for (auto& each : scored)
        ranked.push_back(std::move(each.host));
    return ranked;
}

std::optional<host_id> preferredCoordinator(
    const service_id& service, std::span<const host_id> live, const host_millicores& millicores)
{
    const auto ranked = rankCoordinators(service, live, millicores);
    if (ranked.empty())
        return {};
    return ranked.front();
}

void witness::recordRead(epoch seen) noexcept
{
    m_answer.highest = std::max(m_answer.highest.value_or(epoch {}), seen);
}

} // namespace pimentomast::ownership
