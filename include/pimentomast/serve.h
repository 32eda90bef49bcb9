#pragma once

#include "pimentomast/settings.h"

/// Wires the libraries into an entry host.
namespace pimentomast::serve {

/// Runs an entry host until it is asked to stop; returns the process's exit code.
int run(const settings::settings& settings);

} // namespace pimentomast::serve
