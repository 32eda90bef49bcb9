#include "cells.h"

#include <Poco/String.h>
#include <array>
#include <charconv>

namespace pimentomast::table {
namespace detail {
namespace {

std::string numberText(double number)
{
    std::array<char, 32> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number);
    return { digits.data(), end.ptr };
}

struct source_formatter {
    std::string operator()(const no_source&) const { return "none"; }
    std::string operator()(const path_segment& source) const
    {
        return "path:" + std::to_string(source.index);
    }
    std::string operator()(const query_parameter& source) const { return "query:" + source.name; }
    std::string operator()(const header_field& source) const { return "header:" + source.name; }
};

std::string sourceText(const value_source& source)
{
    return std::visit(source_formatter {}, source);
}

std::string methodsText(const std::set<std::string>& methods)
{
    std::string text;
    for (const auto& method : methods)
        text += (text.empty() ? "" : " ") + method;
    return text.empty() ? "none" : text;
}

std::string markText(mark state) { return state == mark::Active ? "active" : "leaving"; }

cells serviceCells(const service_row& row)
{
    return {
        { "kind", "service" },
        { "id", row.id.value() },
        { "prefix", row.pathPrefix },
        { "key", sourceText(row.key) },
        { "caller", sourceText(row.caller) },
        { "repeatable", methodsText(row.repeatable) },
        { "deadline_ms", std::to_string(row.deadline.count()) },
        { "queue", std::to_string(row.queue) },
        { "churn_price", numberText(row.churnPrice) },
    };
}

cells targetCells(const target_row& row)
{
    return {
        { "kind", "target" },
        { "id", row.id.value() },
        { "service", row.service.value() },
        { "address", row.address.text() },
        { "domain", row.domain.value() },
        { "weight", numberText(row.weight) },
        { "slots", std::to_string(row.slots) },
        { "connections", std::to_string(row.connections) },
        { "checks_tokens", row.checksTokens ? "yes" : "no" },
        { "state", markText(row.state) },
    };
}

cells hostCells(const host_row& row)
{
    return {
        { "kind", "host" },
        { "id", row.id.value() },
        { "state", markText(row.state) },
    };
}

} // namespace

std::string kindName(row_kind kind)
{
    constexpr std::array names { "service", "target", "host" };
    return names.at(static_cast<std::size_t>(kind));
}

cell_rows toCells(const table& rows)
{
    cell_rows all;
    for (const auto& row : rows.services)
        all[{ row_kind::Service, row.id.value() }] = serviceCells(row);
    for (const auto& row : rows.targets)
        all[{ row_kind::Target, row.id.value() }] = targetCells(row);
    for (const auto& row : rows.hosts)
        all[{ row_kind::Host, row.id.value() }] = hostCells(row);
    return all;
}

std::vector<raw_row> toRawRows(const cell_rows& rows)
{
    std::vector<raw_row> raw;
    raw.reserve(rows.size());
    for (const auto& [name, values] : rows)
        raw.push_back({ name.text(), values });
    return raw;
}

} // namespace detail

std::string row_name::text() const { return detail::kindName(kind) + " " + id; }

const std::vector<column_description>& columns()
{
    static const std::vector<column_description> all {
        { "kind", "all", "What the row describes: service, target or host." },
        { "id", "all", "Name of the row, unique within its kind." },
        { "service", "target", "Service that the target belongs to." },
        { "prefix", "service", "Requests whose path starts with it belong to the service." },
        { "key", "service", "Where the key of a request is read from." },
        { "caller", "service", "Where the caller of a request is read from." },
        { "repeatable", "service", "Methods whose requests may run more than once." },
        { "deadline_ms", "service",
            "Time limit of a request in milliseconds, including time in the queue." },
        { "queue", "service", "Maximum number of requests that wait on one host." },
        { "churn_price", "service",
            "Minimum part of the load that a move must save, for each part of the keys it moves." },
        { "address", "target", "ip:port of the target." },
        { "domain", "target", "Failure domain of the target." },
        { "weight", "target", "Share of the load, relative to the other targets." },
        { "slots", "target", "Maximum number of requests that the target runs at once." },
        { "connections", "target",
            "Maximum number of connections to the target from all hosts together." },
        { "checks_tokens", "target", "Whether the target checks fencing tokens." },
        { "state", "target, host", "active or leaving." },
    };
    return all;
}

std::string format(const table& rows) { return detail::writeCsv(detail::toCells(rows)); }

const service_row* table::service(const service_id& id) const noexcept
{
    for (const auto& row : services) {
        if (row.id == id)
            return &row;
    }
    return nullptr;
}

const target_row* table::target(const target_id& id) const noexcept
{
    for (const auto& row : targets) {
        if (row.id == id)
            return &row;
    }
    return nullptr;
}

const host_row* table::host(const host_id& id) const noexcept
{
    for (const auto& row : hosts) {
        if (row.id == id)
            return &row;
    }
    return nullptr;
}

} // namespace pimentomast::table
