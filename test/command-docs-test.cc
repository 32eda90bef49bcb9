#include "pimentomast/admin.h"
#include "pimentomast/command.h"
#include "pimentomast/proxy.h"
#include "pimentomast/routing.h"
#include "pimentomast/settings.h"
#include "pimentomast/table.h"
#include "pimentomast/telemetry.h"

#include <Poco/String.h>
#include <criterion/criterion.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

/// Compares the names in docs/OPERATING.md with the names in the code.
using namespace pimentomast;

namespace {

using names = std::set<std::string>;
using table_row = std::vector<std::string>;

std::string readPage(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(std::string(std::getenv("PIMENTOMAST_SOURCE")) + "/" + path).rdbuf();
    return text.str();
}

table_row splitRow(const std::string& line)
{
    table_row found;
    std::istringstream stream(line.substr(1));
    for (std::string cell; std::getline(stream, cell, '|');)
        found.push_back(Poco::trim(cell));
    return found;
}

/// Returns the table rows of a section whose first cell is in backquotes, without these quotes.
std::vector<table_row> rowsOf(const std::string& section)
{
    std::istringstream lines(readPage("docs/OPERATING.md"));
    std::vector<table_row> rows;
    bool inside = false;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("## "))
            inside = line == "## " + section;
        if (!inside || !line.starts_with("| `"))
            continue;
        rows.push_back(splitRow(line));
        auto& name = rows.back().front();
        name = name.substr(1, name.size() - 2);
    }
    return rows;
}

names namesIn(const std::string& section)
{
    names found;
    for (const auto& row : rowsOf(section))
        cr_expect(found.insert(row.front()).second, "%s is listed twice", row.front().c_str());
    return found;
}

void expectSameNames(const std::string& section, const names& implemented)
{
    const auto documented = namesIn(section);
    for (const auto& name : implemented)
        cr_expect(documented.contains(name), "%s: %s is missing", section.c_str(), name.c_str());
    for (const auto& name : documented)
        cr_expect(
            implemented.contains(name), "%s: %s does not exist", section.c_str(), name.c_str());
    cr_expect(!implemented.empty());
}

/// Returns all matches of the expression's first group in the sources below a folder.
names namesInSources(const std::string& folder, const std::string& expression)
{
    const std::regex pattern(expression);
    names found;
    const auto root = std::string(std::getenv("PIMENTOMAST_SOURCE")) + "/" + folder;
    for (const auto& file : std::filesystem::recursive_directory_iterator(root)) {
        if (file.path().extension() != ".cc")
            continue;
        std::ostringstream text;
        text << std::ifstream(file.path()).rdbuf();
        const auto source = text.str();
        for (std::sregex_iterator at(source.begin(), source.end(), pattern), end; at != end; ++at)
            found.insert((*at)[1]);
    }
    return found;
}

/// Returns the indented block that follows a line of the README, without its indentation.
std::string indentedAfter(const std::string& start)
{
    std::istringstream lines(readPage("README.md"));
    std::string found;
    std::string line;
    while (std::getline(lines, line) && line != start)
        continue;
    while (std::getline(lines, line) && (line.empty() || line.starts_with("    ")))
        found += line.empty() ? "" : line.substr(4) + "\n";
    return found;
}

/// Returns the parts of a cell that are in backquotes.
names quoted(const std::string& cell)
{
    names found;
    std::istringstream stream(cell);
    std::string part;
    for (bool inside = false; std::getline(stream, part, '`'); inside = !inside) {
        if (inside)
            found.insert(part);
    }
    return found;
}

} // namespace

Test(docs, commands_and_their_options)
{
    names commands;
    names options;
    for (const auto& each : command::describeSubcommands()) {
        commands.insert(each.name);
        names optionNames;
        for (const auto& option : each.options)
            optionNames.insert(option.name);
        options.insert(optionNames.begin(), optionNames.end());
        for (const auto& row : rowsOf("Commands"))
            cr_expect(row.front() != each.name || quoted(row[1]) == optionNames, "options of %s",
                each.name.c_str());
    }
    expectSameNames("Commands", commands);
    expectSameNames("Options", options);
}

Test(docs, settings_and_their_standard_values)
{
    names keys;
    for (const auto& each : settings::describeKeys())
        keys.insert(each.section + "." + each.key);
    expectSameNames("Settings", keys);
    std::map<std::string, std::string> defaults;
    for (const auto& each : settings::show(settings::settings {}))
        defaults[each.name()] = each.value;
    for (const auto& each : settings::describeKeys()) {
        if (each.required)
            defaults[each.section + "." + each.key] = "required";
    }
    defaults["host.advertise"] = "as `host.peers`";
    defaults["log.file"] = "none";
    for (const auto& row : rowsOf("Settings"))
        cr_expect(row[1] == defaults[row.front()], "%s", row.front().c_str());
}

Test(docs, columns)
{
    names columns;
    for (const auto& each : table::columns()) {
        columns.insert(each.name);
        for (const auto& row : rowsOf("Columns"))
            cr_expect(row.front() != each.name || row[1] == each.usedBy, "%s", each.name.c_str());
    }
    expectSameNames("Columns", columns);
}

Test(docs, routes_of_the_administration_api)
{
    names routes;
    for (const auto& each : admin::describeRoutes())
        routes.insert(each.method + " " + each.path);
    expectSameNames("Administration API", routes);
}

Test(docs, metrics_and_their_labels)
{
    names metrics;
    for (const auto& each : telemetry::families()) {
        metrics.insert(std::string(each.name));
        const auto label = each.label.empty() ? "" : "`" + std::string(each.label) + "`";
        for (const auto& row : rowsOf("Metrics"))
            cr_expect(row.front() != each.name || row[1] == label, "%s", row.front().c_str());
    }
    expectSameNames("Metrics", metrics);
}

Test(docs, exit_codes)
{
    names codes;
    for (int code = 0; code <= static_cast<int>(command::exit_code::Unknown); ++code)
        codes.insert(std::to_string(code));
    expectSameNames("Exit codes", codes);
}

Test(docs, refusal_and_retry_reasons)
{
    names refusals;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(proxy::reason::Last); ++index)
        refusals.insert(std::string(name(static_cast<proxy::reason>(index))));
    for (std::size_t index = 0; index < routing::refusalReasonCount; ++index)
        refusals.insert(std::string(name(static_cast<routing::refusal_reason>(index))));
    expectSameNames("Refusal reasons", refusals);
    names retries;
    for (std::size_t index = 0; index < routing::retryReasonCount; ++index)
        retries.insert(std::string(name(static_cast<routing::retry_reason>(index))));
    expectSameNames("Retry reasons", retries);
}

Test(docs, reasons_of_health_and_events_of_the_log)
{
    expectSameNames("Health", namesInSources("src/serve", "return \\{ false, \"([a-z-]+)\" \\}"));
    const std::string logCall = "log\\([^;\"]*severity::[A-Za-z]+,\\s*\"([a-z-]+)\"";
    names events = namesInSources("src", logCall);
    events.merge(namesInSources("platform", logCall));
    events.merge(
        namesInSources("src/serve", "m_write\\(telemetry::severity::[A-Za-z]+,\\s*\"([a-z-]+)\""));
    events.merge(namesInSources("src/telemetry", "severity::Warning\\),\\s*\"([a-z-]+)\""));
    events.merge(namesInSources("platform", "logRefused\\(\"([a-z-]+)\""));
    // Chosen at run time by whether the store responds, so the expressions do not match them.
    events.insert({ "store-lost", "store-regained" });
    expectSameNames("Logs", events);
}

Test(docs, examples_of_the_readme_are_accepted)
{
    const auto settingsText = indentedAfter("A settings file:");
    const auto values = settings::parse(settingsText);
    cr_assert(values.has_value(), "%s", settingsText.c_str());
    const auto tableText = indentedAfter("A table:");
    const auto rows = table::parse(tableText);
    cr_assert(rows.has_value() && rows.value().targets.size() == 2, "%s", tableText.c_str());
}
