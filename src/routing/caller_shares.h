#pragma once

#include "pimentomast/core.h"

#include <unordered_map>

namespace pimentomast::routing {

/// Detects callers that send far more than others, from counts of arrivals that decay over about
/// two seconds.
class caller_shares {
public:
    void add(instant now, const caller_id& caller);
    /// Whether the caller sends clearly more than an equal share.
    [[nodiscard]] bool floods(const caller_id& caller) const;
    /// Whether some other caller floods and this one sends at most an equal share.
    [[nodiscard]] bool isQuiet(const caller_id& caller) const;

private:
    void decay(instant now);
    [[nodiscard]] double share(const caller_id& caller) const;

    std::unordered_map<caller_id, double> m_counts;
    double m_total = 0;
    double m_highest = 0;
    instant m_lastDecay {};
};

} // namespace pimentomast::routing
