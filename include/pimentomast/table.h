#pragma once

#include "pimentomast/core.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// The operators' table: one row for each service, target or marked host.
namespace pimentomast::table {

/// Where a value of a request is read from.
struct no_source {
    bool operator==(const no_source&) const = default;
};
/// Segment of the path, counted from 0: segment 1 of /weights/g17 is "g17".
struct path_segment {
    unsigned index = 0;
    bool operator==(const path_segment&) const = default;
};
struct query_parameter {
    std::string name;
    bool operator==(const query_parameter&) const = default;
};
struct header_field {
    std::string name;
    bool operator==(const header_field&) const = default;
};
using value_source = std::variant<no_source, path_segment, query_parameter, header_field>;

struct service_row {
    service_id id;
    /// Requests whose path starts with this prefix belong to the service; the longest prefix wins.
    std::string pathPrefix;
    /// no_source: the service is unkeyed and any of its targets may serve any request.
    value_source key;
    value_source caller;
    /// Methods whose requests may run more than once.
    std::set<std::string> repeatable;
    std::chrono::milliseconds deadline { 10000 };
    /// Requests that may wait on one host.
    unsigned queue = 256;
    /// Price of moving one key, in the unit of load (requests per second) that the move must save.
    double churnPrice = 1;

    [[nodiscard]] bool keyed() const noexcept { return !std::holds_alternative<no_source>(key); }
    bool operator==(const service_row&) const = default;
};

enum class mark {
    Active,
    Leaving,
};

struct target_row {
    target_id id;
    service_id service;
    endpoint address;
    domain_id domain;
    double weight = 1;
    unsigned slots = 4;
    unsigned connections = 130;
    /// The target checks the fencing token of each grant and request.
    bool checksTokens = true;
    mark state = mark::Active;

    bool operator==(const target_row&) const = default;
};

/// An entry host that the operators marked; unmarked hosts have no row.
struct host_row {
    host_id id;
    mark state = mark::Active;

    bool operator==(const host_row&) const = default;
};

/// One accepted version of the table. Rows are sorted by id; ids are unique within their kind.
struct table {
    config_version version;
    std::string editor;
    std::vector<service_row> services;
    std::vector<target_row> targets;
    std::vector<host_row> hosts;

    [[nodiscard]] const service_row* service(const service_id& id) const noexcept;
    [[nodiscard]] const target_row* target(const target_id& id) const noexcept;
    [[nodiscard]] const host_row* host(const host_id& id) const noexcept;
    bool operator==(const table&) const = default;
};

/// Parses the CSV form (docs/OPERATING.md lists the columns) and checks it whole.
/// Errors name row and column. version and editor are left empty: they come with the store's row.
[[nodiscard]] result<table> parse(const std::string& csv);

/// Returns the CSV form, which parse() reads back to an equal table.
[[nodiscard]] std::string format(const table& rows);

} // namespace pimentomast::table
