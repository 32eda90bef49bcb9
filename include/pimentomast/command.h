#pragma once

#include "pimentomast/core.h"

#include <iosfwd>
#include <string>
#include <vector>

/// Command line interface.
namespace pimentomast::command {

/// Exit codes of the process.
enum class exit_code {
    Success = 0,
    /// The operation failed and did not change anything.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The settings, the table or the edit are invalid.
    Refused = 3,
    /// The edit conflicts with an edit of another operator.
    Conflict = 4,
    /// It could not be determined whether the edit was applied.
    Unknown = 5,
};

struct option_description {
    std::string name;
    std::string description;
};

/// A subcommand as listed in the help and the documentation, for example "table show".
struct subcommand_description {
    std::string name;
    std::string description;
    std::vector<option_description> options;
};

/// Returns all subcommands. Thread-safe.
[[nodiscard]] std::vector<subcommand_description> describeSubcommands();

/// Runs a command line (without the program name) and returns the exit code. Writes results to
/// `out` and errors to `err`. Does not throw. Not thread-safe: `serve` configures the process's
/// log.
int run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

} // namespace pimentomast::command
