#pragma once

#include "head.h"
#include "pimentomast/table.h"

#include <functional>
#include <optional>
#include <variant>

namespace pimentomast::proxy::detail {

using classify_result = std::variant<table::classified_request, reason>;
using part_chooser = std::function<const table::route_part&(const table::route_row&)>;

/// Classifies a checked request by the table, which must outlive the result. choosePart selects the
/// part of a route that has several; without it the first part is used.
[[nodiscard]] classify_result classify(
    const table::table& rows, const checked_head& head, const part_chooser& choosePart = {});

/// Returns the timeout in milliseconds from the given field; nothing if the field is missing,
/// repeated or invalid.
[[nodiscard]] std::optional<duration> callerTimeout(
    const checked_head& head, const std::string& field);

} // namespace pimentomast::proxy::detail
