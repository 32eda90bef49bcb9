#include "pimentomast/command.h"

#include "helper.h"
#include "helper/scripted-server.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>
#include <fstream>
#include <sstream>
#include <thread>

using namespace pimentomast;

namespace {

const std::string secret = "correct-horse-battery";

struct command_result {
    int code = -1;
    std::string out;
    std::string err;
};

using argument_list = std::vector<std::string>;

command_result run(const argument_list& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int code = command::run(arguments, out, err);
    return { code, out.str(), err.str() };
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string writeFile(const std::string& name, const std::string& text)
{
    auto path = test::scratchFolder() + "/" + name;
    std::ofstream(path) << text;
    return path;
}

std::string settingsFile(const std::string& more)
{
    return writeFile("settings.ini",
        "[host]\nid = k1\ndomain = kalimati\ncallers = 127.0.0.1:8000\npeers = 127.0.0.1:8001\n"
        "admin = 127.0.0.1:8002\n[store]\naddress = 127.0.0.1:9000\n[admin]\ntoken = "
            + secret + "\n" + more);
}

std::string tableFile(const std::string& name, int weight1, int weight2)
{
    return writeFile(name,
        "kind,id,service,prefix,address,domain,weight\nservice,w,,/w,,,\n"
        "target,w1,w,,127.0.0.1:7001,k,"
            + std::to_string(weight1) + "\ntarget,w2,w,,127.0.0.1:7002,k," + std::to_string(weight2)
            + "\n");
}

/// Runs a stand-in store for the commands.
struct fixture {
    endpoint platform = test::freeAddress();
    test::process server = test::process::start(
        "stand-in-store", { "--address", platform.text() }, test::scratchFolder() + "/log");

    fixture()
    {
        cr_assert(test::waitUntil([this] { return runWithStore({ "table", "show" }).code == 0; }));
    }

    [[nodiscard]] command_result runWithStore(argument_list arguments) const
    {
        arguments.insert(arguments.end(), { "--store", platform.text() });
        return run(arguments);
    }
    [[nodiscard]] command_result apply(
        const std::string& path, int base, const std::string& editor) const
    {
        return runWithStore(
            { "table", "apply", path, "--base", std::to_string(base), "--editor", editor });
    }
};

/// Runs the command against a host that sends these bytes as its answer, then closes the
/// connection.
command_result runWithHostAnswer(argument_list arguments, const std::string& answer)
{
    const test::scripted_server host([&](auto& socket, int) {
        test::readRequest(socket);
        test::write(socket, answer);
        socket.close();
    });
    const auto path = writeFile("host.ini",
        "[host]\nid = k1\ndomain = d\ncallers = 127.0.0.1:8000\npeers = 127.0.0.1:8001\nadmin = "
            + host.address().text() + "\n[store]\naddress = 127.0.0.1:9\n[admin]\ntoken = " + secret
            + "\n");
    arguments.insert(arguments.end(), { "--settings", path, "--format", "json" });
    return run(arguments);
}

} // namespace

Test(command, every_subcommand_has_help)
{
    for (const auto& each : command::describeSubcommands()) {
        argument_list arguments;
        std::istringstream parts(each.name);
        for (std::string part; parts >> part;)
            arguments.push_back(part);
        arguments.push_back("--help");
        const auto shown = run(arguments);
        cr_expect(shown.code == 0 && contains(shown.out, "pimentomast " + each.name), "%s",
            each.name.c_str());
        for (const auto& option : each.options)
            cr_expect(contains(shown.out, "--" + option.name), "%s", option.name.c_str());
    }
    cr_assert(contains(run({ "--help" }).out, "check-settings"));
    cr_assert(contains(run({ "table", "--help" }).out, "table apply"));
    cr_assert(!contains(run({ "table", "--help" }).out, "host leave"));
    cr_assert(run({ "--version" }).out == "pimentomast 0.1.0\n");
}

Test(command, invalid_command_lines_exit_with_2)
{
    unsetenv("LOGNAME");
    unsetenv("USER");
    for (const auto& arguments : std::vector<argument_list> { {}, { "tables" }, { "table" },
             { "table", "drop" }, { "--colour" }, { "table", "show" }, { "serve" },
             { "table", "show", "--store", "127.0.0.1:1", "--colour" },
             { "table", "show", "--plat", "127.0.0.1:1" },
             { "table", "show", "--store", "127.0.0.1:1", "--format", "xml" },
             { "table", "show", "--store", "127.0.0.1:1", "surplus" },
             { "table", "apply", "x.csv", "--store", "127.0.0.1:1", "--base", "1" },
             { "table", "apply", tableFile("x.csv", 1, 1), "--store", "127.0.0.1:1", "--editor",
                 "a" },
             { "table", "apply", "x.csv", "--store", "127.0.0.1:1", "--editor", "a", "--base",
                 "one" },
             { "target", "leave", "--store", "127.0.0.1:1", "--editor", "a" } }) {
        const auto shown = run(arguments);
        cr_expect(shown.code == 2 && shown.out.empty() && !shown.err.empty(), "%s (%d)",
            shown.err.c_str(), shown.code);
    }
}

Test(command, check_settings_shows_all_but_the_secret)
{
    const auto shown = run({ "check-settings", "--settings", settingsFile("") });
    cr_assert(shown.code == 0 && contains(shown.out, "target_lease_ms = 1500"));
    cr_assert(!contains(shown.out, secret));
    const auto json = run({ "check-settings", "--settings", settingsFile(""), "--format", "json" });
    const auto parsed = Poco::JSON::Parser().parse(json.out).extract<Poco::JSON::Object::Ptr>();
    cr_assert(parsed->getValue<std::string>("host.id") == "k1");
    cr_assert(!contains(json.out, secret));
}

Test(command, invalid_settings_exit_with_3_and_an_unreadable_file_with_1)
{
    for (const auto* subcommand : { "check-settings", "serve", "status" }) {
        const auto invalid
            = run({ subcommand, "--settings", settingsFile("[log]\nlevel = loud\n[no]\n") });
        cr_expect(invalid.code == 3 && contains(invalid.err, "[log] level")
            && contains(invalid.err, "[no]"));
        cr_expect(!contains(invalid.err, secret));
        cr_expect(run({ subcommand, "--settings", "/nowhere.ini" }).code == 1);
    }
}

Test(command, table_is_applied_and_shown_with_its_history)
{
    const fixture f;
    cr_assert(f.apply(tableFile("a.csv", 1, 1), 0, "hari").code == 0);
    const auto shown = f.runWithStore({ "table", "show" });
    cr_assert(contains(shown.err, "version 1 by hari"));
    const auto again = writeFile("again.csv", shown.out);
    cr_assert(
        contains(f.runWithStore({ "table", "check", again }).out, "valid: 1 services, 2 targets"));
    cr_assert(!contains(f.runWithStore({ "table", "check", again }).out, "would change"));
    cr_assert(f.apply(tableFile("b.csv", 2, 1), 1, "sita").code == 0);
    const auto history = f.runWithStore({ "table", "history" });
    cr_assert(contains(history.out, "version 2 by sita at 20"));
    cr_assert(contains(history.out, "target w1, weight: 1 -> 2"));
    const auto json = f.runWithStore({ "table", "history", "--limit", "1", "--format", "json" });
    cr_assert(Poco::JSON::Parser().parse(json.out).extract<Poco::JSON::Array::Ptr>()->size() == 1);
}

Test(command, invalid_table_exits_with_3_and_changes_nothing)
{
    const fixture f;
    const auto path = writeFile("wrong.csv", "kind,id,state\nhost,h1,leaving\nhost,h2,gone\n");
    cr_assert(run({ "table", "check", path }).code == 3);
    const auto refused = f.apply(path, 0, "hari");
    cr_assert(refused.code == 3 && contains(refused.err, "row 3, column state"));
    cr_assert(contains(f.runWithStore({ "table", "show" }).err, "version 0"));
}

Test(command, concurrent_edits_of_one_row_conflict_for_the_second_operator)
{
    const fixture f;
    cr_assert(f.apply(tableFile("base.csv", 1, 1), 0, "hari").code == 0);
    const std::vector<std::string> files { tableFile("hari.csv", 2, 1),
        tableFile("sita.csv", 3, 1) };
    std::vector<command_result> results(2);
    std::thread hari([&] { results[0] = f.apply(files[0], 1, "hari"); });
    std::thread sita([&] { results[1] = f.apply(files[1], 1, "sita"); });
    hari.join();
    sita.join();
    const auto& refused = results[0].code == 0 ? results[1] : results[0];
    cr_assert(results[0].code + results[1].code == 4, "%d, %d", results[0].code, results[1].code);
    for (const auto* part :
        { "target w1, weight", "hari has 2", "sita has 3", "before it was 1", "nothing changed" })
        cr_expect(contains(refused.err, part), "%s", refused.err.c_str());
    cr_assert(contains(f.runWithStore({ "table", "show" }).err, "version 2"));
}

Test(command, concurrent_edits_of_different_rows_are_merged_and_reported)
{
    const fixture f;
    cr_assert(f.apply(tableFile("base.csv", 1, 1), 0, "hari").code == 0);
    const std::vector<std::string> files { tableFile("hari.csv", 2, 1),
        tableFile("sita.csv", 1, 3) };
    std::vector<command_result> results(2);
    std::thread hari([&] { results[0] = f.apply(files[0], 1, "hari"); });
    std::thread sita([&] { results[1] = f.apply(files[1], 1, "sita"); });
    hari.join();
    sita.join();
    cr_assert(results[0].code == 0 && results[1].code == 0);
    const auto output = results[0].out + results[1].out;
    cr_assert(contains(output, "merged with the edits of"), "%s", output.c_str());
    const auto shown = f.runWithStore({ "table", "show" });
    cr_assert(
        contains(shown.out, "127.0.0.1:7001,k,2") && contains(shown.out, "127.0.0.1:7002,k,3"));
}

Test(command, marks_are_set_listed_and_removed)
{
    const fixture f;
    cr_assert(f.apply(tableFile("base.csv", 1, 1), 0, "hari").code == 0);
    test::put(f.platform, "/control/hosts",
        R"({"hosts":[{"id":"h1","domain":"k","peers":"127.0.0.1:1","state":"live"}]})");
    cr_assert(f.runWithStore({ "target", "leave", "w1", "--editor", "sita" }).code == 0);
    cr_assert(contains(f.runWithStore({ "target", "list" }).out, "w1 w 127.0.0.1:7001 k leaving"));
    cr_assert(f.runWithStore({ "target", "return", "w1", "--editor", "sita" }).code == 0);
    cr_assert(contains(
        f.runWithStore({ "target", "list", "--format", "json" }).out, R"("state":"active")"));
    const auto listed = f.runWithStore({ "host", "leave", "h1", "--editor", "sita" });
    cr_assert(listed.code == 0 && listed.err.empty());
    const auto again = f.runWithStore({ "host", "leave", "h1", "--editor", "sita" });
    cr_assert(again.code == 0 && contains(again.out, "version 4 stays"), "%s", again.out.c_str());
    const auto unlisted = f.runWithStore({ "host", "leave", "h2", "--editor", "sita" });
    cr_assert(unlisted.code == 0 && contains(unlisted.err, "does not list host h2"));
    const auto hosts = f.runWithStore({ "host", "list" });
    cr_assert(contains(hosts.out, "h1 k platform=live mark=leaving"), "%s", hosts.out.c_str());
    cr_assert(contains(hosts.out, "h2 - platform=not listed mark=leaving"));
    cr_assert(f.runWithStore({ "host", "return", "h1", "--editor", "sita" }).code == 0);
    cr_assert(
        contains(f.runWithStore({ "host", "list", "--format", "json" }).out, R"("mark":"active")"));
    const auto unknown = f.runWithStore({ "target", "leave", "w9", "--editor", "sita" });
    cr_assert(unknown.code == 1 && contains(unknown.err, "no such row"));
}

Test(command, corrupt_table_is_replaced_on_demand_and_kept)
{
    const fixture f;
    cr_assert(f.apply(tableFile("a.csv", 1, 1), 0, "hari").code == 0);
    cr_assert(f.apply(tableFile("b.csv", 2, 1), 1, "hari").code == 0);
    test::put(f.platform, "/rows/config", R"({"expected":2,"value":"{broken","writer":"fault"})");
    const auto path = tableFile("c.csv", 3, 1);
    const auto refused = f.apply(path, 1, "sita");
    cr_assert(
        refused.code == 1 && contains(refused.err, "--replace-corrupt"), "%s", refused.err.c_str());
    const auto replace = [&](const std::string& editor, const std::string& edited) {
        return f.runWithStore(
            { "table", "apply", edited, "--base", "1", "--editor", editor, "--replace-corrupt" });
    };
    const auto replaced = replace("sita", path);
    cr_assert(replaced.code == 0, "%s", replaced.err.c_str());
    for (const auto* part : { "version 4 is accepted", "version 3", "{broken", "weight: 1 -> 3" })
        cr_expect(contains(replaced.out, part), "%s", replaced.out.c_str());
    const auto history = f.runWithStore({ "table", "history" });
    for (const auto* part : { "version 4 by sita", "version 3", "{broken", "version 1 by hari" })
        cr_expect(contains(history.out, part), "%s", history.out.c_str());
    cr_assert(replace("maya", tableFile("d.csv", 4, 1)).code == 4);
    cr_assert(contains(f.runWithStore({ "table", "show" }).err, "version 4 by sita"));
}

Test(command, editor_and_base_default_to_the_login_and_the_version_line)
{
    const fixture f;
    setenv("LOGNAME", "hari", 1);
    const auto first = tableFile("first.csv", 1, 1);
    cr_assert(f.runWithStore({ "table", "apply", first }).code == 2);
    cr_assert(f.runWithStore({ "table", "apply", first, "--base", "0" }).code == 0);
    const auto shown = f.runWithStore({ "table", "show" }).out;
    cr_assert(shown.starts_with("# version 1\n"), "%s", shown.c_str());
    const auto edited = [&](const std::string& name, const std::string& weight) {
        auto text = shown;
        return writeFile(name, text.replace(text.find(",k,1,") + 3, 1, weight));
    };
    const auto hari = edited("hari.csv", "2");
    cr_assert(f.runWithStore({ "table", "apply", hari, "--base", "2" }).code == 2);
    cr_assert(f.runWithStore({ "table", "apply", hari }).code == 0);
    const auto late
        = f.runWithStore({ "table", "apply", edited("sita.csv", "3"), "--editor", "sita" });
    cr_assert(late.code == 4 && contains(late.err, "hari has 2"), "%s", late.err.c_str());
    cr_assert(contains(f.runWithStore({ "table", "show" }).err, "version 2 by hari"));
    unsetenv("LOGNAME");
    unsetenv("USER");
    cr_assert(f.runWithStore({ "table", "apply", hari }).code == 2);
}

Test(command, outage_of_the_platform_exits_with_1_and_names_the_peer)
{
    const fixture f;
    test::put(f.platform, "/control", R"({"outage":"refuse"})");
    const auto failed = f.apply(tableFile("a.csv", 1, 1), 0, "hari");
    cr_assert(
        failed.code == 1 && contains(failed.err, "nothing changed"), "%s", failed.err.c_str());
    cr_assert(f.runWithStore({ "table", "show" }).code == 1);
}

// Part of a host's answer was shown as the whole one, and a cut answer to a pardon as a success.
Test(command, broken_answer_of_a_host_exits_with_1)
{
    const std::string body = R"({"requests":[]})";
    const std::vector<std::string> wholeAnswers {
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + body + "\r\n0\r\n\r\n",
    };
    const std::vector<argument_list> commands { { "crash", "list" }, { "crash", "pardon", "1a" } };
    for (const auto& whole : wholeAnswers) {
        cr_assert_eq(runWithHostAnswer({ "crash", "list" }, whole).out, body + "\n");
        for (const auto& arguments : commands) {
            for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
                const auto shown = runWithHostAnswer(arguments, whole.substr(0, bytes));
                cr_expect(shown.code == 1 && shown.out.empty() && !shown.err.empty(),
                    "%s, %zu bytes: %d %s", arguments[1].c_str(), bytes, shown.code,
                    shown.out.c_str());
            }
        }
    }
}

Test(command, serve_fails_if_an_address_is_in_use)
{
    for (const std::string key : { "callers", "peers", "admin" }) {
        const auto taken = test::freeAddress();
        const Poco::Net::ServerSocket other(Poco::Net::SocketAddress(taken.ip, taken.port));
        std::string text = "[store]\naddress = 127.0.0.1:9\n[admin]\ntoken = " + secret
            + "\n[host]\nid = k1\ndomain = d\n";
        for (const std::string each : { "callers", "peers", "admin" })
            text += each + " = " + (each == key ? taken : test::freeAddress()).text() + "\n";
        const auto log = test::scratchFolder() + "/" + key;
        auto host = test::process::start(
            "pimentomast", { "serve", "--settings", writeFile(key + ".ini", text) }, log);
        cr_expect_eq(host.wait(), 1);
        std::ostringstream output;
        output << std::ifstream(log).rdbuf();
        cr_expect(contains(output.str(), "[host] " + key) && contains(output.str(), taken.text()),
            "%s", output.str().c_str());
    }
}

Test(command, main_program_returns_the_exit_code)
{
    const auto log = test::scratchFolder() + "/out";
    auto process = test::process::start("pimentomast", { "table", "check", "/nowhere" }, log);
    cr_assert(process.wait() == 1);
    auto usage = test::process::start("pimentomast", { "nonsense" }, log);
    cr_assert(usage.wait() == 2);
}
