/// A service with keys is added to the configuration. The entry of its first upstream is removed
/// less than a second after it was written, and the hosts are restarted one after the other.
/// Upstreams that come then and stay never get a key.
#include "stand-ins/deployment.h"

#include <csignal>
#include <iostream>

namespace {

using namespace review;

constexpr unsigned hostCount = 2;
constexpr unsigned ledgerUpstreams = 6;
constexpr unsigned weightUpstreams = 3;
constexpr milliseconds readyLimit { 15000 };
constexpr milliseconds calmTime { 3000 };
/// The bound of a configuration.
constexpr milliseconds configApply { 2000 };
/// How long the first upstream stays.
constexpr milliseconds shortStay { 800 };
constexpr milliseconds usualStay { 5000 };
/// The bound `drain` and a little longer: an upstream serves on after its entry is removed.
constexpr milliseconds servesOn { 2500 };
constexpr milliseconds stopGrace { 6000 };
constexpr milliseconds stopStep { 20 };
constexpr milliseconds pauseBetweenRestarts { 1000 };
/// Longer than `stability`, `recover` and the time in which keys get owners together.
constexpr milliseconds settlingTime { 22000 };
constexpr milliseconds steadyTime { 15000 };
constexpr std::size_t requestsMin = 20;
constexpr std::size_t leastShare = 4;

sent_request ledgerEntry()
{
    sent_request made;
    made.method = "POST";
    made.target = "/ledger/sale";
    made.body = "one goat";
    made.mayRepeat = false;
    return made;
}

sent_request weightLookup()
{
    constexpr unsigned keyStep = 7919;
    constexpr unsigned keyCount = 65536;
    static std::atomic<unsigned> next { 0 };
    sent_request made;
    made.method = "GET";
    made.target = "/weights/goat";
    made.key = std::to_string(next.fetch_add(keyStep) % keyCount);
    return made;
}

std::unique_ptr<upstream_stand_in> startUpstream(
    deployment& world, const std::string& service, const std::string& id, bool isKeyed)
{
    upstream_options options;
    options.id = id;
    options.service = service;
    options.isKeyed = isKeyed;
    return std::make_unique<upstream_stand_in>(options, world.store, world.seen);
}

std::vector<std::unique_ptr<client_group>> startClients(
    deployment& world, const std::string& name, sent_request (*next)())
{
    std::vector<std::unique_ptr<client_group>> groups;
    for (const auto& each : world.hosts) {
        client_options options;
        options.host = each->callers();
        options.hostName = each->id() + '-' + name;
        options.authority = authority;
        options.next = next;
        options.count = 2;
        groups.push_back(std::make_unique<client_group>(options, world.seen));
    }
    return groups;
}

/// Planned work: SIGTERM, SIGKILL after the grace, and a new start.
void restartHosts(deployment& world)
{
    for (const auto& each : world.hosts) {
        each->send(SIGTERM);
        const auto end = steady::now() + stopGrace;
        while (steady::now() < end && !each->ended())
            std::this_thread::sleep_for(stopStep);
        each->kill();
        each->start();
        std::this_thread::sleep_for(pauseBetweenRestarts);
    }
}

int play(const std::string& recordPath)
{
    deployment world(hostCount);
    const route_options ledgerRoute { "/ledger/", "ledger", "non_idempotent" };
    const route_options weightRoute { "/weights/", "weights" };
    world.configure(1, { ledgerRoute }, { { "ledger" } });
    std::vector<std::unique_ptr<upstream_stand_in>> upstreams;
    for (unsigned i = 1; i <= ledgerUpstreams; ++i)
        upstreams.push_back(startUpstream(world, "ledger", "ledger-" + std::to_string(i), false));
    world.startHosts();
    if (!waitUntilReady(world.hosts, readyLimit)) {
        std::cout << "the hosts did not become ready\n";
        return 2;
    }
    std::this_thread::sleep_for(calmTime);
    world.configure(3, { ledgerRoute, weightRoute }, { { "ledger" }, { "weights", true } });
    std::this_thread::sleep_for(configApply);
    {
        const auto first = startUpstream(world, "weights", "weights-first", true);
        std::this_thread::sleep_for(hasTrouble() ? shortStay : usualStay);
        std::cout << "the first upstream leaves with " << first->heldKeys() << " keys\n";
        first->leaveStore();
        std::this_thread::sleep_for(servesOn);
    }
    restartHosts(world);
    for (unsigned i = 1; i <= weightUpstreams; ++i)
        upstreams.push_back(startUpstream(world, "weights", "weights-" + std::to_string(i), true));
    std::this_thread::sleep_for(settlingTime);

    {
        const auto first = startClients(world, "ledger", ledgerEntry);
        const auto second = startClients(world, "weights", weightLookup);
        std::this_thread::sleep_for(steadyTime);
    }
    const auto share = [&](const std::string& service) {
        const auto sent = world.seen.sentCount(service);
        const auto served = world.seen.successCount(service);
        std::cout << service << ": " << served << " of " << sent << " served\n";
        return sent == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(sent);
    };
    world.seen.note("row of the assignment: "
        + world.store.get({ "pimentomast", "assignment/weights", "row" }));
    const double ledger = share("ledger");
    const double weights = share("weights");
    std::vector<std::string> broken;
    if (world.seen.sentCount("weights") >= requestsMin && weights * leastShare < ledger)
        broken.emplace_back(
            "CONFIG: the added route is served less than a quarter as often as the first one");
    return conclude(world.seen, recordPath, broken);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return play(argc > 1 ? argv[1] : "record.txt");
    } catch (const std::exception& fault) {
        std::cout << "could not run: " << fault.what() << '\n';
        return 2;
    }
}
