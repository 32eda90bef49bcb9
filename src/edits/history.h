#pragma once

#include "pimentomast/edits.h"

/// Previous versions of the table in the platform's table service.
///
/// Version N is saved to row config-history/<N mod historyLength> before version N+1 is written, so
/// the history has no gaps and uses a bounded number of rows.
namespace pimentomast::table::detail {

/// A version of the `config` row: its version number and its value.
struct stored_version {
    config_version version;
    std::string value;
};

/// Returns the JSON value of the `config` row.
[[nodiscard]] std::string encode(const table& rows, config_version previous, const std::string& at);

/// Saves a version to the history. Idempotent, also if several processes save the same version
/// concurrently.
[[nodiscard]] result<void> saveVersion(store::services& store, const stored_version& saved);

/// Reads a version from the history; an empty optional if the history does not contain it.
[[nodiscard]] result<std::optional<stored_version>> readVersion(
    store::services& store, config_version version);

/// A version in the history that can be parsed.
struct readable_version {
    stored_version stored;
    table rows;
};

/// Reads the newest version in the history that is older than the given one and can be parsed; an
/// empty optional if there is none.
[[nodiscard]] result<std::optional<readable_version>> newestReadableBefore(
    store::services& store, config_version version);

/// Returns the entries of all versions after `base` up to and including `last`, newest first.
[[nodiscard]] result<std::vector<history_entry>> entriesBetween(
    store::services& store, config_version base, config_version last);

} // namespace pimentomast::table::detail
