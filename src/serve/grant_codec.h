#pragma once

#include "pimentomast/ownership.h"

#include <string>

/// JSON form of the messages between a coordinator and its targets (docs/DESIGN.md).
namespace pimentomast::serve::detail {

[[nodiscard]] std::string format(const ownership::grant_message& message);

/// Parses a target's answer; missing fields are 0. Fails if the text is not a JSON object or a
/// field has the wrong type.
[[nodiscard]] result<ownership::grant_reply> parseGrantReply(const std::string& text);

} // namespace pimentomast::serve::detail
