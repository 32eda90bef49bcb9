#include "cells.h"

#include <algorithm>
#include <charconv>
#include <csv.h>
#include <memory>

namespace pimentomast::table::detail {
namespace {

constexpr std::size_t maxCsvBytes = 4194304;
constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view versionLinePrefix = "# version ";

using record = std::vector<std::string>;

struct parser_deleter {
    void operator()(csv_parser* parser) const
    {
        csv_free(parser);
        delete parser;
    }
};
using parser_pointer = std::unique_ptr<csv_parser, parser_deleter>;

/// Collects the records that libcsv parses. Empty lines yield empty records so that the row numbers
/// in error messages are correct.
struct record_collector {
    std::vector<record> records;
    record current;
    bool afterCarriageReturn = false;

    static void onField(void* text, std::size_t size, void* self)
    {
        auto& fields = static_cast<record_collector*>(self)->current;
        fields.emplace_back(static_cast<const char*>(text), size);
    }

    static void onRow(int terminator, void* self)
    {
        auto& collector = *static_cast<record_collector*>(self);
        const bool completesCrLf
            = terminator == '\n' && collector.afterCarriageReturn && collector.current.empty();
        collector.afterCarriageReturn = terminator == '\r';
        if (completesCrLf)
            return;
        collector.records.push_back(std::move(collector.current));
        collector.current.clear();
    }
};

error csvError(const std::string& label, const std::string& reason)
{
    return { "read table", "", label + ": " + reason };
}

result<std::vector<record>> split(std::string_view csv)
{
    parser_pointer parser(new csv_parser);
    if (csv_init(parser.get(), CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) != 0)
        return error { "read table", "", "failed to initialize the CSV parser" };
    record_collector collector;
    const auto read = csv_parse(parser.get(), csv.data(), csv.size(), &record_collector::onField,
        &record_collector::onRow, &collector);
    const bool complete = read == csv.size()
        && csv_fini(parser.get(), &record_collector::onField, &record_collector::onRow, &collector)
            == 0;
    if (!complete) {
        const auto row = "row " + std::to_string(collector.records.size() + 1);
        const auto column = "column " + std::to_string(collector.current.size() + 1);
        return csvError(row + ", " + column, csv_strerror(csv_error(parser.get())));
    }
    return std::move(collector.records);
}

std::string_view withoutByteOrderMark(std::string_view csv)
{
    if (csv.starts_with(byteOrderMark))
        csv.remove_prefix(byteOrderMark.size());
    return csv;
}

bool isColumn(const std::string& name)
{
    return std::any_of(columns().begin(), columns().end(),
        [&](const auto& column) { return column.name == name; });
}

/// Whether the record is the version line; spreadsheets may append empty cells to it.
bool isVersionLine(const record& fields)
{
    return !fields.empty() && fields.front().starts_with(versionLinePrefix);
}

std::string headerErrors(const record& header, const std::string& label)
{
    std::string errors;
    const auto addError = [&](const std::string& column, const std::string& reason) {
        errors += (errors.empty() ? "" : "\n") + label + ", column " + column + ": " + reason;
    };
    for (auto name = header.begin(); name != header.end(); ++name) {
        if (!isColumn(*name))
            addError("'" + *name + "'", "unknown column");
        else if (std::find(header.begin(), name, *name) != name)
            addError(*name, "the column appears twice");
    }
    for (const auto* required : { "kind", "id" }) {
        if (std::find(header.begin(), header.end(), required) == header.end())
            addError(required, "the column is missing");
    }
    return errors;
}

raw_row toRow(const record& header, const record& fields, const std::string& label)
{
    raw_row row { label, {} };
    for (std::size_t index = 0; index < fields.size() && index < header.size(); ++index) {
        if (!fields[index].empty())
            row.values[header[index]] = fields[index];
    }
    return row;
}

std::string quote(const std::string& value)
{
    std::string quoted(value.size() * 2 + 2, '\0');
    quoted.resize(csv_write(quoted.data(), quoted.size(), value.data(), value.size()));
    return quoted;
}

std::string writeField(const std::string& value)
{
    const bool plain = value.find_first_of(",\"\r\n \t") == std::string::npos;
    return plain ? value : quote(value);
}

} // namespace

result<std::vector<raw_row>> readCsv(const std::string& csv)
{
    if (csv.size() > maxCsvBytes)
        return csvError("table", "is larger than " + std::to_string(maxCsvBytes) + " bytes");
    auto records = split(withoutByteOrderMark(csv));
    if (!records)
        return records.error();
    const bool hasVersionLine = !records.value().empty() && isVersionLine(records.value().front());
    const std::size_t headerIndex = hasVersionLine ? 1 : 0;
    const auto headerLabel = "row " + std::to_string(headerIndex + 1);
    if (records.value().size() <= headerIndex || records.value()[headerIndex].empty())
        return csvError(headerLabel, "the header with the column names is missing");
    const auto header = records.value()[headerIndex];
    if (const auto errors = headerErrors(header, headerLabel); !errors.empty())
        return error { "read table", "", errors };
    std::vector<raw_row> rows;
    for (std::size_t index = headerIndex + 1; index < records.value().size(); ++index) {
        const auto& fields = records.value()[index];
        const auto label = "row " + std::to_string(index + 1);
        if (fields.size() > header.size())
            return csvError(label + ", column " + std::to_string(header.size() + 1),
                "the row has more cells than the header");
        if (!fields.empty())
            rows.push_back(toRow(header, fields, label));
    }
    return rows;
}

std::string writeCsv(const cell_rows& rows)
{
    std::string text;
    for (const auto& column : columns())
        text += (text.empty() ? "" : ",") + column.name;
    text += "\n";
    for (const auto& [name, values] : rows) {
        std::string line;
        for (const auto& column : columns()) {
            const auto found = values.find(column.name);
            if (&column != &columns().front())
                line += ",";
            line += found == values.end() ? "" : writeField(found->second);
        }
        text += line + "\n";
    }
    return text;
}

} // namespace pimentomast::table::detail

namespace pimentomast::table {

std::string formatWithVersion(const table& rows)
{
    return std::string(detail::versionLinePrefix) + std::to_string(rows.version.value()) + "\n"
        + format(rows);
}

std::optional<config_version> parseVersionLine(const std::string& csv)
{
    const auto records = detail::split(detail::withoutByteOrderMark(csv));
    if (!records || records.value().empty() || !detail::isVersionLine(records.value().front()))
        return std::nullopt;
    const auto digits = records.value().front().front().substr(detail::versionLinePrefix.size());
    std::uint64_t number = 0;
    const auto* end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, number);
    if (read.ec != std::errc {} || read.ptr != end)
        return std::nullopt;
    return config_version { number };
}

} // namespace pimentomast::table
