#pragma once

#include "shared/scenarios.h"
#include "shared/simulation.h"

/// What the routing scenarios share.
namespace pimentomast::bench {

constexpr duration serviceTime = 10ms;

setup makeSetup(const user& of, bool keyed);
/// The same installation with routers without policies.
setup withBaseline(setup from, bool byTurns);
/// Requests per second that the targets can run.
double capacity(const setup& of);

struct summary {
    std::size_t answered = 0;
    std::size_t refused = 0;
    double p50 = 0;
    double p99 = 0;
};

/// Sums up the requests that callers whose names start so sent since a moment.
summary summarize(const simulation& done, const std::string& caller, instant since);
void printReasons(const counters& sum);

// Scenarios.
void fair(const user& of);
void shares(const user& of);
void slots(const user& of);
void cost(const user& of);
void choice(const user& of);
void outage(const user& of);
void crashes(const user& of);
void silent(const user& of);

} // namespace pimentomast::bench
