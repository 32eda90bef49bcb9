#pragma once

#include "pimentomast/routing.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

/// Single-threaded discrete-event simulation of hosts (real routers) and fake targets, for
/// measurements.
namespace pimentomast::bench {

using namespace std::chrono_literals;
using namespace pimentomast::routing;

/// Runs events in order of time; events at the same time run in the order of scheduling.
class event_loop {
public:
    [[nodiscard]] instant now() const { return m_now; }
    void at(instant time, std::function<void()> run)
    {
        m_events.push({ std::max(time, m_now), m_scheduled++, std::move(run) });
    }
    void after(duration delay, std::function<void()> run) { at(m_now + delay, std::move(run)); }
    void runUntil(instant end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.run();
        }
        m_now = end;
    }

private:
    struct event {
        instant time;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    instant m_now { 1000s };
    std::uint64_t m_scheduled = 0;
    std::priority_queue<event> m_events;
};

/// State of one simulated target, and the faults that a scenario sets.
struct fake_target {
    table::target_row row;
    std::uint64_t run = 1;
    unsigned running = 0;
    bool up = true;
    bool frozen = false;
    bool shedsAll = false;
    bool failsAll = false;
    double slowness = 1;
    /// Added to the number of running requests that the target reports; the error is not bounded.
    int reportBias = 0;
    /// Work held back while the target is frozen.
    std::vector<std::function<void()>> stalled;
    std::uint64_t received = 0;
    std::uint64_t served = 0;
    std::uint64_t crashes = 0;
    std::map<std::size_t, unsigned> connections;
};

/// Outcome of a request as its caller sees it.
struct completion {
    request incoming;
    instant at;
    int status = 0;
    std::optional<refuse> refusal;
    unsigned runs = 0;
};

struct workload {
    std::string service = "s";
    double perSecond = 100;
    duration serviceTime = 10ms;
    duration deadline = 10s;
    bool repeatable = true;
    std::vector<std::string> callers { "c" };
    /// Number of distinct fingerprints; 0: each request has its own.
    unsigned fingerprintCount = 0;
    instant until {};
};

struct setup {
    unsigned hosts = 12;
    unsigned domains = 3;
    duration crossDomainDelay = 4ms;
    duration connect = 1ms;
    std::uint64_t seed = 1;
    options settings;
    table::table rows;
    /// Makes a host's router; router::create() by default.
    std::function<std::unique_ptr<router>(const options&, const owner_lookup&)> make;
};

/// Maps a key to a target by its hash modulo the service's number of targets; single targets can be
/// overridden.
class modulo_owners final : public owner_lookup {
public:
    std::map<service_id, std::vector<target_id>> targets;
    std::map<target_id, target_id> overrides;

    [[nodiscard]] owner_answer find(instant, const service_id& service, key_hash key) const override
    {
        const auto& list = targets.at(service);
        const target_id owner = list[key.value() % list.size()];
        const auto found = overrides.find(owner);
        return owned_by { found == overrides.end() ? owner : found->second, {} };
    }
};

class simulation {
public:
    explicit simulation(const setup& config);

    void load(const workload& offered);
    /// Submits a request of the workload now, at a random host.
    request arrive(const workload& offered, const std::string& caller, std::uint64_t fingerprintId);
    void crash(fake_target& target, duration coldStart);
    void thaw(fake_target& target);
    /// Makes all connections that are open now silent: no more answers arrive on them.
    void silenceConnections() { m_silentBefore = events.now(); }
    void runFor(duration time) { events.runUntil(events.now() + time); }

    [[nodiscard]] counters total() const;
    fake_target& target(const std::string& id) { return targets.at(target_id { id }); }
    [[nodiscard]] unsigned connectionsOf(const fake_target& target) const;

    event_loop events;
    std::map<target_id, fake_target> targets;
    std::vector<completion> completions;
    /// Fingerprints of requests that crash the target that runs them.
    std::set<fingerprint> crashers;
    duration coldStart = 2s;
    std::uint64_t attempts = 0;
    unsigned connectionsMax = 0;
    modulo_owners owners;
    std::vector<std::unique_ptr<router>> hosts;

private:
    struct connection {
        instant opened;
        std::uint64_t run = 0;
    };
    struct host_state {
        std::map<target_id, std::vector<connection>> idle;
        std::map<target_id, unsigned> open;
        instant tickAt = instant::max();
    };
    struct exchange {
        std::size_t host = 0;
        dispatch attempt;
        connection usedConnection;
        std::uint64_t run = 0;
        bool done = false;
    };
    using exchange_ptr = std::shared_ptr<exchange>;

    void handle(std::size_t host, const actions& todo);
    void schedule(std::size_t host);
    void send(std::size_t host, const dispatch& attempt);
    void reach(const exchange_ptr& call);
    void serve(const exchange_ptr& call, fake_target& target);
    void reply(const exchange_ptr& call, const attempt_result& result);
    void end(const exchange_ptr& call, const attempt_result& result, bool reusable);
    void sendProbe(std::size_t host, const target_id& id);
    void close(std::size_t host, const target_id& id);
    [[nodiscard]] duration delay(std::size_t host, const fake_target& target) const;
    [[nodiscard]] duration drawTime(duration mean);
    [[nodiscard]] load_report reportOf(const fake_target& target) const;
    [[nodiscard]] bool silent(const connection& one) const { return one.opened < m_silentBefore; }

    setup m_setup;
    std::mt19937_64 m_random;
    std::vector<host_state> m_hosts;
    std::map<request_number, completion> m_open;
    std::map<request_number, duration> m_work;
    std::map<target_id, std::vector<exchange_ptr>> m_runningAt;
    std::uint64_t m_lastNumber = 0;
    instant m_silentBefore {};
};

/// Returns the given quantile (0 to 1) of the samples, in milliseconds; 0 if there are none.
double percentileMs(std::vector<double> samplesMs, double quantile);

/// Makes a router without policies: it picks targets round robin or at random and retries failures
/// after which a retry is allowed.
std::unique_ptr<router> makeBaseline(bool roundRobin, const options& settings, const owner_lookup&);

} // namespace pimentomast::bench
