#pragma once

#include "pimentomast/proxy.h"

namespace pimentomast::proxy::detail {

/// Requests a target's health over a new connection. Blocks up to the timeout. An answer
/// that is not whole within it, or longer than 64 KiB, is no sign of health. The load is read from
/// the contract's field if the table states the target's run, otherwise from the body.
[[nodiscard]] probe_report probeHealth(const target_id& target, const probe_address& at,
    std::chrono::milliseconds timeout, const contract& fields);

} // namespace pimentomast::proxy::detail
