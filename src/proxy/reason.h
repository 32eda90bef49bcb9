#pragma once

#include "pimentomast/proxy.h"

namespace pimentomast::proxy::detail {

/// Returns the HTTP status of an answer of the proxy's own with this reason.
[[nodiscard]] int statusOf(reason why) noexcept;

} // namespace pimentomast::proxy::detail
