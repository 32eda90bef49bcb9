#pragma once

#include "pimentomast/core.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace pimentomast::routing {

/// Chooses targets in proportion to their weight and prefers those with less load.
///
/// Start-time fair queueing over targets (P. Goyal, H. Vin, H. Cheng, SIGCOMM 1996): each choice
/// advances the chosen target's virtual time by (1 + load)^exponent / weight, and the lowest finish
/// wins. A target that was unavailable catches up on at most one turn. Without load this is an
/// exact weighted round robin; hosts start at different offsets.
class weighted_choice {
public:
    struct candidate {
        target_id id;
        /// Must be positive.
        double weight = 1;
        /// Estimated number of requests in flight.
        double load = 0;
    };

    weighted_choice(std::uint64_t seed, double exponent);

    /// Returns the index of the chosen candidate, or nothing if there is none.
    [[nodiscard]] std::optional<std::size_t> choose(const std::vector<candidate>& candidates);
    /// Virtual time at which the target's last turn ends. It must have been a candidate.
    [[nodiscard]] double finishOf(const target_id& id) const { return m_finish.at(id); }
    [[nodiscard]] double virtualTime() const noexcept { return m_virtualTime; }

private:
    [[nodiscard]] double start(const candidate& one, double cost);

    double m_exponent;
    std::mt19937_64 m_random;
    double m_virtualTime = 0;
    std::unordered_map<target_id, double> m_finish;
};

} // namespace pimentomast::routing
