#include "evacuations.h"

#include "helper/table-pages.h"
#include "tables.h"

#include <atomic>
#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::platform::detail;
using namespace std::chrono_literals;

namespace {

constexpr instant at { 1000s };
const domain_id north { "north" };
const domain_id south { "south" };

stored_row row(const std::string& key, std::uint64_t version, bool removed = false)
{
    return { { operatorTable, {}, key }, removed ? "" : "{}", row_version { version }, removed };
}

row_page page(std::vector<stored_row> rows, std::uint64_t version)
{
    return { std::move(rows), row_version { version }, false, at };
}

} // namespace

Test(platform_evacuations, begins_and_ends_with_its_row)
{
    evacuations known;
    const auto began = known.applyPage(page({ row("evacuate/north", 5) }, 5), false, at);
    cr_assert_eq(began.began.size(), 1);
    cr_assert(known.domains().at(north) == at);
    const auto ended = known.applyPage(page({ row("evacuate/north", 9, true) }, 9), false, at);
    cr_assert(ended.ended == std::vector { north });
    cr_assert(known.domains().empty());
}

Test(platform_evacuations, rows_of_other_kinds_begin_nothing)
{
    evacuations known;
    auto elsewhere = row("evacuate/north", 6);
    elsewhere.id.part = "p";
    const auto made = known.applyPage(
        page({ row("config", 4), row("evacuate/", 5), elsewhere, row("evacuated/north", 7) }, 7),
        false, at);
    cr_assert_not(made.any());
}

// A host that starts, or whose feed broke off, learns of an evacuation and of its end from the
// list.
Test(platform_evacuations, list_replaces_what_is_known)
{
    evacuations known;
    (void)known.applyPage(page({ row("evacuate/north", 5) }, 5), false, at);
    const auto made = known.applyPage(page({ row("evacuate/south", 7) }, 9), true, at + 1s);
    cr_assert(made.began == std::vector { south });
    cr_assert(made.ended == std::vector { north });
}

// Peers' messages and pages of the store arrive in any order: an older one must not bring back an
// evacuation that has ended.
Test(platform_evacuations, older_state_changes_nothing)
{
    evacuations peer;
    (void)peer.applyPage(page({ row("evacuate/north", 5) }, 5), false, at);
    const auto old = peer.peerRow();
    (void)peer.applyPage(page({ row("evacuate/north", 9, true) }, 9), false, at);
    evacuations known;
    (void)known.applyPeerRow(at, peer.peerRow(), at);
    cr_assert_not(known.applyPeerRow(at, old, at).any());
    cr_assert_not(known.applyPage(page({ row("evacuate/north", 5) }, 6), false, at).any());
    cr_assert_not(known.applyPage(page({ row("evacuate/north", 5) }, 6), true, at).any());
}

Test(platform_evacuations, second_evacuation_joins_the_first)
{
    evacuations known;
    (void)known.applyPage(page({ row("evacuate/north", 5) }, 5), false, at);
    (void)known.applyPage(page({ row("evacuate/south", 6) }, 6), false, at + 1s);
    cr_assert_eq(known.domains().size(), 2);
    evacuations peer;
    cr_assert_eq(peer.applyPeerRow(at, known.peerRow(), at).began.size(), 2);
    // The start of an evacuation that is known already does not move.
    (void)known.applyPage(page({ row("evacuate/north", 7) }, 7), false, at + 2s);
    cr_assert(known.domains().at(north) == at);
}

namespace {

/// Follows tables and keeps the state of the one target, which is in the domain k.
class following_host {
public:
    explicit following_host(const endpoint& store)
        : m_client(store, test::waitTimeout)
        , m_feed(m_client, { 10ms, 20ms }, 1s)
    {
        m_feed.start([this](const auto& rows) {
            m_known = !rows->targets.empty();
            m_leaves = m_known && rows->targets[0].state == table::mark::Leaving
                && rows->targets[0].evacuatedBy.has_value();
            m_isCold = m_known && rows->targets[0].coldUntil.has_value();
        });
    }
    ~following_host() { m_feed.stop(); }

    [[nodiscard]] table_feed& feed() { return m_feed; }
    [[nodiscard]] bool isActive() const { return m_known && !m_leaves; }
    [[nodiscard]] bool isCold() const { return m_isCold; }
    [[nodiscard]] bool isEvacuated() const { return m_known && m_leaves; }

private:
    row_client m_client;
    table_feed m_feed;
    std::atomic<bool> m_known { false };
    std::atomic<bool> m_leaves { false };
    std::atomic<bool> m_isCold { false };
};

/// Lists a configuration and a target; the feed of the operators' table is answered by answerFeed.
void serveStore(Poco::Net::StreamSocket& socket, const std::function<std::string()>& answerFeed,
    const std::string& configuration = test::configurationText)
{
    for (auto request = test::readRequest(socket); !request.empty();
         request = test::readRequest(socket)) {
        const bool isFeed = request.starts_with("GET /rows-feed");
        if (request.find("table=op&") != std::string::npos)
            test::write(socket,
                test::answer(isFeed ? answerFeed() : test::page(1, "config", configuration)));
        else
            test::write(socket,
                test::answer(isFeed ? std::string(R"({"ver":2,"rows":[]})")
                                    : test::page(2, "i-1", test::registrationText("ready"))));
    }
}

const std::string noChange = R"({"ver":2,"rows":[]})";
const std::string beginning = test::page(5, "evacuate/k", "{}");
const std::string ending = R"({"ver":9,"rows":[{"key":"evacuate/k","ver":9,"deleted":true}]})";

} // namespace

Test(platform_evacuations, host_obeys_the_store_and_tells_its_peers)
{
    std::atomic<int> step { 0 };
    test::scripted_server sound([&](auto& socket, int) {
        serveStore(socket, [&] { return step == 0 ? noChange : step == 1 ? beginning : ending; });
    });
    test::scripted_server stale(
        [](auto& socket, int) { serveStore(socket, [] { return noChange; }); });
    following_host poller(sound.address());
    following_host other(stale.address());
    poller.feed().setDesignatedPoller(true);
    cr_assert(test::waitUntil([&] { return poller.isActive() && other.isActive(); }));
    step = 1;
    cr_assert(test::waitUntil([&] { return poller.isEvacuated(); }));
    other.feed().receivePeerRows(poller.feed().changesAfter(other.feed().standing()));
    cr_assert(other.isEvacuated());
    cr_assert_eq(other.feed().standing().configuration.rows.content,
        poller.feed().standing().configuration.rows.content);
    step = 2;
    cr_assert(test::waitUntil([&] { return poller.isActive(); }));
    other.feed().receivePeerRows(poller.feed().changesAfter(other.feed().standing()));
    cr_assert(other.isActive());
}

Test(platform_evacuations, targets_of_a_domain_that_is_taken_back_are_cold)
{
    const auto limited = test::configurationWith(R"(,"warmup":"3s","warmupPerS":5)");
    std::atomic<int> step { 0 };
    test::scripted_server store([&](auto& socket, int) {
        serveStore(
            socket, [&] { return step == 0 ? noChange
                              : step == 1  ? beginning
                                           : ending; }, limited);
    });
    following_host host(store.address());
    host.feed().setDesignatedPoller(true);
    cr_assert(test::waitUntil([&] { return host.isActive(); }));
    cr_assert_not(host.isCold());
    step = 1;
    cr_assert(test::waitUntil([&] { return host.isEvacuated(); }));
    step = 2;
    cr_assert(test::waitUntil([&] { return host.isActive() && host.isCold(); }));
}
