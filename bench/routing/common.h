#pragma once

#include "shared/scenarios.h"
#include "shared/simulation.h"

/// What the routing scenarios share.
namespace pimentomast::bench {

constexpr duration serviceTime = 10ms;

setup makeSetup(const installation& system, bool keyed);
/// The same installation with routers without policies.
setup withBaseline(setup config, bool roundRobin);
/// Requests per second that the targets can run.
double capacity(const setup& config);

struct summary {
    std::size_t answered = 0;
    std::size_t refused = 0;
    double p50 = 0;
    double p99 = 0;
};

/// Sums up the requests that callers whose names start so sent since a moment.
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
