#include "history.h"

#include "../table/cells.h"

#include <algorithm>

namespace pimentomast::table {
namespace {

using detail::stored_version;

constexpr unsigned maxAttempts = 32;
constexpr std::size_t maxEditorBytes = 64;

/// The table in the store and the stored value from which it was decoded.
struct current_state {
    table rows;
    std::optional<stored_version> stored;
    /// Set if the stored value cannot be parsed as a table.
    std::optional<error> readError {};
};

error corruptError(config_version version, const error& cause)
{
    return { "read current table", "platform",
        "version " + std::to_string(version.value()) + " is corrupt (" + cause.text()
            + "); `table apply --replace-corrupt` replaces it" };
}

result<current_state> readState(store::services& store)
{
    const auto row = store.read(std::string(configRow));
    if (!row)
        return row.error();
    if (!row.value())
        return current_state {};
    const auto version = config_version { row.value()->version.value() };
    const stored_version stored { version, row.value()->value };
    const auto rows = decode(version, stored.value);
    if (!rows)
        return current_state { {}, stored, corruptError(version, rows.error()) };
    return current_state { rows.value(), stored };
}

result<table> readBase(store::services& store, const current_state& current, config_version base)
{
    if (base == current.rows.version)
        return current.rows;
    if (base.value() == 0)
        return table {};
    const auto saved = detail::readVersion(store, base);
    if (!saved)
        return saved.error();
    if (!saved.value())
        return error { "read base of edit", "platform",
            "version " + std::to_string(base.value()) + " is not in the history" };
    return decode(base, saved.value()->value);
}

/// Result of one attempt to write; empty if another write came first.
using attempt_result = std::optional<apply_outcome>;

bool affects(const change& changed, const row_name& row, const std::string& column)
{
    if (changed.row != row)
        return false;
    return column.empty() || changed.column.empty() || changed.column == column;
}

/// Returns the editor who last changed a cell or, with an empty column, a row.
std::string lastEditor(const std::vector<history_entry>& newestFirst, const row_name& row,
    const std::string& column, const std::string& fallback)
{
    for (const auto& entry : newestFirst) {
        const bool found = std::any_of(entry.changes.begin(), entry.changes.end(),
            [&](const auto& changed) { return affects(changed, row, column); });
        if (found)
            return entry.editor;
    }
    return fallback;
}

/// Sets the editor of each conflicting value.
attempt_result attributeEditors(store::services& store, config_version base, conflict refused)
{
    const auto entries = detail::entriesBetween(store, base, refused.theirVersion);
    if (!entries)
        return not_applied { entries.error() };
    for (auto& cell : refused.cells)
        cell.theirEditor = lastEditor(entries.value(), cell.row, cell.column, refused.theirEditor);
    return refused;
}

/// Returns the changes that others made since the base, with their editors.
result<std::vector<other_change>> attributeEditors(store::services& store, config_version base,
    const table& current, const std::vector<change>& theirs)
{
    std::vector<other_change> attributed;
    if (theirs.empty())
        return attributed;
    const auto entries = detail::entriesBetween(store, base, current.version);
    if (!entries)
        return entries.error();
    for (const auto& changed : theirs)
        attributed.push_back(
            { changed, lastEditor(entries.value(), changed.row, changed.column, current.editor) });
    return attributed;
}

struct write_visitor {
    applied appliedEdit;

    attempt_result operator()(const store::write_accepted& accepted)
    {
        appliedEdit.version = config_version { accepted.version.value() };
        return appliedEdit;
    }
    attempt_result operator()(const store::write_conflict&) const { return std::nullopt; }
    attempt_result operator()(const store::write_refused& refused) const
    {
        return not_applied { refused.cause };
    }
    attempt_result operator()(const store::write_unknown& unknown) const
    {
        return apply_unknown { unknown.cause };
    }
};

/// Saves the given version to the history and writes the rows as the version after it.
attempt_result writeNext(store::services& store, const std::optional<stored_version>& before,
    const table& rows, const std::string& at, applied appliedEdit)
{
    if (before) {
        if (const auto saved = detail::saveVersion(store, *before); !saved)
            return not_applied { saved.error() };
    }
    const auto version = before ? before->version : config_version {};
    const auto outcome = store::writeSettled(store, std::string(configRow),
        row_version { version.value() }, detail::encode(rows, version, at), store::newWriteId());
    return std::visit(write_visitor { std::move(appliedEdit) }, outcome);
}

/// Writes a merged edit as the version after the one that it was merged with.
attempt_result write(store::services& store, const current_state& current,
    const merged_edits& merged, const edit& wanted)
{
    auto others = attributeEditors(store, wanted.base, current.rows, merged.theirs);
    if (!others)
        return not_applied { others.error() };
    applied appliedEdit { current.rows.version, difference(current.rows, merged.rows),
        others.value(), {} };
    if (current.stored && appliedEdit.changes.empty())
        return appliedEdit;
    return writeNext(store, current.stored, merged.rows, wanted.at, std::move(appliedEdit));
}

/// Writes an edit as the version after one that cannot be parsed, without a merge.
attempt_result replace(
    store::services& store, const stored_version& corrupt, const table& mine, const std::string& at)
{
    const auto before = detail::newestReadableBefore(store, corrupt.version);
    if (!before)
        return not_applied { before.error() };
    const auto rows = before.value() ? before.value()->rows : table {};
    applied appliedEdit { corrupt.version, difference(rows, mine), {},
        corrupt_version { corrupt.version, corrupt.value } };
    return writeNext(store, corrupt, mine, at, std::move(appliedEdit));
}

bool isEditorName(const std::string& name)
{
    return !name.empty() && name.size() <= maxEditorBytes
        && std::all_of(name.begin(), name.end(),
            [](unsigned char character) { return std::isgraph(character); });
}

attempt_result applyOnce(store::services& store, const edit& wanted, const table& mine)
{
    const auto current = readState(store);
    if (!current)
        return not_applied { current.error() };
    const auto& state = current.value();
    if (state.readError && wanted.replaceCorrupt)
        return replace(store, *state.stored, mine, wanted.at);
    if (state.readError)
        return not_applied { *state.readError };
    if (wanted.base > state.rows.version)
        return not_applied { { "read base of edit", "platform",
            "version " + std::to_string(wanted.base.value()) + " does not exist yet" } };
    const auto base = readBase(store, state, wanted.base);
    if (!base)
        return not_applied { base.error() };
    const auto outcome = merge(base.value(), mine, state.rows);
    if (const auto* refused = std::get_if<conflict>(&outcome))
        return attributeEditors(store, wanted.base, *refused);
    return write(store, state, std::get<merged_edits>(outcome), wanted);
}

void setMark(std::vector<host_row>& hosts, const mark_edit& wanted)
{
    const host_id id { wanted.row.id };
    std::erase_if(hosts, [&](const auto& row) { return row.id == id; });
    if (wanted.state == mark::Leaving)
        hosts.push_back({ id, mark::Leaving });
}

bool setMark(table& rows, const mark_edit& wanted)
{
    if (wanted.row.kind == row_kind::Host) {
        setMark(rows.hosts, wanted);
        return true;
    }
    for (auto& row : rows.targets) {
        if (wanted.row.kind == row_kind::Target && row.id.value() == wanted.row.id) {
            row.state = wanted.state;
            return true;
        }
    }
    return false;
}

} // namespace

result<std::optional<table>> readCurrent(store::services& store)
{
    const auto current = readState(store);
    if (!current)
        return current.error();
    if (current.value().readError)
        return *current.value().readError;
    if (!current.value().stored)
        return std::optional<table> {};
    return std::optional<table> { current.value().rows };
}

apply_outcome apply(store::services& store, const edit& wanted)
{
    if (!isEditorName(wanted.editor))
        return invalid { { "check edit", "",
            "the editor's name must be 1 to 64 visible ASCII characters without spaces" } };
    auto mine = parse(wanted.csv);
    if (!mine)
        return invalid { mine.error() };
    mine.value().editor = wanted.editor;
    for (unsigned attempt = 0; attempt < maxAttempts; ++attempt) {
        if (auto outcome = applyOnce(store, wanted, mine.value()))
            return *outcome;
    }
    return not_applied { { "write table", "platform",
        "gave up after repeated write conflicts with other edits" } };
}

apply_outcome apply(store::services& store, const mark_edit& wanted)
{
    const auto current = readCurrent(store);
    if (!current)
        return not_applied { current.error() };
    auto rows = current.value().value_or(table {});
    const auto base = rows.version;
    if (!setMark(rows, wanted))
        return not_applied { { "mark", wanted.row.text(), "the table has no such row" } };
    return apply(store, edit { wanted.editor, base, format(rows), wanted.at });
}

} // namespace pimentomast::table
