#pragma once

#include "pimentomast/balancing.h"

#include <string>
#include <vector>

/// Shared by the tests of balancing.
namespace pimentomast::balancing::testing {

/// Returns targets of equal weight, spread over three failure domains.
inline std::vector<placement_target> makeTargets(unsigned count)
{
    std::vector<placement_target> targets(count);
    for (unsigned i = 0; i < count; ++i) {
        targets[i].id = target_id { "t" + std::to_string(i) };
        targets[i].domain = domain_id { "d" + std::to_string(i % 3) };
    }
    return targets;
}

} // namespace pimentomast::balancing::testing
