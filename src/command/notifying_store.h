#pragma once

#include "pimentomast/store.h"

#include <memory>

namespace pimentomast::command::detail {

/// Returns a store that sends a table to the listed entry hosts as soon as its write is accepted or
/// read back, so that the table takes effect even if the platform fails right afterwards. The hosts
/// are listed before the write; hosts that the platform does not list are not notified.
[[nodiscard]] std::unique_ptr<store::services> notifyHosts(std::unique_ptr<store::services> store);

} // namespace pimentomast::command::detail
