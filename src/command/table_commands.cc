#include "notifying_store.h"
#include "subcommands.h"

#include "pimentomast/edits.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timestamp.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

/// Subcommands that read or edit the table. They access the platform directly, so that they work
/// even if no entry host is running.
namespace pimentomast::command::detail {
namespace {

std::string now()
{
    return Poco::DateTimeFormatter::format(Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FORMAT);
}

std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        throw failure({ "read table", path, "the file cannot be read or is empty" });
    return text.str();
}

/// Returns the operator's name: the value of --editor, or the login name. Throws if both are
/// missing.
std::string editorName(const invocation& call)
{
    if (auto given = call.text("editor"); !given.empty())
        return given;
    for (const auto* name : { "LOGNAME", "USER" })
        if (const auto* login = std::getenv(name); login != nullptr && *login != '\0')
            return login;
    throw options::error("--editor is required: the environment has no login name");
}

/// Returns the version that the edit is based on. Throws if neither the option nor the file
/// specifies it, or if they differ.
config_version baseVersion(const invocation& call, const std::string& csv)
{
    const auto fileVersion = table::parseVersionLine(csv);
    if (!call.values.count("base")) {
        if (!fileVersion)
            throw options::error("--base is required: the file does not name its version");
        return *fileVersion;
    }
    const config_version given { call.values["base"].as<std::uint64_t>() };
    if (fileVersion && *fileVersion != given)
        throw options::error("the file was shown at version " + std::to_string(fileVersion->value())
            + ", not at the version of --base");
    return given;
}

void printChanges(
    std::ostream& out, const std::string& title, const std::vector<table::change>& changes)
{
    if (changes.empty())
        return;
    out << title << "\n";
    for (const auto& each : changes)
        out << "  " << each.text() << "\n";
}

/// Prints an outcome as text and returns its exit code.
struct outcome_printer {
    const invocation& call;

    exit_code operator()(const table::applied& done) const
    {
        const auto* outcomeText
            = done.changes.empty() ? " stays: nothing to change" : " is accepted";
        call.out << "version " << done.version.value() << outcomeText << "\n";
        printChanges(call.out, "changed:", done.changes);
        if (!done.mergedWith.empty())
            call.out << "merged with the edits of others:\n";
        for (const auto& other : done.mergedWith)
            call.out << "  " << other.what.text() << " (" << other.editor << ")\n";
        if (done.replaced)
            call.out << "replaced the corrupt value of version " << done.replaced->version.value()
                     << ", which the history keeps:\n  " << done.replaced->value << "\n";
        return exit_code::Success;
    }
    exit_code operator()(const table::conflict& refused) const
    {
        call.err << "conflict with version " << refused.theirVersion.value() << " of "
                 << refused.theirEditor << "; nothing changed\n"
                 << refused.text();
        return exit_code::Conflict;
    }
    exit_code operator()(const table::invalid& refused) const
    {
        call.err << refused.cause.text() << "\nnothing changed\n";
        return exit_code::Refused;
    }
    exit_code operator()(const table::not_applied& failed) const
    {
        call.err << failed.cause.text() << "\nnothing changed\n";
        return exit_code::Failed;
    }
    exit_code operator()(const table::apply_unknown& unknown) const
    {
        call.err << unknown.cause.text()
                 << "\nunknown whether the edit was applied; check `table history`\n";
        return exit_code::Unknown;
    }
};

exit_code printOutcome(const invocation& call, const table::apply_outcome& outcome)
{
    if (!call.json())
        return std::visit(outcome_printer { call }, outcome);
    call.out << table::toJson(outcome) << "\n";
    std::ostringstream unused;
    return std::visit(outcome_printer { { call.values, unused, unused } }, outcome);
}

table::table readCurrent(const invocation& call)
{
    const auto store = connectStore(call);
    return table::readCurrent(*store).value().value_or(table::table {});
}

/// Warns about an id that may be mistyped. The platform's list may be out of date, so the mark is
/// set anyway.
void warnIfUnlisted(const invocation& call, store::services& store)
{
    const auto listed = store.hosts();
    if (!listed)
        return;
    const host_id id { call.text("id") };
    const bool found = std::any_of(listed.value().begin(), listed.value().end(),
        [&](const auto& host) { return host.id == id; });
    if (!found)
        call.err << "note: the platform does not list host " << id << "\n";
}

exit_code setMark(const invocation& call, table::row_kind kind, table::mark state)
{
    const auto editor = editorName(call);
    const auto store = connectStore(call);
    if (kind == table::row_kind::Host)
        warnIfUnlisted(call, *store);
    const table::mark_edit wanted { editor, { kind, call.text("id") }, state, now() };
    return printOutcome(call, table::apply(*store, wanted));
}

std::string markName(table::mark state)
{
    return state == table::mark::Active ? "active" : "leaving";
}

Poco::JSON::Object toObject(const table::target_row& row)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("id", row.id.value());
    object.set("service", row.service.value());
    object.set("address", row.address.text());
    object.set("domain", row.domain.value());
    object.set("state", markName(row.state));
    return object;
}

/// An entry host, combined from the platform's list and the operators' table.
struct host_entry {
    std::string id;
    std::string domain;
    std::string platformState;
    std::string mark;
};

std::vector<host_entry> mergeHosts(
    const std::vector<store::listed_host>& listed, const table::table& rows)
{
    std::vector<host_entry> entries;
    std::set<host_id> listedIds;
    for (const auto& each : listed) {
        const auto* row = rows.host(each.id);
        const bool live = each.state == store::host_state::Live;
        entries.push_back({ each.id.value(), each.domain.value(), live ? "live" : "leaving",
            markName(row ? row->state : table::mark::Active) });
        listedIds.insert(each.id);
    }
    for (const auto& row : rows.hosts) {
        if (!listedIds.contains(row.id))
            entries.push_back({ row.id.value(), "", "not listed", markName(row.state) });
    }
    return entries;
}

Poco::JSON::Object toObject(const host_entry& host)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("id", host.id);
    object.set("domain", host.domain);
    object.set("platform_state", host.platformState);
    object.set("mark", host.mark);
    return object;
}

template <class Item>
void printJson(std::ostream& out, const std::vector<Item>& items)
{
    Poco::JSON::Array array;
    for (const auto& item : items)
        array.add(toObject(item));
    array.stringify(out);
    out << "\n";
}

void printHistoryEntry(std::ostream& out, const table::history_entry& entry)
{
    if (entry.corrupt) {
        out << "version " << entry.version.value() << " is corrupt:\n  " << *entry.corrupt << "\n";
        return;
    }
    out << "version " << entry.version.value() << " by " << entry.editor << " at " << entry.at
        << "\n";
    if (entry.oldest)
        out << "  (the version before it is no longer kept)\n";
    for (const auto& each : entry.changes)
        out << "  " << each.text() << "\n";
}

endpoint parsePlatformAddress(const std::string& text)
{
    try {
        const Poco::Net::SocketAddress address(text);
        return { address.host().toString(), address.port() };
    } catch (const Poco::Exception&) {
        throw failure({ "read --store", text, "must be ip:port" });
    }
}

} // namespace

std::unique_ptr<store::services> connectStore(const invocation& call)
{
    store::client_options options;
    if (const auto address = call.text("store"); !address.empty()) {
        options.address = parsePlatformAddress(address);
    } else if (!call.text("settings").empty()) {
        const auto values = loadSettings(call);
        options.address = values.store.address;
        options.timeout = values.store.timeoutMs;
    } else {
        throw options::error("--store or --settings is required");
    }
    return notifyHosts(store::connect(options).value());
}

exit_code tableShow(const invocation& call)
{
    const auto rows = readCurrent(call);
    if (call.json()) {
        call.out << table::toJson(rows) << "\n";
        return exit_code::Success;
    }
    call.err << "version " << rows.version.value() << " by " << rows.editor << "\n";
    call.out << table::formatWithVersion(rows);
    return exit_code::Success;
}

exit_code tableCheck(const invocation& call)
{
    const auto rows = table::parse(readFile(call.text("file")));
    if (!rows) {
        call.err << rows.error().text() << "\n";
        return exit_code::Refused;
    }
    const bool compared = !call.text("store").empty() || !call.text("settings").empty();
    std::vector<table::change> changes;
    if (compared)
        changes = table::difference(readCurrent(call), rows.value());
    if (call.json()) {
        call.out << table::toJson(changes) << "\n";
        return exit_code::Success;
    }
    call.out << "the table is valid: " << rows.value().services.size() << " services, "
             << rows.value().targets.size() << " targets, " << rows.value().hosts.size()
             << " marked hosts\n";
    printChanges(call.out, "it would change:", changes);
    return exit_code::Success;
}

exit_code tableApply(const invocation& call)
{
    const auto editor = editorName(call);
    const auto csv = readFile(call.text("file"));
    const bool replaceCorrupt = call.values.count("replace-corrupt") > 0;
    const table::edit wanted { editor, baseVersion(call, csv), csv, now(), replaceCorrupt };
    const auto store = connectStore(call);
    return printOutcome(call, table::apply(*store, wanted));
}

exit_code tableHistory(const invocation& call)
{
    const auto store = connectStore(call);
    const auto limit
        = std::min<std::uint64_t>(call.values["limit"].as<std::uint64_t>(), table::historyLength);
    const auto entries = table::history(*store, static_cast<unsigned>(limit)).value();
    if (call.json()) {
        call.out << table::toJson(entries) << "\n";
        return exit_code::Success;
    }
    for (const auto& entry : entries)
        printHistoryEntry(call.out, entry);
    return exit_code::Success;
}

exit_code targetLeave(const invocation& call)
{
    return setMark(call, table::row_kind::Target, table::mark::Leaving);
}

exit_code targetReturn(const invocation& call)
{
    return setMark(call, table::row_kind::Target, table::mark::Active);
}

exit_code targetList(const invocation& call)
{
    const auto rows = readCurrent(call);
    if (call.json()) {
        printJson(call.out, rows.targets);
        return exit_code::Success;
    }
    for (const auto& row : rows.targets)
        call.out << row.id << " " << row.service << " " << row.address.text() << " " << row.domain
                 << " " << markName(row.state) << "\n";
    return exit_code::Success;
}

exit_code hostLeave(const invocation& call)
{
    return setMark(call, table::row_kind::Host, table::mark::Leaving);
}

exit_code hostReturn(const invocation& call)
{
    return setMark(call, table::row_kind::Host, table::mark::Active);
}

exit_code hostList(const invocation& call)
{
    const auto store = connectStore(call);
    const auto rows = table::readCurrent(*store).value().value_or(table::table {});
    const auto hosts = mergeHosts(store->hosts().value(), rows);
    if (call.json()) {
        printJson(call.out, hosts);
        return exit_code::Success;
    }
    for (const auto& host : hosts)
        call.out << host.id << " " << (host.domain.empty() ? "-" : host.domain)
                 << " platform=" << host.platformState << " mark=" << host.mark << "\n";
    return exit_code::Success;
}

} // namespace pimentomast::command::detail
