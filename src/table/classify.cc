#include "pimentomast/table.h"

#include <charconv>

namespace pimentomast::table {
namespace {

using values = std::vector<std::string>;

/// Returns the values that a request has at a source.
struct value_extractor {
    const request_head& head;

    values operator()(const no_source&) const { return {}; }
    values operator()(const path_segment& source) const
    {
        if (source.index >= head.segments.size() || head.segments[source.index].empty())
            return {};
        return { head.segments[source.index] };
    }
    values operator()(const query_parameter& source) const
    {
        values found;
        for (const auto& each : head.query) {
            if (each.name == source.name)
                found.push_back(each.value);
        }
        return found;
    }
    values operator()(const header_field& source) const
    {
        return head.header ? head.header(source.name) : values {};
    }
};

bool startsWith(const std::vector<std::string>& segments, std::string_view prefix)
{
    if (prefix == "/")
        return true;
    for (const auto& segment : segments) {
        if (prefix.empty())
            return true;
        prefix.remove_prefix(1);
        if (prefix.substr(0, prefix.find('/')) != segment)
            return false;
        prefix.remove_prefix(segment.size());
    }
    return prefix.empty();
}

const service_row* findService(const table& rows, const request_head& head)
{
    const service_row* longest = nullptr;
    for (const auto& row : rows.services) {
        const bool longer = !longest || row.pathPrefix.size() > longest->pathPrefix.size();
        if (longer && startsWith(head.segments, row.pathPrefix))
            longest = &row;
    }
    return longest;
}

const route_row* findRoute(const table& rows, const request_head& head)
{
    const std::string_view host = std::string_view(head.host).substr(0, head.host.find(':'));
    const route_row* longest = nullptr;
    for (const auto& row : rows.routes) {
        const bool matches
            = (row.host.empty() || row.host == host) && head.path.starts_with(row.pathPrefix);
        if (matches && (!longest || row.pathPrefix.size() > longest->pathPrefix.size()))
            longest = &row;
    }
    return longest;
}

const route_part& selectPart(const route_row& row, const request_head& head)
{
    const bool isSplit = row.parts.size() > 1 && head.choosePart;
    return isSplit ? head.choosePart(row) : row.parts.front();
}

/// The service of a request and, if the table has routes, its route.
struct destination {
    const service_row* service = nullptr;
    const route_row* route = nullptr;
};

destination findDestination(const table& rows, const request_head& head)
{
    if (rows.routes.empty())
        return { findService(rows, head) };
    const auto* route = findRoute(rows, head);
    if (!route)
        return {};
    return { rows.service(selectPart(*route, head).service), route };
}

std::optional<key_hash> hashOf(key_form form, const std::string& key)
{
    if (form == key_form::Text)
        return hashKey(key);
    std::uint16_t number = 0;
    const auto* const end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data(), end, number);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return std::nullopt;
    return key_hash { number * keyWidth(form) };
}

} // namespace

classification classify(const table& rows, const request_head& head)
{
    const auto [service, route] = findDestination(rows, head);
    if (!service)
        return classify_error::NoService;
    const value_extractor extractor { head };
    const auto keys = std::visit(extractor, service->key);
    const auto callers = std::visit(extractor, service->caller);
    if (keys.size() > 1 || callers.size() > 1)
        return classify_error::Ambiguous;
    if (service->keyed() && (keys.empty() || keys.front().empty()))
        return classify_error::NoKey;
    classified_request found;
    found.service = service;
    found.route = route;
    if (!keys.empty()) {
        found.key = keys.front();
        found.hash = hashOf(service->keyForm, keys.front());
        if (!found.hash)
            return classify_error::BadKey;
    }
    if (!callers.empty())
        found.caller = caller_id { callers.front() };
    found.repeatable = route ? route->repeatable : service->repeatable.contains(head.method);
    return found;
}

} // namespace pimentomast::table
