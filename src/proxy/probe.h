#pragma once

#include "pimentomast/proxy.h"

namespace pimentomast::proxy::detail {

/// Asks a target for its health over a new connection; blocks at most for the timeout per step.
[[nodiscard]] probe_report probeHealth(
    const target_id& target, const probe_address& at, std::chrono::milliseconds timeout);

} // namespace pimentomast::proxy::detail
