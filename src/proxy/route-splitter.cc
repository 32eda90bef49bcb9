#include "route-splitter.h"

#include <algorithm>

namespace pimentomast::proxy::detail {

const table::route_part& route_splitter::choose(const table::route_row& route)
{
    const std::lock_guard lock(m_mutex);
    split_state& known = m_routes[route.id];
    if (known.parts != route.parts) {
        known.parts = route.parts;
        known.credits.assign(route.parts.size(), 0);
    }
    double total = 0;
    for (std::size_t i = 0; i < route.parts.size(); ++i) {
        known.credits[i] += route.parts[i].weight;
        total += route.parts[i].weight;
    }
    const auto next = std::max_element(known.credits.begin(), known.credits.end());
    *next -= total;
    return route.parts[static_cast<std::size_t>(next - known.credits.begin())];
}

} // namespace pimentomast::proxy::detail
