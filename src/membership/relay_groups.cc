#include "pimentomast/membership.h"

#include <algorithm>
#include <cmath>

namespace pimentomast::membership {
namespace {

/// Number of receivers to which the sender sends a message itself.
constexpr std::size_t maxDirect = 64;

} // namespace

std::vector<relay_group> groupByRelay(std::vector<relay_candidate> receivers, std::uint64_t seed)
{
    std::vector<relay_group> groups;
    std::mt19937_64 random(seed);
    std::shuffle(receivers.begin(), receivers.end(), random);
    if (receivers.size() <= maxDirect) {
        for (const auto& each : receivers)
            groups.push_back({ each.address, {} });
        return groups;
    }
    std::stable_sort(receivers.begin(), receivers.end(), [](const auto& a, const auto& b) {
        return std::pair(a.relays, a.millicores) > std::pair(b.relays, b.millicores);
    });
    const auto rest = std::find_if(
        receivers.begin(), receivers.end(), [](const auto& each) { return !each.relays; });
    const auto live = rest - receivers.begin();
    std::shuffle(receivers.begin(), receivers.begin() + (live + 1) / 2, random);
    const auto relays = static_cast<std::ptrdiff_t>(std::ceil(std::sqrt(live)));
    for (auto each = receivers.begin(); each != receivers.end(); ++each) {
        const auto index = each - receivers.begin();
        if (index < relays || each >= rest)
            groups.push_back({ each->address, {} });
        else
            groups[static_cast<std::size_t>(index % relays)].others.push_back(each->address);
    }
    return groups;
}

} // namespace pimentomast::membership
