#pragma once

#include "pimentomast/proxy.h"

namespace pimentomast::proxy::detail {

/// Requests a target's health over a new connection. Blocks up to the timeout for each of
/// connecting, sending and receiving.
[[nodiscard]] probe_report probeHealth(
    const target_id& target, const probe_address& at, std::chrono::milliseconds timeout);

} // namespace pimentomast::proxy::detail
