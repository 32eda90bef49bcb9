#include "routing/common.h"

/// Compares the routing policies with simple ones, in simulated time.
/// Usage: bench-routing SCENARIO [seed]; without arguments, every scenario.
int main(int count, char** arguments)
{
    using namespace pimentomast::bench;
    return runScenarios(count, arguments,
        { { "fair", fair }, { "cost", cost }, { "shares", shares }, { "slots", slots },
            { "choice", choice }, { "outage", outage }, { "crashes", crashes },
            { "silent", silent } });
}
