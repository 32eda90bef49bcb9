#include "placement/watch.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <numeric>

/// Measures placement with real processes on the loopback interface: three hosts, the stand-in
/// platform and eight targets under a Zipf load whose hot keys move. Prints one block for each
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
constexpr seconds windowS { 5 };

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

/// One run: the load, what happens meanwhile, and what is counted.
class placement_run {
public:
    explicit placement_run(const settings& chosen)
        : m_settings(chosen)
    {
    }

    void run()
    {
        pass(seconds(10));
        m_moves.slicesMoved = m_moves.keysMoved = 0;
        m_fromUs = nowUs();
        m_end = monotonic_clock::now() + seconds(m_settings.runSeconds);
        strike();
        pass(std::chrono::duration_cast<milliseconds>(m_end - monotonic_clock::now()));
        m_toUs = nowUs();
        report(m_load.stop());
    }

private:
    /// Lets time pass, counts moves and moves the hot keys when that is due.
    void pass(milliseconds span)
    {
        const auto end = monotonic_clock::now() + span;
        while (monotonic_clock::now() < end) {
            if (!m_storeOut)
                m_moves.look();
            if (monotonic_clock::now() >= m_nextHot) {
                m_nextHot += seconds(m_settings.hotSeconds);
                m_keys.moveHotKeys();
            }
            std::this_thread::sleep_for(sampleInterval);
        }
    }

    milliseconds part(unsigned parts) const { return seconds(m_settings.runSeconds) / parts; }

    void strike()
    {
        const auto& event = m_settings.event;
        if (event == "domain-killed")
            killDomain();
        else if (event == "rolling-hosts")
            rollHosts();
        else if (event == "rolling-targets")
            rollTargets();
        else if (event == "store-outage")
            outage();
        else if (event == "misleading")
            mislead();
    }

    void killDomain()
    {
        pass(part(3));
        for (const auto* id : { "w1", "w4", "w7" })
            m_system.killTarget(id);
        pass(part(3));
        for (const auto* id : { "w1", "w4", "w7" })
            m_system.startTarget(id);
    }

    void rollHosts()
    {
        for (std::size_t i = 0; i < m_system.hosts().size(); ++i) {
            auto& host = m_system.hosts()[i];
            m_load.use(i, false);
            pass(seconds(1));
            host.child.terminate();
            host.child.wait();
            m_system.startHost(host.id);
            m_system.waitForVersion(m_version, { host.id });
            m_system.waitUntilServed(service);
            m_load.use(i, true);
            pass(part(5));
        }
    }

    void rollTargets()
    {
        const auto turn = part(targetCount);
        for (auto& target : m_system.targets()) {
            const auto end = monotonic_clock::now() + turn;
            m_system.applyTable(m_system.table({ target.spec.id }), m_version++);
            while (m_moves.owns(target.spec.id) && monotonic_clock::now() < end)
                pass(sampleInterval);
            m_left += m_moves.owns(target.spec.id) ? 1 : 0;
            m_system.killTarget(target.spec.id);
            m_system.startTarget(target.spec.id);
            m_system.applyTable(m_system.table(), m_version++);
            pass(std::chrono::duration_cast<milliseconds>(end - monotonic_clock::now()));
        }
    }

    void outage()
    {
        pass(part(4));
        m_system.platformFault(R"({"outage":"silent"})");
        m_storeOut = true;
        pass(seconds(m_settings.outageSeconds));
        m_storeOut = false;
        m_system.platformFault(R"({"outage":"none"})");
    }

    void mislead()
    {
        m_system.targetFault("w1", R"({"wrong_running":0})");
        m_system.targetFault("w2", R"({"wrong_running":50})");
    }

    /// Max over mean of the answers of the targets that answered, in whole windows.
    std::vector<double> imbalances(const std::vector<sample>& samples) const
    {
        const auto widthUs = std::chrono::microseconds(windowS).count();
        const auto wholeUs = m_toUs - (m_toUs - m_fromUs) % widthUs;
        std::map<std::int64_t, std::map<std::string, double>> windows;
        for (const auto& each : samples) {
            if (each.answered && each.endUs >= m_fromUs && each.endUs < wholeUs)
                windows[(each.endUs - m_fromUs) / widthUs][each.target] += 1;
        }
        std::vector<double> found;
        for (const auto& [at, counts] : windows) {
            double most = 0;
            double sum = 0;
            for (const auto& [target, count] : counts) {
                most = std::max(most, count);
                sum += count;
            }
            found.push_back(most * static_cast<double>(counts.size()) / sum);
        }
        return found;
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
        const auto uneven = imbalances(samples);
        const double mean = std::accumulate(uneven.begin(), uneven.end(), 0.0)
            / static_cast<double>(std::max<std::size_t>(1, uneven.size()));
        std::array<double, 1> busy {};
        (void)getloadavg(busy.data(), 1);
        std::printf(
            "%s: %u s, load average %.0f\n  imbalance mean %.2f worst %.2f; slices moved %u, "
            "keys moved %u, slices at most %zu; unavailable %.1f key-s\n"
            "  p50 %.1f p99 %.1f ms; sent %u, refused",
            m_settings.event.c_str(), m_settings.runSeconds, busy[0], mean, percentile(uneven, 1),
            m_moves.slicesMoved, m_moves.keysMoved, m_moves.slicesMost,
            unavailableKeySeconds(m_system, m_fromUs, m_toUs), percentile(latencies, 0.5),
            percentile(latencies, 0.99), sent);
        for (const auto& [reason, count] : refused)
            std::printf(" %s=%u", reason.c_str(), count);
        std::printf(refused.empty() ? " none" : "");
        if (m_settings.event == "rolling-targets")
            std::printf("; targets restarted before they were empty: %u", m_left);
        std::printf("\n  imbalance by window:");
        for (const double each : uneven)
            std::printf(" %.2f", each);
        std::printf("\n");
    }

    settings m_settings;
    cluster m_system { installation() };
    keyspace m_keys;
    move_counter m_moves { m_system };
    std::uint64_t m_version = 1;
    unsigned m_left = 0;
    bool m_storeOut = false;
    std::int64_t m_fromUs = 0;
    std::int64_t m_toUs = 0;
    instant m_end {};
    instant m_nextHot = monotonic_clock::now() + seconds(m_settings.hotSeconds);
    steady_senders m_load { m_system, { 0, 1, 2 }, senders, sendInterval,
        [this](auto& random) { return m_keys.draw(random); } };
};

} // namespace

int main(int count, char** arguments)
{
    namespace options = boost::program_options;
    settings chosen;
    options::options_description described("bench-placement");
    described.add_options()("event", options::value(&chosen.event),
        "hot-keys, domain-killed, rolling-hosts, rolling-targets, store-outage or misleading; "
        "default: each in turn")("seconds", options::value(&chosen.runSeconds), "length of a run")(
        "hot-seconds", options::value(&chosen.hotSeconds),
        "time between two moves of the hot keys")(
        "outage-seconds", options::value(&chosen.outageSeconds), "length of the store's outage");
    options::variables_map given;
    options::store(options::parse_command_line(count, arguments, described), given);
    options::notify(given);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const std::vector<std::string> all { "hot-keys", "domain-killed", "rolling-hosts",
        "rolling-targets", "store-outage", "misleading" };
    for (const auto& event : chosen.event.empty() ? all : std::vector { chosen.event }) {
        auto one = chosen;
        one.event = event;
        placement_run(one).run();
    }
}
