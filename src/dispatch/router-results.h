#pragma once

#include "pimentomast/dispatch.h"

namespace pimentomast::proxy::detail {

/// Returns the HTTP status of a refusal by the router.
/// Returns the status of an answer with this reason. One that tells callers that their request did
/// not run is only returned if it did not.
[[nodiscard]] int statusOf(routing::refusal_reason why, routing::outcome known) noexcept;

/// Converts the result of an attempt to the router's type.
[[nodiscard]] routing::attempt_result routerResult(const attempt& finished);

} // namespace pimentomast::proxy::detail
