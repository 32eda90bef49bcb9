#include "placement/watch.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <numeric>

/// Measures placement with real processes on the loopback interface: three hosts, the stand-in
/// platform and eight targets under a Zipf load whose hot keys change. Prints one block for each
/// event. Usage: bench-placement [--event NAME] [--seconds N] [--hot-seconds N] [--outage-seconds
/// N]
namespace {

using namespace pimentomast;
using namespace pimentomast::bench;
using std::chrono::seconds;

constexpr unsigned targetCount = 8;
constexpr unsigned senders = 24;
constexpr milliseconds sendInterval { 4 };
constexpr milliseconds sampleInterval { 200 };
constexpr seconds imbalanceWindow { 5 };

struct settings {
    std::string event;
    unsigned runSeconds = 60;
    unsigned hotSeconds = 20;
    unsigned outageSeconds = 30;
};

test::cluster_options installation()
{
    test::cluster_options options;
    for (unsigned i = 1; i <= targetCount; ++i)
        options.targets.push_back({ "w" + std::to_string(i), service });
    options.useCutter = false;
    return options;
}

/// One run: generates the load, triggers the event and reports the results.
class placement_run {
public:
    explicit placement_run(const settings& selected)
        : m_settings(selected)
    {
    }

    void run()
    {
        runFor(seconds(10));
        m_moves.slicesMoved = m_moves.keysMoved = 0;
        m_fromUs = nowUs();
        m_end = monotonic_clock::now() + seconds(m_settings.runSeconds);
        injectFault();
        runFor(std::chrono::duration_cast<milliseconds>(m_end - monotonic_clock::now()));
        m_toUs = nowUs();
        report(m_load.stop());
    }

private:
    /// Waits for the given time; meanwhile counts moves and changes the hot keys when due.
    void runFor(milliseconds span)
    {
        const auto end = monotonic_clock::now() + span;
        while (monotonic_clock::now() < end) {
            if (!m_storeUnavailable)
                m_moves.poll();
            if (monotonic_clock::now() >= m_nextHotKeyMove) {
                m_nextHotKeyMove += seconds(m_settings.hotSeconds);
                m_keys.moveHotKeys();
            }
            std::this_thread::sleep_for(sampleInterval);
        }
    }

    milliseconds fractionOfRun(unsigned parts) const
    {
        return seconds(m_settings.runSeconds) / parts;
    }

    void injectFault()
    {
        const auto& event = m_settings.event;
        if (event == "domain-killed")
            killDomain();
        else if (event == "rolling-hosts")
            rollHosts();
        else if (event == "rolling-targets")
            rollTargets();
        else if (event == "store-outage")
            storeOutage();
        else if (event == "misleading")
            misreportLoads();
    }

    void killDomain()
    {
        runFor(fractionOfRun(3));
        for (const auto* id : { "w1", "w4", "w7" })
            m_system.killTarget(id);
        runFor(fractionOfRun(3));
        for (const auto* id : { "w1", "w4", "w7" })
            m_system.startTarget(id);
    }

    void rollHosts()
    {
        for (std::size_t i = 0; i < m_system.hosts().size(); ++i) {
            auto& host = m_system.hosts()[i];
            m_load.setHostInUse(i, false);
            runFor(seconds(1));
            host.child.terminate();
            host.child.wait();
            m_system.startHost(host.id);
            m_system.waitForVersion(m_version, { host.id });
            m_system.waitUntilServed(service);
            m_load.setHostInUse(i, true);
            runFor(fractionOfRun(5));
        }
    }

    void rollTargets()
    {
        const auto turn = fractionOfRun(targetCount);
        for (auto& target : m_system.targets()) {
            const auto end = monotonic_clock::now() + turn;
            m_system.applyTable(m_system.table({ target.spec.id }), m_version++);
            while (m_moves.owns(target.spec.id) && monotonic_clock::now() < end)
                runFor(sampleInterval);
            m_restartedUndrained += m_moves.owns(target.spec.id) ? 1 : 0;
            m_system.killTarget(target.spec.id);
            m_system.startTarget(target.spec.id);
            m_system.applyTable(m_system.table(), m_version++);
            runFor(std::chrono::duration_cast<milliseconds>(end - monotonic_clock::now()));
        }
    }

    void storeOutage()
    {
        runFor(fractionOfRun(4));
        m_system.platformFault(R"({"outage":"silent"})");
        m_storeUnavailable = true;
        runFor(seconds(m_settings.outageSeconds));
        m_storeUnavailable = false;
        m_system.platformFault(R"({"outage":"none"})");
    }

    void misreportLoads()
    {
        m_system.targetFault("w1", R"({"wrong_running":0})");
        m_system.targetFault("w2", R"({"wrong_running":50})");
    }

    /// Returns, for each whole window, the highest number of answers of a target divided by the
    /// mean over the targets that answered.
    std::vector<double> imbalances(const std::vector<sample>& samples) const
    {
        const auto widthUs = std::chrono::microseconds(imbalanceWindow).count();
        const auto wholeUs = m_toUs - (m_toUs - m_fromUs) % widthUs;
        std::map<std::int64_t, std::map<std::string, double>> windows;
        for (const auto& each : samples) {
            if (each.answered && each.endUs >= m_fromUs && each.endUs < wholeUs)
                windows[(each.endUs - m_fromUs) / widthUs][each.target] += 1;
        }
        std::vector<double> ratios;
        for (const auto& [at, counts] : windows) {
            double most = 0;
            double sum = 0;
            for (const auto& [target, count] : counts) {
                most = std::max(most, count);
                sum += count;
            }
            ratios.push_back(most * static_cast<double>(counts.size()) / sum);
        }
        return ratios;
    }

    void report(const std::vector<sample>& samples) const
    {
        std::vector<double> latencies;
        std::map<std::string, unsigned> refused;
        unsigned sent = 0;
        for (const auto& each : samples) {
            if (each.startUs < m_fromUs)
                continue;
            ++sent;
            if (each.answered)
                latencies.push_back(static_cast<double>(each.endUs - each.startUs) / 1000);
            else
                ++refused[each.reason];
        }
        const auto imbalance = imbalances(samples);
        const double mean = std::accumulate(imbalance.begin(), imbalance.end(), 0.0)
            / static_cast<double>(std::max<std::size_t>(1, imbalance.size()));
        std::array<double, 1> loadAverage {};
        (void)getloadavg(loadAverage.data(), 1);
        std::printf(
            "%s: %u s, load average %.0f\n  imbalance mean %.2f worst %.2f; slices moved %u, "
            "keys moved %u, at most %zu slices; unavailable %.1f key-s\n"
            "  p50 %.1f p99 %.1f ms; sent %u, refused",
            m_settings.event.c_str(), m_settings.runSeconds, loadAverage[0], mean,
            percentile(imbalance, 1), m_moves.slicesMoved, m_moves.keysMoved, m_moves.slicesMax,
            unavailableKeySeconds(m_system, m_fromUs, m_toUs), percentile(latencies, 0.5),
            percentile(latencies, 0.99), sent);
        for (const auto& [reason, count] : refused)
            std::printf(" %s=%u", reason.c_str(), count);
        std::printf(refused.empty() ? " none" : "");
        if (m_settings.event == "rolling-targets")
            std::printf("; targets restarted before they were drained: %u", m_restartedUndrained);
        std::printf("\n  imbalance by window:");
        for (const double each : imbalance)
            std::printf(" %.2f", each);
        std::printf("\n");
    }

    settings m_settings;
    cluster m_system { installation() };
    keyspace m_keys;
    move_counter m_moves { m_system };
    std::uint64_t m_version = 1;
    unsigned m_restartedUndrained = 0;
    bool m_storeUnavailable = false;
    std::int64_t m_fromUs = 0;
    std::int64_t m_toUs = 0;
    instant m_end {};
    instant m_nextHotKeyMove = monotonic_clock::now() + seconds(m_settings.hotSeconds);
    steady_senders m_load { m_system, { 0, 1, 2 }, senders, sendInterval,
        [this](auto& random) { return m_keys.draw(random); } };
};

} // namespace

int main(int count, char** arguments)
{
    namespace options = boost::program_options;
    settings selected;
    options::options_description described("bench-placement");
    described.add_options()("event", options::value(&selected.event),
        "hot-keys, domain-killed, rolling-hosts, rolling-targets, store-outage or misleading; "
        "default: each in turn")(
        "seconds", options::value(&selected.runSeconds), "length of a run")("hot-seconds",
        options::value(&selected.hotSeconds), "time between two moves of the hot keys")(
        "outage-seconds", options::value(&selected.outageSeconds), "length of the store's outage");
    options::variables_map given;
    options::store(options::parse_command_line(count, arguments, described), given);
    options::notify(given);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const std::vector<std::string> all { "hot-keys", "domain-killed", "rolling-hosts",
        "rolling-targets", "store-outage", "misleading" };
    for (const auto& event : selected.event.empty() ? all : std::vector { selected.event }) {
        auto current = selected;
        current.event = event;
        placement_run(current).run();
    }
}
