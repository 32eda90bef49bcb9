#pragma once

#include "pimentomast/ownership.h"

namespace pimentomast::serve::detail {

/// Sends grant messages to targets. Implementations are thread-safe.
class grant_sender {
public:
    virtual ~grant_sender() = default;

    /// Sends the message, blocks until its outcome is known and returns it: target_acknowledged,
    /// target_refused or target_failed, with the action's request number.
    [[nodiscard]] virtual ownership::event send(const ownership::send_grant& action) = 0;
};

} // namespace pimentomast::serve::detail
