#include "pimentomast/balancing.h"
#include "routing-fixture.h"
#include "serve/speed.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <unordered_map>

/// Simulations of many hosts that choose among targets of unequal speed.
///
/// No figure of the tests is a measurement of the running program: hosts, targets and messages are
/// simulated.
using namespace pimentomast;
using namespace pimentomast::serve::detail;
using namespace std::chrono_literals;

namespace {

constexpr unsigned slots = 3;
constexpr unsigned queuePlaces = 12;
constexpr double serviceTime = 0.3;
/// Shape of the gamma distribution of service times: their deviation is half of the mean.
constexpr double serviceShape = 4;
constexpr unsigned connections = 590;
constexpr std::size_t callers = 40;
constexpr double slowMachines = 0.2;
constexpr double slowdown = 3;
constexpr double slowSeconds = 0.4;
constexpr double warmupSeconds = 20;
constexpr double reportSeconds = 0.4;

enum class policy {
    /// Hosts share nothing.
    Alone,
    /// Factors and a preferred part of the targets for each host.
    Shared,
    /// One of both only.
    FactorsOnly,
    PartsOnly,
    /// Without a router: the better of two random targets, by the host's own requests in flight.
    TwoRandom,
    /// Without a router: random targets in proportion to the factors.
    Lottery,
};

struct scenario {
    policy chosen = policy::Alone;
    unsigned hosts = 88;
    unsigned targets = 128;
    std::vector<double> speeds { 0.5, 1, 1, 1.5 };
    double load = 0.8;
    bool slowPhases = false;
    /// Hosts get requests in proportion to 1, 2, 3 and so on up to this number.
    unsigned hostRates = 1;
    /// Part of the other hosts that a host does not know of at a moment.
    double unknownHosts = 0;
    /// Part of the messages between hosts that are lost.
    double loss = 0;
    /// Time between two changes of the host that collects; 0 if it stays.
    double collectorSeconds = 0;
    double measuredSeconds = 30;
    std::uint64_t seed = 1;
};

struct outcome_figures {
    double meanWait = 0;
    double p99Wait = 0;
    /// Highest utilization of a target divided by the mean.
    double spread = 0;
    /// Part of the requests that were refused by their host.
    double refused = 0;
    /// Part of the requests that met a full queue while another target had room.
    double needlessRejections = 0;
    /// Mean over targets and time of the ratio of a factor to the same 10 s before.
    double swing = 1;
    /// Mean factor of the targets of the lowest and of the highest speed at the end.
    double slowestFactor = 1;
    double fastestFactor = 1;
};

class cluster {
public:
    explicit cluster(const scenario& chosen)
        : m_scenario(chosen)
        , m_random(chosen.seed)
    {
        for (unsigned i = 0; i < chosen.targets; ++i) {
            target added;
            added.id = target_id { "target-" + std::to_string(i) };
            added.speed = chosen.speeds[i % chosen.speeds.size()];
            m_capacity += slots * added.speed / serviceTime;
            m_indexes[added.id] = i;
            m_targets.push_back(added);
        }
        if (chosen.slowPhases)
            m_capacity /= 1 + slowMachines * (slowdown - 1);
        table::table rows;
        for (const auto& each : m_targets) {
            table::target_row row;
            row.id = each.id;
            row.service = service_id { "s" };
            row.slots = slots;
            row.connections = connections;
            rows.targets.push_back(row);
        }
        table::service_row service;
        service.id = service_id { "s" };
        rows.services.push_back(service);
        for (unsigned i = 0; i < chosen.hosts; ++i) {
            m_hosts.emplace_back(i, chosen);
            auto& added = m_hosts.back();
            added.speed.applyTable(rows);
            (void)added.router->applyTable(clock(), rows);
            (void)added.router->applyLiveHosts(clock(), chosen.hosts);
            m_rates.push_back(1 + i % chosen.hostRates);
        }
        moveCollector(0);
    }

    outcome_figures run()
    {
        const double end = warmupSeconds + m_scenario.measuredSeconds;
        at(0, [this] { arrive(); });
        at(0.1, [this] { control(); });
        at(0.1, [this] { tick(); });
        if (m_scenario.slowPhases)
            at(0, [this] { changeSlowMachines(); });
        while (!m_events.empty() && m_events.top().time < end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.run();
        }
        return figures();
    }

private:
    struct target {
        target_id id;
        double speed = 1;
        bool slow = false;
        unsigned running = 0;
        std::queue<std::function<void()>> waiting;
        double work = 0;
    };
    struct host {
        host(unsigned index, const scenario& chosen)
            : id { "host-" + std::to_string(index) }
            , rank(index)
            , router(routing::router::create(deployed(chosen.seed * 1000 + index), owners).value())
            , speed(id, incarnation { index + 1 })
            , own(chosen.targets)
            , samples(chosen.targets)
        {
        }

        static routing::options deployed(std::uint64_t seed)
        {
            routing::options settings;
            settings.seed = seed;
            settings.workers = 64;
            settings.retryBurst = 4;
            settings.waitsForBudget = false;
            settings.budgetsShed = true;
            settings.targetsReportLoad = false;
            settings.backgroundProbeInterval = std::chrono::hours(24);
            return settings;
        }

        host_id id;
        unsigned rank;
        routing::testing::fixed_owners owners;
        std::unique_ptr<routing::router> router;
        shared_speed speed;
        routing::even_load shared;
        /// Of policies without a router.
        std::vector<unsigned> own;
        std::vector<hashed_sample> samples;
    };
    struct sent_request {
        double arrived = 0;
        std::size_t target = 0;
        routing::attempt_number attempt;
    };
    struct event {
        double time = 0;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };

    void at(double time, std::function<void()> run)
    {
        m_events.push({ time, ++m_order, std::move(run) });
    }
    instant clock() const
    {
        return instant { 1000s }
        + std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_now));
    }
    bool measures() const { return m_now >= warmupSeconds; }
    bool happens(double part) { return std::bernoulli_distribution(part)(m_random); }
    std::size_t any(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    bool usesRouter() const
    {
        return m_scenario.chosen != policy::TwoRandom && m_scenario.chosen != policy::Lottery;
    }

    void arrive()
    {
        std::exponential_distribution<double> gap(m_scenario.load * m_capacity);
        at(m_now + gap(m_random), [this] { arrive(); });
        std::discrete_distribution<std::size_t> hosts(m_rates.begin(), m_rates.end());
        host& by = m_hosts[hosts(m_random)];
        m_sent += measures() ? 1 : 0;
        const routing::request_number number { ++m_requests };
        m_arrivals[number] = m_now;
        if (!usesRouter())
            return send(by, number, {}, choose(by));
        routing::request made;
        made.number = number;
        made.service = service_id { "s" };
        made.caller = caller_id { "caller-" + std::to_string(any(callers)) };
        made.arrival = clock();
        made.deadline = clock() + 8s;
        made.requestFingerprint = routing::fingerprint { m_requests };
        perform(by, by.router->arrive(clock(), made));
    }

    void tick()
    {
        at(m_now + 0.1, [this] { tick(); });
        for (auto& each : m_hosts)
            perform(each, each.router->tick(clock()));
    }

    void perform(host& by, const routing::actions& actions)
    {
        for (const auto& each : actions) {
            if (const auto* sent = std::get_if<routing::dispatch>(&each))
                send(by, sent->number, sent->attempt, m_indexes.at(sent->target));
            else if (std::get_if<routing::refuse>(&each) != nullptr)
                m_refused += measures() ? 1 : 0;
            else if (const auto* asked = std::get_if<routing::probe>(&each))
                at(m_now, [this, &by, id = asked->target] {
                    perform(by, by.router->probed(clock(), id, routing::probe_answered {}));
                });
        }
    }

    std::size_t choose(host& by)
    {
        if (m_scenario.chosen == policy::TwoRandom) {
            const auto one = any(m_targets.size());
            const auto other = any(m_targets.size());
            return by.own[other] < by.own[one] ? other : one;
        }
        std::vector<double> weights;
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            weights.push_back(factor(by, m_targets[i]) / std::pow(1.0 + by.own[i], 2));
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
    }

    void send(host& by, routing::request_number number, routing::attempt_number attempt,
        std::size_t index)
    {
        auto& to = m_targets[index];
        if (usesRouter())
            perform(by, by.router->sent(clock(), number, attempt, clock()));
        if (to.running == slots && to.waiting.size() == queuePlaces)
            return reject(by, number, attempt, index);
        ++by.own[index];
        const double sent = m_now;
        const auto start = [this, &by, &to, index, number, attempt, sent] {
            if (measures())
                m_waits.push_back(m_now - m_arrivals.at(number));
            std::gamma_distribution<double> time(serviceShape, serviceTime / serviceShape);
            const double took = time(m_random) / to.speed * (to.slow ? slowdown : 1);
            to.work += measures() ? took : 0;
            at(m_now + took, [this, &by, index, number, attempt, sent] {
                end(by, number, attempt, index, sent);
            });
        };
        if (to.running < slots) {
            ++to.running;
            start();
        } else {
            to.waiting.push(start);
        }
    }

    void reject(host& by, routing::request_number number, routing::attempt_number attempt,
        std::size_t index)
    {
        const bool hasRoom = std::any_of(m_targets.begin(), m_targets.end(),
            [](const auto& each) { return each.waiting.size() < queuePlaces; });
        m_needlessRejections += measures() && hasRoom ? 1 : 0;
        if (!usesRouter())
            ++by.samples[index].rejections;
        else
            at(m_now, [this, &by, number, attempt] {
                perform(by, by.router->finish(clock(), number, attempt, routing::broken {}));
            });
    }

    void end(host& by, routing::request_number number, routing::attempt_number attempt,
        std::size_t index, double sent)
    {
        auto& to = m_targets[index];
        const auto took
            = std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_now - sent));
        m_arrivals.erase(number);
        --by.own[index];
        if (to.waiting.empty()) {
            --to.running;
        } else {
            const auto next = to.waiting.front();
            to.waiting.pop();
            next();
        }
        if (usesRouter()) {
            perform(by, by.router->responded(clock(), number, attempt));
            perform(by,
                by.router->finish(clock(), number, attempt, routing::answered { 200, took, took }));
        } else {
            ++by.samples[index].answers;
            by.samples[index].total += took;
        }
    }

    void changeSlowMachines()
    {
        for (auto& each : m_targets)
            each.slow = happens(slowMachines);
        at(m_now + slowSeconds, [this] { changeSlowMachines(); });
    }

    void moveCollector(std::size_t to)
    {
        m_collector = to;
        for (auto& each : m_hosts)
            each.speed.setCollector(clock(), m_hosts[to].id);
    }

    void control()
    {
        at(m_now + reportSeconds, [this] { control(); });
        if (m_scenario.chosen == policy::Alone || m_scenario.chosen == policy::TwoRandom)
            return;
        const double every = m_scenario.collectorSeconds;
        if (every > 0 && std::fmod(m_now, every) < reportSeconds)
            moveCollector((m_collector + 1) % m_hosts.size());
        for (auto& each : m_hosts)
            report(each);
        if (const auto message = m_hosts[m_collector].speed.tick(clock())) {
            for (auto& each : m_hosts)
                if (!happens(m_scenario.loss))
                    each.speed.receive(clock(), *message);
        }
        for (auto& each : m_hosts)
            apply(each);
        recordSwing();
    }

    void apply(host& by)
    {
        by.shared.factors.clear();
        if (m_scenario.chosen != policy::PartsOnly)
            by.shared.factors = by.speed.factorsByTarget(clock());
        if (m_scenario.chosen == policy::Shared || m_scenario.chosen == policy::PartsOnly) {
            by.shared.rank = 0;
            by.shared.hosts = 0;
            for (const auto& other : m_hosts) {
                if (other.rank != by.rank && happens(m_scenario.unknownHosts))
                    continue;
                by.shared.rank += other.rank < by.rank ? 1 : 0;
                ++by.shared.hosts;
            }
        }
        perform(by, by.router->applyEvenLoad(clock(), by.shared));
    }

    void report(host& from)
    {
        for (const auto& each : from.router->takeSpeedSamples()) {
            auto& sample = from.samples[m_indexes.at(each.target)];
            sample.answers += each.answers;
            sample.total += each.total;
            sample.rejections += each.rejections;
        }
        std::vector<hashed_sample> samples;
        for (std::size_t i = 0; i < from.samples.size(); ++i) {
            auto& each = from.samples[i];
            each.target = hashOf(m_targets[i].id);
            if (each.answers + each.rejections > 0)
                samples.push_back(std::exchange(each, {}));
        }
        if (!happens(m_scenario.loss))
            m_hosts[m_collector].speed.add(samples);
    }

    double factor(const host& of, const target& to) const
    {
        const auto found = of.shared.factors.find(to.id);
        return found == of.shared.factors.end() ? 1 : found->second;
    }

    void recordSwing()
    {
        std::vector<double> current;
        for (const auto& each : m_targets)
            current.push_back(factor(m_hosts[0], each));
        m_history.push_back(current);
        const auto rounds = static_cast<std::size_t>(10 / reportSeconds);
        if (!measures() || m_history.size() <= rounds)
            return;
        const auto& earlier = m_history[m_history.size() - 1 - rounds];
        for (std::size_t i = 0; i < current.size(); ++i)
            m_swings.push_back(std::abs(std::log(current[i] / earlier[i])));
    }

    double meanFactorAt(double speed) const
    {
        double sum = 0;
        unsigned count = 0;
        for (const auto& each : m_targets) {
            if (each.speed != speed)
                continue;
            sum += factor(m_hosts[0], each);
            ++count;
        }
        return sum / count;
    }

    outcome_figures figures()
    {
        outcome_figures result;
        std::sort(m_waits.begin(), m_waits.end());
        result.meanWait = std::accumulate(m_waits.begin(), m_waits.end(), 0.0)
            / static_cast<double>(m_waits.size());
        result.p99Wait = m_waits[m_waits.size() * 99 / 100];
        double highest = 0;
        double total = 0;
        for (const auto& each : m_targets) {
            highest = std::max(highest, each.work);
            total += each.work;
        }
        result.spread = highest * static_cast<double>(m_targets.size()) / total;
        result.needlessRejections = m_needlessRejections / m_sent;
        result.refused = m_refused / m_sent;
        if (!m_swings.empty())
            result.swing = std::exp(std::accumulate(m_swings.begin(), m_swings.end(), 0.0)
                / static_cast<double>(m_swings.size()));
        const auto [slowest, fastest]
            = std::minmax_element(m_scenario.speeds.begin(), m_scenario.speeds.end());
        result.slowestFactor = meanFactorAt(*slowest);
        result.fastestFactor = meanFactorAt(*fastest);
        return result;
    }

    scenario m_scenario;
    std::mt19937_64 m_random;
    double m_now = 0;
    double m_capacity = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<target> m_targets;
    std::map<target_id, std::size_t> m_indexes;
    std::uint64_t m_requests = 0;
    std::unordered_map<routing::request_number, double> m_arrivals;
    std::vector<double> m_rates;
    double m_refused = 0;
    std::deque<host> m_hosts;
    std::size_t m_collector = 0;
    std::vector<double> m_waits;
    std::vector<std::vector<double>> m_history;
    std::vector<double> m_swings;
    double m_sent = 0;
    double m_needlessRejections = 0;
};

outcome_figures simulate(scenario chosen, policy with)
{
    chosen.chosen = with;
    const auto result = cluster(chosen).run();
    const char* const names[]
        = { "alone", "shared", "factors only", "parts only", "two random", "lottery" };
    // Shown with --verbose=1.
    cr_log_info("targets %u load %.2f %s: wait mean %.0f ms, p99 %.0f ms; spread %.2f; needless "
                "rejections %.2f %%, refused %.2f %%; swing %.2f; factors %.2f to %.2f",
        chosen.targets, chosen.load, names[static_cast<int>(with)], result.meanWait * 1000,
        result.p99Wait * 1000, result.spread, result.needlessRejections * 100, result.refused * 100,
        result.swing, result.slowestFactor, result.fastestFactor);
    return result;
}

/// Requirement: faster targets get more, so that fewer requests wait and none meets a full queue
/// while others have room.
void expectBetter(const scenario& chosen)
{
    const auto off = simulate(chosen, policy::Alone);
    const auto on = simulate(chosen, policy::Shared);
    cr_assert_leq(on.meanWait, 0.6 * off.meanWait);
    cr_assert_leq(on.p99Wait, 0.6 * off.p99Wait);
    cr_assert_leq(on.needlessRejections, 0.1 * off.needlessRejections + 0.0005);
    cr_assert_leq(on.refused, off.refused);
    cr_assert_leq(on.spread, off.spread);
}

/// The longest wait and the number of rejections vary by chance.
void expectNoWorse(const scenario& chosen)
{
    const auto off = simulate(chosen, policy::Alone);
    const auto on = simulate(chosen, policy::Shared);
    cr_assert_leq(on.meanWait, 1.05 * off.meanWait);
    cr_assert_leq(on.p99Wait, 1.1 * off.p99Wait);
    cr_assert_leq(on.needlessRejections, off.needlessRejections + 0.0005);
    cr_assert_leq(on.refused, off.refused + 0.0005);
}

scenario scenarioOf(unsigned targets, double load, bool slowPhases)
{
    scenario chosen;
    chosen.targets = targets;
    chosen.load = load;
    chosen.slowPhases = slowPhases;
    return chosen;
}

std::map<std::string, double> byName(const hashed_factors& factors)
{
    std::map<std::string, double> named;
    for (const auto* name : { "t0", "t1", "t2" }) {
        const auto found = factors.find(hashOf(target_id { name }));
        named[name] = found == factors.end() ? 1 : found->second;
    }
    return named;
}

/// Host "a" of an installation with three targets.
class one_host {
public:
    one_host() { shared.applyTable(routing::testing::makeTable(3, false)); }

    /// Lets t0 answer in half and t2 in twice the time of t1 for some rounds.
    void collect(unsigned rounds)
    {
        for (unsigned i = 0; i < rounds; ++i) {
            now += 1s;
            shared.add({ { hashOf(target_id { "t0" }), 5, 5 * 100ms, 0 },
                { hashOf(target_id { "t1" }), 5, 5 * 200ms, 0 },
                { hashOf(target_id { "t2" }), 5, 5 * 400ms, 0 } });
            last = shared.tick(now).value_or(last);
        }
    }

    speed_message from(
        const std::string& host, std::uint64_t term, std::uint64_t number, double factor) const
    {
        return { host_id { host }, incarnation { 7 }, term, number,
            { { hashOf(target_id { "t0" }), factor } } };
    }

    double factor() { return byName(shared.factors(now))["t0"]; }

    shared_speed shared { host_id { "a" }, incarnation { 1 } };
    instant now { 1000s };
    speed_message last;
};

} // namespace

// Slow targets must not build queues while fast ones are idle.
Test(serve_speed, unequal_targets_share_load_by_speed)
{
    for (const double load : { 0.45, 0.8 })
        expectBetter(scenarioOf(128, load, false));
}

Test(serve_speed, unequal_targets_share_load_by_speed_in_a_small_service)
{
    for (const double load : { 0.45, 0.8 })
        expectBetter(scenarioOf(33, load, false));
}

// A factor that followed machines that are slow for 0.4 s would move the load when they are fast
// again.
Test(serve_speed, unequal_targets_share_load_by_speed_while_machines_are_slow)
{
    for (const double load : { 0.45, 0.8 })
        expectBetter(scenarioOf(128, load, true));
}

// Factors of targets of the same speed differ by chance, and all hosts use the same: they could
// overload the targets in turn.
Test(serve_speed, equal_targets_are_no_worse)
{
    for (const double load : { 0.45, 0.8 }) {
        auto chosen = scenarioOf(128, load, false);
        chosen.speeds = { 1 };
        expectNoWorse(chosen);
    }
}

Test(serve_speed, equal_targets_are_no_worse_in_a_small_service)
{
    for (const double load : { 0.45, 0.8 }) {
        auto chosen = scenarioOf(33, load, false);
        chosen.speeds = { 1 };
        expectNoWorse(chosen);
    }
}

Test(serve_speed, equal_targets_are_no_worse_while_machines_are_slow)
{
    for (const double load : { 0.45, 0.8 }) {
        auto chosen = scenarioOf(128, load, true);
        chosen.speeds = { 1 };
        expectNoWorse(chosen);
    }
}

// Hosts that missed messages would use other factors than the rest for long.
Test(serve_speed, lost_messages_do_little_harm)
{
    auto chosen = scenarioOf(128, 0.8, false);
    chosen.loss = 0.3;
    expectBetter(chosen);
    chosen.speeds = { 1 };
    expectNoWorse(chosen);
}

// A collector that started without factors would give slow targets their full load again.
Test(serve_speed, changing_collector_does_little_harm)
{
    auto chosen = scenarioOf(128, 0.8, false);
    chosen.collectorSeconds = 5;
    expectBetter(chosen);
    chosen.speeds = { 1 };
    expectNoWorse(chosen);
}

// A host's part of the targets gets what this host gets, so unequal hosts load parts unequally.
Test(serve_speed, unequal_hosts_are_no_worse)
{
    for (const unsigned targets : { 33U, 128U }) {
        auto chosen = scenarioOf(targets, 0.8, false);
        chosen.hostRates = 5;
        expectBetter(chosen);
        chosen.speeds = { 1 };
        expectNoWorse(chosen);
    }
}

// Hosts place themselves by the hosts that they know, and a host among many misses some at times.
Test(serve_speed, hosts_that_know_different_hosts_are_no_worse)
{
    auto chosen = scenarioOf(128, 0.8, false);
    chosen.unknownHosts = 0.06;
    expectBetter(chosen);
    chosen.speeds = { 1 };
    expectNoWorse(chosen);
}

// The measured times contain the wait in the queue, which the factor changes: without damping,
// factors rise and fall in turn.
Test(serve_speed, factors_converge_to_the_speeds)
{
    auto chosen = scenarioOf(128, 0.8, false);
    chosen.measuredSeconds = 60;
    const auto on = simulate(chosen, policy::Shared);
    // With 10 assumed answers beside 50 counted ones, a factor reaches 5/6 of the speed's
    // logarithm.
    cr_assert_geq(on.slowestFactor, 0.5);
    cr_assert_leq(on.slowestFactor, 0.65);
    cr_assert_geq(on.fastestFactor, 1.3);
    cr_assert_leq(on.fastestFactor, 1.6);
    cr_assert_leq(on.swing, 1.2);
}

// The choice of the design: docs/design/even-load.md.
Test(serve_speed, other_ways_are_no_better)
{
    const auto chosen = scenarioOf(128, 0.8, false);
    const auto shared = simulate(chosen, policy::Shared);
    for (const auto other :
        { policy::FactorsOnly, policy::PartsOnly, policy::TwoRandom, policy::Lottery })
        cr_assert_leq(shared.p99Wait, simulate(chosen, other).p99Wait);
}

Test(serve_speed, factor_survives_its_encoding)
{
    for (const double factor : { 0.25, 0.5, 0.9, 1.0, 1.5, 3.9 })
        cr_assert_float_eq(decodeFactor(encodeFactor(factor)), factor, 0.01 * factor);
    cr_assert_eq(encodeFactor(4), 255);
    cr_assert_eq(encodeFactor(0.01), 0);
}

// A few answers must not move a factor far.
Test(serve_speed, ten_answers_count_half)
{
    speed_estimator estimator;
    const target_hash slow { 1 };
    const target_hash usual { 2 };
    const target_hash other { 3 };
    estimator.setTargets({ { slow, service_id { "s" } }, { usual, service_id { "s" } },
        { other, service_id { "s" } } });
    const instant now { 1000s };
    estimator.update(now);
    estimator.add({ { slow, 10, 10 * 400ms, 0 }, { usual, 10, 10 * 100ms, 0 },
        { other, 10, 10 * 100ms, 0 } });
    estimator.update(now);
    // The first round moves it by a bounded step only.
    cr_assert_float_eq(estimator.factors().at(slow), 1 / 1.08, 0.01);
    for (int i = 0; i < 30; ++i)
        estimator.update(now);
    cr_assert_float_eq(estimator.factors().at(slow), 0.5, 0.01);
}

// Rejections have no time; a full target would look as fast as before.
Test(serve_speed, rejections_lower_the_factor)
{
    speed_estimator estimator;
    const target_hash full { 1 };
    const target_hash usual { 2 };
    estimator.setTargets({ { full, service_id { "s" } }, { usual, service_id { "s" } } });
    const instant now { 1000s };
    estimator.update(now);
    estimator.add({ { full, 50, 50 * 100ms, 50 }, { usual, 50, 50 * 100ms, 0 } });
    for (int i = 0; i < 30; ++i)
        estimator.update(now);
    cr_assert_lt(estimator.factors().at(full), 0.7);
    cr_assert_not(estimator.factors().contains(usual));
}

Test(serve_speed, factor_without_news_decays)
{
    one_host collector;
    collector.shared.setCollector(collector.now, host_id { "a" });
    collector.collect(30);
    cr_assert_gt(collector.factor(), 1.5);
    cr_assert_lt(byName(collector.shared.factors(collector.now))["t2"], 0.6);
    for (int i = 0; i < 120; ++i) {
        collector.now += 1s;
        (void)collector.shared.tick(collector.now);
    }
    cr_assert_lt(collector.factor(), 1.03);

    one_host other;
    other.shared.setCollector(other.now, host_id { "b" });
    cr_assert(other.shared.receive(other.now, other.from("b", 1, 1, 2)));
    other.now += 14s;
    cr_assert_float_eq(other.factor(), 2, 0.01);
    other.now += 60s;
    cr_assert_lt(other.factor(), 1.03);
}

Test(serve_speed, only_the_collector_or_a_newer_one_is_heard)
{
    one_host host;
    host.shared.setCollector(host.now, host_id { "b" });
    cr_assert(host.shared.receive(host.now, host.from("b", 3, 5, 2)));
    // Late or repeated by a relay.
    cr_assert_not(host.shared.receive(host.now, host.from("b", 3, 5, 1.5)));
    cr_assert_not(host.shared.receive(host.now, host.from("b", 3, 4, 1.5)));
    // The preceding collector, which does not know yet.
    cr_assert_not(host.shared.receive(host.now, host.from("c", 2, 90, 1.5)));
    cr_assert_not(host.shared.receive(host.now, host.from("c", 3, 90, 1.5)));
    cr_assert_float_eq(host.factor(), 2, 0.01);
    // The next one, of which this host has not heard yet.
    cr_assert(host.shared.receive(host.now, host.from("c", 4, 1, 1.5)));
    cr_assert_float_eq(host.factor(), 1.5, 0.01);
    // A collector that restarted begins with low numbers.
    auto restarted = host.from("b", 1, 1, 3);
    restarted.run = incarnation { 8 };
    cr_assert(host.shared.receive(host.now, restarted));
}

Test(serve_speed, next_collector_starts_from_the_factors_that_it_has)
{
    one_host host;
    host.shared.setCollector(host.now, host_id { "b" });
    cr_assert(host.shared.receive(host.now, host.from("b", 3, 5, 2)));
    host.shared.setCollector(host.now, host_id { "a" });
    cr_assert_float_eq(host.factor(), 2, 0.01);
    host.now += 1s;
    const auto sent = host.shared.tick(host.now);
    cr_assert(sent.has_value());
    cr_assert_eq(sent->term, 4);
    cr_assert_gt(byName(sent->factors)["t0"], 1.8);
    // It does not take the factors of a host that thinks that it collects.
    cr_assert_not(host.shared.receive(host.now, host.from("b", 3, 6, 1)));
}

// Each second a message to each host for nothing would cost bandwidth.
Test(serve_speed, unchanged_factors_are_sent_rarely)
{
    one_host host;
    host.shared.setCollector(host.now, host_id { "a" });
    for (int i = 0; i < 20; ++i) {
        host.now += 1s;
        cr_assert_not(host.shared.tick(host.now).has_value());
    }
    host.collect(60);
    unsigned messages = 0;
    for (int i = 0; i < 20; ++i) {
        const auto before = host.last.number;
        host.collect(1);
        messages += host.last.number != before ? 1 : 0;
    }
    cr_assert_leq(messages, 4);
    cr_assert_geq(messages, 3);
}

// Each change moves keys.
Test(serve_speed, placement_ignores_small_changes)
{
    placement_factors used;
    const target_id target { "t0" };
    used.update({ { target, 1.1 } });
    cr_assert_float_eq(used.of(target), 1, 1e-9);
    used.update({ { target, 1.4 } });
    used.update({ { target, 1.3 } });
    cr_assert_float_eq(used.of(target), 1.4, 1e-9);
    used.update({ { target, 0.3 } });
    cr_assert_float_eq(used.of(target), 0.5, 1e-9);
    used.update({});
    cr_assert_float_eq(used.of(target), 1, 1e-9);
}
