#pragma once

#include "pimentomast/core.h"

#include <vector>

/// Arithmetic of key ranges.
namespace pimentomast::ranges::detail {

[[nodiscard]] bool overlap(const slice& left, const slice& right) noexcept;
/// Precondition: they overlap.
[[nodiscard]] slice common(const slice& left, const slice& right) noexcept;
/// Returns the parts of the range that none of the holes covers, in order.
[[nodiscard]] std::vector<slice> subtract(const slice& range, const std::vector<slice>& holes);
/// Joins neighbours. Precondition: sorted, without overlaps.
[[nodiscard]] std::vector<slice> joined(const std::vector<slice>& sorted);

} // namespace pimentomast::ranges::detail
