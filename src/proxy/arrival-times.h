#pragma once

#include "pimentomast/core.h"

#include <vector>

namespace pimentomast::proxy::detail {

/// Arrival times of the bytes that a connection has received and not yet parsed. Not thread-safe.
class arrival_times {
public:
    /// Adds bytes behind the others.
    void received(std::size_t bytes, instant at);
    /// Removes bytes from the front. Returns the arrival of the last of them. Precondition: that
    /// many were received.
    instant consume(std::size_t bytes);
    /// Replaces all by bytes that arrived at the time.
    void reset(std::size_t bytes, instant at);

private:
    struct piece {
        std::size_t bytes = 0;
        instant at;
    };

    std::vector<piece> m_pieces;
};

} // namespace pimentomast::proxy::detail
