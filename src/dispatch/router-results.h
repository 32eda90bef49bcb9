#pragma once

#include "pimentomast/dispatch.h"

namespace pimentomast::proxy::detail {

/// Returns the HTTP status of a refusal by the router.
[[nodiscard]] int statusOf(routing::refusal_reason why) noexcept;

/// Returns how the router sees an attempt's end.
[[nodiscard]] routing::attempt_result routerResult(const attempt& finished);

} // namespace pimentomast::proxy::detail
