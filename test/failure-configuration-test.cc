#include "helper.h"

#include <criterion/criterion.h>
#include <fstream>

using namespace pimentomast;
using namespace pimentomast::test;

/// An accepted table is in force everywhere soon, and no host goes back to an older one.
namespace {

/// Records the versions that each host has in force, and fails if one ever falls.
class version_watch {
public:
    explicit version_watch(cluster& system)
        : m_system(system)
        , m_thread([this] { watch(); })
    {
    }

    version_watch(const version_watch&) = delete;
    version_watch& operator=(const version_watch&) = delete;
    ~version_watch() { end(); }

    /// Ends the watch and fails the test if a version fell.
    void stop()
    {
        end();
        cr_assert(m_fallen.empty(), "%s went back to an older table", m_fallen.c_str());
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
                    m_fallen = id;
                if (version)
                    highest[id] = std::max(highest[id], *version);
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    cluster& m_system;
    std::atomic<bool> m_stopping = false;
    std::string m_fallen;
    std::thread m_thread;
};

} // namespace

Test(failure_configuration, accepted_just_before_an_outage)
{
    cluster system(threeKeyedTargets());
    version_watch watch(system);
    cr_assert(system.apply(system.table({ "w1" }), 1) == 0);
    system.platformFault(R"({"outage":"silent"})");
    system.waitVersion(2);
    system.platformFault(R"({"outage":"none"})");
    watch.stop();
}

Test(failure_configuration, seen_by_one_host_before_an_outage)
{
    cluster system(threeKeyedTargets());
    version_watch watch(system);
    system.cut("platform/h2", "drop-both");
    system.cut("platform/h3", "drop-both");
    cr_assert(system.apply(system.table({ "w1" }), 1) == 0);
    system.waitVersion(2, { "h1" });
    system.platformFault(R"({"outage":"refuse"})");
    system.waitVersion(2);
    watch.stop();
}

Test(failure_configuration, answer_of_the_store_comes_after_a_newer_table)
{
    auto options = threeKeyedTargets();
    options.settings = "timeout_ms = 20000\n";
    cluster system(options);
    version_watch watch(system);
    system.cut("platform/h1", "drop-backward");
    // Until then h1 has asked the store, whose answer with version 1 is held up.
    std::this_thread::sleep_for(seconds(1));
    cr_assert(system.apply(system.table({ "w1" }), 1) == 0);
    system.waitVersion(2);
    system.cut("platform/h1", "pass");
    std::this_thread::sleep_for(seconds(1));
    watch.stop();
}

Test(failure_configuration, applied_by_two_at_once)
{
    cluster system(threeKeyedTargets());
    version_watch watch(system);
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
        system.waitVersion(version);
        base = version - 1;
    }
    watch.stop();
}

Test(failure_configuration, lost_reply_is_not_a_second_version)
{
    cluster system(threeKeyedTargets());
    system.platformFault(R"({"lose_replies":1})");
    cr_assert(system.apply(system.table({ "w1" }), 1) == 0);
    system.waitVersion(2);
    cr_assert(getJson(system.platform(), "/rows/config")->getValue<int>("version") == 2);
}

Test(failure_configuration, host_is_started_in_an_outage)
{
    cluster system(threeKeyedTargets());
    cr_assert(system.apply(system.table({ "w1" }), 1) == 0);
    system.waitVersion(2);
    system.host("h2").running.kill();
    system.platformFault(R"({"outage":"silent"})");
    system.startHost("h2");
    system.waitVersion(2);
    system.waitServed();
    expectNoBreach(system, {});
}

Test(failure_configuration, host_is_cut_off_and_comes_back)
{
    cluster system(threeKeyedTargets());
    version_watch watch(system);
    system.isolateHost("h3", "drop-both");
    for (std::uint64_t base = 1; base < 4; ++base)
        cr_assert(system.apply(system.table({ base % 2 == 0 ? "w1" : "w2" }), base) == 0);
    system.waitVersion(4, { "h1", "h2" });
    system.isolateHost("h3", "pass");
    system.waitVersion(4);
    watch.stop();
}

Test(failure_configuration, frozen_host_comes_back_during_an_outage)
{
    cluster system(threeKeyedTargets());
    version_watch watch(system);
    system.host("h1").running.freeze();
    cr_assert(system.apply(system.table({ "w1" }), 1) == 0);
    system.waitVersion(2, { "h2", "h3" });
    system.platformFault(R"({"outage":"refuse"})");
    system.host("h1").running.thaw();
    system.waitVersion(2);
    watch.stop();
}
