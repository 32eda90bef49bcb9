#pragma once

#include "pimentomast/core.h"

#include <deque>
#include <optional>

namespace pimentomast::routing {

/// Upper bound for the number of hosts that share a target, from counts that lag behind changes.
///
/// A host reduces its share at once when the count grows and increases it only when every higher
/// count is older than the lag. Headroom covers hosts that are not reported yet.
class host_count {
public:
    host_count(unsigned assumedHosts, duration lag);

    /// Updates the number of live hosts; empty if it could not be confirmed.
    void update(instant now, std::optional<unsigned> count);
    /// Returns the number of hosts to divide a target's connections by.
    [[nodiscard]] unsigned divisor(instant now) const;
    /// Returns the number of hosts as last reported, or fallback if it was never reported.
    [[nodiscard]] unsigned lastKnown(unsigned fallback) const;
    /// Returns this host's share of the connections, at least 1.
    [[nodiscard]] unsigned share(instant now, unsigned connections) const;
    /// Returns the share for a divisor that divisor() returned, at least 1.
    [[nodiscard]] static unsigned shareOf(unsigned connections, unsigned divisor) noexcept;
    /// Number of changes of the count that divisor() goes through.
    [[nodiscard]] std::size_t keptChanges() const noexcept { return m_changes.size(); }

private:
    /// The count from this time until the next change.
    struct change {
        instant at;
        unsigned count = 0;
    };

    unsigned m_assumedHosts;
    duration m_lag;
    std::deque<change> m_changes;
    std::optional<instant> m_lastConfirmed;
};

} // namespace pimentomast::routing
