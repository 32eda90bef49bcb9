#include "pimentomast/command.h"

#include "subcommands.h"

#include <algorithm>

#ifndef PIMENTOMAST_VERSION
#error "the build sets PIMENTOMAST_VERSION"
#endif

namespace pimentomast::command {
namespace {

using detail::subcommand;
namespace options = boost::program_options;

/// The command line is wrong in a way that the option library does not see.
class usage_fault : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct matched {
    const subcommand* found = nullptr;
    std::vector<std::string> rest;
};

matched match(const std::vector<std::string>& arguments)
{
    for (const auto& each : detail::subcommands()) {
        std::string words;
        for (auto word = arguments.begin(); word != arguments.end(); ++word) {
            words += (words.empty() ? "" : " ") + *word;
            if (words == each.words)
                return { &each, { std::next(word), arguments.end() } };
        }
    }
    return {};
}

/// Prints the subcommands whose name starts with these words.
void printSubcommands(std::ostream& out, const std::string& start)
{
    out << "Usage: pimentomast SUBCOMMAND [options]\n\nSubcommands:\n";
    for (const auto& each : detail::subcommands()) {
        if (each.words.starts_with(start))
            out << "  " << each.words << std::string(16 - each.words.size(), ' ') << each.meaning
                << "\n";
    }
    out << "\npimentomast SUBCOMMAND --help shows the options; pimentomast --version the version.\n"
           "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 refused settings or table,\n"
           "4 conflict with another editor, 5 unknown whether applied.\n";
}

void printHelp(std::ostream& out, const subcommand& shown)
{
    out << "Usage: pimentomast " << shown.words << " [options]";
    if (!shown.positional.empty())
        out << " " << shown.positional;
    out << "\n" << shown.meaning << "\n\n" << shown.accepted;
}

options::variables_map parse(const subcommand& command, const std::vector<std::string>& rest)
{
    options::positional_options_description positions;
    if (!command.positional.empty())
        positions.add(command.positional.c_str(), 1);
    options::command_line_parser parser(rest);
    parser.options(command.accepted).positional(positions);
    using style = options::command_line_style::style_t;
    parser.style(style::unix_style & ~style::allow_guessing);
    options::variables_map values;
    options::store(parser.run(), values);
    if (!values.count("help"))
        options::notify(values);
    return values;
}

exit_code runSubcommand(const matched& command, std::ostream& out, std::ostream& err)
{
    const detail::invocation call { parse(*command.found, command.rest), out, err };
    if (call.values.count("help")) {
        printHelp(out, *command.found);
        return exit_code::Success;
    }
    const auto format = call.text("format");
    if (!format.empty() && format != "text" && format != "json")
        throw usage_fault("--format must be text or json");
    return command.found->run(call);
}

exit_code runChecked(
    const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    const auto first = arguments.empty() ? "" : arguments.front();
    if (first == "--version") {
        out << "pimentomast " << PIMENTOMAST_VERSION << "\n";
        return exit_code::Success;
    }
    if (first == "--help") {
        printSubcommands(out, "");
        return exit_code::Success;
    }
    const auto command = match(arguments);
    if (command.found)
        return runSubcommand(command, out, err);
    const bool help = std::find(arguments.begin(), arguments.end(), "--help") != arguments.end();
    printSubcommands(help ? out : err, help ? first : "");
    return help ? exit_code::Success : exit_code::Usage;
}

} // namespace

std::vector<subcommand_description> describeSubcommands()
{
    std::vector<subcommand_description> all;
    for (const auto& each : detail::subcommands()) {
        subcommand_description shown { each.words, each.meaning, {} };
        for (const auto& option : each.accepted.options())
            shown.options.push_back({ option->long_name(), option->description() });
        all.push_back(std::move(shown));
    }
    return all;
}

int run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    auto code = exit_code::Failed;
    try {
        code = runChecked(arguments, out, err);
    } catch (const options::error& caught) {
        err << "pimentomast: " << caught.what() << "\n";
        code = exit_code::Usage;
    } catch (const usage_fault& caught) {
        err << "pimentomast: " << caught.what() << "\n";
        code = exit_code::Usage;
    } catch (const failure& caught) {
        err << "pimentomast: " << caught.what() << "\n";
        code = caught.cause().step == "check settings" ? exit_code::Refused : exit_code::Failed;
    } catch (const std::exception& caught) {
        err << "pimentomast: " << caught.what() << "\n";
    }
    return static_cast<int>(code);
}

} // namespace pimentomast::command
