#pragma once

#include "pimentomast/edits.h"

/// Older versions of the table in the platform's table service.
///
/// Version N is kept in row config-history/<N mod historyLength> before version N+1 is written, so
/// the history has no gap and takes a bounded number of rows.
namespace pimentomast::table::detail {

/// A version of the `config` row: its number and its value.
struct stored_version {
    config_version version;
    std::string value;
};

/// Returns the JSON value of the `config` row.
[[nodiscard]] std::string encode(const table& rows, config_version previous, const std::string& at);

/// Keeps a version; keeping it again, also from elsewhere at the same time, changes nothing.
[[nodiscard]] result<void> saveVersion(store::services& store, const stored_version& saved);

/// Reads a kept version; an empty optional if it is not kept (any more).
[[nodiscard]] result<std::optional<stored_version>> readVersion(
    store::services& store, config_version version);

/// A kept version that can be read.
struct readable_version {
    stored_version stored;
    table rows;
};

/// Reads the newest kept version below this one that can be read; empty if there is none.
[[nodiscard]] result<std::optional<readable_version>> newestReadableBefore(
    store::services& store, config_version version);

/// Returns the entries of all versions after `base`, up to and with `last`, newest first.
[[nodiscard]] result<std::vector<history_entry>> entriesBetween(
    store::services& store, config_version base, config_version last);

} // namespace pimentomast::table::detail
