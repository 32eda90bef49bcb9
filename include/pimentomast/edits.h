#pragma once

#include "pimentomast/store.h"
#include "pimentomast/table.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Operators' edits of the table in the store, and the history of its versions.
namespace pimentomast::table {

/// Key of the row in the platform's table service that holds the table.
inline constexpr std::string_view configRow = "config";
/// Number of previous versions that the history keeps.
inline constexpr unsigned historyLength = 64;

/// An edit of the table, as submitted by an operator.
struct edit {
    std::string editor;
    /// Version that the edit is based on; 0: there was no table.
    config_version base;
    std::string csv;
    /// Time of the edit for the history, ISO 8601.
    std::string at;
    /// Replaces a version in the store that cannot be parsed; otherwise such a version makes the
    /// edit fail.
    bool replaceCorrupt = false;
};

/// A version in the store that cannot be parsed as a table.
struct corrupt_version {
    config_version version;
    std::string value;
};

/// A change that another editor made after the base version of an edit.
struct other_change {
    change what;
    std::string editor;
};

/// The edit has been stored as this version.
struct applied {
    config_version version;
    /// Changes relative to the newest version that can be parsed.
    std::vector<change> changes;
    /// Changes that other editors made since the base; empty unless the edit was merged with them.
    std::vector<other_change> mergedWith;
    /// Corrupt version that the edit replaced; the history keeps it.
    std::optional<corrupt_version> replaced {};
};
/// The edit is not a valid table; nothing has changed.
struct invalid {
    error cause;
};
/// The edit has definitely not been stored.
struct not_applied {
    error cause;
};
/// It could not be determined whether the edit has been stored.
struct apply_unknown {
    error cause;
};
using apply_outcome = std::variant<applied, conflict, invalid, not_applied, apply_unknown>;

/// Validates an edit, merges it with the versions after its base, and writes it by compare-and-set;
/// if another write comes first, merges and writes again. The edit is applied completely or not at
/// all. An edit that replaces a corrupt version is written without a merge, and only as the version
/// that follows the corrupt one. Thread-safe.
[[nodiscard]] apply_outcome apply(store::services& store, const edit& wanted);

/// Sets the mark of a target or host and changes nothing else. Thread-safe.
/// Fails with not_applied if there is no such target. Marking a host as active removes its row.
struct mark_edit {
    std::string editor;
    row_name row;
    mark state = mark::Active;
    std::string at;
};
[[nodiscard]] apply_outcome apply(store::services& store, const mark_edit& wanted);

/// Reads the table from the store; an empty optional if there is none. Thread-safe.
[[nodiscard]] result<std::optional<table>> readCurrent(store::services& store);

/// Decodes a table from a row's value, read from the store or received from a peer. Thread-safe.
[[nodiscard]] result<table> decode(config_version version, const std::string& value);

/// A version in the history and its changes relative to the newest earlier version that can be
/// parsed.
struct history_entry {
    config_version version;
    std::string editor;
    std::string at;
    std::vector<change> changes;
    /// Earlier versions are no longer kept or cannot be parsed, so changes is empty.
    bool oldest = false;
    /// Value of a version that cannot be parsed as a table; editor, at and changes are then empty.
    std::optional<std::string> corrupt {};
};

/// Returns up to `limit` versions, newest first. Thread-safe.
[[nodiscard]] result<std::vector<history_entry>> history(store::services& store, unsigned limit);

/// Convert to JSON for the administration API and the command line. Thread-safe.
[[nodiscard]] std::string toJson(const table& rows);
[[nodiscard]] std::string toJson(const std::vector<change>& changes);
[[nodiscard]] std::string toJson(const apply_outcome& outcome);
[[nodiscard]] std::string toJson(const std::vector<history_entry>& entries);

} // namespace pimentomast::table
