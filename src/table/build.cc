#include "cells.h"

#include <Poco/Net/IPAddress.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace pimentomast::table::detail {
namespace {

constexpr std::size_t maxCellBytes = 256;
constexpr std::size_t maxNameBytes = 64;
constexpr unsigned maxSegmentIndex = 31;
constexpr unsigned maxPort = 65535;

template <class Number>
struct range {
    Number lowest;
    Number highest;
};

bool isNameCharacter(unsigned char character)
{
    return std::isalnum(character) || character == '-' || character == '_' || character == '.';
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

/// Unreserved characters of RFC 3986 other than '.', which could form dot segments.
bool isPathCharacter(unsigned char character)
{
    return std::isalnum(character) || character == '-' || character == '_' || character == '~';
}

bool isPathPrefix(const std::string& text)
{
    if (text == "/")
        return true;
    if (text.size() < 2 || text.front() != '/' || text.back() == '/')
        return false;
    return text.find("//") == std::string::npos
        && std::all_of(text.begin(), text.end(),
            [](char character) { return character == '/' || isPathCharacter(character); });
}

/// Whether the text is a token as defined in RFC 9110, section 5.6.2.
bool isFieldName(std::string_view text)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char character) {
        return std::isalnum(character)
            || symbols.find(static_cast<char>(character)) != symbols.npos;
    });
}

template <class Number>
std::optional<Number> toNumber(const std::string& text)
{
    Number number {};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc {} || parsed.ptr != end)
        return std::nullopt;
    return number;
}

/// Parses the cells of one row; errors are collected with their row and column.
class row_reader {
public:
    row_reader(const raw_row& row, std::vector<std::string>& errors)
        : m_row(row)
        , m_errors(errors)
    {
    }

    void addError(const std::string& column, const std::string& reason)
    {
        m_errors.push_back(m_row.label + ", column " + column + ": " + reason);
    }

    [[nodiscard]] std::string text(const std::string& column) const
    {
        const auto found = m_row.values.find(column);
        return found == m_row.values.end() ? "" : found->second;
    }

    std::string name(const std::string& column)
    {
        auto value = text(column);
        if (value.empty())
            addError(column, "is missing");
        else if (!isName(value))
            addError(column, "must be 1 to 64 letters, digits, '-', '_' or '.'");
        return value;
    }

    std::string prefix()
    {
        auto value = text("prefix");
        if (!isPathPrefix(value))
            addError("prefix",
                "must be '/' or segments like /weights of letters, digits, '-', '_' or '~'");
        return value;
    }

    template <class Number>
    Number number(const std::string& column, range<Number> allowed, Number defaultValue)
    {
        const auto value = text(column);
        if (value.empty())
            return defaultValue;
        const auto parsed = toNumber<Number>(value);
        if (!parsed || !std::isfinite(static_cast<double>(*parsed))) {
            addError(column, "'" + value + "' is not a valid number for this column");
            return defaultValue;
        }
        if (*parsed < allowed.lowest || *parsed > allowed.highest)
            addError(column, value + " is out of range " + rangeText(allowed));
        return *parsed;
    }

    template <class Value>
    Value choice(const std::string& column, const std::map<std::string, Value>& choices,
        const std::string& defaultValue)
    {
        auto value = text(column);
        if (value.empty())
            value = defaultValue;
        const auto found = choices.find(value);
        if (found != choices.end())
            return found->second;
        std::string names;
        for (const auto& [name, unused] : choices)
            names += (names.empty() ? "" : " or ") + name;
        addError(column, "must be " + names);
        return choices.at(defaultValue);
    }

    endpoint address()
    {
        const auto value = text("address");
        const auto colon = value.rfind(':');
        const auto ip = value.substr(0, colon);
        const auto port
            = colon == value.npos ? 0U : toNumber<unsigned>(value.substr(colon + 1)).value_or(0);
        Poco::Net::IPAddress parsed;
        // Only the canonical notation is accepted: another notation of the same address would pass
        // the check for duplicate addresses.
        const bool numeric = Poco::Net::IPAddress::tryParse(ip, parsed) && parsed.toString() == ip
            && parsed.family() == Poco::Net::IPAddress::IPv4 && !parsed.isWildcard();
        if (!numeric || port < 1 || port > maxPort)
            addError("address", "must be ip:port with an IPv4 address");
        return { ip, static_cast<std::uint16_t>(port) };
    }

    value_source source(const std::string& column)
    {
        const auto value = text(column);
        if (value.empty() || value == "none")
            return no_source {};
        const auto colon = value.find(':');
        const auto kind = value.substr(0, colon);
        const auto name = colon == value.npos ? "" : value.substr(colon + 1);
        const auto index = toNumber<unsigned>(name);
        if (kind == "path" && index && *index <= maxSegmentIndex)
            return path_segment { *index };
        if (kind == "query" && isFieldName(name))
            return query_parameter { name };
        if (kind == "header" && isFieldName(name))
            return header_field { name };
        addError(column, "must be none, path:0 to path:31, query:NAME or header:NAME");
        return no_source {};
    }

    std::set<std::string> methods()
    {
        const auto value = text("repeatable");
        if (value.empty() || value == "none")
            return {};
        const Poco::StringTokenizer words(value, " ", Poco::StringTokenizer::TOK_IGNORE_EMPTY);
        for (const auto& word : words) {
            const bool upper = std::all_of(word.begin(), word.end(),
                [](unsigned char character) { return std::isupper(character); });
            if (!upper)
                addError(
                    "repeatable", "must be none or methods like GET HEAD, separated by spaces");
        }
        return { words.begin(), words.end() };
    }

    /// Reports cells in columns that this kind of row does not use, and cells that are too long.
    void checkUnused(const std::string& kind)
    {
        for (const auto& column : columns()) {
            const bool used
                = column.usedBy == "all" || column.usedBy.find(kind) != std::string::npos;
            if (!used && !text(column.name).empty())
                addError(
                    column.name, "must be empty: rows of kind " + kind + " do not use this column");
            if (text(column.name).size() > maxCellBytes)
                addError(column.name, "is longer than 256 bytes");
        }
    }

private:
    static std::string rangeText(const range<double>& allowed)
    {
        return std::to_string(allowed.lowest) + ".." + std::to_string(allowed.highest);
    }
    static std::string rangeText(const range<unsigned>& allowed)
    {
        return std::to_string(allowed.lowest) + ".." + std::to_string(allowed.highest);
    }

    const raw_row& m_row;
    std::vector<std::string>& m_errors;
};

const std::map<std::string, mark> markValues { { "active", mark::Active },
    { "leaving", mark::Leaving } };
const std::map<std::string, bool> yesNoValues { { "yes", true }, { "no", false } };

service_row readService(row_reader& cells)
{
    service_row row;
    row.id = service_id { cells.name("id") };
    row.pathPrefix = cells.prefix();
    row.key = cells.source("key");
    row.caller = cells.source("caller");
    row.repeatable = cells.methods();
    row.deadline = std::chrono::milliseconds(
        cells.number<unsigned>("deadline_ms", { 1, 86400000 }, unsigned(row.deadline.count())));
    row.queue = cells.number<unsigned>("queue", { 0, 1000000 }, row.queue);
    row.churnPrice = cells.number<double>("churn_price", { 0, 1e9 }, row.churnPrice);
    return row;
}

target_row readTarget(row_reader& cells)
{
    target_row row;
    row.id = target_id { cells.name("id") };
    row.service = service_id { cells.name("service") };
    row.address = cells.address();
    row.domain = domain_id { cells.name("domain") };
    row.weight = cells.number<double>("weight", { 0, 1e6 }, row.weight);
    row.slots = cells.number<unsigned>("slots", { 1, 100000 }, row.slots);
    row.connections = cells.number<unsigned>("connections", { 1, 1000000 }, row.connections);
    row.checksTokens = cells.choice("checks_tokens", yesNoValues, "yes");
    row.state = cells.choice("state", markValues, "active");
    return row;
}

host_row readHost(row_reader& cells)
{
    return { host_id { cells.name("id") }, cells.choice("state", markValues, "active") };
}

/// Builds a table row by row and checks constraints across rows: unique values and references to
/// services.
class table_builder {
public:
    void add(const raw_row& raw)
    {
        row_reader cells(raw, m_errors);
        const auto kind = cells.text("kind");
        if (kind != "service" && kind != "target" && kind != "host") {
            cells.addError("kind", "must be service, target or host");
            return;
        }
        cells.checkUnused(kind);
        requireUnique(cells, "id", kind + " " + cells.text("id"));
        if (kind == "service")
            addService(cells);
        else if (kind == "target")
            addTarget(cells, raw);
        else
            m_table.hosts.push_back(readHost(cells));
    }

    result<table> finish()
    {
        for (const auto& [row, service] : m_serviceReferences) {
            if (!m_table.service(service))
                m_errors.push_back(row + ", column service: there is no service '" + service.value()
                    + "' in the table");
        }
        if (m_errors.empty()) {
            sort(m_table.services);
            sort(m_table.targets);
            sort(m_table.hosts);
            return std::move(m_table);
        }
        std::string reasons;
        for (const auto& message : m_errors)
            reasons += (reasons.empty() ? "" : "\n") + message;
        return error { "check table", "", reasons };
    }

private:
    struct service_reference {
        std::string row;
        service_id service;
    };

    template <class Row>
    static void sort(std::vector<Row>& rows)
    {
        std::sort(rows.begin(), rows.end(),
            [](const auto& left, const auto& right) { return left.id < right.id; });
    }

    void requireUnique(row_reader& cells, const std::string& column, const std::string& value)
    {
        if (!m_uniqueValues.insert(column + " " + value).second)
            cells.addError(column, "'" + value + "' appears twice");
    }

    void addService(row_reader& cells)
    {
        m_table.services.push_back(readService(cells));
        requireUnique(cells, "prefix", m_table.services.back().pathPrefix);
    }

    void addTarget(row_reader& cells, const raw_row& raw)
    {
        m_table.targets.push_back(readTarget(cells));
        const auto& row = m_table.targets.back();
        requireUnique(cells, "address", row.address.text());
        if (!row.service.value().empty())
            m_serviceReferences.push_back({ raw.label, row.service });
    }

    table m_table;
    std::vector<std::string> m_errors;
    std::vector<service_reference> m_serviceReferences;
    std::set<std::string> m_uniqueValues;
};

} // namespace

result<table> build(const std::vector<raw_row>& rows)
{
    table_builder builder;
    for (const auto& row : rows)
        builder.add(row);
    return builder.finish();
}

} // namespace pimentomast::table::detail

namespace pimentomast::table {

result<table> parse(const std::string& csv)
{
    const auto rows = detail::readCsv(csv);
    if (!rows)
        return rows.error();
    return detail::build(rows.value());
}

} // namespace pimentomast::table
