#pragma once

#include "pimentomast/ownership.h"

namespace pimentomast::serve::detail {

/// Carries grant messages to targets. Implementations are thread-safe.
class grant_sender {
public:
    virtual ~grant_sender() = default;

    /// Sends the message and waits for its end: target_acknowledged, target_refused or
    /// target_failed, with the order's request number.
    [[nodiscard]] virtual ownership::event send(const ownership::send_grant& action) = 0;
};

} // namespace pimentomast::serve::detail
