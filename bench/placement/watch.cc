#include "watch.h"

#include <algorithm>
#include <cmath>

namespace pimentomast::bench {

namespace {

constexpr double zipfExponent = 0.9;

} // namespace

keyspace::keyspace()
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < keyCount; ++i)
        weights.push_back(1 / std::pow(static_cast<double>(i + 1), zipfExponent));
    m_ranks = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

test::http_call keyspace::draw(std::mt19937_64& random) const
{
    auto ranks = m_ranks;
    const auto index = (ranks(random) + m_shift) % keyCount;
    return { "GET", "/" + service + "/" + name(index) + "?service_ms=2" };
}

move_counter::move_counter(const cluster& system)
    : m_system(system)
{
    for (std::size_t i = 0; i < keyCount; ++i)
        m_keys.push_back(hashKey(keyspace::name(i)));
}

void move_counter::poll()
{
    const auto row = test::getJson(m_system.platform(), "/rows/assignment%2F" + service);
    if (!row || !row->has("value"))
        return;
    const auto read = ownership::parseAssignment(row->getValue<std::string>("value"));
    if (!read)
        return;
    if (m_last)
        compare(*m_last, read.value());
    m_last = read.value();
    slicesMax = std::max(slicesMax, m_last->slices.size());
}

bool move_counter::owns(const std::string& target) const
{
    return std::any_of(m_last->slices.begin(), m_last->slices.end(),
        [&](const auto& each) { return each.owner.value() == target; });
}

void move_counter::compare(const ownership::assignment& before, const ownership::assignment& after)
{
    if (before.version() == after.version())
        return;
    for (const auto& each : after.slices)
        slicesMoved += before.find(each.range.first)->owner != each.owner ? 1 : 0;
    for (const auto key : m_keys)
        keysMoved += before.find(key)->owner != after.find(key)->owner ? 1 : 0;
}

double unavailableKeySeconds(const cluster& system, std::int64_t fromUs, std::int64_t toUs)
{
    const auto holdings = system.records().ownedIntervals;
    double sumUs = 0;
    for (std::size_t i = 0; i < keyCount; ++i) {
        const auto hash = hashKey(keyspace::name(i)).value();
        std::vector<std::pair<std::int64_t, std::int64_t>> intervals;
        for (const auto& each : holdings) {
            if (each.first <= hash && hash <= each.last)
                intervals.emplace_back(each.fromUs, each.toUs);
        }
        std::sort(intervals.begin(), intervals.end());
        auto servedUs = fromUs;
        for (const auto& [beginUs, endUs] : intervals) {
            sumUs += static_cast<double>(
                std::max<std::int64_t>(0, std::min(beginUs, toUs) - servedUs));
            servedUs = std::max(servedUs, endUs);
        }
        sumUs += static_cast<double>(std::max<std::int64_t>(0, toUs - servedUs));
    }
    return sumUs / 1e6;
}

} // namespace pimentomast::bench
