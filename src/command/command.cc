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

/// A command line error that Boost.Program_options does not detect.
class usage_error : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct match_result {
    const subcommand* found = nullptr;
    std::vector<std::string> remaining;
};

match_result match(const std::vector<std::string>& arguments)
{
    for (const auto& each : detail::subcommands()) {
        std::string name;
        for (auto word = arguments.begin(); word != arguments.end(); ++word) {
            name += (name.empty() ? "" : " ") + *word;
            if (name == each.name)
                return { &each, { std::next(word), arguments.end() } };
        }
    }
    return {};
}

/// Prints the subcommands whose names start with the prefix.
void printSubcommands(std::ostream& out, const std::string& prefix)
{
    out << "Usage: pimentomast SUBCOMMAND [options]\n\nSubcommands:\n";
    for (const auto& each : detail::subcommands()) {
        if (each.name.starts_with(prefix))
            out << "  " << each.name << std::string(16 - each.name.size(), ' ') << each.description
                << "\n";
    }
    out << "\npimentomast SUBCOMMAND --help shows the options; pimentomast --version the version.\n"
           "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 refused settings or table,\n"
           "4 conflict with another editor, 5 unknown whether applied.\n";
}

void printHelp(std::ostream& out, const subcommand& command)
{
    out << "Usage: pimentomast " << command.name << " [options]";
    if (!command.positional.empty())
        out << " " << command.positional;
    out << "\n" << command.description << "\n\n" << command.acceptedOptions;
}

options::variables_map parse(const subcommand& command, const std::vector<std::string>& remaining)
{
    options::positional_options_description positionalOptions;
    if (!command.positional.empty())
        positionalOptions.add(command.positional.c_str(), 1);
    options::command_line_parser parser(remaining);
    parser.options(command.acceptedOptions).positional(positionalOptions);
    using style = options::command_line_style::style_t;
    parser.style(style::unix_style & ~style::allow_guessing);
    options::variables_map values;
    options::store(parser.run(), values);
    if (!values.count("help"))
        options::notify(values);
    return values;
}

exit_code runSubcommand(const match_result& command, std::ostream& out, std::ostream& err)
{
    const detail::invocation call { parse(*command.found, command.remaining), out, err };
    if (call.values.count("help")) {
        printHelp(out, *command.found);
        return exit_code::Success;
    }
    const auto format = call.text("format");
    if (!format.empty() && format != "text" && format != "json")
        throw usage_error("--format must be text or json");
    return command.found->run(call);
}

exit_code dispatch(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
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
        subcommand_description command { each.name, each.description, {} };
        for (const auto& option : each.acceptedOptions.options())
            command.options.push_back({ option->long_name(), option->description() });
        all.push_back(std::move(command));
    }
    return all;
}

int run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    auto code = exit_code::Failed;
    try {
        code = dispatch(arguments, out, err);
    } catch (const options::error& caught) {
        err << "pimentomast: " << caught.what() << "\n";
        code = exit_code::Usage;
    } catch (const usage_error& caught) {
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
