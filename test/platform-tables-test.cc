#include "tables.h"

#include "helper/table-pages.h"

#include <atomic>
#include <criterion/criterion.h>
#include <cstdlib>
#include <new>

namespace {

/// Allocations of the whole process, as a measure of work that does not depend on the machine.
std::atomic<std::size_t> allocations { 0 };

} // namespace

void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

using namespace pimentomast;
using namespace pimentomast::platform::detail;
using namespace std::chrono_literals;

namespace {

using answer_writer = std::function<void(Poco::Net::StreamSocket&)>;

/// Lists a configuration and a ready target; later the feed of configurations is answered by
/// answerFeed, and that of targets says that the target is leaving. beforeFeed runs before each
/// answer of a feed.
void serveStore(
    Poco::Net::StreamSocket& socket, const answer_writer& answerFeed, void (*beforeFeed)() = [] {})
{
    for (auto request = test::readRequest(socket); !request.empty();
         request = test::readRequest(socket)) {
        const bool isFeed = request.starts_with("GET /rows-feed");
        const bool isConfiguration = request.find("table=op&") != std::string::npos;
        if (isFeed)
            beforeFeed();
        if (isFeed && isConfiguration)
            answerFeed(socket);
        else if (isConfiguration)
            test::write(socket, test::answer(test::page(1, "config", test::configurationText)));
        else
            test::write(socket,
                test::answer(isFeed ? test::page(3, "i-1", test::registrationText("draining"))
                                    : test::page(2, "i-1", test::registrationText("ready"))));
    }
}

/// Time within which a host must know that a target is leaving.
constexpr std::chrono::milliseconds drainBound { 2500 };

/// Timeout of the store in deploy/settings.ini.
constexpr std::chrono::milliseconds storeTimeout { 500 };

/// Returns whether a feed from the store sees in time that the target is leaving.
bool seesLeavingTarget(const endpoint& store, std::chrono::milliseconds timeout)
{
    row_client client(store, timeout);
    std::atomic<bool> leaves { false };
    table_feed feed(client, { 10ms, 20ms });
    feed.start([&](const auto& table) {
        leaves = !table->targets.empty() && table->targets[0].state == table::mark::Leaving;
    });
    const bool seen = test::waitUntil([&] { return leaves.load(); }, drainBound);
    feed.stop();
    return seen;
}

bool seesLeavingTarget(const answer_writer& answerFeed)
{
    test::scripted_server store([&](auto& socket, int) { serveStore(socket, answerFeed); });
    return seesLeavingTarget(store.address(), test::waitTimeout);
}

/// Routes of the largest configuration that is known from the platform.
constexpr unsigned routeCount = 1640;

/// Returns a version of a configuration of many routes; versions differ in one route.
std::string manyRoutes(int version)
{
    std::string text = R"({"version":"000000)" + std::to_string(version) + R"(","resources":[)"
        + R"({"type":"services","metadata":{"name":"weights"},"spec":)"
          R"({"healthPath":"/healthz","maxConns":130}})";
    for (unsigned i = 0; i < routeCount; ++i)
        text += R"(,{"type":"routes","metadata":{"name":"r)" + std::to_string(i)
            + R"("},"spec":{"host":"a.example","prefix":"/w)" + std::to_string(i)
            + R"(/","timeout":"0.8s","slo":"300ms","priority":2,"attempts":)"
            + std::to_string(i == 0 ? version : 2)
            + R"(,"kind":"idempotent","service":"weights"}})";
    return text + "]}";
}

/// Lists one version of a configuration; its feed has the next one.
void serveVersions(
    Poco::Net::StreamSocket& socket, const std::string& first, const std::string& second)
{
    for (auto request = test::readRequest(socket); !request.empty();
         request = test::readRequest(socket)) {
        const bool isFeed = request.starts_with("GET /rows-feed");
        if (request.find("table=op&") != std::string::npos)
            test::write(socket, isFeed ? second : first);
        else
            test::write(socket, test::answer(R"({"ver":2,"rows":[]})"));
    }
}

/// Answers the feed of the configuration as the platform does: with the change once it is made, or
/// without one when the wait is over.
void answerWaitingFeed(
    Poco::Net::StreamSocket& socket, const std::string& request, instant changedAt)
{
    if (request.find("waitMs=0") == std::string::npos)
        std::this_thread::sleep_for(changedAt - monotonic_clock::now());
    const bool isChanged = monotonic_clock::now() >= changedAt;
    test::write(socket,
        test::answer(isChanged ? test::page(11, "config", test::configurationWith("", "0000000d"))
                               : std::string(R"({"ver":10,"rows":[]})")));
}

} // namespace

Test(platform_tables, configuration_is_followed_while_registrations_are_not_answered)
{
    const auto changedAt = monotonic_clock::now() + 1s;
    test::scripted_server store([&](auto& socket, int) {
        for (auto request = test::readRequest(socket); !request.empty();
             request = test::readRequest(socket)) {
            const bool isFeed = request.starts_with("GET /rows-feed");
            if (request.find("table=op&") == std::string::npos) {
                if (isFeed)
                    std::this_thread::sleep_for(drainBound);
                test::write(socket, test::answer(R"({"ver":2,"rows":[]})"));
            } else if (isFeed) {
                answerWaitingFeed(socket, request, changedAt);
            } else {
                test::write(
                    socket, test::answer(test::page(10, "config", test::configurationText)));
            }
        }
    });
    row_client client(store.address(), storeTimeout);
    table_feed feed(client, { 10ms, 20ms });
    std::atomic<bool> changed { false };
    feed.start([&](const auto& table) { changed = table->editor == "configuration 13"; });
    cr_assert(test::waitUntil([&] { return changed.load(); }, 2s));
    feed.stop();
}

Test(platform_tables, leaving_target_is_seen_while_the_configuration_cannot_be_read)
{
    cr_assert(seesLeavingTarget([](auto& socket) {
        test::write(socket, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
    }));
}

Test(platform_tables, leaving_target_is_seen_while_a_large_configuration_arrives)
{
    cr_assert(seesLeavingTarget([](auto& socket) {
        test::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{");
        for (int i = 0; i < 40; ++i) {
            std::this_thread::sleep_for(100ms);
            test::write(socket, " ");
        }
    }));
}

// Load: answers whose first byte comes a second late, as over a link that is full of downloads.
Test(platform_tables, leaving_target_is_seen_while_each_answer_is_silent_for_a_second)
{
    test::scripted_server store([](auto& socket, int) {
        serveStore(
            socket, [](auto& to) { test::write(to, test::answer(R"({"ver":3,"rows":[]})")); },
            [] { std::this_thread::sleep_for(1s); });
    });
    cr_assert(seesLeavingTarget(store.address(), storeTimeout));
}

Test(platform_tables, edit_of_one_route_takes_little_of_the_work_of_the_first_reading)
{
    const auto first = test::answer(test::page(10, "config", test::configurationText));
    const auto second = test::answer(test::page(11, "config", manyRoutes(11)));
    test::scripted_server store([&](auto& socket, int) { serveVersions(socket, first, second); });
    row_client client(store.address(), test::waitTimeout);
    table_feed feed(client, { 10ms, 20ms });
    std::atomic<std::size_t> afterFirst { 0 };
    std::atomic<std::size_t> afterSecond { 0 };
    const auto before = allocations.load();
    feed.start([&](const auto& table) {
        (table->routes[0].maxAttempts == 10 ? afterFirst : afterSecond) = allocations.load();
    });
    cr_assert(test::waitUntil([&] { return afterSecond.load() > 0; }, test::waitTimeout));
    feed.stop();
    const auto firstWork = afterFirst - before;
    const auto secondWork = afterSecond - afterFirst;
    cr_assert(secondWork < firstWork / 4, "%zu allocations, then %zu", firstWork, secondWork);
}

namespace {

/// A host that follows the tables of a store, and the state of its target.
class following_host {
public:
    explicit following_host(const endpoint& store)
        : m_client(store, storeTimeout)
        , m_feed(m_client, { 10ms, 20ms })
    {
        m_feed.start([this](const auto& table) {
            m_known = !table->targets.empty();
            m_leaves = m_known && table->targets[0].state == table::mark::Leaving;
        });
    }
    ~following_host() { m_feed.stop(); }

    [[nodiscard]] table_feed& feed() { return m_feed; }
    [[nodiscard]] bool knowsTarget() const { return m_known; }
    [[nodiscard]] bool seesLeaving() const { return m_leaves; }

private:
    row_client m_client;
    table_feed m_feed;
    std::atomic<bool> m_known { false };
    std::atomic<bool> m_leaves { false };
};

/// Lists the tables; feeds of registrations get no answer.
void serveListsOnly(Poco::Net::StreamSocket& socket)
{
    for (auto request = test::readRequest(socket); !request.empty();
         request = test::readRequest(socket)) {
        const bool isConfiguration = request.find("table=op&") != std::string::npos;
        if (!request.starts_with("GET /rows-feed"))
            test::write(socket,
                test::answer(isConfiguration
                        ? test::page(1, "config", test::configurationText)
                        : test::page(2, "i-1", test::registrationText("ready"))));
        else if (isConfiguration)
            test::write(socket, test::answer(R"({"ver":2,"rows":[]})"));
    }
}

/// A host that the store does not answer any more, and one that has read that the target leaves.
struct host_pair {
    host_pair()
    {
        cr_assert(
            test::waitUntil([this] { return cutOff.knowsTarget() && peer.seesLeaving(); }, 5s));
    }

    test::scripted_server silent { [](auto& socket, int) { serveListsOnly(socket); } };
    test::scripted_server sound { [](auto& socket, int) {
        serveStore(
            socket, [](auto& to) { test::write(to, test::answer(R"({"ver":3,"rows":[]})")); });
    } };
    following_host cutOff { silent.address() };
    following_host peer { sound.address() };
};

} // namespace

Test(platform_tables, leaving_reaches_a_host_through_its_peers_while_the_store_does_not_answer_it)
{
    host_pair hosts;
    const auto changes = hosts.peer.feed().changesAfter(hosts.cutOff.feed().standing());
    cr_assert_eq(changes.rows.size(), 1);
    hosts.cutOff.feed().receivePeerRows(changes);
    cr_assert(hosts.cutOff.seesLeaving());
    cr_assert_eq(hosts.cutOff.feed().standing().targets.rows.content,
        hosts.peer.feed().standing().targets.rows.content);
    hosts.cutOff.feed().receivePeerRows(
        { { { "servers", "i-1", test::registrationText("ready"), row_version { 2 }, false } } });
    cr_assert(hosts.cutOff.seesLeaving(), "an older row replaced a newer one");
}

// Rows that a host has must not be sent to it by each host that it exchanges with: they fill its
// link.
Test(platform_tables, host_that_took_all_changes_is_not_sent_them_again)
{
    host_pair hosts;
    const auto before = hosts.cutOff.feed().standing();
    const auto changes = hosts.peer.feed().changesAfter(before);
    cr_assert(changes.complete.has_value());
    hosts.cutOff.feed().receivePeerRows(changes);
    // A target that only one of them knows: their contents differ from now on.
    hosts.cutOff.feed().receivePeerRows(
        { { { "servers", "i-2", test::registrationText("ready"), row_version { 9 }, false } } });
    cr_assert_eq(hosts.cutOff.feed().standing().targets.rows.version.value(), 3);
    cr_assert(hosts.peer.feed().changesAfter(hosts.cutOff.feed().standing()).rows.empty());
    cr_assert_eq(hosts.peer.feed().changesAfter(before).rows.size(), 1);
}

Test(platform_tables, edit_of_the_configuration_reaches_a_host_as_a_small_message_of_a_peer)
{
    const auto first = test::answer(test::page(10, "config", manyRoutes(10)));
    const auto second = test::answer(test::page(11, "config", manyRoutes(11)));
    const auto none = test::answer(R"({"ver":10,"rows":[]})");
    test::scripted_server sound([&](auto& socket, int) { serveVersions(socket, first, second); });
    test::scripted_server old([&](auto& socket, int) { serveVersions(socket, first, none); });
    row_client soundClient(sound.address(), test::waitTimeout);
    row_client oldClient(old.address(), test::waitTimeout);
    table_feed peer(soundClient, { 10ms, 20ms });
    table_feed host(oldClient, { 10ms, 20ms });
    std::atomic<unsigned> atPeer { 0 };
    std::atomic<unsigned> atHost { 0 };
    peer.setDesignatedPoller(true);
    peer.start([&](const auto& table) { atPeer = table->routes[0].maxAttempts; });
    host.start([&](const auto& table) { atHost = table->routes[0].maxAttempts; });
    cr_assert(test::waitUntil([&] { return atPeer == 11 && atHost == 10; }, test::waitTimeout));
    const auto changes = peer.changesAfter(host.standing());
    cr_assert_eq(changes.rows.size(), 1);
    cr_assert_lt(changes.rows[0].value.size(), manyRoutes(11).size() / 5);
    host.receivePeerRows(changes);
    cr_assert_eq(atHost, 11);
    cr_assert(peer.changesAfter(host.standing()).rows.empty());
    host.stop();
    peer.stop();
}
