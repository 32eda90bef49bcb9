#pragma once

#include "pimentomast/store.h"
#include "pimentomast/table.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Operators' edits of the table in the store, and its history.
namespace pimentomast::table {

/// Key of the platform's row that holds the table.
inline constexpr std::string_view configRow = "config";
/// Number of older versions that the history keeps.
inline constexpr unsigned historyLength = 64;

/// An edit of the table, as an operator hands it in.
struct edit {
    std::string editor;
    /// Version that the edit started from; 0: there was no table.
    config_version base;
    std::string csv;
    /// Time of the edit for the history, ISO 8601.
    std::string at;
    /// Replaces a version in the store that cannot be read as a table, which else refuses the edit.
    bool replaceCorrupt = false;
};

/// A version in the store that cannot be read as a table.
struct corrupt_version {
    config_version version;
    std::string value;
};

/// What another editor changed since the base of an edit.
struct other_change {
    change what;
    std::string editor;
};

/// The edit is in the store as this version.
struct applied {
    config_version version;
    /// What the edit changed, in comparison with the newest version that can be read.
    std::vector<change> changes;
    /// What others had changed since the base; not empty if the edit was merged with it.
    std::vector<other_change> mergedWith;
    /// What the edit replaced; the history keeps it.
    std::optional<corrupt_version> replaced {};
};
/// The edit is no valid table; nothing changed.
struct invalid {
    error cause;
};
/// The store certainly does not hold the edit.
struct not_applied {
    error cause;
};
/// Whether the store holds the edit could not be found out.
struct apply_unknown {
    error cause;
};
using apply_outcome = std::variant<applied, conflict, invalid, not_applied, apply_unknown>;

/// Checks an edit, merges it with what came since its base, and writes it by compare-and-set; a
/// lost race is merged again. Nothing changes unless the whole edit is taken. In place of a corrupt
/// version it is taken as it is, without a merge, and only as the next version. Thread-safe.
[[nodiscard]] apply_outcome apply(store::services& store, const edit& wanted);

/// Adds or changes the mark of a target or host; everything else stays. Thread-safe.
/// Fails with not_applied if there is no such target. A returning host's row is removed.
struct mark_edit {
    std::string editor;
    row_name row;
    mark state = mark::Active;
    std::string at;
};
[[nodiscard]] apply_outcome apply(store::services& store, const mark_edit& wanted);

/// Reads the table from the store; an empty optional if none was ever applied. Thread-safe.
[[nodiscard]] result<std::optional<table>> readCurrent(store::services& store);

/// Builds the table of a row read from the store (or received from a peer). Thread-safe.
[[nodiscard]] result<table> decode(config_version version, const std::string& value);

/// One version in the history, newest first, and how it differs from the newest one before it that
/// can be read.
struct history_entry {
    config_version version;
    std::string editor;
    std::string at;
    std::vector<change> changes;
    /// The version before it is no longer kept, so changes is empty.
    bool oldest = false;
    /// The value of a version that cannot be read as a table; editor, at and changes are empty.
    std::optional<std::string> corrupt {};
};

/// Returns up to `limit` versions, newest first. Thread-safe.
[[nodiscard]] result<std::vector<history_entry>> history(store::services& store, unsigned limit);

/// JSON forms of the above, for the administration API and the command line. Thread-safe.
[[nodiscard]] std::string toJson(const table& rows);
[[nodiscard]] std::string toJson(const std::vector<change>& changes);
[[nodiscard]] std::string toJson(const apply_outcome& outcome);
[[nodiscard]] std::string toJson(const std::vector<history_entry>& entries);

} // namespace pimentomast::table
