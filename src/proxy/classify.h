#pragma once

#include "head.h"
#include "pimentomast/table.h"

#include <functional>
#include <optional>
#include <variant>

namespace pimentomast::proxy::detail {

using classify_result = std::variant<table::classified, reason>;
using part_chooser = std::function<const table::route_part&(const table::route_row&)>;

/// Classifies a checked request by the table, which must outlive the result. choosePart is asked
/// for a route that has several parts; without it the first one is taken.
[[nodiscard]] classify_result classify(
    const table::table& rows, const checked_head& head, const part_chooser& choosePart = {});

/// Returns the time that the field states in milliseconds; nothing if it states none.
[[nodiscard]] std::optional<duration> callerTimeout(
    const checked_head& head, const std::string& field);

/// Returns a hash of method, target and the first bytes of the body, which is the same for each
/// sending of the same request, by whichever caller.
[[nodiscard]] std::uint64_t fingerprint(const checked_head& head, std::string_view body);

} // namespace pimentomast::proxy::detail
