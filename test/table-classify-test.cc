#include "pimentomast/table.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using table::classify_error;

namespace {

const auto testTable = table::parse("kind,id,prefix,key,caller,repeatable\n"
                                    "service,weights,/weights,path:1,header:X-Caller,GET HEAD\n"
                                    "service,ledger,/ledger/v1,query:sale,query:dairy,none\n"
                                    "service,export,/weights/export,none,none,GET\n")
                           .value();

table::request_head head(const std::string& method, std::vector<std::string> segments)
{
    table::request_head request;
    request.method = method;
    request.segments = std::move(segments);
    request.header = [](const std::string&) { return std::vector<std::string> {}; };
    return request;
}

} // namespace

Test(table_classify, key_caller_and_repeatability_come_from_the_row)
{
    auto request = head("GET", { "weights", "g/17" });
    request.header = [](const std::string& name) {
        return name == "X-Caller" ? std::vector<std::string> { "tula" }
                                  : std::vector<std::string> {};
    };
    const auto found = std::get<table::classified_request>(table::classify(testTable, request));
    cr_assert(found.service->id == service_id { "weights" });
    cr_assert(found.key == "g/17");
    cr_assert(found.caller == caller_id { "tula" });
    cr_assert(found.repeatable);
}

Test(table_classify, longest_prefix_of_whole_segments_wins)
{
    const auto found = table::classify(testTable, head("POST", { "weights", "export", "2026" }));
    cr_assert(std::get<table::classified_request>(found).service->id == service_id { "export" });
    cr_assert(!std::get<table::classified_request>(found).key);
    cr_assert(!std::get<table::classified_request>(found).repeatable);
    for (const auto& segments :
        std::vector<std::vector<std::string>> { {}, { "weight" }, { "weights2", "k" }, { "ledger" },
            { "ledger", "v11" }, { "ledger/v1" }, { "", "weights", "k" } }) {
        const auto none = table::classify(testTable, head("GET", segments));
        cr_expect(std::get<classify_error>(none) == classify_error::NoService);
    }
}

Test(table_classify, missing_and_repeated_values_are_distinguished)
{
    const auto noKey = table::classify(testTable, head("GET", { "weights" }));
    cr_assert(std::get<classify_error>(noKey) == classify_error::NoKey);
    auto request = head("POST", { "ledger", "v1", "sales" });
    request.query = { { "sale", "" } };
    cr_assert(
        std::get<classify_error>(table::classify(testTable, request)) == classify_error::NoKey);
    request.query = { { "sale", "1" }, { "sale", "2" } };
    cr_assert(
        std::get<classify_error>(table::classify(testTable, request)) == classify_error::Ambiguous);
    request.query = { { "sale", "1" }, { "dairy", "a" }, { "dairy", "a" } };
    cr_assert(
        std::get<classify_error>(table::classify(testTable, request)) == classify_error::Ambiguous);
    request.query = { { "sale", "1" } };
    const auto found = std::get<table::classified_request>(table::classify(testTable, request));
    cr_assert(found.caller == caller_id {});
}
