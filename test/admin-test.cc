#include "pimentomast/admin.h"

#include "helper.h"

#include "pimentomast/command.h"
#include "pimentomast/edits.h"

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <criterion/criterion.h>
#include <fstream>
#include <sstream>

using namespace pimentomast;
using telemetry::metric;

namespace {

const std::string secret = "correct-horse-battery";
const std::vector<std::string> invalidAuthorizations { "", "Bearer", "Bearer  ",
    "Bearer " + secret + "x", "Bearer correct-horse-batterz", "Basic " + secret,
    "Bearer " + secret.substr(1) };
const std::string csv = "kind,id,prefix,queue\nservice,w,/w,5\n";

class fake_node : public admin::node {
public:
    explicit fake_node(const endpoint& platform)
        : m_store(store::connect({ platform, test::waitTimeout }).value())
    {
    }

    [[nodiscard]] admin::health currentHealth() const override
    {
        return leaving ? admin::health { false, "leaving" } : admin::health { true, "" };
    }
    [[nodiscard]] std::string statusJson() const override { return R"({"host":"k1"})"; }
    [[nodiscard]] std::string crashesJson() const override
    {
        return R"({"requests":[{"fingerprint":"0000000000000abc","refused":true,"crashes":[)"
               R"({"target":"w1","incarnation":"7","seconds_ago":12}]}]})";
    }
    bool pardon(std::uint64_t fingerprint) override { return fingerprint == 0xabc; }
    [[nodiscard]] store::services& platform() override { return *m_store; }
    [[nodiscard]] telemetry::registry& metrics() override { return m_metrics; }

    std::atomic<bool> leaving = false;

private:
    std::unique_ptr<store::services> m_store;
    telemetry::registry m_metrics;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

bool contains(const test::http_reply& reply, const std::string& part)
{
    return contains(reply.body, part);
}

struct command_result {
    int code = -1;
    std::string out;
    std::string err;
};

struct fixture {
    endpoint platform = test::freeAddress();
    test::process server = test::process::start(
        "stand-in-store", { "--address", platform.text() }, test::scratchFolder() + "/log");
    fake_node node { platform };
    std::unique_ptr<admin::server> api
        = admin::server::start({ test::freeAddress(), secret }, node).value();

    fixture()
    {
        cr_assert(test::waitUntil([this] { return node.platform().hosts().has_value(); }));
    }

    [[nodiscard]] test::http_reply call(const std::string& method, const std::string& path,
        const std::string& body = "", const std::string& authorization = "Bearer " + secret) const
    {
        test::http_call request { method, path, body };
        if (!authorization.empty())
            request.fields = { { "Authorization", authorization } };
        return test::call(api->address(), request);
    }

    /// Runs a command with settings that contain the address of this API and the token.
    [[nodiscard]] command_result runCommand(
        std::vector<std::string> arguments, const std::string& token = secret) const
    {
        const auto path = test::scratchFolder() + "/settings.ini";
        std::ofstream(path) << "[host]\nid = k1\ndomain = k\ncallers = 127.0.0.1:1\n"
                               "peers = 127.0.0.1:2\nadmin = "
                            << api->address().text() << "\n[store]\naddress = 127.0.0.1:3\n"
                            << "[admin]\ntoken = " << token << "\n";
        arguments.insert(arguments.end(), { "--settings", path });
        std::ostringstream out;
        std::ostringstream err;
        const int code = command::run(arguments, out, err);
        return { code, out.str(), err.str() };
    }

    [[nodiscard]] test::http_reply apply(
        const std::string& editor, int base, const std::string& text) const
    {
        Poco::JSON::Object body;
        body.set("editor", editor);
        body.set("base", base);
        body.set("csv", text);
        std::ostringstream json;
        body.stringify(json);
        return call("PUT", "/table", json.str());
    }
};

} // namespace

Test(admin, health_needs_no_token_and_reports_the_node_state)
{
    fixture f;
    cr_assert(f.call("GET", "/health", "", "").status == 200);
    f.node.leaving = true;
    const auto reply = f.call("GET", "/health", "", "");
    cr_assert(reply.status == 503 && contains(reply, "leaving"));
}

Test(admin, other_paths_require_the_token_and_refusals_are_counted)
{
    fixture f;
    std::uint64_t refused = 0;
    for (const auto& route : admin::describeRoutes()) {
        if (route.path == "/health")
            continue;
        for (const auto& authorization : invalidAuthorizations) {
            cr_expect(f.call(route.method, route.path, "", authorization).status == 401, "%s",
                route.path.c_str());
            ++refused;
        }
    }
    cr_assert(f.node.metrics().counterFor(metric::AdminRequests, "401").value() == refused);
    cr_assert(f.call("GET", "/unknown", "", "").status == 401);
}

Test(admin, only_identical_tokens_compare_equal)
{
    cr_assert(admin::equalInConstantTime(secret, secret));
    for (const std::string& other : { std::string(), secret + secret, secret.substr(1),
             secret + std::string(1, '\0'), std::string("correct-horse-batterx") })
        cr_expect(!admin::equalInConstantTime(other, secret));
    cr_assert(!admin::equalInConstantTime("", ""));
}

Test(admin, metrics_and_status_come_from_the_node)
{
    fixture f;
    f.node.metrics().counterFor(metric::Retries, "connect-failed").add(2);
    const auto metrics = f.call("GET", "/metrics");
    cr_assert(contains(metrics, "pimentomast_retries_total{reason=\"connect-failed\"} 2\n"));
    cr_assert(metrics.field("Content-Type").starts_with("text/plain; version=0.0.4"));
    const auto status = f.call("GET", "/status");
    cr_assert(contains(status, "k1") && !contains(status, secret) && !contains(metrics, secret));
}

Test(admin, table_is_read_and_applied_and_conflicts_are_reported)
{
    fixture f;
    cr_assert(contains(f.call("GET", "/table"), R"("version":0)"));
    cr_assert(f.apply("hari", 0, csv).status == 200);
    cr_assert(f.apply("sita", 1, "kind,id,prefix,queue\nservice,w,/w,6\n").status == 200);
    const auto conflict = f.apply("hari", 1, "kind,id,prefix,queue\nservice,w,/w,7\n");
    cr_assert(conflict.status == 409);
    for (const auto* part : { R"("their_editor":"sita")", R"("row":"service w")",
             R"("column":"queue")", R"("mine":"7")", R"("theirs":"6")", R"("base":"5")" })
        cr_expect(contains(conflict, part), "%s", conflict.body.c_str());
    const auto invalid = f.apply("hari", 2, "kind,id,prefix,queue\nservice,w,/w,x\n");
    cr_assert(invalid.status == 422 && contains(invalid, "row 2, column queue"));
    cr_assert(contains(f.call("GET", "/history"), R"("editor":"sita")"));
    cr_assert(contains(f.call("GET", "/table"), R"("version":2)"));
}

Test(admin, marks_edit_the_table)
{
    fixture f;
    cr_assert(f.apply("hari", 0, csv).status == 200);
    const auto mark = [&](const std::string& kind, const std::string& state) {
        return f.call("POST", "/marks",
            R"({"editor":"hari","id":"h1","kind":")" + kind + R"(","state":")" + state + R"("})");
    };
    cr_assert(mark("host", "leaving").status == 200);
    cr_assert(table::readCurrent(f.node.platform()).value()->host(host_id { "h1" }));
    cr_assert(mark("host", "active").status == 200);
    cr_assert(!table::readCurrent(f.node.platform()).value()->host(host_id { "h1" }));
    cr_assert(mark("target", "leaving").status == 503);
    cr_assert(mark("service", "leaving").status == 400);
    cr_assert(mark("host", "gone").status == 400);
}

Test(admin, invalid_requests_are_refused)
{
    fixture f;
    for (const auto* body : { "", "{", "[]", "7", "{}", R"({"editor":"a","base":"x","csv":""})" })
        cr_expect(f.call("PUT", "/table", body).status == 400, "%s", body);
    for (const std::size_t depth : { 1000, 1'000'000 }) {
        const auto nested = std::string(depth, '[') + std::string(depth, ']');
        for (const auto* path : { "/table", "/marks", "/pardons" }) {
            const auto* method = std::string_view(path) == "/table" ? "PUT" : "POST";
            cr_expect(f.call(method, path, R"({"x":)" + nested + "}").status == 400, "%s", path);
        }
    }
    cr_assert(f.call("POST", "/pardons", R"({"fingerprint":"abc"})").status == 200);
    cr_assert(f.call("POST", "/pardons", R"({"fingerprint":"abd"})").status == 404);
    cr_assert(f.call("POST", "/pardons", R"({"fingerprint":"xyz"})").status == 400);
    std::string tooLong;
    tooLong.resize(9000000, ' ');
    cr_assert(f.call("DELETE", "/table").status == 405);
    cr_assert(f.call("GET", "/unknown").status == 404);
    cr_assert(f.call("PUT", "/table", tooLong).status == 413);
}

Test(admin, idle_connections_do_not_block_health_checks)
{
    fixture f;
    std::vector<Poco::Net::StreamSocket> idleSockets(48);
    for (auto& socket : idleSockets)
        socket.connect({ f.api->address().ip, f.api->address().port });
    cr_assert(f.call("GET", "/health", "", "").status == 200);
}

Test(admin, status_command_sends_the_token_from_the_settings)
{
    fixture f;
    const auto shown = f.runCommand({ "status" });
    cr_assert(shown.code == 0 && contains(shown.out, "\"host\": \"k1\""), "%s", shown.out.c_str());
    const auto refused = f.runCommand({ "status" }, "another-token-of-16");
    cr_assert(refused.code == 1 && contains(refused.err, "401"));
}

Test(admin, crash_commands_list_and_pardon)
{
    fixture f;
    const auto listed = f.runCommand({ "crash", "list" });
    cr_assert(listed.out == "0000000000000abc refused w1/7 12s\n", "%s", listed.out.c_str());
    const auto json = f.runCommand({ "crash", "list", "--format", "json" });
    cr_assert(contains(json.out, R"("seconds_ago":12)"));
    const auto pardoned = f.runCommand({ "crash", "pardon", "abc", "--format", "json" });
    cr_assert(pardoned.code == 0 && contains(pardoned.out, R"("pardoned":"abc")"));
    const auto unknown = f.runCommand({ "crash", "pardon", "abd" });
    cr_assert(unknown.code == 1 && contains(unknown.err, "suspected or refused"), "%s",
        unknown.err.c_str());
    cr_assert(f.runCommand({ "crash", "pardon", "xyz" }).code == 2);
    cr_assert(f.runCommand({ "crash", "list" }, "another-token-of-16").code == 1);
}

Test(admin, address_in_use_is_refused)
{
    fixture f;
    const auto second = admin::server::start({ f.api->address(), secret }, f.node);
    cr_assert(second.error().peer == f.api->address().text());
}
