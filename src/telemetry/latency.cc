#include "pimentomast/telemetry.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail.hpp>
#include <cmath>
#include <iterator>

namespace pimentomast::telemetry {
namespace {

namespace acc = boost::accumulators;

constexpr std::size_t windowSize = 100000;
/// Number of highest durations kept. The p99 of a full window is the 1,001st highest duration, so
/// more than 1 % of the window are needed.
constexpr std::size_t tailSize = 1024;
static_assert(windowSize / 100 < tailSize);

using accumulator = acc::accumulator_set<double,
    acc::stats<acc::tag::count, acc::tag::p_square_quantile, acc::tag::tail<acc::right>>>;

} // namespace

struct latency::window {
    accumulator values { acc::quantile_probability = 0.5,
        acc::tag::tail<acc::right>::cache_size = tailSize };

    [[nodiscard]] std::size_t size() const { return acc::count(values); }

    /// Returns the nearest-rank quantile. Precondition: its rank is among the highest tailSize.
    [[nodiscard]] double fromTail(double probability) const
    {
        const auto count = static_cast<double>(size());
        const auto rank = std::max(1.0, std::ceil(probability * count));
        const auto highestFirst = acc::tail(values);
        return *std::next(highestFirst.begin(), static_cast<std::ptrdiff_t>(count - rank));
    }

    [[nodiscard]] latency_summary summary() const
    {
        latency_summary result;
        if (size() == 0)
            return result;
        result.p99Seconds = fromTail(0.99);
        result.p50Seconds = size() <= tailSize ? fromTail(0.5) : acc::p_square_quantile(values);
        return result;
    }
};

latency::latency()
    : m_window(std::make_unique<window>())
{
}
latency::~latency() = default;

void latency::observe(duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const std::lock_guard guard(m_lock);
    ++m_count;
    m_sumSeconds += seconds;
    m_window->values(seconds);
    if (m_window->size() < windowSize)
        return;
    m_last = m_window->summary();
    m_window = std::make_unique<window>();
}

latency_summary latency::summary() const
{
    const std::lock_guard guard(m_lock);
    auto result = m_last ? *m_last : m_window->summary();
    result.count = m_count;
    result.sumSeconds = m_sumSeconds;
    return result;
}

} // namespace pimentomast::telemetry
