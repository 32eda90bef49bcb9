#pragma once

#include "helper.h"

#include <random>

/// Load generator for measurements on an installation of real processes.
namespace pimentomast::bench {

using test::cluster;
using test::milliseconds;

std::int64_t nowUs();

struct sample {
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
    bool answered = false;
    /// The target that answered; empty if none did.
    std::string target;
    /// Why a request was refused; empty if it was answered.
    std::string reason;
};

/// Sends requests at a fixed rate through the given hosts, whether or not earlier requests are
/// still waiting. Each thread sends at set times and skips those that pass while it waits for an
/// answer.
class steady_senders {
public:
    /// Makes the next request; called concurrently by several threads.
    using request_factory = std::function<test::http_call(std::mt19937_64&)>;

    steady_senders(const cluster& system, std::vector<std::size_t> hosts, unsigned threads,
        milliseconds interval, request_factory make);

    /// Removes a host from use or adds it again, as a load balancer in front of the hosts does.
    void setHostInUse(std::size_t host, bool inUse);
    /// Stops the load and returns the samples, sorted by end time.
    std::vector<sample> stop();

private:
    void run(unsigned index);
    void waitForTurn(unsigned index) const;
    std::size_t hostFor(unsigned turn);

    const cluster& m_system;
    unsigned m_count;
    milliseconds m_interval;
    request_factory m_make;
    instant m_begin;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::vector<std::size_t> m_hosts;
    std::vector<sample> m_samples;
    std::vector<std::thread> m_threads;
};

/// Returns the given quantile (0 to 1) of the values by the nearest-rank method; 0 if there are
/// none.
double percentile(std::vector<double> values, double quantile);

} // namespace pimentomast::bench
