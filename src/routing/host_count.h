#pragma once

#include "pimentomast/core.h"

#include <deque>
#include <optional>

namespace pimentomast::routing {

/// Bounds how many hosts share a target, from counts that lag behind hosts that come and go.
///
/// A host shrinks its share at once when the count grows and enlarges it only when every higher
/// count is older than the lag. Headroom covers the hosts that nobody has been told of.
class host_count {
public:
    host_count(unsigned assumedHosts, duration lag);

    /// Takes the number of live hosts; empty: it could not be confirmed.
    void update(instant now, std::optional<unsigned> count);
    /// Returns the number of hosts to divide a target's connections by.
    [[nodiscard]] unsigned divisor(instant now) const;
    /// Returns the number of hosts as last told; fallback if nobody ever told it.
    [[nodiscard]] unsigned lastKnown(unsigned fallback) const;
    /// Returns this host's part of the connections, at least 1.
    [[nodiscard]] unsigned share(instant now, unsigned connections) const;

private:
    struct confirmation {
        instant at;
        unsigned count = 0;
    };

    unsigned m_assumedHosts;
    duration m_lag;
    std::deque<confirmation> m_recent;
};

} // namespace pimentomast::routing
