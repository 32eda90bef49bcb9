#include "pimentomast/membership.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::membership;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

const instant start { 100s };

host_view makeView(const char* self)
{
    return host_view::create({ .self = host_id { self }, .run = incarnation { 7 }, .seeds = {} })
        .value();
}

store::listed_host listed(const char* id, std::uint16_t port)
{
    return { host_id { id }, domain_id { "north" }, { "127.0.0.1", port },
        store::host_state::Live };
}

peer_contact contact(const char* id, std::uint64_t run, bool leaving = false)
{
    return { host_id { id }, incarnation { run }, { "127.0.0.1", 9 }, leaving };
}

freshness makeFreshness() { return freshness::create({}).value(); }

} // namespace

Test(membership, listed_host_is_live_only_once_heard)
{
    auto view = makeView("a");
    view.replaceList(start, { listed("a", 1), listed("b", 2) });
    cr_assert_eq(view.live(start).size(), 1);
    view.recordContact(start, contact("b", 1));
    cr_assert_eq(view.live(start).size(), 2);
    cr_assert_eq(view.live(start + 4s).size(), 1);
}

// Hosts agree on who sends to a cold target by the list alone, whoever else they hear of.
Test(membership, list_of_hosts_has_what_the_platform_lists)
{
    auto view = makeView("b");
    view.recordContact(start, contact("d", 1));
    cr_assert(view.listed().empty());
    view.replaceList(start, { listed("c", 3), listed("b", 2), listed("a", 1) });
    const std::vector all { host_id { "a" }, host_id { "b" }, host_id { "c" } };
    cr_assert(view.listed() == all);
    view.replaceList(start, { listed("c", 3) });
    cr_assert(view.listed() == std::vector { host_id { "c" } });
}

Test(membership, live_hosts_have_the_processor_time_of_the_list)
{
    auto view = makeView("a");
    auto strong = listed("b", 2);
    strong.millicores = 500;
    view.replaceList(start, { listed("a", 1), strong });
    view.recordContact(start, contact("b", 1));
    cr_assert_eq(view.live(start).back().millicores, 500);
}

Test(membership, hosts_whose_processor_time_is_unknown_do_not_rank_behind_this_one)
{
    view_options options;
    options.self = host_id { "a" };
    options.run = incarnation { 1 };
    options.millicores = 1000;
    auto view = host_view::create(options).value();
    view.replaceList(start, { listed("a", 1), listed("b", 2) });
    view.recordContact(start, contact("b", 1));
    view.recordContact(start, contact("c", 1));
    for (const auto& each : view.live(start))
        cr_assert_eq(each.millicores, options.millicores);
}

Test(membership, view_is_complete_once_all_listed_hosts_that_stay_are_heard)
{
    auto view = makeView("a");
    cr_assert(!view.complete(start));
    view.replaceList(start, { listed("a", 1), listed("b", 2), listed("c", 3) });
    view.recordContact(start, contact("b", 1));
    cr_assert(!view.complete(start));
    view.recordContact(start, contact("c", 1, true));
    cr_assert(view.complete(start));
    cr_assert(!view.complete(start + 4s));
}

Test(membership, unreachable_host_still_counts_for_connection_shares)
{
    auto view = makeView("a");
    view.replaceList(start, { listed("a", 1), listed("b", 2), listed("c", 3) });
    cr_assert_eq(view.connectionSharers(start + 1h), 3);
}

Test(membership, delisted_host_counts_for_connection_shares_until_the_timeout)
{
    auto view = makeView("a");
    view.replaceList(start, { listed("b", 2) });
    view.replaceList(start + 1s, {});
    cr_assert_eq(view.connectionSharers(start + 20s), 2);
    cr_assert_eq(view.connectionSharers(start + 32s), 1);
}

Test(membership, lagging_list_does_not_revive_a_leaving_host)
{
    auto view = makeView("a");
    view.recordContact(start, contact("b", 1, true));
    view.replaceList(start + 1s, { listed("b", 2) });
    view.recordContact(start + 1s, contact("b", 1));
    cr_assert_eq(view.live(start + 1s).size(), 1);
    view.recordContact(start + 2s, contact("b", 2));
    cr_assert_eq(view.live(start + 2s).size(), 2);
}

Test(membership, exchange_uses_seeds_until_a_peer_is_known)
{
    auto view = host_view::create({ .self = host_id { "a" },
                                      .run = incarnation { 1 },
                                      .seeds = { { "127.0.0.1", 50 } },
                                      .fanout = 2 })
                    .value();
    cr_assert_eq(view.exchangePeers(start).front().port, 50);
    view.replaceList(start, { listed("b", 2), listed("c", 3), listed("d", 4) });
    cr_assert_eq(view.exchangePeers(start).size(), 2);
}

Test(membership, configuration_version_never_decreases)
{
    auto config = makeFreshness();
    cr_assert(config.offer(config_version { 5 }));
    cr_assert_not(config.offer(config_version { 4 }));
    cr_assert_not(config.offer(config_version { 5 }));
    cr_assert_eq(config.version().value(), 5);
}

Test(membership, store_confirmation_expires_after_the_timeout)
{
    auto config = makeFreshness();
    (void)config.offer(config_version { 5 });
    config.recordStoreRead(start, config_version { 5 });
    cr_assert(config.confirmed(start + 7s, 11));
    cr_assert_not(config.confirmed(start + 9s, 11));
}

Test(membership, majority_of_peers_confirms_the_version_during_a_store_outage)
{
    auto config = makeFreshness();
    (void)config.offer(config_version { 5 });
    for (const char* peer : { "b", "c" })
        config.recordPeerVersion(start, host_id { peer }, config_version { 5 });
    cr_assert(config.confirmed(start, 4));
    cr_assert_not(config.confirmed(start, 5));
    config.recordPeerVersion(start + 1s, host_id { "b" }, config_version { 6 });
    cr_assert_not(config.confirmed(start + 1s, 4));
}

Test(membership, isolated_host_confirms_no_version)
{
    auto config = makeFreshness();
    (void)config.offer(config_version { 5 });
    cr_assert_not(config.confirmed(start, 0));
}

Test(membership, poll_interval_respects_the_shared_read_limit)
{
    const auto config = makeFreshness();
    cr_assert(config.pollInterval(12) == 500ms);
    cr_assert(config.pollInterval(770) == 3850ms);
}

namespace {

constexpr milliseconds exchangeIntervalMs { 500 };

/// Simulates hosts that exchange messages in rounds; one exchange in twenty is lost.
class exchanging_hosts {
public:
    explicit exchanging_hosts(unsigned count)
    {
        std::vector<store::listed_host> list;
        for (unsigned i = 0; i < count; ++i)
            list.push_back(listed(name(i).c_str(), static_cast<std::uint16_t>(i + 1)));
        for (unsigned i = 0; i < count; ++i) {
            view_options own;
            own.self = host_id { name(i) };
            own.run = incarnation { i + 1 };
            own.seed = i + 1;
            m_views.push_back(host_view::create(own).value());
            m_views.back().replaceList(start, list);
        }
    }

    /// Runs rounds and returns how often a host did not consider another one live.
    unsigned run(unsigned rounds)
    {
        unsigned falseSilences = 0;
        for (unsigned round = 0; round < rounds; ++round) {
            m_now += exchangeIntervalMs;
            for (std::size_t from = 0; from < m_views.size(); ++from)
                for (const auto& to : m_views[from].exchangePeers(m_now))
                    exchange(from, to.port - 1U);
            for (const auto& view : m_views)
                falseSilences += static_cast<unsigned>(m_views.size() - view.live(m_now).size());
        }
        return falseSilences;
    }

    void disconnect(std::size_t host) { m_disconnected = host; }
    bool knows(std::size_t viewer, std::size_t host) const
    {
        const auto live = m_views[viewer].live(m_now);
        return std::any_of(live.begin(), live.end(),
            [&](const auto& each) { return each.id.value() == name(host); });
    }

private:
    static std::string name(std::size_t host) { return "h" + std::to_string(100 + host); }

    void exchange(std::size_t from, std::size_t to)
    {
        if (from == m_disconnected || to == m_disconnected || m_random() % 20 == 0)
            return;
        sendHeard(from, to);
        sendHeard(to, from);
    }

    void sendHeard(std::size_t from, std::size_t to)
    {
        m_views[to].mergeHeard(m_now, m_views[from].sampleHeard(m_now));
        m_views[to].recordContact(m_now,
            { host_id { name(from) }, incarnation { from + 1 },
                { "127.0.0.1", static_cast<std::uint16_t>(from + 1) }, false });
    }

    std::vector<host_view> m_views;
    std::mt19937 m_random { 20261204 };
    std::size_t m_disconnected = ~std::size_t { 0 };
    instant m_now = start;
};

} // namespace

Test(membership, exchanging_hosts_are_not_reported_silent)
{
    for (const unsigned count : { 3U, 12U, 60U }) {
        exchanging_hosts hosts(count);
        (void)hosts.run(20);
        const auto falseSilences = hosts.run(240);
        cr_expect_eq(falseSilences, 0, "%u of %u hosts", falseSilences, count);
    }
}

Test(membership, hundreds_of_exchanging_hosts_are_not_reported_silent)
{
    exchanging_hosts hosts(195);
    (void)hosts.run(20);
    const auto falseSilences = hosts.run(60);
    cr_expect_eq(falseSilences, 0, "%u false silences", falseSilences);
}

Test(membership, disconnected_host_expires_despite_relayed_reports)
{
    exchanging_hosts hosts(60);
    (void)hosts.run(20);
    hosts.disconnect(7);
    (void)hosts.run(8);
    for (std::size_t viewer = 0; viewer < 60; ++viewer)
        cr_assert(viewer == 7 || !hosts.knows(viewer, 7));
}

Test(membership, relayed_report_does_not_revert_a_host_to_an_earlier_run)
{
    auto view = makeView("a");
    view.replaceList(start, { listed("b", 2) });
    view.recordContact(start, contact("b", 2));
    view.mergeHeard(start + 2s, { { host_id { "b" }, incarnation { 1 }, milliseconds(0) } });
    cr_assert(view.live(start + 4s).size() == 1);
    view.mergeHeard(start + 2s, { { host_id { "b" }, incarnation { 2 }, milliseconds(500) } });
    cr_assert(view.live(start + 4s).size() == 2);
    view.mergeHeard(start + 2s, { { host_id { "c" }, incarnation { 1 }, milliseconds(0) } });
    cr_assert(view.live(start + 2s).size() == 2);
}
