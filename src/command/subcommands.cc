#include "subcommands.h"

#include "pimentomast/table.h"

namespace pimentomast::command::detail {
namespace {

constexpr unsigned defaultHistoryEntries = 10;

/// Builds the options of one subcommand.
class option_list {
public:
    option_list& flag(const char* name, const char* description)
    {
        m_options.add_options()(name, description);
        return *this;
    }
    option_list& text(const char* name, const char* description)
    {
        m_options.add_options()(name, options::value<std::string>(), description);
        return *this;
    }
    option_list& required(const char* name, const char* description)
    {
        m_options.add_options()(name, options::value<std::string>()->required(), description);
        return *this;
    }
    option_list& number(const char* name, const char* description)
    {
        m_options.add_options()(name, options::value<std::uint64_t>(), description);
        return *this;
    }
    option_list& number(const char* name, std::uint64_t defaultValue, const char* description)
    {
        m_options.add_options()(
            name, options::value<std::uint64_t>()->default_value(defaultValue), description);
        return *this;
    }
    option_list& settings() { return required("settings", "INI file with the settings"); }
    option_list& platform()
    {
        text("settings", "INI file whose [store] section names the platform");
        return text("store", "ip:port of the platform, in place of --settings");
    }
    option_list& editor()
    {
        return text(
            "editor", "name of the operator, recorded in the history; default: the login name");
    }
    options::options_description build()
    {
        text("format", "text (default) or json");
        flag("help", "shows this help");
        return m_options;
    }

private:
    options::options_description m_options { "Options" };
};

option_list markOptions()
{
    option_list all;
    all.platform().editor();
    return all;
}

std::vector<subcommand> makeSubcommands()
{
    return {
        { "serve", "Runs an entry host.", option_list().settings().build(), "", &serve },
        { "check-settings", "Checks a settings file and shows the effective settings.",
            option_list().settings().build(), "", &checkSettings },
        { "status", "Shows the state of the entry host that the settings describe.",
            option_list().settings().build(), "", &status },
        { "crash list", "Lists the requests that are suspected or refused because targets crashed.",
            option_list().settings().build(), "", &crashList },
        { "crash pardon", "Allows a request that crashed targets again, on every host.",
            option_list()
                .settings()
                .required("fingerprint", "fingerprint of the request, as crash list shows it")
                .build(),
            "fingerprint", &crashPardon },
        { "table show", "Shows the table in force; prints its version to standard error.",
            option_list().platform().build(), "", &tableShow },
        { "table check", "Checks a table without applying it; given a store, also compares it.",
            option_list().required("file", "CSV file with the table").platform().build(), "file",
            &tableCheck },
        { "table apply", "Applies an edited table.",
            option_list()
                .required("file", "CSV file with the table")
                .number("base",
                    "version that the edit started from; default: the version line of the file")
                .flag("replace-corrupt", "replaces a table in force that cannot be read")
                .platform()
                .editor()
                .build(),
            "file", &tableApply },
        { "table history", "Shows who changed which rows and when, newest first.",
            option_list()
                .number("limit", defaultHistoryEntries, "number of versions to show")
                .platform()
                .build(),
            "", &tableHistory },
        { "target leave", "Marks a target as leaving.",
            markOptions().required("id", "id of the target").build(), "id", &targetLeave },
        { "target return", "Marks a target as active.",
            markOptions().required("id", "id of the target").build(), "id", &targetReturn },
        { "target list", "Lists the targets of the table.", option_list().platform().build(), "",
            &targetList },
        { "host leave", "Marks an entry host as leaving.",
            markOptions().required("id", "id of the host").build(), "id", &hostLeave },
        { "host return", "Removes the mark of an entry host.",
            markOptions().required("id", "id of the host").build(), "id", &hostReturn },
        { "host list", "Lists the platform's hosts and the operators' marks.",
            option_list().platform().build(), "", &hostList },
    };
}

} // namespace

const std::vector<subcommand>& subcommands()
{
    static const std::vector<subcommand> all = makeSubcommands();
    return all;
}

bool invocation::json() const { return text("format") == "json"; }

std::string invocation::text(const std::string& option) const
{
    return values.count(option) ? values[option].as<std::string>() : "";
}

settings::settings loadSettings(const invocation& call)
{
    return settings::load(call.text("settings")).value();
}

} // namespace pimentomast::command::detail
