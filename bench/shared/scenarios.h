#pragma once

#include "pimentomast/core.h"

#include <functional>
#include <string>
#include <vector>

/// What the programs that measure policies in simulated time share.
namespace pimentomast::bench {

/// The sizes of one user's installation.
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

/// Seed of this program's run.
std::uint64_t runSeed();
/// Runs the scenario that the first argument names, or all, for each user in turn; the second
/// argument is the seed. Returns the exit status.
int runScenarios(int count, char** arguments, const std::vector<scenario>& scenarios);

} // namespace pimentomast::bench
