#pragma once

#include "pimentomast/command.h"
#include "pimentomast/settings.h"
#include "pimentomast/store.h"

#include <boost/program_options.hpp>
#include <memory>
#include <optional>
#include <ostream>

/// Implementation of the subcommands of command::run.
namespace pimentomast::command::detail {

namespace options = boost::program_options;

/// Parsed options and output streams of a subcommand.
struct invocation {
    options::variables_map values;
    std::ostream& out;
    std::ostream& err;

    [[nodiscard]] bool json() const;
    [[nodiscard]] std::string text(const std::string& option) const;
};

struct subcommand {
    std::string name;
    std::string description;
    options::options_description acceptedOptions;
    /// Name of the option that a positional argument sets; empty if none is accepted.
    std::string positional;
    exit_code (*run)(const invocation&);
};

/// Returns all subcommands in the order of the help. Thread-safe.
[[nodiscard]] const std::vector<subcommand>& subcommands();

/// Loads the settings file that --settings names. Throws failure if it is invalid.
[[nodiscard]] settings::settings loadSettings(const invocation& call);

/// Connects to the platform that --store or --settings names. Throws failure if that fails, and
/// options::error if neither option is given.
[[nodiscard]] std::unique_ptr<store::services> connectStore(const invocation& call);

exit_code serve(const invocation& call);
exit_code checkSettings(const invocation& call);
exit_code status(const invocation& call);
exit_code crashList(const invocation& call);
exit_code crashPardon(const invocation& call);
exit_code tableShow(const invocation& call);
exit_code tableCheck(const invocation& call);
exit_code tableApply(const invocation& call);
exit_code tableHistory(const invocation& call);
exit_code targetLeave(const invocation& call);
exit_code targetReturn(const invocation& call);
exit_code targetList(const invocation& call);
exit_code hostLeave(const invocation& call);
exit_code hostReturn(const invocation& call);
exit_code hostList(const invocation& call);

} // namespace pimentomast::command::detail
