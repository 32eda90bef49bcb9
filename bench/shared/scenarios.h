#pragma once

#include "pimentomast/core.h"

#include <functional>
#include <string>
#include <vector>

/// Shared by the programs that measure policies in simulated time.
namespace pimentomast::bench {

/// Sizes of one user's installation.
struct installation {
    const char* name = "";
    unsigned keyedTargets = 0;
    unsigned unkeyedTargets = 0;
    unsigned slots = 0;
    unsigned domains = 0;
    duration crossDomainDelay {};
    double churnPrice = 0;
};

struct scenario {
    std::string name;
    std::function<void(const installation&)> run;
};

/// Returns the seed given on the command line; 1 by default.
std::uint64_t runSeed();
/// Runs the scenario named by the first argument (all without one or with "all") for each
/// installation; the second argument is the seed. Returns the exit status.
int runScenarios(int count, char** arguments, const std::vector<scenario>& scenarios);

} // namespace pimentomast::bench
