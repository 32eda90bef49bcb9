#pragma once

#include "pimentomast/table.h"

#include <map>
#include <string>
#include <vector>

/// Rows as named cells: the form between CSV text and typed rows, in which tables are compared.
namespace pimentomast::table::detail {

/// Cells by column; a column that the row's kind does not use is absent.
using cells = std::map<std::string, std::string>;
using cell_rows = std::map<row_name, cells>;

/// One row as read, before any check. label says where it stands, for example "row 3".
struct raw_row {
    std::string label;
    cells values;
};

/// Returns all rows of a table with all values written out.
[[nodiscard]] cell_rows toCells(const table& rows);

/// Checks the rows and builds the table; the error lists every fault, one a line.
[[nodiscard]] result<table> build(const std::vector<raw_row>& rows);

/// Returns the rows in the form that build() takes.
[[nodiscard]] std::vector<raw_row> toRawRows(const cell_rows& rows);

/// Returns the name of a row's kind as the `kind` column writes it.
[[nodiscard]] std::string kindName(row_kind kind);

/// Splits CSV text into a header and rows of cells; the error names row and column.
[[nodiscard]] result<std::vector<raw_row>> readCsv(const std::string& csv);

/// Returns CSV text with a header of all columns.
[[nodiscard]] std::string writeCsv(const cell_rows& rows);

} // namespace pimentomast::table::detail
