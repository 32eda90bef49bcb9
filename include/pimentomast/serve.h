#pragma once

#include "pimentomast/core.h"
#include "pimentomast/settings.h"

/// One entry host: forwards callers' requests and coordinates some of the services.
namespace pimentomast::serve {

/// Runs an entry host until SIGTERM or SIGINT, then drains it: reports itself unhealthy, hands its
/// services over, goes on accepting for the stated time and finishes every request in flight.
/// Returns the process's exit code. Throws failure if the host cannot start. Call once, from the
/// main thread, before any other thread was started.
int run(const settings::settings& values);

} // namespace pimentomast::serve
