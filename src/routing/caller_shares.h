#pragma once

#include "pimentomast/core.h"

#include <unordered_map>

namespace pimentomast::routing {

/// Tells which callers send far more than others: counts of arrivals that fade over about
/// two seconds.
class caller_shares {
public:
    void add(instant now, const caller_id& caller);
    /// The caller sends clearly more than an equal share for each caller.
    [[nodiscard]] bool floods(const caller_id& caller) const;
    /// Some other caller floods and this one does not send more than an equal share.
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
