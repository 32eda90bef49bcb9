#include "common.h"

#include <cstdio>

namespace pimentomast::bench {

namespace {

table::table makeRows(const installation& system, bool keyed)
{
    table::table rows;
    table::service_row service;
    service.id = service_id { "s" };
    if (keyed)
        service.key = table::path_segment { 1 };
    rows.services.push_back(service);
    const unsigned count = keyed ? system.keyedTargets : system.unkeyedTargets;
    for (unsigned i = 0; i < count; ++i) {
        table::target_row target;
        target.id = target_id { "t" + std::to_string(i) };
        target.service = service.id;
        target.slots = system.slots;
        target.domain = domain_id { "d" + std::to_string(i % 3) };
        rows.targets.push_back(target);
    }
    return rows;
}

} // namespace

setup makeSetup(const installation& system, bool keyed)
{
    setup made;
    made.crossDomainDelay = system.crossDomainDelay;
    made.seed = runSeed();
    made.rows = makeRows(system, keyed);
    return made;
}

double capacity(const setup& config)
{
    const auto& rows = config.rows.targets;
    return static_cast<double>(rows.size() * rows.front().slots)
        / std::chrono::duration<double>(serviceTime).count();
}

summary summarize(const simulation& finished, const std::string& caller, instant since)
{
    summary sum;
    std::vector<double> latencies;
    for (const completion& each : finished.completions) {
        if (each.incoming.arrival < since || !each.incoming.caller.value().starts_with(caller))
            continue;
        if (each.refusal) {
            ++sum.refused;
            continue;
        }
        ++sum.answered;
        latencies.push_back(
            std::chrono::duration<double, std::milli>(each.at - each.incoming.arrival).count());
    }
    sum.p50 = percentileMs(latencies, 0.5);
    sum.p99 = percentileMs(latencies, 0.99);
    return sum;
}

void printReasons(const counters& sum)
{
    std::printf("    refusals:");
    for (std::size_t i = 0; i < refusalReasonCount; ++i)
        if (sum.refusals.at(i) > 0)
            std::printf(" %s=%llu", name(static_cast<refusal_reason>(i)).data(),
                static_cast<unsigned long long>(sum.refusals.at(i)));
    std::printf("; retries:");
    for (std::size_t i = 0; i < retryReasonCount; ++i)
        if (sum.retries.at(i) > 0)
            std::printf(" %s=%llu", name(static_cast<retry_reason>(i)).data(),
                static_cast<unsigned long long>(sum.retries.at(i)));
    std::printf("\n");
}

setup withBaseline(setup config, bool roundRobin)
{
    config.make = [roundRobin](const options& settings, const owner_lookup& owners) {
        return makeBaseline(roundRobin, settings, owners);
    };
    return config;
}

} // namespace pimentomast::bench
