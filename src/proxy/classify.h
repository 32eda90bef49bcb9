#pragma once

#include "head.h"
#include "pimentomast/table.h"

#include <variant>

namespace pimentomast::proxy::detail {

using classified = std::variant<table::classified, reason>;

/// Classifies a checked request by the table, which must outlive the result. Pure.
[[nodiscard]] classified classify(const table::table& rows, const checked_head& head);

/// Returns a hash of method, target and the first bytes of the body, which is the same for each
/// sending of the same request, by whichever caller.
[[nodiscard]] std::uint64_t fingerprint(const checked_head& head, std::string_view body);

} // namespace pimentomast::proxy::detail
