#pragma once

#include "pimentomast/store.h"

#include <memory>

namespace pimentomast::command::detail {

/// Returns a store that tells the listed entry hosts of a table as soon as its write is accepted or
/// read back, so that it comes into force although the platform fails right after. The hosts are
/// listed before the write. Not told: hosts that the platform does not list.
[[nodiscard]] std::unique_ptr<store::services> notifyHosts(std::unique_ptr<store::services> store);

} // namespace pimentomast::command::detail
