#include "pimentomast/table.h"
#include "proxy/route-splitter.h"

#include <criterion/criterion.h>
#include <map>

using namespace pimentomast;
using table::classify_error;

namespace {

table::service_row serviceRow(const std::string& id, bool numericKeys)
{
    table::service_row row;
    row.id = service_id { id };
    if (numericKeys) {
        row.key = table::header_field { "Key" };
        row.keyForm = table::key_form::Number;
    }
    return row;
}

table::route_row routeRow(
    const std::string& host, const std::string& prefix, std::vector<table::route_part> parts)
{
    table::route_row row;
    row.id = host + prefix;
    row.host = host;
    row.pathPrefix = prefix;
    row.parts = std::move(parts);
    return row;
}

table::table rows()
{
    table::table made;
    made.services = { serviceRow("a", false), serviceRow("n", true) };
    made.routes = { routeRow("x.example", "/w/", { { service_id { "a" }, 1 } }),
        routeRow("x.example", "/w/deep/", { { service_id { "n" }, 1 } }) };
    return made;
}

table::request_head head(const std::string& host, const std::string& path, const std::string& key)
{
    table::request_head made;
    made.method = "GET";
    made.host = host;
    made.path = path;
    made.header = [key](const std::string&) {
        return key.empty() ? std::vector<std::string> {} : std::vector<std::string> { key };
    };
    return made;
}

classify_error classifyError(const table::request_head& request)
{
    const auto testTable = rows();
    return std::get<classify_error>(table::classify(testTable, request));
}

} // namespace

Test(table_routes, host_and_longest_prefix_choose_the_route)
{
    const auto testTable = rows();
    const auto shallow = table::classify(testTable, head("x.example:80", "/w/1", ""));
    cr_assert(std::get<table::classified_request>(shallow).service->id == service_id { "a" });
    const auto deep = table::classify(testTable, head("x.example", "/w/deep/1", "7"));
    cr_assert(std::get<table::classified_request>(deep).service->id == service_id { "n" });
    cr_assert(classifyError(head("y.example", "/w/1", "")) == classify_error::NoService);
    cr_assert(classifyError(head("x.example", "/w", "")) == classify_error::NoService);
}

Test(table_routes, numbers_keep_their_order_in_the_hash_space)
{
    const auto testTable = rows();
    const auto hashOf = [&](const std::string& key) {
        return *std::get<table::classified_request>(
            table::classify(testTable, head("x.example", "/w/deep/", key)))
                    .hash;
    };
    const auto width = table::keyWidth(table::key_form::Number);
    cr_assert(hashOf("0") == key_hash { 0 });
    cr_assert(hashOf("8").value() - hashOf("7").value() == width);
    cr_assert(hashOf("65535").value() + (width - 1) == UINT64_MAX);
    for (const auto* wrong : { "65536", "-1", "x", "7 ", "+7" })
        cr_expect(classifyError(head("x.example", "/w/deep/", wrong)) == classify_error::BadKey,
            "%s", wrong);
    cr_assert(classifyError(head("x.example", "/w/deep/", "")) == classify_error::NoKey);
}

Test(table_routes, parts_are_chosen_by_weight_and_evenly_over_time)
{
    proxy::detail::route_splitter splitter;
    const auto route
        = routeRow("x.example", "/w/", { { service_id { "a" }, 90 }, { service_id { "n" }, 10 } });
    std::map<service_id, unsigned> counts;
    for (unsigned i = 1; i <= 100; ++i) {
        ++counts[splitter.choose(route).service];
        cr_assert(counts[service_id { "n" }] <= i / 10 + 1);
    }
    cr_assert(counts[service_id { "a" }] == 90);
    cr_assert(counts[service_id { "n" }] == 10);
}
