/// Two of fourteen upstreams go dark. Orders that a host sends to them wait for a connection for a
/// second, whatever their route's timeout and their client's deadline are.
#include "../11/stand-ins/deployment.h"

#include <iostream>

namespace {

using namespace review;

constexpr unsigned hostCount = 2;
constexpr unsigned upstreamCount = 14;
constexpr unsigned darkAtOnce = 2;
constexpr unsigned rounds = 2;
constexpr milliseconds readyLimit { 15000 };
constexpr milliseconds calmTime { 4000 };
/// The time for which upstreams are down, and a pause.
constexpr milliseconds darkTime { 4500 };
constexpr milliseconds pause { 3000 };
constexpr milliseconds work { 60 };
constexpr milliseconds routeTimeout { 400 };
constexpr milliseconds clientDeadline { 1000 };
/// The rule allows half a second beyond the route's timeout.
constexpr milliseconds allowance { 500 };
constexpr std::size_t requestsMin = 8;

sent_request order()
{
    sent_request made;
    made.method = "POST";
    made.target = "/ledger/sale";
    made.body = "one goat";
    made.mayRepeat = false;
    return made;
}

int play(const std::string& recordPath)
{
    deployment world(hostCount);
    world.configure(
        1, { { "/ledger/", "ledger", "non_idempotent", routeTimeout } }, { { "ledger" } });
    std::vector<std::unique_ptr<upstream_stand_in>> upstreams;
    for (unsigned i = 1; i <= upstreamCount; ++i) {
        upstream_options options;
        options.id = "ledger-" + std::to_string(i);
        options.service = "ledger";
        options.work = work;
        upstreams.push_back(std::make_unique<upstream_stand_in>(options, world.store, world.seen));
    }
    world.startHosts();
    if (!waitUntilReady(world.hosts, readyLimit)) {
        std::cout << "the hosts did not become ready\n";
        return 2;
    }
    {
        std::vector<std::unique_ptr<client_group>> clients;
        for (const auto& each : world.hosts) {
            client_options options;
            options.host = each->callers();
            options.hostName = each->id();
            options.authority = authority;
            options.next = order;
            options.deadline = clientDeadline;
            options.count = 12;
            clients.push_back(std::make_unique<client_group>(options, world.seen));
        }
        std::this_thread::sleep_for(calmTime);
        for (unsigned i = 0; i < rounds * darkAtOnce; i += darkAtOnce) {
            for (unsigned j = i; j < i + darkAtOnce && hasTrouble(); ++j)
                upstreams[j]->goDark();
            std::this_thread::sleep_for(darkTime + pause);
        }
    }
    const auto reached = world.seen.unansweredAfter(routeTimeout);
    const auto held = world.seen.unansweredAfter(routeTimeout + allowance);
    std::cout << reached << " requests reached their route's timeout, " << held
              << " had no answer half a second later\n";
    std::vector<std::string> broken;
    if (held >= requestsMin && 2 * held > reached)
        broken.emplace_back("CONFIG: more than half of the requests that were unanswered at their "
                            "route's timeout had no answer half a second later");
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
