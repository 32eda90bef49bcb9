#include "helper.h"

#include <criterion/criterion.h>
#include <fstream>

using namespace pimentomast;
using namespace pimentomast::test;

/// An accepted table comes into force on all hosts, and no host reverts to an older one.
namespace {

/// Polls the table version of each host and fails the test if one decreases.
class version_monitor {
public:
    explicit version_monitor(cluster& system)
        : m_system(system)
        , m_thread([this] { watch(); })
    {
    }

    version_monitor(const version_monitor&) = delete;
    version_monitor& operator=(const version_monitor&) = delete;
    ~version_monitor() { end(); }

    /// Stops polling and fails the test if a version decreased.
    void stop()
    {
        end();
        cr_assert(
            m_regressedHost.empty(), "%s reverted to an older table", m_regressedHost.c_str());
    }

private:
    void end()
    {
        m_stopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    void watch()
    {
        std::map<std::string, std::uint64_t> highest;
        while (!m_stopping) {
            for (const auto* id : { "h1", "h2", "h3" }) {
                const auto version = m_system.versionOf(id);
                if (version && *version < highest[id])
                    m_regressedHost = id;
                if (version)
                    highest[id] = std::max(highest[id], *version);
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    cluster& m_system;
    std::atomic<bool> m_stopping = false;
    std::string m_regressedHost;
    std::thread m_thread;
};

} // namespace

Test(failure_configuration, table_accepted_just_before_an_outage)
{
    cluster system(threeKeyedTargets());
    version_monitor watch(system);
    cr_assert(system.applyTable(system.table({ "w1" }), 1) == 0);
    system.platformFault(R"({"outage":"silent"})");
    system.waitForVersion(2);
    system.platformFault(R"({"outage":"none"})");
    watch.stop();
}

Test(failure_configuration, table_seen_by_one_host_before_an_outage)
{
    cluster system(threeKeyedTargets());
    version_monitor watch(system);
    system.setLinkMode("platform/h2", "drop-both");
    system.setLinkMode("platform/h3", "drop-both");
    cr_assert(system.applyTable(system.table({ "w1" }), 1) == 0);
    system.waitForVersion(2, { "h1" });
    system.platformFault(R"({"outage":"refuse"})");
    system.waitForVersion(2);
    watch.stop();
}

Test(failure_configuration, late_store_reply_does_not_replace_a_newer_table)
{
    auto options = threeKeyedTargets();
    options.settings = "timeout_ms = 20000\n";
    cluster system(options);
    version_monitor watch(system);
    system.setLinkMode("platform/h1", "drop-backward");
    // By then h1 has asked the store, whose reply with version 1 is held back.
    std::this_thread::sleep_for(seconds(1));
    cr_assert(system.applyTable(system.table({ "w1" }), 1) == 0);
    system.waitForVersion(2);
    system.setLinkMode("platform/h1", "pass");
    std::this_thread::sleep_for(seconds(1));
    watch.stop();
}

Test(failure_configuration, two_editors_apply_at_once)
{
    cluster system(threeKeyedTargets());
    version_monitor watch(system);
    for (std::uint64_t base = 1; base < 6; ++base) {
        const auto one = system.table({ "w1" });
        const auto other = base % 2 == 0 ? system.table({ "w2" }) : system.table();
        std::ofstream(scratchFolder() + "/one.csv") << one;
        std::ofstream(scratchFolder() + "/other.csv") << other;
        const auto arguments = [&](const std::string& name) -> std::vector<std::string> {
            return { "table", "apply", "--file", scratchFolder() + "/" + name + ".csv", "--base",
                std::to_string(base), "--editor", name, "--store", system.platform().text() };
        };
        auto first = process::start("pimentomast", arguments("one"), scratchFolder() + "/one.log");
        auto second
            = process::start("pimentomast", arguments("other"), scratchFolder() + "/other.log");
        const int firstStatus = first.wait();
        const int secondStatus = second.wait();
        cr_assert(firstStatus == 0 || secondStatus == 0, "%d and %d", firstStatus, secondStatus);
        const auto row = getJson(system.platform(), "/rows/config");
        const auto version = row->getValue<std::uint64_t>("version");
        system.waitForVersion(version);
        base = version - 1;
    }
    watch.stop();
}

Test(failure_configuration, lost_reply_creates_no_second_version)
{
    cluster system(threeKeyedTargets());
    system.platformFault(R"({"lose_replies":1})");
    cr_assert(system.applyTable(system.table({ "w1" }), 1) == 0);
    system.waitForVersion(2);
    cr_assert(getJson(system.platform(), "/rows/config")->getValue<int>("version") == 2);
}

Test(failure_configuration, host_is_started_during_an_outage)
{
    cluster system(threeKeyedTargets());
    cr_assert(system.applyTable(system.table({ "w1" }), 1) == 0);
    system.waitForVersion(2);
    system.host("h2").child.kill();
    system.platformFault(R"({"outage":"silent"})");
    system.startHost("h2");
    system.waitForVersion(2);
    system.waitUntilServed();
    expectNoViolations(system, {});
}

Test(failure_configuration, host_is_isolated_and_reconnects)
{
    cluster system(threeKeyedTargets());
    version_monitor watch(system);
    system.isolateHost("h3", "drop-both");
    for (std::uint64_t base = 1; base < 4; ++base)
        cr_assert(system.applyTable(system.table({ base % 2 == 0 ? "w1" : "w2" }), base) == 0);
    system.waitForVersion(4, { "h1", "h2" });
    system.isolateHost("h3", "pass");
    system.waitForVersion(4);
    watch.stop();
}

Test(failure_configuration, frozen_host_resumes_during_an_outage)
{
    cluster system(threeKeyedTargets());
    version_monitor watch(system);
    system.host("h1").child.freeze();
    cr_assert(system.applyTable(system.table({ "w1" }), 1) == 0);
    system.waitForVersion(2, { "h2", "h3" });
    system.platformFault(R"({"outage":"refuse"})");
    system.host("h1").child.thaw();
    system.waitForVersion(2);
    watch.stop();
}
