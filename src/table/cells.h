#pragma once

#include "pimentomast/table.h"

#include <map>
#include <string>
#include <vector>

/// Rows as maps of cells: the intermediate form between CSV text and typed rows. Tables are
/// compared and merged in this form.
namespace pimentomast::table::detail {

/// Cells by column; a column that the row's kind does not use is absent.
using cells = std::map<std::string, std::string>;
using cell_rows = std::map<row_name, cells>;

/// A row as read, before validation. label identifies it in error messages, for example "row 3".
struct raw_row {
    std::string label;
    cells values;
};

/// Converts a table to cells; default values are written explicitly.
[[nodiscard]] cell_rows toCells(const table& rows);

/// Validates the rows and builds the table; the error lists all violations, one per line.
[[nodiscard]] result<table> build(const std::vector<raw_row>& rows);

/// Returns the rows in the form that build() takes.
[[nodiscard]] std::vector<raw_row> toRawRows(const cell_rows& rows);

/// Returns the value of the `kind` column for a kind of row.
[[nodiscard]] std::string kindName(row_kind kind);

/// Parses CSV text with a header row; the error names row and column.
[[nodiscard]] result<std::vector<raw_row>> readCsv(const std::string& csv);

/// Returns CSV text with a header row that contains all columns.
[[nodiscard]] std::string writeCsv(const cell_rows& rows);

} // namespace pimentomast::table::detail
