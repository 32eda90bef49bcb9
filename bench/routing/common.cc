#include "common.h"

#include <cstdio>

namespace pimentomast::bench {

namespace {

table::table makeRows(const user& of, bool keyed)
{
    table::table rows;
    table::service_row service;
    service.id = service_id { "s" };
    if (keyed)
        service.key = table::path_segment { 1 };
    rows.services.push_back(service);
    const unsigned count = keyed ? of.keyedTargets : of.unkeyedTargets;
    for (unsigned i = 0; i < count; ++i) {
        table::target_row target;
        target.id = target_id { "t" + std::to_string(i) };
        target.service = service.id;
        target.slots = of.slots;
        target.domain = domain_id { "d" + std::to_string(i % 3) };
        rows.targets.push_back(target);
    }
    return rows;
}

} // namespace

setup makeSetup(const user& of, bool keyed)
{
    setup made;
    made.betweenDomains = of.betweenDomains;
    made.seed = runSeed();
    made.rows = makeRows(of, keyed);
    return made;
}

double capacity(const setup& of)
{
    const auto& rows = of.rows.targets;
    return static_cast<double>(rows.size() * rows.front().slots)
        / std::chrono::duration<double>(serviceTime).count();
}

summary summarize(const simulation& done, const std::string& caller, instant since)
{
    summary sum;
    std::vector<double> latencies;
    for (const ending& each : done.endings) {
        if (each.taken.arrival < since || !each.taken.caller.value().starts_with(caller))
            continue;
        if (each.refusal) {
            ++sum.refused;
            continue;
        }
        ++sum.answered;
        latencies.push_back(
            std::chrono::duration<double, std::milli>(each.at - each.taken.arrival).count());
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

setup withBaseline(setup from, bool byTurns)
{
    from.make = [byTurns](const options& settings, const owner_lookup& owners) {
        return makeBaseline(byTurns, settings, owners);
    };
    return from;
}

} // namespace pimentomast::bench
