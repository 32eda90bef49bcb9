#pragma once

#include "pimentomast/table.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pimentomast::proxy::detail {

/// Distributes the requests of a route over its parts in proportion to their weights. Uses smooth
/// weighted round robin: the part that is furthest behind its share comes next, which spreads the
/// requests of each part evenly over time. Thread-safe.
class route_splitter {
public:
    /// Returns the part for the next request. Precondition: the route has at least one part.
    [[nodiscard]] const table::route_part& choose(const table::route_row& route);

private:
    struct split_state {
        std::vector<table::route_part> parts;
        std::vector<double> credits;
    };

    std::mutex m_mutex;
    std::map<std::string, split_state> m_routes;
};

} // namespace pimentomast::proxy::detail
