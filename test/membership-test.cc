#include "pimentomast/membership.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::membership;
using namespace std::chrono_literals;

namespace {

const instant start { 100s };

host_view viewOf(const char* self)
{
    return host_view::create({ .self = host_id { self }, .run = incarnation { 7 }, .seeds = {} })
        .value();
}

platform::listed_host listed(const char* id, std::uint16_t port)
{
    return { host_id { id }, domain_id { "north" }, { "127.0.0.1", port },
        platform::host_state::Live };
}

sighting seen(const char* id, std::uint64_t run, bool leaving = false)
{
    return { host_id { id }, incarnation { run }, { "127.0.0.1", 9 }, leaving };
}

freshness freshConfig() { return freshness::create({}).value(); }

} // namespace

Test(membership, listed_host_is_live_only_once_heard)
{
    auto view = viewOf("a");
    view.list(start, { listed("a", 1), listed("b", 2) });
    cr_assert_eq(view.live(start).size(), 1);
    view.sight(start, seen("b", 1));
    cr_assert_eq(view.live(start).size(), 2);
    cr_assert_eq(view.live(start + 4s).size(), 1);
}

Test(membership, view_is_complete_once_the_list_is_read_and_all_that_stay_are_heard)
{
    auto view = viewOf("a");
    cr_assert(!view.complete(start));
    view.list(start, { listed("a", 1), listed("b", 2), listed("c", 3) });
    view.sight(start, seen("b", 1));
    cr_assert(!view.complete(start));
    view.sight(start, seen("c", 1, true));
    cr_assert(view.complete(start));
    cr_assert(!view.complete(start + 4s));
}

Test(membership, unreachable_host_still_shares_connections)
{
    auto view = viewOf("a");
    view.list(start, { listed("a", 1), listed("b", 2), listed("c", 3) });
    cr_assert_eq(view.connectionSharers(start + 1h), 3);
}

Test(membership, delisted_host_shares_connections_until_departure)
{
    auto view = viewOf("a");
    view.list(start, { listed("b", 2) });
    view.list(start + 1s, {});
    cr_assert_eq(view.connectionSharers(start + 20s), 2);
    cr_assert_eq(view.connectionSharers(start + 32s), 1);
}

Test(membership, lagging_list_does_not_revive_a_leaving_host)
{
    auto view = viewOf("a");
    view.sight(start, seen("b", 1, true));
    view.list(start + 1s, { listed("b", 2) });
    view.sight(start + 1s, seen("b", 1));
    cr_assert_eq(view.live(start + 1s).size(), 1);
    view.sight(start + 2s, seen("b", 2));
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
    view.list(start, { listed("b", 2), listed("c", 3), listed("d", 4) });
    cr_assert_eq(view.exchangePeers(start).size(), 2);
}

Test(membership, configuration_version_never_falls)
{
    auto config = freshConfig();
    cr_assert(config.offer(config_version { 5 }));
    cr_assert_not(config.offer(config_version { 4 }));
    cr_assert_not(config.offer(config_version { 5 }));
    cr_assert_eq(config.version().value(), 5);
}

Test(membership, store_confirms_the_version_for_a_while)
{
    auto config = freshConfig();
    (void)config.offer(config_version { 5 });
    config.storeRead(start, config_version { 5 });
    cr_assert(config.confirmed(start + 7s, 11));
    cr_assert_not(config.confirmed(start + 9s, 11));
}

Test(membership, majority_of_peers_confirms_in_an_outage)
{
    auto config = freshConfig();
    (void)config.offer(config_version { 5 });
    for (const char* peer : { "b", "c" })
        config.peerHas(start, host_id { peer }, config_version { 5 });
    cr_assert(config.confirmed(start, 4));
    cr_assert_not(config.confirmed(start, 5));
    config.peerHas(start + 1s, host_id { "b" }, config_version { 6 });
    cr_assert_not(config.confirmed(start + 1s, 4));
}

Test(membership, lone_host_without_store_confirms_nothing)
{
    auto config = freshConfig();
    (void)config.offer(config_version { 5 });
    cr_assert_not(config.confirmed(start, 0));
}

Test(membership, polls_stay_within_the_reads_of_the_store)
{
    const auto config = freshConfig();
    cr_assert(config.pollInterval(12) == 500ms);
    cr_assert(config.pollInterval(770) == 3850ms);
}
