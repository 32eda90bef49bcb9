#pragma once

#include "head.h"
#include "pimentomast/table.h"

#include <variant>

namespace pimentomast::proxy::detail {

/// What the table says about a request.
struct classification {
    const table::service_row* service = nullptr;
    /// Empty for a service without keys.
    std::optional<std::string> key;
    caller_id caller;
    bool repeatable = false;
};
using classified = std::variant<classification, reason>;

/// Finds the service by the longest prefix of the decoded path, and the key and caller by its
/// columns. peerIp stands for the caller where the table names no source. Pure.
[[nodiscard]] classified classify(
    const table::table& rows, const checked_head& head, const std::string& peerIp);

/// Returns a hash that is the same for each sending of the same request.
[[nodiscard]] std::uint64_t fingerprint(const checked_head& head, const classification& found);

} // namespace pimentomast::proxy::detail
