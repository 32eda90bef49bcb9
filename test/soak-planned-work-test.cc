#include "helper/soak-callers.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sstream>

using namespace pimentomast;
using namespace pimentomast::test;

/// Planned work in series that overlap: no whole request is lost. PIMENTOMAST_SOAK_FIRST and
/// PIMENTOMAST_SOAK_COUNT select the seeds.
namespace {

constexpr unsigned defaultFirstSeed = 1;
constexpr unsigned defaultSeeds = 2;
constexpr seconds workTime { 14 };
constexpr milliseconds stepTime { 20 };
/// Time after its removal in which a target may still get requests and run them.
constexpr seconds targetAfterlife { 4 };
constexpr unsigned deadlineMs = 600;
const std::string removableService = "extra";

unsigned fromEnvironment(const char* name, unsigned otherwise)
{
    const char* text = std::getenv(name);
    return text ? static_cast<unsigned>(std::atoi(text)) : otherwise;
}

cluster_options installation(std::mt19937& random)
{
    cluster_options options { 3,
        { { "w1", "weights" }, { "w2", "weights" }, { "w3", "weights" },
            { "a1", "archives", false, 6, false }, { "a2", "archives", false, 6, false },
            { "x1", removableService, false, 6, false } } };
    options.deadlineMs = deadlineMs;
    options.useCutter = false;
    const auto idleMs = 100 + random() % 600;
    options.settings = "[drain]\naccept_ms = 300\nidle_ms = " + std::to_string(idleMs)
        + "\n[limits]\nidle_timeout_ms = 400\n";
    return options;
}

/// Carries out planned work on an installation, drawn from a seed, and keeps a log of it.
class planned_work {
public:
    planned_work(cluster& system, std::mt19937& random)
        : m_system(system)
        , m_random(random)
        , m_started(monotonic_clock::now())
    {
    }

    void run()
    {
        while (monotonic_clock::now() < m_started + workTime) {
            std::this_thread::sleep_for(stepTime + milliseconds(m_random() % 400));
            startWork();
            restartEndedHosts();
            replaceRemovedTargets();
            if (m_serviceRemoved && m_random() % 4 == 0)
                removeOrReturnService();
        }
    }

    /// Ends all work that is under way: everything runs and is in the table.
    void finish()
    {
        m_leaving.clear();
        for (const auto& [id, since] : m_removed)
            std::this_thread::sleep_for(since + targetAfterlife - monotonic_clock::now());
        replaceRemovedTargets();
        m_serviceRemoved = false;
        edit("everything");
        const bool back = waitUntil([this] {
            restartEndedHosts();
            return m_stopping.empty();
        });
        if (!back)
            throw failure({ "stop host", *m_stopping.begin(), "not ended in time\n" + log() });
    }

    [[nodiscard]] std::string log() const { return m_log.str(); }

private:
    void startWork()
    {
        switch (m_random() % 8) {
        case 0:
        case 1:
            return stopHost();
        case 2:
            return hangUp();
        case 3:
            return leaveOrReturn();
        case 4:
            return removeTarget();
        case 5:
            return removeOrReturnService();
        case 6:
            m_deadlineMs = deadlineMs + m_random() % 200;
            return edit("deadline");
        default:
            return stopHost();
        }
    }

    void note(const std::string& what)
    {
        const auto atMs
            = std::chrono::duration_cast<milliseconds>(monotonic_clock::now() - m_started);
        m_log << atMs.count() << " ms (" << monotonic_clock::now().time_since_epoch().count()
              << "): " << what << "\n";
    }

    cluster::host_process& anyHost()
    {
        return m_system.hosts()[m_random() % m_system.hosts().size()];
    }

    void stopHost()
    {
        auto& host = anyHost();
        const bool mayStop
            = !m_stopping.contains(host.id) && m_stopping.size() + 1 < m_system.hosts().size();
        // A process handles signals once it has started.
        if (!mayStop || !m_system.versionOf(host.id))
            return;
        note("SIGTERM " + host.id);
        m_stopping.insert(host.id);
        host.child.terminate();
    }

    void hangUp()
    {
        auto& host = anyHost();
        if (m_stopping.contains(host.id) || !m_system.versionOf(host.id))
            return;
        note("SIGHUP " + host.id);
        ::kill(host.child.id(), SIGHUP);
    }

    void restartEndedHosts()
    {
        for (auto& host : m_system.hosts()) {
            if (!m_stopping.contains(host.id) || host.child.running())
                continue;
            const int status = host.child.wait();
            if (status != 0)
                throw failure({ "stop host", host.id,
                    "status " + std::to_string(status) + ", see " + scratchFolder() });
            note("start " + host.id);
            m_system.startHost(host.id);
            m_stopping.erase(host.id);
        }
    }

    /// Returns a target that another one of its service can stand in for; empty if there is none.
    std::string sparableTarget()
    {
        std::vector<std::string> found;
        for (const auto& each : m_system.targets()) {
            const auto others = std::count_if(
                m_system.targets().begin(), m_system.targets().end(), [&](const auto& other) {
                    return other.spec.service == each.spec.service && other.spec.id != each.spec.id
                        && isActive(other.spec.id);
                });
            if (others > 0 && isActive(each.spec.id))
                found.push_back(each.spec.id);
        }
        return found.empty() ? std::string() : found[m_random() % found.size()];
    }

    [[nodiscard]] bool isActive(const std::string& id) const
    {
        return !m_leaving.contains(id) && !m_removed.contains(id);
    }

    void leaveOrReturn()
    {
        if (!m_leaving.empty() && m_random() % 2 == 0) {
            m_leaving.erase(m_leaving.begin());
            return edit("return");
        }
        const auto id = sparableTarget();
        if (id.empty())
            return;
        m_leaving.insert(id);
        edit("leaving " + id);
    }

    void removeTarget()
    {
        auto id = m_leaving.empty() ? sparableTarget() : *m_leaving.begin();
        if (id.empty())
            return;
        m_leaving.erase(id);
        m_removed[id] = monotonic_clock::now();
        edit("without " + id);
    }

    void removeOrReturnService()
    {
        m_serviceRemoved = !m_serviceRemoved;
        edit(m_serviceRemoved ? "without a service" : "with the service");
    }

    void replaceRemovedTargets()
    {
        std::string replaced;
        for (const auto& [id, since] : m_removed) {
            if (monotonic_clock::now() < since + targetAfterlife)
                continue;
            note("replace " + id);
            m_system.killTarget(id);
            m_system.startTarget(id);
            replaced += " " + id;
        }
        std::erase_if(m_removed,
            [&](const auto& each) { return replaced.find(" " + each.first) != std::string::npos; });
        if (!replaced.empty())
            edit("with" + replaced);
    }

    void edit(const std::string& what)
    {
        note("table: " + what);
        if (const int status = m_system.applyTable(table(), m_version); status != 0)
            throw failure({ "apply table", what,
                "status " + std::to_string(status) + ", see " + scratchFolder() });
        m_version
            = getJson(m_system.platform(), "/rows/config")->getValue<std::uint64_t>("version");
    }

    [[nodiscard]] std::string table() const
    {
        std::istringstream rows(m_system.table(m_leaving));
        std::string kept;
        for (std::string line; std::getline(rows, line);) {
            if (isRemoved(line))
                continue;
            const auto deadline = line.find("," + std::to_string(deadlineMs) + ",");
            if (line.starts_with("service,") && deadline != std::string::npos)
                line.replace(
                    deadline + 1, std::to_string(deadlineMs).size(), std::to_string(m_deadlineMs));
            kept += line + "\n";
        }
        return kept;
    }

    [[nodiscard]] bool isRemoved(const std::string& line) const
    {
        const bool isOfService = line.starts_with("service," + removableService + ",")
            || line.find("," + removableService + ",") != std::string::npos;
        return (m_serviceRemoved && isOfService)
            || std::any_of(m_removed.begin(), m_removed.end(),
                [&](const auto& each) { return line.starts_with("target," + each.first + ","); });
    }

    cluster& m_system;
    std::mt19937& m_random;
    monotonic_clock::time_point m_started;
    std::ostringstream m_log;
    std::set<std::string> m_stopping;
    std::set<std::string> m_leaving;
    std::map<std::string, monotonic_clock::time_point> m_removed;
    bool m_serviceRemoved = false;
    unsigned m_deadlineMs = deadlineMs;
    std::uint64_t m_version = 1;
};

std::string countsText(const std::vector<soak_request>& requests)
{
    std::string text;
    for (const auto& [end, count] : countEnds(requests))
        text += "  " + std::to_string(count) + " " + end + "\n";
    return text;
}

/// Returns the violations; empty if there are none.
std::string soak(unsigned seed)
{
    std::mt19937 random(seed);
    cluster system(installation(random));
    soak_callers callers(system, { { "weights", "archives", removableService }, seed });
    planned_work work(system, random);
    work.run();
    work.finish();
    system.waitUntilServed();
    const auto requests = callers.stop();
    // Bytes in flight may still reach a target.
    std::this_thread::sleep_for(seconds(1));
    const auto records = system.records();
    std::vector<request_result> results;
    results.reserve(requests.size());
    for (const auto& each : requests)
        results.push_back(each.result);
    auto found = findLost(records, requests);
    for (auto& each : findViolations(records, results))
        found.push_back(std::move(each));
    std::fprintf(stderr, "seed %u: %zu violations of %zu requests\n%s", seed, found.size(),
        requests.size(), countsText(requests).c_str());
    std::string lines;
    for (const auto& each : found)
        lines += each + "\n";
    return lines.empty() ? lines : lines + work.log();
}

} // namespace

Test(soak_planned_work, no_whole_request_is_lost)
{
    const auto first = fromEnvironment("PIMENTOMAST_SOAK_FIRST", defaultFirstSeed);
    const auto count = fromEnvironment("PIMENTOMAST_SOAK_COUNT", defaultSeeds);
    for (unsigned seed = first; seed < first + count; ++seed) {
        const auto violations = soak(seed);
        cr_expect(violations.empty(), "seed %u:\n%s", seed, violations.c_str());
    }
}
