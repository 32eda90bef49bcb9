#pragma once

#include "helper.h"

#include <random>

/// Load on an installation of real processes, for measurements.
namespace pimentomast::bench {

using test::cluster;
using test::milliseconds;

std::int64_t nowUs();

struct sample {
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
    bool answered = false;
    /// That answered; empty if none did.
    std::string target;
    /// Why a request was refused; empty if it was answered.
    std::string reason;
};

/// Sends requests at a fixed rate through some hosts, whether or not earlier requests wait.
class steady_senders {
public:
    /// Makes the next request; called by several threads at once.
    using request_factory = std::function<test::http_call(std::mt19937_64&)>;

    steady_senders(const cluster& system, std::vector<std::size_t> hosts, unsigned threads,
        milliseconds interval, request_factory make);

    /// Takes a host out of use, or back, as a balancer in front of the hosts does.
    void setHostInUse(std::size_t host, bool inUse);
    /// Ends the load; returns the samples in the order in which they ended.
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

/// Returns the value at this share of the sorted values; 0 if there is none.
double percentile(std::vector<double> values, double quantile);

} // namespace pimentomast::bench
