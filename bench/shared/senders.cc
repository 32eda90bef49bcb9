#include "senders.h"

#include <algorithm>
#include <cmath>

namespace pimentomast::bench {

std::int64_t nowUs() { return monotonic_clock::now().time_since_epoch().count(); }

steady_senders::steady_senders(const cluster& system, std::vector<std::size_t> hosts,
    unsigned threads, milliseconds interval, request_factory make)
    : m_system(system)
    , m_count(threads)
    , m_interval(interval)
    , m_make(std::move(make))
    , m_begin(monotonic_clock::now())
    , m_hosts(std::move(hosts))
{
    for (unsigned i = 0; i < threads; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

void steady_senders::setHostInUse(std::size_t host, bool inUse)
{
    const std::lock_guard lock(m_mutex);
    std::erase(m_hosts, host);
    if (inUse)
        m_hosts.push_back(host);
}

std::vector<sample> steady_senders::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads)
        thread.join();
    std::sort(m_samples.begin(), m_samples.end(),
        [](const sample& one, const sample& other) { return one.endUs < other.endUs; });
    return std::move(m_samples);
}

std::size_t steady_senders::hostFor(unsigned turn)
{
    const std::lock_guard lock(m_mutex);
    return m_hosts[turn % m_hosts.size()];
}

void steady_senders::run(unsigned index)
{
    std::mt19937_64 random(index);
    for (unsigned turn = index; !m_stopping; ++turn) {
        waitForTurn(index);
        sample result;
        result.startUs = nowUs();
        const auto reply = m_system.send(hostFor(turn), m_make(random));
        result.endUs = nowUs();
        result.answered = reply.status == 200 && reply.complete;
        if (result.answered)
            result.target = test::jsonField(reply.body, "target");
        else
            result.reason = reply.status == 0 ? "no answer" : test::jsonField(reply.body, "reason");
        const std::lock_guard lock(m_mutex);
        m_samples.push_back(result);
    }
}

void steady_senders::waitForTurn(unsigned index) const
{
    const std::chrono::microseconds cycle = m_interval * m_count;
    const auto offset = std::chrono::microseconds(m_interval) * index;
    const auto passed = monotonic_clock::now() - m_begin - offset;
    const auto turns = passed.count() < 0 ? 0 : passed / cycle + 1;
    std::this_thread::sleep_for(offset + cycle * turns - (monotonic_clock::now() - m_begin));
}

double percentile(std::vector<double> values, double quantile)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank
        = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
}

} // namespace pimentomast::bench
