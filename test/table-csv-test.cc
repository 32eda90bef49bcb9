#include "pimentomast/table.h"

#include <criterion/criterion.h>

using namespace pimentomast;

namespace {

const std::string header
    = "kind,id,service,prefix,key,caller,repeatable,deadline_ms,queue,"
      "churn_price,address,domain,weight,slots,connections,checks_tokens,state\n";
const std::string weights = "service,weights,,/weights,path:1,header:X-Caller,GET HEAD,,,,,,,,,,\n";
const std::string w1 = "target,w1,weights,,,,,,,,127.0.0.1:7001,kalimati,2,,,no,\n";

std::string parseError(const std::string& csv)
{
    const auto rows = table::parse(csv);
    return rows ? "" : rows.error().reason;
}

struct invalid_table {
    std::string csv;
    /// Prefix of the line of the error message.
    std::string location;
    std::string reason;
};

const std::vector<invalid_table>& invalidTables()
{
    static const std::vector<invalid_table> all {
        { "", "row 1", "header" },
        { "\n" + header, "row 1", "header" },
        { "kind,id,colour\n", "row 1, column 'colour'", "unknown" },
        { "kind,id,id\n", "row 1, column id", "twice" },
        { "kind,prefix\n", "row 1, column id", "missing" },
        { header + "router,r1,,,,,,,,,,,,,,,\n", "row 2, column kind", "service, target or host" },
        { header + weights + "\n\nhost,,,,,,,,,,,,,,,,\n", "row 5, column id", "missing" },
        { header + weights + "host,a b,,,,,,,,,,,,,,,\n", "row 3, column id", "letters" },
        { header + weights + weights, "row 3, column id", "twice" },
        { header + weights + "service,w2,,/weights,,,,,,,,,,,,,\n", "row 3, column prefix",
            "twice" },
        { header + weights + w1 + "target,w2,weights,,,,,,,,127.0.0.1:7001,k,,,,,\n",
            "row 4, column address", "twice" },
        { header + w1, "row 2, column service", "no service 'weights'" },
        { header + "host,h1,,,,,,,,,,,5,,,,\n", "row 2, column weight", "must be empty" },
        { header + "service,s,,weights,,,,,,,,,,,,,\n", "row 2, column prefix", "segments" },
        { header + "service,s,,/a/../b,,,,,,,,,,,,,\n", "row 2, column prefix", "segments" },
        { header + "service,s,,/a/,,,,,,,,,,,,,\n", "row 2, column prefix", "segments" },
        { header + "service,s,,/s,path:x,,,,,,,,,,,,\n", "row 2, column key", "path:0" },
        { header + "service,s,,/s,path:32,,,,,,,,,,,,\n", "row 2, column key", "path:0" },
        { header + "service,s,,/s,,header:a b,,,,,,,,,,,\n", "row 2, column caller",
            "header:NAME" },
        { header + "service,s,,/s,,,get,,,,,,,,,,\n", "row 2, column repeatable", "GET HEAD" },
        { header + "service,s,,/s,,,,0,,,,,,,,,\n", "row 2, column deadline_ms", "range" },
        { header + "service,s,,/s,,,,1e3,,,,,,,,,\n", "row 2, column deadline_ms", "number" },
        { header + "service,s,,/s,,,,,-1,,,,,,,,\n", "row 2, column queue", "number" },
        { header + "service,s,,/s,,,,,,nan,,,,,,,\n", "row 2, column churn_price", "number" },
        { header + weights + "target,w,weights,,,,,,,,h:1,k,,,,,\n", "row 3, column address",
            "ip" },
        { header + weights + "target,w,weights,,,,,,,,127.1:1,k,,,,,\n", "row 3, column address",
            "ip" },
        { header + weights + "target,w,weights,,,,,,,,:1,k,,,,,\n", "row 3, column address", "ip" },
        { header + weights + "target,w,weights,,,,,,,,[::1]:1,k,,,,,\n", "row 3, column address",
            "ip" },
        { header + weights + "target,w,weights,,,,,,,,127.0.0.1:0,k,,,,,\n",
            "row 3, column address", "ip:port" },
        { header + weights + "target,w,weights,,,,,,,,127.0.0.1:1,k,,0,,,\n", "row 3, column slots",
            "range" },
        { header + weights + "target,w,weights,,,,,,,,127.0.0.1:1,k,,,,maybe,\n",
            "row 3, column checks_tokens", "no or yes" },
        { header + "host,h1,,,,,,,,,,,,,,,gone\n", "row 2, column state", "active or leaving" },
        { header + "host,h1,,,,,,,,,,,,,,,,extra\n", "row 2, column 18", "more cells" },
        { header + "host,\"h1,,,,,,,,,,,,,,,,\n", "row 2, column 2", "" },
        { header + "host,h\"1,,,,,,,,,,,,,,,\n", "row 2, column 2", "" },
    };
    return all;
}

} // namespace

Test(table_csv, cells_become_typed_rows)
{
    const auto rows = table::parse(header + w1 + weights).value();
    const auto& service = *rows.service(service_id { "weights" });
    cr_assert(service.key == table::value_source { table::path_segment { 1 } });
    cr_assert(service.caller == table::value_source { table::header_field { "X-Caller" } });
    cr_assert(service.repeatable == (std::set<std::string> { "GET", "HEAD" }));
    cr_assert(service.deadline.count() == 10000);
    const auto& target = *rows.target(target_id { "w1" });
    cr_assert(target.weight == 2);
    cr_assert(!target.checksTokens);
    cr_assert(target.state == table::mark::Active);
}

Test(table_csv, column_order_and_line_endings_do_not_matter)
{
    const auto rows = table::parse("\xEF\xBB\xBFstate,id,kind\r\nleaving,h1,host\r\n\r\n").value();
    cr_assert(rows.host(host_id { "h1" })->state == table::mark::Leaving);
}

Test(table_csv, each_error_names_its_row_and_column)
{
    for (const auto& invalid : invalidTables()) {
        const auto found = "\n" + parseError(invalid.csv);
        const auto at = found.find("\n" + invalid.location);
        cr_expect(at != std::string::npos && found.find(invalid.reason, at) != std::string::npos,
            "%s (%s) is missing from the error message: %s", invalid.location.c_str(),
            invalid.reason.c_str(), found.c_str());
    }
}

Test(table_csv, all_errors_are_reported_at_once)
{
    const auto found = parseError(header + "host,,,,,,,,,,,,,,,,no\nservice,s,,s,,,,,,,,,,,,,\n");
    for (const auto* location :
        { "row 2, column id", "row 2, column state", "row 3, column prefix" })
        cr_expect(found.find(location) != std::string::npos, "%s is missing from the error message",
            location);
}
