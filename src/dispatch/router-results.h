#pragma once

#include "pimentomast/dispatch.h"

namespace pimentomast::proxy::detail {

/// Returns the HTTP status of a refusal by the router.
[[nodiscard]] int statusOf(routing::refusal_reason why) noexcept;

/// Converts the result of an attempt to the router's type.
[[nodiscard]] routing::attempt_result routerResult(const attempt& finished);

} // namespace pimentomast::proxy::detail
