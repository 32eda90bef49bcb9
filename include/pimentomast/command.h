#pragma once

#include "pimentomast/core.h"

#include <iosfwd>
#include <string>
#include <vector>

/// The command line.
namespace pimentomast::command {

/// Exit codes of the process.
enum class exit_code {
    Success = 0,
    /// The step failed and certainly changed nothing.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings, the table or the edit were refused.
    Refused = 3,
    /// Another operator's edit stands against this one.
    Conflict = 4,
    /// Whether the edit was applied could not be found out.
    Unknown = 5,
};

struct option_description {
    std::string name;
    std::string description;
};

/// A subcommand as the help and the documentation name it, for example "table show".
struct subcommand_description {
    std::string name;
    std::string description;
    std::vector<option_description> options;
};

/// Returns all subcommands. Thread-safe.
[[nodiscard]] std::vector<subcommand_description> describeSubcommands();

/// Runs a command line (without the program's name); results go to `out`, faults to `err`.
/// Throws nothing. Not thread-safe: `serve` sets up the process's log.
int run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

} // namespace pimentomast::command
