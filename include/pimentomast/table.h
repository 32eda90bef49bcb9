#pragma once

#include "pimentomast/core.h"
#include "pimentomast/store.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// The operators' table: one row for each service, target or marked host.
namespace pimentomast::table {

/// No value is read from the request.
struct no_source {
    bool operator==(const no_source&) const = default;
};
/// A path segment, counted from 0: segment 1 of /weights/g17 is "g17".
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
/// The part of a request from which a key or caller is read.
using value_source = std::variant<no_source, path_segment, query_parameter, header_field>;

/// How keys are mapped to the hash space.
enum class key_form {
    /// Arbitrary text, placed by its hash.
    Text,
    /// A 16-bit decimal number; consecutive numbers are adjacent in the hash space.
    Number,
};

/// Returns how many hash values one key of this form covers. Thread-safe.
[[nodiscard]] constexpr std::uint64_t keyWidth(key_form form) noexcept
{
    constexpr unsigned numberShift = 48;
    return form == key_form::Number ? std::uint64_t { 1 } << numberShift : 1;
}

/// How targets of a service warm up after a cold start.
struct warmup_terms {
    std::chrono::milliseconds time {};
    /// Requests that a cold target may receive in any one second, from all hosts together.
    double requestsPerSecond = 0;

    bool operator==(const warmup_terms&) const = default;
};

struct service_row {
    service_id id;
    /// Requests whose path starts with this prefix belong to the service; the longest prefix wins.
    std::string pathPrefix;
    /// If no_source, the service is unkeyed and any of its targets may serve any request.
    value_source key;
    key_form keyForm = key_form::Text;
    value_source caller;
    /// Methods whose requests may be executed more than once.
    std::set<std::string> repeatable;
    std::chrono::milliseconds deadline { 10000 };
    /// Maximum number of queued requests per host.
    unsigned queue = 256;
    /// A planned move is made only if the fraction of the service's load that it saves exceeds this
    /// price times the fraction of the service's keys that it moves.
    double churnPrice = 0.25;
    /// Path of the targets' health check endpoint.
    std::string healthPath = "/pimentomast/health";
    /// Not set: cold targets are not limited.
    std::optional<warmup_terms> warmup {};

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
    /// Earliest time at which the target may have been marked as leaving, if the source of the
    /// table knows it; otherwise it counts from when a host learns of the mark.
    std::optional<instant> leavingSince {};
    /// Set while the failure domain is evacuated: the state is Leaving, and no request is sent to
    /// the target after this time.
    std::optional<instant> evacuatedBy {};
    /// Until when the target is cold; set only if its service limits cold targets.
    std::optional<instant> coldUntil {};
    /// Process name that requests carry to identify the intended recipient; empty: not sent.
    std::string instance {};
    /// Incarnation of the target's process if the table specifies it; 0: learned from the target.
    incarnation run {};

    bool operator==(const target_row&) const = default;
};

/// An entry host that operators have marked; unmarked hosts have no row.
struct host_row {
    host_id id;
    mark state = mark::Active;

    bool operator==(const host_row&) const = default;
};

/// A service that receives a share of a route's requests, proportional to its weight.
struct route_part {
    service_id service;
    unsigned weight = 1;

    bool operator==(const route_part&) const = default;
};

/// Maps requests to services, for tables that define routes separately from services.
struct route_row {
    std::string id;
    /// Value of the Host field without the port; empty: any.
    std::string host;
    /// Requests whose path starts with this prefix belong to the route; the longest prefix wins.
    std::string pathPrefix;
    /// Must not be empty; requests are distributed in proportion to the weights.
    std::vector<route_part> parts;
    /// Requests may be executed more than once.
    bool repeatable = false;
    /// Request bodies are large: a host receives one, up to a limit, before it occupies a target.
    bool buffersBody = false;
    /// Maximum number of targets that one request is sent to.
    unsigned maxAttempts = 4;
    /// Maximum time until a request is answered.
    std::chrono::milliseconds timeout { 10000 };
    /// Latency objective: an answer within this time is worth most to its caller.
    std::chrono::milliseconds objective { 10000 };
    /// Lower values are served first; 0 is the highest priority.
    unsigned priority = 0;

    bool operator==(const route_row&) const = default;
};

/// One accepted version of the table. Rows are sorted by id; ids are unique within their kind.
struct table {
    config_version version;
    std::string editor;
    std::vector<service_row> services;
    std::vector<target_row> targets;
    std::vector<host_row> hosts;
    /// If empty, requests are routed by the path prefixes of the services.
    std::vector<route_row> routes {};

    [[nodiscard]] const service_row* service(const service_id& id) const noexcept;
    [[nodiscard]] const target_row* target(const target_id& id) const noexcept;
    [[nodiscard]] const host_row* host(const host_id& id) const noexcept;
    bool operator==(const table&) const = default;
};

/// Parses and validates a table in CSV form (docs/OPERATING.md lists the columns).
/// Errors name row and column. Leaves version and editor empty: the store's row provides them.
[[nodiscard]] result<table> parse(const std::string& csv);

/// Returns the CSV form; parsing it yields an equal table.
[[nodiscard]] std::string format(const table& rows);

/// Returns the CSV form preceded by a version line, which parse() skips.
[[nodiscard]] std::string formatWithVersion(const table& rows);

/// Returns the version from the version line of a CSV text; empty if there is no such line.
[[nodiscard]] std::optional<config_version> parseVersionLine(const std::string& csv);

/// A column: its name, the kinds of row that use it, and its meaning.
struct column_description {
    std::string name;
    std::string usedBy;
    std::string meaning;
};

/// Returns all columns in the order that format() writes them. Thread-safe.
[[nodiscard]] const std::vector<column_description>& columns();

enum class row_kind {
    Service,
    Target,
    Host,
};

/// Identifies a row across versions of the table.
struct row_name {
    row_kind kind = row_kind::Service;
    std::string id;

    /// Returns for example "target w1".
    [[nodiscard]] std::string text() const;
    auto operator<=>(const row_name&) const = default;
};

/// A changed cell or, with an empty column, an added (before is empty) or removed (after is empty)
/// row.
struct change {
    row_name row;
    std::string column;
    std::string before;
    std::string after;

    /// Returns for example "target w1, weight: 1 -> 2".
    [[nodiscard]] std::string text() const;
    auto operator<=>(const change&) const = default;
};

/// Returns the changes from one table to the other, sorted by row. Thread-safe.
[[nodiscard]] std::vector<change> difference(const table& before, const table& after);

/// A cell or, with an empty column, a row that two editors changed to different values.
/// An empty value means that the row does not exist.
struct cell_conflict {
    row_name row;
    std::string column;
    std::string base;
    std::string mine;
    std::string theirs;
    /// Editor who set the value in theirs.
    std::string theirEditor;

    bool operator==(const cell_conflict&) const = default;
};

/// The result of a successful merge and the changes of each side.
struct merged_edits {
    table rows;
    std::vector<change> mine;
    /// Excludes the changes that both sides made.
    std::vector<change> theirs;
};

/// Two edits that cannot be merged.
struct conflict {
    std::string myEditor;
    /// Version that the edit conflicts with. theirEditor is the editor of this version.
    config_version theirVersion;
    std::string theirEditor;
    std::vector<cell_conflict> cells;
    /// Validation errors if no cell conflicts but the merged table is invalid; otherwise empty.
    std::string invalid;

    /// Returns one line per conflicting cell, with editors and values.
    [[nodiscard]] std::string text() const;
};

using merge_outcome = std::variant<merged_edits, conflict>;

/// Performs a three-way merge of two edits of the same base, cell by cell. Setting a cell to the
/// same value on both sides is not a conflict; removing a row on one side and changing it on the
/// other is. The result has the version of theirs and the editor of mine. Thread-safe.
[[nodiscard]] merge_outcome merge(const table& base, const table& mine, const table& theirs);

/// A parameter of the query string; name and value are decoded.
struct query_value {
    std::string name;
    std::string value;
};

/// The parts of a request that classify() uses.
struct request_head {
    std::string method;
    /// Value of the Host field.
    std::string host;
    /// As received, not decoded, without the query.
    std::string path;
    /// Path segments, decoded after splitting: /weights/g%2F17 yields "weights" and "g/17".
    std::vector<std::string> segments;
    std::vector<query_value> query;
    /// Returns all values of a header field; names are case-insensitive.
    std::function<std::vector<std::string>(const std::string& name)> header;
    /// Selects one of several parts of a route; if not set, the first part is used.
    std::function<const route_part&(const route_row& row)> choosePart;
};

/// The service of a request and the properties derived from the table.
/// The pointers are valid as long as the table.
struct classified_request {
    const service_row* service = nullptr;
    /// Null if the request was routed by the service's path prefix.
    const route_row* route = nullptr;
    /// Empty for unkeyed services.
    std::optional<std::string> key;
    /// Position of the key in the hash space; set if and only if key is set.
    std::optional<key_hash> hash;
    /// Empty if the request names no caller; all such requests count as one caller.
    caller_id caller;
    bool repeatable = false;
};

enum class classify_error {
    /// No service or route matches the request.
    NoService,
    /// The service is keyed but the request has no key.
    NoKey,
    /// The request has more than one key or caller.
    Ambiguous,
    /// The service's keys are numbers but the request's key is not a 16-bit decimal number.
    BadKey,
};

using classification = std::variant<classified_request, classify_error>;

/// Determines the service, key and caller of a request. Prefixes of services match only whole
/// path segments; prefixes of routes match the path as a string.
/// Precondition: the table outlives the result. Thread-safe.
[[nodiscard]] classification classify(const table& rows, const request_head& head);

} // namespace pimentomast::table
