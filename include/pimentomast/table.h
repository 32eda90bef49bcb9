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

/// How keys are laid out in the hash space.
enum class key_form {
    /// Any text; its hash is its place.
    Text,
    /// A decimal number of 16 bits; neighbouring numbers are neighbours in the hash space.
    Number,
};

/// Returns how many hashes one key of this form takes. Thread-safe.
[[nodiscard]] constexpr std::uint64_t keyWidth(key_form form) noexcept
{
    constexpr unsigned numberShift = 48;
    return form == key_form::Number ? std::uint64_t { 1 } << numberShift : 1;
}

struct service_row {
    service_id id;
    /// Requests whose path starts with this prefix belong to the service; the longest prefix wins.
    std::string pathPrefix;
    /// no_source: the service is unkeyed and any of its targets may serve any request.
    value_source key;
    key_form keyForm = key_form::Text;
    value_source caller;
    /// Methods whose requests may run more than once.
    std::set<std::string> repeatable;
    std::chrono::milliseconds deadline { 10000 };
    /// Requests that may wait on one host.
    unsigned queue = 256;
    /// A planned move must save a part of the service's load that is above this price times the
    /// part of the service's keys that it moves.
    double churnPrice = 0.25;
    /// Path at which targets answer health probes.
    std::string healthPath = "/pimentomast/health";

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
    /// Name by which requests say which process they are meant for; empty: they don't say it.
    std::string instance {};
    /// Run of the process, where the table tells it; 0: it is learned from the target.
    incarnation run {};

    bool operator==(const target_row&) const = default;
};

/// An entry host that the operators marked; unmarked hosts have no row.
struct host_row {
    host_id id;
    mark state = mark::Active;

    bool operator==(const host_row&) const = default;
};

/// A service that serves a part of a route's requests.
struct route_part {
    service_id service;
    unsigned weight = 1;

    bool operator==(const route_part&) const = default;
};

/// Which requests go to which service, for tables that name routes apart from services.
struct route_row {
    std::string id;
    /// Name in the Host field, without a port; empty: any.
    std::string host;
    /// Requests whose path begins with it belong to the route; the longest prefix wins.
    std::string pathPrefix;
    /// Not empty; requests are shared out in proportion to the weights.
    std::vector<route_part> parts;
    /// Requests may run more than once.
    bool repeatable = false;
    /// Targets that one request may be sent to at most.
    unsigned maxAttempts = 4;
    /// A request is answered within this time.
    std::chrono::milliseconds timeout { 10000 };
    /// Time within which an answer is worth most to its caller.
    std::chrono::milliseconds objective { 10000 };
    /// 0 is served first.
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
    /// If empty, each service's own prefix is its route.
    std::vector<route_row> routes {};

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

/// Returns the CSV form after a line that names the version; parse() skips such a line.
[[nodiscard]] std::string formatWithVersion(const table& rows);

/// Returns the version that the first line of a CSV text names; empty if it names none.
[[nodiscard]] std::optional<config_version> parseVersionLine(const std::string& csv);

/// Name and meaning of a column, and the kinds of row that use it.
struct column_description {
    std::string name;
    std::string usedBy;
    std::string meaning;
};

/// Returns all columns in the order of format(). Thread-safe.
[[nodiscard]] const std::vector<column_description>& columns();

enum class row_kind {
    Service,
    Target,
    Host,
};

/// Names a row across versions of the table.
struct row_name {
    row_kind kind = row_kind::Service;
    std::string id;

    /// Returns for example "target w1".
    [[nodiscard]] std::string text() const;
    auto operator<=>(const row_name&) const = default;
};

/// One cell that differs. A whole row that was added or removed has an empty column, and an empty
/// before or after.
struct change {
    row_name row;
    std::string column;
    std::string before;
    std::string after;

    /// Returns for example "target w1, weight: 1 -> 2".
    [[nodiscard]] std::string text() const;
    auto operator<=>(const change&) const = default;
};

/// Returns what turns one table into the other, sorted by row. Thread-safe.
[[nodiscard]] std::vector<change> difference(const table& before, const table& after);

/// One cell (or, with an empty column, one row) that two editors set to different values.
/// An empty value stands for a row that is not there.
struct cell_conflict {
    row_name row;
    std::string column;
    std::string base;
    std::string mine;
    std::string theirs;
    /// Who set the value of theirs.
    std::string theirEditor;

    bool operator==(const cell_conflict&) const = default;
};

/// Both edits together, and what each of them changed.
struct merged_edits {
    table rows;
    std::vector<change> mine;
    /// Without what both changed alike.
    std::vector<change> theirs;
};

/// Two edits that do not go together.
struct conflict {
    std::string myEditor;
    /// Version that the edit conflicts with, and its editor.
    config_version theirVersion;
    std::string theirEditor;
    std::vector<cell_conflict> cells;
    /// Set if no cell conflicts but both edits together are not a valid table.
    std::string invalid;

    /// Returns one line for each cell, with editors and values.
    [[nodiscard]] std::string text() const;
};

using merge_outcome = std::variant<merged_edits, conflict>;

/// Merges two edits of one base, by row and column. The same new value on both sides is no
/// conflict; a row removed on one side and changed on the other is one. The result carries the
/// version of theirs and the editor of mine. Thread-safe.
[[nodiscard]] merge_outcome merge(const table& base, const table& mine, const table& theirs);

/// One name and value of the query, both decoded.
struct query_value {
    std::string name;
    std::string value;
};

/// What classification reads of a request.
struct request_head {
    std::string method;
    /// Value of the Host field.
    std::string host;
    /// As sent, without the query.
    std::string path;
    /// Segments of the path, each decoded after splitting: /weights/g%2F17 is "weights", "g/17".
    std::vector<std::string> segments;
    std::vector<query_value> query;
    /// Returns all values of a header field; its name is compared without regard to case.
    std::function<std::vector<std::string>(const std::string& name)> header;
    /// Chooses a part of a route that has several; the first part if there is no such function.
    std::function<const route_part&(const route_row& row)> choosePart;
};

/// The service of a request and what its row makes of it. Lives as long as the table.
struct classified_request {
    const service_row* service = nullptr;
    /// Null if the service's own prefix was the route.
    const route_row* route = nullptr;
    /// Empty for unkeyed services.
    std::optional<std::string> key;
    /// Place of the key in the hash space; set if and only if key is.
    std::optional<key_hash> hash;
    /// Empty if the request names no caller; all such requests share one caller's share.
    caller_id caller;
    bool repeatable = false;
};

enum class classify_error {
    /// No service has a prefix of the path.
    NoService,
    /// The service is keyed and the request names no key.
    NoKey,
    /// The request names several keys or callers.
    Ambiguous,
    /// The service's keys are numbers and the request's key is none.
    BadKey,
};

using classification = std::variant<classified_request, classify_error>;

/// Finds service, key and caller of a request. A service's prefix matches whole segments only, a
/// route's as it stands.
/// Precondition: the table outlives the result. Thread-safe.
[[nodiscard]] classification classify(const table& rows, const request_head& head);

} // namespace pimentomast::table
