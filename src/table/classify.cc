#include "pimentomast/table.h"

namespace pimentomast::table {
namespace {

using values = std::vector<std::string>;

/// Collects the values of a request at one place.
struct value_finder {
    const request_head& head;

    values operator()(const no_source&) const { return {}; }
    values operator()(const path_segment& from) const
    {
        if (from.index >= head.segments.size() || head.segments[from.index].empty())
            return {};
        return { head.segments[from.index] };
    }
    values operator()(const query_parameter& from) const
    {
        values found;
        for (const auto& each : head.query) {
            if (each.name == from.name)
                found.push_back(each.value);
        }
        return found;
    }
    values operator()(const header_field& from) const
    {
        return head.header ? head.header(from.name) : values {};
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

} // namespace

classification classify(const table& rows, const request_head& head)
{
    const auto* service = findService(rows, head);
    if (!service)
        return unclassified::NoService;
    const value_finder finder { head };
    const auto keys = std::visit(finder, service->key);
    const auto callers = std::visit(finder, service->caller);
    if (keys.size() > 1 || callers.size() > 1)
        return unclassified::Ambiguous;
    if (service->keyed() && (keys.empty() || keys.front().empty()))
        return unclassified::NoKey;
    classified found;
    found.service = service;
    if (!keys.empty())
        found.key = keys.front();
    if (!callers.empty())
        found.caller = caller_id { callers.front() };
    found.repeatable = service->repeatable.contains(head.method);
    return found;
}

} // namespace pimentomast::table
