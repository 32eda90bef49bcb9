#pragma once

#include "shared/scenarios.h"
#include "shared/simulation.h"

/// Shared by the routing scenarios.
namespace pimentomast::bench {

constexpr duration serviceTime = 10ms;

setup makeSetup(const installation& system, bool keyed);
/// Returns the same installation with the baseline router, which has no policies.
setup withBaseline(setup config, bool roundRobin);
/// Returns the requests per second that the targets can serve.
double capacity(const setup& config);

struct summary {
    std::size_t answered = 0;
    std::size_t refused = 0;
    double p50 = 0;
    double p99 = 0;
};

/// Summarizes the requests that arrived at or after `since` from callers whose names start with
/// `caller`.
summary summarize(const simulation& finished, const std::string& caller, instant since);
void printReasons(const counters& sum);

// Scenarios.
void fair(const installation& system);
void shares(const installation& system);
void slots(const installation& system);
void cost(const installation& system);
void choice(const installation& system);
void outage(const installation& system);
void crashes(const installation& system);
void silent(const installation& system);

} // namespace pimentomast::bench
