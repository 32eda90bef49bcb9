#pragma once

#include "pimentomast/settings.h"

#include <functional>
#include <optional>

/// The keys of a settings file, with functions that parse, validate and format their values.
namespace pimentomast::settings::detail {

/// Parses a value into the settings; returns the reason if the value is invalid.
using reader = std::function<std::optional<std::string>(settings&, const std::string&)>;
using writer = std::function<std::string(const settings&)>;

struct key_rule {
    key_description description;
    reader read;
    writer write;
};

/// Returns the rules of all keys in the order of the file. Thread-safe.
const std::vector<key_rule>& keyRules();

} // namespace pimentomast::settings::detail
