#include "pimentomast/edits.h"
#include "table/cells.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace pimentomast;

namespace {

using table::row_name;

int randomBelow(int end) { return *rc::gen::inRange(0, end); }

table::mark anyMark() { return randomBelow(2) ? table::mark::Active : table::mark::Leaving; }

table::value_source anySource()
{
    switch (randomBelow(4)) {
    case 0:
        return table::no_source {};
    case 1:
        return table::path_segment { unsigned(randomBelow(3)) };
    case 2:
        return table::query_parameter { "key" };
    default:
        return table::header_field { "X-Key" };
    }
}

table::service_row anyService(int number)
{
    table::service_row row;
    row.id = service_id { "s" + std::to_string(number) };
    row.pathPrefix = "/p" + std::to_string(randomBelow(10) ? number : randomBelow(3));
    row.key = anySource();
    row.caller = anySource();
    if (randomBelow(2))
        row.repeatable = { "GET", "HEAD" };
    row.deadline = std::chrono::milliseconds(1 + randomBelow(3));
    row.queue = unsigned(randomBelow(3));
    row.churnPrice = randomBelow(30) / 7.0;
    return row;
}

table::target_row anyTarget(int number)
{
    table::target_row row;
    row.id = target_id { "t" + std::to_string(number) };
    row.service = service_id { "s" + std::to_string(randomBelow(2)) };
    row.address = { "10.0.0.1", std::uint16_t(1 + (randomBelow(10) ? number : randomBelow(4))) };
    row.domain = domain_id { randomBelow(2) ? "kalimati" : "hetauda" };
    row.weight = randomBelow(3) / 3.0;
    row.slots = 1 + unsigned(randomBelow(2));
    row.connections = 1 + unsigned(randomBelow(2));
    row.checksTokens = randomBelow(2);
    row.state = anyMark();
    return row;
}

template <class Row, class Make>
std::vector<Row> anyRows(int maxRows, Make make)
{
    std::vector<Row> rows;
    for (int number = 0; number < maxRows; ++number) {
        if (randomBelow(4))
            rows.push_back(make(number));
    }
    return rows;
}

table::table anyTable()
{
    table::table rows;
    rows.services = anyRows<table::service_row>(3, anyService);
    rows.targets = anyRows<table::target_row>(4, anyTarget);
    rows.hosts = anyRows<table::host_row>(2, [](int number) {
        return table::host_row { host_id { "h" + std::to_string(number) }, anyMark() };
    });
    return rows;
}

/// Randomly changes cells and adds or removes rows; returns the base if the result is invalid.
table::table anyEdit(const table::table& base)
{
    auto cells = table::detail::toCells(base);
    const auto other = table::detail::toCells(anyTable());
    for (const auto& [name, values] : other) {
        auto& row = cells[name];
        if (row.empty())
            row = values;
        for (const auto& [column, value] : values) {
            if (!randomBelow(6))
                row[column] = value;
        }
    }
    for (const auto& name :
        { row_name { table::row_kind::Target, "t1" }, row_name { table::row_kind::Host, "h0" },
            row_name { table::row_kind::Service, "s2" } }) {
        if (!randomBelow(3))
            cells.erase(name);
    }
    const auto edited = table::detail::build(table::detail::toRawRows(cells));
    return edited ? edited.value() : base;
}

using flat_cell = std::pair<row_name, std::string>;
using flat_table = std::map<flat_cell, std::string>;

flat_table flatten(const table::table& rows)
{
    flat_table flat;
    for (const auto& [name, cells] : table::detail::toCells(rows)) {
        for (const auto& [column, value] : cells)
            flat[{ name, column }] = value;
    }
    return flat;
}

std::string at(const flat_table& flat, const flat_cell& cell)
{
    const auto found = flat.find(cell);
    return found == flat.end() ? "" : found->second;
}

bool hasRow(const flat_table& flat, const row_name& row)
{
    return !at(flat, { row, "id" }).empty();
}

struct naive_merge {
    flat_table rows;
    std::set<flat_cell> conflicts;
};

/// Reference implementation. Merges cell by cell: a change on one side is taken, and different
/// changes on both sides are a conflict. If one side removed the row, the conflict is of the whole
/// row.
naive_merge mergeNaively(const flat_table& base, const flat_table& mine, const flat_table& theirs)
{
    std::set<flat_cell> cells;
    for (const auto* flat : { &base, &mine, &theirs }) {
        for (const auto& [cell, unused] : *flat)
            cells.insert(cell);
    }
    naive_merge result;
    for (const auto& cell : cells) {
        const auto old = at(base, cell);
        const auto own = at(mine, cell);
        const auto other = at(theirs, cell);
        const bool whole = !hasRow(mine, cell.first) || !hasRow(theirs, cell.first);
        if (own != old && other != old && own != other)
            result.conflicts.insert({ cell.first, whole ? "" : cell.second });
        const auto value = own != old ? own : other;
        if (!value.empty())
            result.rows[cell] = value;
    }
    return result;
}

table::detail::cell_rows unflatten(const flat_table& flat)
{
    table::detail::cell_rows rows;
    for (const auto& [cell, value] : flat)
        rows[cell.first][cell.second] = value;
    return rows;
}

std::set<flat_cell> cellsOf(const table::conflict& refused)
{
    std::set<flat_cell> cells;
    for (const auto& cell : refused.cells)
        cells.insert({ cell.row, cell.column });
    return cells;
}

/// Returns a random valid table; an empty table if the generated rows are not valid together.
table::table anyValidTable()
{
    const auto rows
        = table::detail::build(table::detail::toRawRows(table::detail::toCells(anyTable())));
    return rows ? rows.value() : table::table {};
}

const std::string header = "kind,id,service,prefix,address,domain,weight,slots\n";
const std::string base = header
    + "service,w,,/w,,,,\ntarget,w1,w,,10.0.0.1:1,k,1,4\n"
      "target,w2,w,,10.0.0.1:2,k,1,4\n";

table::table parsed(const std::string& csv, const std::string& editor = "")
{
    auto rows = table::parse(csv).value();
    rows.editor = editor;
    return rows;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

Test(table_merge, parse_is_the_inverse_of_format)
{
    cr_assert(rc::check([] {
        const auto rows = anyValidTable();
        const auto back = table::parse(table::format(rows));
        RC_ASSERT(back.value() == rows);
    }));
}

Test(table_merge, arbitrary_text_is_rejected_or_round_trips)
{
    cr_assert(rc::check([] {
        const auto text = table::format(anyValidTable());
        const auto at = std::size_t(randomBelow(int(text.size())));
        const auto noise = *rc::gen::string<std::string>();
        const auto changed
            = text.substr(0, at) + noise + text.substr(at + std::size_t(randomBelow(2)));
        const auto rows = table::parse(randomBelow(4) ? changed : noise);
        if (rows)
            RC_ASSERT(table::parse(table::format(rows.value())).value() == rows.value());
        else
            RC_ASSERT(rows.error().reason.find("row") != std::string::npos);
    }));
}

Test(table_merge, agrees_with_the_naive_merge)
{
    unsigned merges = 0;
    unsigned conflicts = 0;
    cr_assert(rc::check([&] {
        const auto old = anyValidTable();
        const auto mine = anyEdit(old);
        const auto theirs = anyEdit(old);
        const auto naive = mergeNaively(flatten(old), flatten(mine), flatten(theirs));
        const auto outcome = table::merge(old, mine, theirs);
        if (const auto* refused = std::get_if<table::conflict>(&outcome)) {
            RC_ASSERT(cellsOf(*refused) == naive.conflicts);
            const auto built
                = table::detail::build(table::detail::toRawRows(unflatten(naive.rows)));
            RC_ASSERT(!naive.conflicts.empty() || !built);
            ++conflicts;
            return;
        }
        RC_ASSERT(naive.conflicts.empty());
        RC_ASSERT(flatten(std::get<table::merged_edits>(outcome).rows) == naive.rows);
        ++merges;
    }));
    cr_assert(merges > 5 && conflicts > 5, "merges %u, conflicts %u", merges, conflicts);
}

Test(table_merge, different_rows_and_columns_merge)
{
    const auto mine = parsed(replaced(base, "10.0.0.1:1,k,1", "10.0.0.1:1,k,2"), "sita");
    const auto theirs = parsed(replaced(base, "10.0.0.1:1,k,1,4", "10.0.0.1:1,k,1,8"), "hari");
    const auto merged = std::get<table::merged_edits>(table::merge(parsed(base), mine, theirs));
    const auto& target = *merged.rows.target(target_id { "w1" });
    cr_assert(target.weight == 2 && target.slots == 8);
    cr_assert(merged.theirs.front().text() == "target w1, slots: 4 -> 8");
}

Test(table_merge, conflict_names_row_column_values_and_editors)
{
    const auto mine = parsed(replaced(base, "10.0.0.1:1,k,1", "10.0.0.1:1,k,2"), "sita");
    const auto theirs = parsed(replaced(base, "10.0.0.1:1,k,1", "10.0.0.1:1,k,3"), "hari");
    const auto refused = std::get<table::conflict>(table::merge(parsed(base), mine, theirs));
    cr_assert(refused.text() == "target w1, weight: sita has 2, hari has 3, before it was 1\n");
}

Test(table_merge, removing_a_changed_row_is_a_conflict_of_the_whole_row)
{
    const auto mine = parsed(replaced(base, "target,w2,w,,10.0.0.1:2,k,1,4\n", ""), "sita");
    const auto theirs = parsed(replaced(base, "10.0.0.1:2,k,1", "10.0.0.1:2,k,3"), "hari");
    const auto refused = std::get<table::conflict>(table::merge(parsed(base), mine, theirs));
    cr_assert(refused.cells.size() == 1 && refused.cells.front().column.empty());
    cr_assert(refused.text().find("sita has (nothing)") != std::string::npos);
}

Test(table_merge, edits_that_are_invalid_only_in_combination_are_rejected)
{
    const auto mine = parsed(base + "target,w3,w,,10.0.0.1:3,k,1,4\n", "sita");
    const auto theirs = parsed(base + "target,w4,w,,10.0.0.1:3,k,1,4\n", "hari");
    const auto refused = std::get<table::conflict>(table::merge(parsed(base), mine, theirs));
    cr_assert(refused.cells.empty());
    cr_assert(refused.invalid == "target w4, column address: '10.0.0.1:3' appears twice");
}
