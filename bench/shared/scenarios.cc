#include "scenarios.h"

#include <cstdio>
#include <cstdlib>

namespace pimentomast::bench {

namespace {

std::uint64_t givenSeed = 1;

std::vector<installation> installations()
{
    using namespace std::chrono_literals;
    return { { "shrestha", 24, 9, 4, 3, 4ms, 0.25 }, { "karoo", 22, 9, 2, 4, 3ms, 0.25 } };
}

} // namespace

std::uint64_t runSeed() { return givenSeed; }

int runScenarios(int count, char** arguments, const std::vector<scenario>& scenarios)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const std::string wanted = count > 1 ? arguments[1] : "all";
    if (count > 2)
        givenSeed = std::strtoull(arguments[2], nullptr, 10);
    for (const installation& each : installations()) {
        for (const scenario& one : scenarios) {
            if (wanted == "all" || wanted == one.name)
                one.run(each);
        }
    }
    return 0;
}

} // namespace pimentomast::bench
