#include "cells.h"

#include <algorithm>

namespace pimentomast::table {
namespace {

using detail::cell_rows;
using detail::cells;

const cells* find(const cell_rows& rows, const row_name& name)
{
    const auto found = rows.find(name);
    return found == rows.end() ? nullptr : &found->second;
}

std::string find(const cells* row, const std::string& column)
{
    if (!row)
        return {};
    const auto found = row->find(column);
    return found == row->end() ? "" : found->second;
}

/// Returns a row's cells as one string, or an empty string if the row does not exist.
std::string rowText(const cells* row)
{
    if (!row)
        return {};
    std::string text;
    for (const auto& column : columns()) {
        const auto value = find(row, column.name);
        if (!value.empty())
            text += (text.empty() ? "" : " ") + column.name + "=" + value;
    }
    return text;
}

bool sameCells(const cells* left, const cells* right)
{
    if (!left || !right)
        return left == right;
    return *left == *right;
}

std::set<row_name> allRowNames(std::initializer_list<const cell_rows*> tables)
{
    std::set<row_name> names;
    for (const auto* rows : tables) {
        for (const auto& [name, unused] : *rows)
            names.insert(name);
    }
    return names;
}

void addChanges(
    std::vector<change>& changes, const row_name& name, const cells* before, const cells* after)
{
    if (sameCells(before, after))
        return;
    if (!before || !after) {
        changes.push_back({ name, "", rowText(before), rowText(after) });
        return;
    }
    for (const auto& column : columns()) {
        const auto oldValue = find(before, column.name);
        const auto newValue = find(after, column.name);
        if (oldValue != newValue)
            changes.push_back({ name, column.name, oldValue, newValue });
    }
}

/// Merges tables row by row and collects the merged rows and the conflicts.
class table_merger {
public:
    explicit table_merger(std::string theirEditor)
        : m_theirEditor(std::move(theirEditor))
    {
    }

    void mergeRow(const row_name& name, const cells* base, const cells* mine, const cells* theirs)
    {
        if (sameCells(mine, theirs) || sameCells(base, mine))
            takeRow(name, theirs);
        else if (sameCells(base, theirs))
            takeRow(name, mine);
        else if (!mine || !theirs)
            conflicts.push_back(
                { name, "", rowText(base), rowText(mine), rowText(theirs), m_theirEditor });
        else
            mergeCells(name, base, *mine, *theirs);
    }

    cell_rows rows;
    std::vector<cell_conflict> conflicts;

private:
    void takeRow(const row_name& name, const cells* row)
    {
        if (row)
            rows[name] = *row;
    }

    void mergeCells(const row_name& name, const cells* base, const cells& mine, const cells& theirs)
    {
        for (const auto& column : columns()) {
            const auto baseValue = find(base, column.name);
            const auto myValue = find(&mine, column.name);
            const auto theirValue = find(&theirs, column.name);
            if (myValue != theirValue && myValue != baseValue && theirValue != baseValue)
                conflicts.push_back(
                    { name, column.name, baseValue, myValue, theirValue, m_theirEditor });
            const auto& chosen = myValue == baseValue ? theirValue : myValue;
            if (!chosen.empty())
                rows[name][column.name] = chosen;
        }
    }

    std::string m_theirEditor;
};

std::string displayValue(const std::string& value) { return value.empty() ? "(nothing)" : value; }

} // namespace

std::string change::text() const
{
    if (!column.empty())
        return row.text() + ", " + column + ": " + displayValue(before) + " -> "
            + displayValue(after);
    if (before.empty())
        return row.text() + " added: " + after;
    return row.text() + " removed: " + before;
}

std::string conflict::text() const
{
    std::string lines;
    for (const auto& cell : cells) {
        lines += cell.row.text() + ", " + (cell.column.empty() ? "whole row" : cell.column) + ": ";
        lines += myEditor + " has " + displayValue(cell.mine) + ", ";
        lines += cell.theirEditor + " has " + displayValue(cell.theirs);
        lines += ", before it was " + displayValue(cell.base) + "\n";
    }
    if (!invalid.empty())
        lines += "the edits of " + myEditor + " and " + theirEditor
            + " are not a valid table when merged:\n" + invalid + "\n";
    return lines;
}

std::vector<change> difference(const table& before, const table& after)
{
    const auto beforeCells = detail::toCells(before);
    const auto afterCells = detail::toCells(after);
    std::vector<change> changes;
    for (const auto& name : allRowNames({ &beforeCells, &afterCells }))
        addChanges(changes, name, find(beforeCells, name), find(afterCells, name));
    return changes;
}

merge_outcome merge(const table& base, const table& mine, const table& theirs)
{
    const auto baseCells = detail::toCells(base);
    const auto myCells = detail::toCells(mine);
    const auto theirCells = detail::toCells(theirs);
    table_merger merger(theirs.editor);
    for (const auto& name : allRowNames({ &baseCells, &myCells, &theirCells }))
        merger.mergeRow(name, find(baseCells, name), find(myCells, name), find(theirCells, name));
    if (!merger.conflicts.empty())
        return conflict { mine.editor, theirs.version, theirs.editor, merger.conflicts, "" };
    auto rows = detail::build(detail::toRawRows(merger.rows));
    if (!rows)
        return conflict { mine.editor, theirs.version, theirs.editor, {}, rows.error().reason };
    merged_edits merged { rows.value(), difference(base, mine), difference(base, theirs) };
    std::erase_if(merged.theirs, [&](const auto& theirChange) {
        return std::find(merged.mine.begin(), merged.mine.end(), theirChange) != merged.mine.end();
    });
    merged.rows.version = theirs.version;
    merged.rows.editor = mine.editor;
    return merged;
}

} // namespace pimentomast::table
