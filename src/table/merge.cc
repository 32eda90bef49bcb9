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

/// Returns a row's cells as one text, or nothing for a row that is not there.
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

bool same(const cells* left, const cells* right)
{
    if (!left || !right)
        return left == right;
    return *left == *right;
}

std::set<row_name> namesOf(std::initializer_list<const cell_rows*> tables)
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
    if (same(before, after))
        return;
    if (!before || !after) {
        changes.push_back({ name, "", rowText(before), rowText(after) });
        return;
    }
    for (const auto& column : columns()) {
        const auto old = find(before, column.name);
        const auto now = find(after, column.name);
        if (old != now)
            changes.push_back({ name, column.name, old, now });
    }
}

/// Merges row by row; collects the result and the conflicts.
class merger {
public:
    explicit merger(std::string theirEditor)
        : m_theirEditor(std::move(theirEditor))
    {
    }

    void mergeRow(const row_name& name, const cells* base, const cells* mine, const cells* theirs)
    {
        if (same(mine, theirs) || same(base, mine))
            keep(name, theirs);
        else if (same(base, theirs))
            keep(name, mine);
        else if (!mine || !theirs)
            conflicts.push_back(
                { name, "", rowText(base), rowText(mine), rowText(theirs), m_theirEditor });
        else
            mergeCells(name, base, *mine, *theirs);
    }

    cell_rows rows;
    std::vector<cell_conflict> conflicts;

private:
    void keep(const row_name& name, const cells* row)
    {
        if (row)
            rows[name] = *row;
    }

    void mergeCells(const row_name& name, const cells* base, const cells& mine, const cells& theirs)
    {
        for (const auto& column : columns()) {
            const auto old = find(base, column.name);
            const auto own = find(&mine, column.name);
            const auto other = find(&theirs, column.name);
            if (own != other && own != old && other != old)
                conflicts.push_back({ name, column.name, old, own, other, m_theirEditor });
            const auto& chosen = own == old ? other : own;
            if (!chosen.empty())
                rows[name][column.name] = chosen;
        }
    }

    std::string m_theirEditor;
};

std::string shown(const std::string& value) { return value.empty() ? "(nothing)" : value; }

} // namespace

std::string change::text() const
{
    if (!column.empty())
        return row.text() + ", " + column + ": " + shown(before) + " -> " + shown(after);
    if (before.empty())
        return row.text() + " added: " + after;
    return row.text() + " removed: " + before;
}

std::string conflict::text() const
{
    std::string lines;
    for (const auto& cell : cells) {
        lines += cell.row.text() + ", " + (cell.column.empty() ? "whole row" : cell.column) + ": ";
        lines += myEditor + " has " + shown(cell.mine) + ", ";
        lines += cell.theirEditor + " has " + shown(cell.theirs);
        lines += ", before it was " + shown(cell.base) + "\n";
    }
    if (!invalid.empty())
        lines += "the edits of " + myEditor + " and " + theirEditor
            + " together are not a valid table:\n" + invalid + "\n";
    return lines;
}

std::vector<change> difference(const table& before, const table& after)
{
    const auto old = detail::toCells(before);
    const auto now = detail::toCells(after);
    std::vector<change> changes;
    for (const auto& name : namesOf({ &old, &now }))
        addChanges(changes, name, find(old, name), find(now, name));
    return changes;
}

merge_outcome merge(const table& base, const table& mine, const table& theirs)
{
    const auto old = detail::toCells(base);
    const auto own = detail::toCells(mine);
    const auto other = detail::toCells(theirs);
    merger all(theirs.editor);
    for (const auto& name : namesOf({ &old, &own, &other }))
        all.mergeRow(name, find(old, name), find(own, name), find(other, name));
    if (!all.conflicts.empty())
        return conflict { mine.editor, theirs.version, theirs.editor, all.conflicts, "" };
    auto rows = detail::build(detail::toRaw(all.rows));
    if (!rows)
        return conflict { mine.editor, theirs.version, theirs.editor, {}, rows.error().reason };
    merged both { rows.value(), difference(base, mine), difference(base, theirs) };
    std::erase_if(both.theirs, [&](const auto& made) {
        return std::find(both.mine.begin(), both.mine.end(), made) != both.mine.end();
    });
    both.rows.version = theirs.version;
    both.rows.editor = mine.editor;
    return both;
}

} // namespace pimentomast::table
