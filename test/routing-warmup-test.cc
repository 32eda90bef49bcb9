#include "routing-fixture.h"
#include "routing/warmup_quota.h"

#include <criterion/criterion.h>
#include <deque>
#include <map>
#include <random>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace pimentomast::routing::testing;

namespace {

constexpr double tolerated = 5;
constexpr double limit = tolerated * 1.5 + 8;
constexpr unsigned hostCount = 69;
constexpr duration settled = hostListLag + warmupWindow;
constexpr std::chrono::milliseconds coldTime = 3s;

host_id hostId(unsigned index) { return host_id { "h" + std::to_string(index) }; }

std::vector<host_id> hostList(unsigned first, unsigned last)
{
    std::vector<host_id> hosts;
    for (unsigned i = first; i < last; ++i)
        hosts.push_back(hostId(i));
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

table::table limitedTable(unsigned targets, bool keyed)
{
    auto rows = makeTable(targets, keyed, 6);
    rows.services[0].warmup = table::warmup_terms { coldTime, limit };
    for (auto& target : rows.targets)
        target.connections = 10000;
    return rows;
}

void makeCold(table::table& rows, std::size_t index, instant until)
{
    rows.targets[index].coldUntil = until;
}

/// Settings under which nothing but the warm-up limits what a host sends.
options unlimited()
{
    options settings;
    settings.windowMin = 64;
    settings.targetsReportLoad = false;
    return settings;
}

/// Returns how many of the times, which it sorts, fall into the second with the most of them.
std::size_t mostInOneSecond(std::vector<instant> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        while (times[first] + 1s <= times[i])
            ++first;
        most = std::max(most, i + 1 - first);
    }
    return most;
}

/// Many hosts with their own routers, whose callers keep every queue full. Bytes leave a host up to
/// 95 ms after their sending was reported, and a connection takes up to 40 ms.
class fleet {
public:
    explicit fleet(const table::table& rows)
        : m_rows(rows)
    {
        for (unsigned i = 0; i < hostCount; ++i) {
            auto settings = unlimited();
            settings.seed = i + 1;
            auto& one = m_hosts.emplace_back();
            one.owners = std::make_unique<fixed_owners>();
            one.core = router::create(settings, *one.owners).value();
            (void)one.core->applyTable(now, rows);
            (void)one.core->applyLiveHosts(now, 1);
        }
    }

    void setList(unsigned host, const std::vector<host_id>& list)
    {
        (void)m_hosts.at(host).core->applyListedHosts(now, hostId(host), list);
    }
    void setLists(const std::vector<host_id>& list)
    {
        for (unsigned i = 0; i < hostCount; ++i)
            setList(i, list);
    }
    /// Lets the lists settle, then makes the targets from this one on cold.
    void makeColdFrom(std::size_t first)
    {
        now += settled;
        for (std::size_t i = first; i < m_rows.targets.size(); ++i)
            makeCold(m_rows, i, now + coldTime);
        for (auto& each : m_hosts) {
            perform(each, each.core->tick(now));
            perform(each, each.core->applyTable(now, m_rows));
        }
    }
    /// requests: new ones of each host in each step of 10 ms.
    void run(duration time, unsigned requests)
    {
        for (const instant end = now + time; now < end; now += 10ms) {
            for (auto& each : m_hosts) {
                for (unsigned i = 0; i < requests; ++i)
                    perform(each, each.core->arrive(now, make()));
                endAttempts(each);
                perform(each, each.core->tick(now));
            }
        }
    }
    [[nodiscard]] std::size_t mostSentTo(const std::string& target) const
    {
        const auto found = m_sent.find(target_id { target });
        return found == m_sent.end() ? 0 : mostInOneSecond(found->second);
    }

    instant now { 1000s };
    std::size_t refused = 0;
    std::size_t dispatched = 0;

private:
    struct event {
        instant at;
        dispatch attempt;
        bool isEnd = false;
    };
    struct simulated_host {
        std::unique_ptr<fixed_owners> owners;
        std::unique_ptr<routing::router> core;
        std::deque<event> events;
    };

    request make()
    {
        request made;
        made.number = request_number { ++m_lastNumber };
        made.service = service_id { "s" };
        made.caller = caller_id { "c" };
        made.arrival = now;
        made.deadline = now + 10s;
        made.requestFingerprint = fingerprint { m_lastNumber };
        return made;
    }
    duration upTo(duration longest)
    {
        std::uniform_int_distribution<duration::rep> delay(0, longest.count());
        return duration(delay(m_random));
    }
    void perform(simulated_host& host, const actions& all)
    {
        for (const auto& each : all) {
            if (const auto* one = std::get_if<dispatch>(&each)) {
                ++dispatched;
                host.events.push_back({ now + upTo(40ms), *one, false });
            } else if (std::holds_alternative<refuse>(each)) {
                ++refused;
            } else if (const auto* probed = std::get_if<probe>(&each)) {
                perform(host, host.core->probed(now, probed->target, probe_answered {}));
            }
        }
    }
    void endAttempts(simulated_host& host)
    {
        auto due = std::exchange(host.events, {});
        for (auto& each : due) {
            if (each.at > now) {
                host.events.push_back(each);
            } else if (each.isEnd) {
                perform(host,
                    host.core->finish(now, each.attempt.number, each.attempt.attempt,
                        answered { 200, 1ms, 1ms }));
            } else {
                perform(host, host.core->sent(now, each.attempt.number, each.attempt.attempt, now));
                m_sent[each.attempt.target].push_back(now + upTo(95ms));
                host.events.push_back({ now + 100ms, each.attempt, true });
            }
        }
    }

    table::table m_rows;
    std::deque<simulated_host> m_hosts;
    std::map<target_id, std::vector<instant>> m_sent;
    std::mt19937_64 m_random { 7 };
    std::uint64_t m_lastNumber = 0;
};

/// Gives each host a list that lacks or adds up to two hosts.
void setDifferentLists(fleet& hosts)
{
    std::mt19937_64 random(3);
    for (unsigned i = 0; i < hostCount; ++i) {
        auto list = hostList(0, hostCount + random() % 3);
        for (auto lacking = random() % 3; lacking > 0; --lacking)
            list.erase(list.begin() + static_cast<long>(random() % list.size()));
        hosts.setList(i, list);
    }
}

/// A driver that is the only host, or one of two that is not listed.
void setListed(driver& test, bool listed)
{
    (void)test.host->applyListedHosts(
        test.now, host_id { "own" }, { host_id { listed ? "own" : "other" } });
    test.now += settled;
    (void)test.host->tick(test.now);
}

request keyedRequest(driver& test)
{
    auto made = test.make();
    made.key = key_hash { 7 };
    return made;
}

std::vector<request_number> arriveThree(driver& test)
{
    const auto first = test.arrive(keyedRequest(test));
    const auto second = test.arrive(keyedRequest(test));
    return { first, second, test.arrive(keyedRequest(test)) };
}

bool wasDispatched(const driver& test, request_number number)
{
    return test.lastDispatch(number).number == number;
}

} // namespace

Test(routing_warmup, limit_is_divided_so_that_two_wrong_senders_do_no_harm)
{
    cr_assert(shareOf(limit) == (warmup_share { 5, 2 }));
    for (double each = 0; each < 200; each += 0.5) {
        const auto share = shareOf(each);
        cr_assert_leq((share.senders + 2) * share.perSender, each);
        cr_assert(each < 3 || share.perSender > 0, "limit %f is not used", each);
    }
}

Test(routing_warmup, quota_holds_in_every_second)
{
    instant now { 100s };
    warmup_quota quota(now);
    quota.setLimit(limit);
    cr_assert_not(quota.allows(now), "an earlier process may have sent");
    now += warmupWindow;
    quota.onDispatch();
    quota.onDispatch();
    cr_assert_not(quota.allows(now));
    quota.onSent(now);
    quota.onSent(now + 300ms);
    cr_assert(quota.nextFree(now + 300ms) == now + warmupWindow);
    cr_assert_not(quota.allows(now + warmupWindow - 1us));
    cr_assert(quota.allows(now + warmupWindow));
    quota.onDispatch();
    cr_assert_not(quota.allows(now + warmupWindow));
}

// A host that knows no list, or is not on its list, may be unknown to those that send.
Test(routing_warmup, unlisted_host_is_no_sender)
{
    warmup_senders senders;
    const target_id target { "t0" };
    cr_assert_not(senders.isSender(target, 5));
    senders.setHosts(instant { 1s }, hostId(0), hostList(1, 3));
    (void)senders.expire(instant { 1s } + hostListLag);
    cr_assert_not(senders.isSender(target, 5));
    senders.setHosts(instant { 100s }, hostId(0), hostList(0, 3));
    cr_assert_not(senders.isSender(target, 5), "others may have an older list");
    (void)senders.expire(instant { 100s } + hostListLag);
    cr_assert(senders.isSender(target, 5));
}

// Hosts read the list at different times while a third of them joins: none may take the place of a
// sender that has not read the new list yet.
Test(routing_warmup, senders_agree_while_many_hosts_join)
{
    const auto before = hostList(0, 46);
    const auto after = hostList(0, hostCount);
    std::vector<warmup_senders> hosts(hostCount);
    const instant start { 1000s };
    for (unsigned i = 0; i < hostCount; ++i)
        hosts[i].setHosts(start, hostId(i), before);
    for (duration passed = hostListLag; passed < 3 * hostListLag; passed += 1s) {
        for (unsigned i = 0; i < hostCount; ++i) {
            if (passed == hostListLag + (i * 7 % 25) * 1s)
                hosts[i].setHosts(start + passed, hostId(i), after);
            (void)hosts[i].expire(start + passed);
        }
        for (unsigned target = 0; target < 60; ++target) {
            const auto count = std::count_if(hosts.begin(), hosts.end(), [&](const auto& each) {
                return each.isSender(target_id { "t" + std::to_string(target) }, 5);
            });
            cr_assert_leq(count, 5);
        }
    }
}

Test(routing_warmup, one_cold_target_gets_no_more_than_the_limit)
{
    fleet hosts(limitedTable(1, false));
    hosts.setLists(hostList(0, hostCount));
    hosts.makeColdFrom(0);
    hosts.run(coldTime - 100ms, 2);
    cr_assert_leq(hosts.mostSentTo("t0"), limit);
    cr_assert_geq(hosts.mostSentTo("t0"), tolerated);
}

Test(routing_warmup, sixty_targets_that_become_cold_at_once_get_no_more_than_the_limit)
{
    fleet hosts(limitedTable(60, false));
    hosts.setLists(hostList(0, hostCount));
    hosts.makeColdFrom(0);
    hosts.run(coldTime - 100ms, 3);
    for (unsigned i = 0; i < 60; ++i)
        cr_assert_leq(hosts.mostSentTo("t" + std::to_string(i)), limit);
}

Test(routing_warmup, hosts_with_different_lists_keep_the_limit)
{
    fleet hosts(limitedTable(60, false));
    setDifferentLists(hosts);
    hosts.makeColdFrom(0);
    hosts.run(coldTime - 100ms, 3);
    std::size_t most = 0;
    for (unsigned i = 0; i < 60; ++i) {
        const auto sent = hosts.mostSentTo("t" + std::to_string(i));
        cr_assert_leq(sent, limit, "t%u got %zu", i, sent);
        most = std::max(most, sent);
    }
    cr_assert_gt(most, 10, "the lists differ too little to test the margin");
}

Test(routing_warmup, load_without_keys_goes_to_warm_targets)
{
    fleet hosts(limitedTable(6, false));
    hosts.setLists(hostList(0, hostCount));
    hosts.makeColdFrom(4);
    hosts.run(1s, 1);
    const auto arrived = hostCount * 100U;
    cr_assert_eq(hosts.refused, 0);
    cr_assert_geq(hosts.dispatched, arrived);
    cr_assert_leq(hosts.mostSentTo("t4"), limit);
}

Test(routing_warmup, key_of_a_cold_owner_is_served_once_the_owner_is_warm)
{
    auto rows = limitedTable(2, true);
    driver test(rows, unlimited());
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    setListed(test, false);
    makeCold(rows, 0, test.now + 500ms);
    (void)test.host->applyTable(test.now, rows);
    const instant warm = test.now + 500ms;
    const auto number = test.arrive(keyedRequest(test));
    cr_assert_leq(test.host->nextDue(), warm);
    test.run(499ms);
    cr_assert_not(wasDispatched(test, number));
    test.run(1ms);
    cr_assert(wasDispatched(test, number));
    cr_assert_eq(test.host->counts().delayedByWarmup, 1);
}

// Otherwise the caller would hold a place in the queue for an answer that comes too late.
Test(routing_warmup, key_of_a_cold_owner_is_refused_if_it_cannot_be_served_in_time)
{
    auto rows = limitedTable(2, true);
    driver test(rows, unlimited());
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    setListed(test, false);
    makeCold(rows, 0, test.now + coldTime);
    (void)test.host->applyTable(test.now, rows);
    auto submitted = keyedRequest(test);
    submitted.objective = test.now + 1s;
    const auto refusal = test.refusal(test.arrive(submitted));
    cr_assert(refusal && refusal->reason == refusal_reason::TargetWarming);
    cr_assert(refusal->requestOutcome == outcome::NotRun);
    cr_assert(refusal->retryAfter >= 2s && refusal->retryAfter <= coldTime);
    cr_assert(name(refusal->reason) == "target-warming");
}

Test(routing_warmup, waiting_request_is_refused_when_its_owner_becomes_cold)
{
    auto rows = limitedTable(2, true);
    auto settings = unlimited();
    settings.workers = 1;
    driver test(rows, settings);
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    setListed(test, false);
    const auto running = test.arrive(keyedRequest(test));
    cr_assert(wasDispatched(test, running));
    auto submitted = keyedRequest(test);
    submitted.deadline = test.now + 2s;
    const auto waiting = test.arrive(submitted);
    makeCold(rows, 0, test.now + coldTime);
    const auto made = test.host->applyTable(test.now, rows);
    const auto refused = std::count_if(made.begin(), made.end(), [&](const auto& each) {
        const auto* one = std::get_if<refuse>(&each);
        return one && one->number == waiting && one->reason == refusal_reason::TargetWarming;
    });
    cr_assert_eq(refused, 1);
}

Test(routing_warmup, sender_sends_its_quota_and_goes_on_when_a_place_is_free)
{
    auto rows = limitedTable(1, true);
    driver test(rows, unlimited());
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    setListed(test, true);
    makeCold(rows, 0, test.now + coldTime);
    (void)test.host->applyTable(test.now, rows);
    const auto numbers = arriveThree(test);
    cr_assert(wasDispatched(test, numbers[0]) && wasDispatched(test, numbers[1]));
    cr_assert_not(wasDispatched(test, numbers[2]));
    for (int i = 0; i < 2; ++i) {
        const auto attempt = test.lastDispatch(numbers[i]);
        test.sent(attempt, test.now);
        test.finish(attempt, answered { 200, 1ms, 1ms });
    }
    cr_assert(test.host->nextDue() <= test.now + warmupWindow);
    test.run(warmupWindow - 1ms);
    cr_assert_not(wasDispatched(test, numbers[2]));
    test.run(1ms);
    cr_assert(wasDispatched(test, numbers[2]));
}

// Requests that a target answers 421, and those that did not reach it, do not count.
Test(routing_warmup, refused_token_and_failed_connection_give_their_places_back)
{
    for (const attempt_result& ended :
        { attempt_result { token_refused {} }, attempt_result { connect_failed {} } }) {
        auto rows = limitedTable(1, true);
        driver test(rows, unlimited());
        test.owners.answer = owned_by { target_id { "t0" }, {} };
        setListed(test, true);
        makeCold(rows, 0, test.now + coldTime);
        (void)test.host->applyTable(test.now, rows);
        const auto numbers = arriveThree(test);
        const auto attempt = test.lastDispatch(numbers[0]);
        if (std::holds_alternative<token_refused>(ended))
            test.sent(attempt, test.now);
        test.finish(attempt, ended);
        cr_assert(wasDispatched(test, numbers[2]));
    }
}

// A place that was taken by an attempt which was given up may have been used.
Test(routing_warmup, cancelled_attempt_keeps_its_place)
{
    auto rows = limitedTable(1, true);
    driver test(rows, unlimited());
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    setListed(test, true);
    makeCold(rows, 0, test.now + coldTime);
    (void)test.host->applyTable(test.now, rows);
    const auto numbers = arriveThree(test);
    test.finish(test.lastDispatch(numbers[0]), cancelled {});
    cr_assert_not(wasDispatched(test, numbers[2]));
}

Test(routing_warmup, service_whose_targets_are_all_cold_refuses_what_would_be_late)
{
    auto rows = limitedTable(2, false);
    driver test(rows, unlimited());
    setListed(test, false);
    for (std::size_t i = 0; i < 2; ++i)
        makeCold(rows, i, test.now + coldTime);
    (void)test.host->applyTable(test.now, rows);
    auto submitted = test.make();
    submitted.objective = test.now + 1s;
    const auto refusal = test.refusal(test.arrive(submitted));
    cr_assert(refusal && refusal->reason == refusal_reason::TargetWarming);
    submitted = test.make();
    submitted.objective = test.now + 5s;
    const auto waiting = test.arrive(submitted);
    test.run(coldTime);
    cr_assert(wasDispatched(test, waiting));
}

Test(routing_warmup, probe_shows_that_a_target_is_cold_again)
{
    const auto rows = limitedTable(1, true);
    driver test(rows, unlimited());
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    setListed(test, false);
    cr_assert_not(test.host->targets()[0].cold);
    test.probed("t0", probe_answered { {}, 1ms, 700ms });
    cr_assert(test.host->targets()[0].cold);
    const auto number = test.arrive(keyedRequest(test));
    test.run(699ms);
    cr_assert_not(wasDispatched(test, number));
    test.run(1ms);
    cr_assert(wasDispatched(test, number));
}

// The warm-up replaces the slow start: one after the other would keep load away from a domain that
// was taken back for seven seconds.
Test(routing_warmup, slow_start_runs_beside_the_warm_up)
{
    auto rows = limitedTable(1, false);
    driver test(rows, unlimited());
    setListed(test, false);
    rows.targets[0].state = table::mark::Leaving;
    (void)test.host->applyTable(test.now, rows);
    rows.targets[0].state = table::mark::Active;
    makeCold(rows, 0, test.now + coldTime);
    (void)test.host->applyTable(test.now, rows);
    cr_assert_leq(test.host->targets()[0].slowStartShare, 0.11);
    test.run(options {}.slowStart);
    cr_assert_eq(test.host->targets()[0].slowStartShare, 1);
}

// Installations whose services state no limit behave as before, whatever targets report.
Test(routing_warmup, service_without_a_limit_ignores_cold_targets)
{
    auto rows = limitedTable(1, true);
    rows.services[0].warmup.reset();
    driver test(rows, unlimited());
    test.owners.answer = owned_by { target_id { "t0" }, {} };
    makeCold(rows, 0, test.now + coldTime);
    (void)test.host->applyTable(test.now, rows);
    test.probed("t0", probe_answered { {}, 1ms, 700ms });
    for (int i = 0; i < 20; ++i) {
        const auto number = test.arrive(keyedRequest(test));
        cr_assert(wasDispatched(test, number));
        test.finish(test.lastDispatch(number), answered { 200, 1ms, 1ms });
    }
    cr_assert_not(test.host->targets()[0].cold);
}
