#pragma once

#include "pimentomast/table.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pimentomast::proxy::detail {

/// Shares the requests of a route out to its parts, in proportion to their weights and evenly in
/// time: smooth weighted round robin, in which the part that is furthest behind comes next.
/// Thread-safe.
class route_splitter {
public:
    /// Returns the part that the next request goes to. Precondition: the route has a part.
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
