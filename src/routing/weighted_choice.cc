#include "weighted_choice.h"

#include <algorithm>
#include <cmath>

namespace pimentomast::routing {

weighted_choice::weighted_choice(std::uint64_t seed, double exponent)
    : m_exponent(exponent)
    , m_random(seed)
{
}

std::optional<std::size_t> weighted_choice::choose(const std::vector<candidate>& candidates)
{
    std::optional<std::size_t> best;
    double bestStart = 0;
    double bestFinish = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const candidate& one = candidates[i];
        const double cost = std::pow(1 + one.load, m_exponent) / one.weight;
        const double begin = start(one, cost);
        const double finish = begin + cost;
        if (best && finish >= bestFinish)
            continue;
        best = i;
        bestStart = begin;
        bestFinish = finish;
    }
    if (!best)
        return std::nullopt;
    m_virtualTime = std::max(m_virtualTime, bestStart);
    m_finish[candidates[*best].id] = bestFinish;
    return best;
}

double weighted_choice::start(const candidate& one, double cost)
{
    const auto found = m_finish.find(one.id);
    if (found != m_finish.end())
        return std::max(found->second, m_virtualTime - cost);
    std::uniform_real_distribution<double> offset(0, 1 / one.weight);
    const double begin = m_virtualTime + offset(m_random);
    m_finish[one.id] = begin;
    return begin;
}

} // namespace pimentomast::routing
