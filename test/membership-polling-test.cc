#include "pimentomast/membership.h"

#include <criterion/criterion.h>
#include <random>

using namespace pimentomast;
using namespace pimentomast::membership;
using namespace std::chrono_literals;

/// Simulates hosts that poll a store and exchange what they know.
namespace {

const instant start { 1000s };
constexpr auto step = 10ms;
constexpr auto exchangeInterval = 500ms;
constexpr unsigned fanout = 4;
constexpr unsigned hostCount = 12;
const poll_options options;

class polling_hosts {
public:
    explicit polling_hosts(unsigned count = hostCount)
        : m_hosts(count)
    {
        m_hosts.front().schedule.setLeader(true);
        for (auto& each : m_hosts)
            each.nextExchange = start + 1ms * std::uniform_int_distribution(0, 500)(m_random);
    }

    /// Returns the number of polls by all hosts.
    unsigned run(duration span)
    {
        unsigned polls = 0;
        for (const auto end = m_now + span; m_now < end; m_now += step) {
            deliverMessages();
            for (unsigned host = 0; host < m_hosts.size(); ++host) {
                polls += host != m_disconnected && poll(m_hosts[host]) ? 1 : 0;
                if (host != m_disconnected && !m_isolated)
                    exchange(m_hosts[host]);
            }
        }
        return polls;
    }

    void change() { ++m_content; }
    void disconnect(unsigned host) { m_disconnected = host; }
    void isolateAll() { m_isolated = true; }
    /// Makes the last hosts wait for each answer of the store, and their messages take their time.
    void slowDown(unsigned count, duration answerTime, duration transit)
    {
        for (auto host = m_hosts.size() - count; host < m_hosts.size(); ++host) {
            m_hosts[host].answerTime = answerTime;
            m_hosts[host].transit = transit;
        }
    }
    /// Makes one host report another state than the others for the same rows.
    void misread(unsigned host) { m_hosts[host].misreads = true; }

    [[nodiscard]] bool allUpToDate() const
    {
        for (unsigned host = 0; host < m_hosts.size(); ++host) {
            if (host != m_disconnected && m_hosts[host].content() != m_content)
                return false;
        }
        return true;
    }
    /// Returns how many polls by hosts other than the leader and the slow ones brought no change.
    [[nodiscard]] unsigned pollsInVain() const { return m_pollsInVain; }

private:
    struct polling_host {
        poll_schedule schedule { options };
        instant nextExchange;
        bool misreads = false;
        duration answerTime {};
        duration transit {};
        /// A poll that is not answered yet, and the content that its answer will have.
        std::optional<instant> sentAt;
        row_state answered;

        [[nodiscard]] std::uint64_t content() const { return schedule.rows().content; }
        [[nodiscard]] row_state reported() const
        {
            return { misreads ? ~content() : content(), schedule.rows().version };
        }
    };

    /// A host's state on its way to another host, which does not know when it was sent.
    struct message {
        std::size_t to = 0;
        instant arrivesAt;
        row_state rows;
    };

    /// Returns whether a poll was sent.
    bool poll(polling_host& self)
    {
        const bool sends = !self.sentAt && m_now >= self.schedule.nextPollAt();
        if (sends) {
            self.sentAt = m_now;
            // The store's version rises all the time, as other rows change.
            self.answered
                = { m_content, row_version { static_cast<std::uint64_t>((m_now - start) / step) } };
        }
        if (self.sentAt && m_now >= *self.sentAt + self.answerTime)
            receivePoll(self);
        return sends;
    }

    void receivePoll(polling_host& self)
    {
        const bool changed = self.content() != self.answered.content;
        const bool isFast = self.answerTime == duration::zero();
        m_pollsInVain += isFast && !changed && &self != &m_hosts.front() ? 1 : 0;
        self.schedule.recordPoll(*self.sentAt, self.answered);
        self.sentAt.reset();
    }

    void exchange(polling_host& self)
    {
        if (m_now < self.nextExchange)
            return;
        self.nextExchange += exchangeInterval;
        callPeer(self, 0);
        for (unsigned i = 0; i < fanout; ++i)
            callPeer(
                self, std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_random));
    }

    void callPeer(polling_host& self, std::size_t peer)
    {
        m_sent.push_back({ peer, m_now + self.transit, self.reported() });
        receiveState(self, peer);
    }

    // Equal content in a call confirms nothing, since the time of its transit is not known.
    void deliverMessages()
    {
        std::erase_if(m_sent, [this](const message& each) {
            if (m_now < each.arrivesAt)
                return false;
            if (each.to == m_disconnected)
                return true;
            m_hosts[each.to].schedule.recordPeerState(m_now, each.rows, {});
            return true;
        });
    }

    void receiveState(polling_host& self, std::size_t from)
    {
        if (from == m_disconnected)
            return;
        const auto& peer = m_hosts[from];
        self.schedule.recordPeerState(m_now, peer.reported(), peer.schedule.confirmedAt());
    }

    instant m_now = start;
    std::mt19937 m_random { 20261204 };
    std::uint64_t m_content = 1;
    std::optional<std::size_t> m_disconnected;
    bool m_isolated = false;
    unsigned m_pollsInVain = 0;
    std::vector<message> m_sent;
    std::vector<polling_host> m_hosts;
};

/// Returns how long it takes until all hosts have a change.
duration timeToPropagate(polling_hosts& hosts)
{
    hosts.change();
    duration taken {};
    for (; !hosts.allUpToDate(); taken += step)
        (void)hosts.run(step);
    return taken;
}

} // namespace

Test(membership_polling, leader_polls_for_all_hosts)
{
    polling_hosts hosts;
    (void)hosts.run(5s);
    const auto polls = hosts.run(60s);
    const auto leaderPolls = 60s / options.leaderIntervalMs;
    cr_assert_leq(polls, leaderPolls + leaderPolls / 10, "%u polls", polls);
}

Test(membership_polling, change_reaches_every_host_within_the_age_limit)
{
    for (int round = 0; round < 20; ++round) {
        polling_hosts hosts;
        (void)hosts.run(5s + round * 70ms);
        if (round % 3 == 1)
            hosts.disconnect(0);
        if (round % 3 == 2)
            hosts.isolateAll();
        (void)hosts.run(round * 30ms);
        cr_assert_leq(timeToPropagate(hosts).count(), (options.maxAgeMs + step) / 1ns);
    }
}

Test(membership_polling, persistent_mismatch_costs_no_more_than_independent_polling)
{
    polling_hosts hosts;
    hosts.misread(5);
    (void)hosts.run(5s);
    const auto polls = hosts.run(60s);
    const auto unsharedPolls
        = 60s / options.leaderIntervalMs + hostCount * (60s / options.maxAgeMs);
    cr_assert_leq(polls, 2 * unsharedPolls, "%u polls", polls);
}

// Load: 61 hosts, 10 of which have full links, and a change each 400 ms.
Test(membership_polling, content_that_slow_hosts_still_have_makes_no_host_poll)
{
    constexpr unsigned manyHosts = 61;
    polling_hosts hosts(manyHosts);
    hosts.slowDown(10, 300ms, 500ms);
    (void)hosts.run(5s);
    for (int change = 0; change < 20; ++change) {
        hosts.change();
        (void)hosts.run(400ms);
    }
    cr_assert_eq(hosts.pollsInVain(), 0, "%u polls", hosts.pollsInVain());
}

Test(membership_polling, delayed_peer_report_does_not_override_a_newer_poll)
{
    poll_schedule schedule { options };
    constexpr row_version polled { 10 };
    schedule.recordPoll(start, { 7, polled });
    schedule.recordPeerState(start, { 7, row_version { 9 } }, start - 1s);
    cr_assert(schedule.nextPollAt() == start + options.maxAgeMs);
    schedule.recordPeerState(start, { 6, polled }, start - 1ms);
    cr_assert(schedule.nextPollAt() == start + options.maxAgeMs);
    schedule.recordPeerState(start + 1ms, { 8, row_version { 11 } }, start);
    cr_assert(schedule.nextPollAt() <= start + 1ms + options.newerPeerDelayMs);
}

Test(membership_polling, newer_rows_that_arrive_in_time_save_the_poll)
{
    poll_schedule schedule { options };
    schedule.recordPoll(start, { 7, row_version { 10 } });
    schedule.recordPeerState(start + 1ms, { 8, row_version { 12 } }, start);
    schedule.recordRows({ 8, row_version { 11 } });
    cr_assert(schedule.nextPollAt() == start + options.maxAgeMs);
}

Test(membership_polling, disproved_content_of_a_peer_hides_no_other_content)
{
    poll_schedule schedule { options };
    schedule.recordPoll(start, { 7, row_version { 10 } });
    schedule.recordPeerState(start + 1ms, { 8, row_version { 12 } }, start);
    schedule.recordPoll(start + 2ms, { 7, row_version { 13 } });
    schedule.recordPeerState(start + 3ms, { 8, row_version { 14 } }, start);
    cr_assert(schedule.nextPollAt() == start + 2ms + options.maxAgeMs);
    schedule.recordPeerState(start + 4ms, { 9, row_version { 15 } }, start);
    cr_assert(schedule.nextPollAt() <= start + 4ms + options.newerPeerDelayMs);
}

// A host that lacks earlier changes must not take the version of later ones: it would not be sent
// what it lacks.
Test(membership_polling, changes_of_a_peer_raise_the_version_only_if_none_lies_between)
{
    poll_schedule schedule { {} };
    schedule.recordPoll(start, { 1, row_version { 10 } });
    schedule.recordChanges(row_version { 12 }, row_version { 20 });
    cr_assert_eq(schedule.rows().version.value(), 10);
    schedule.recordChanges(row_version { 9 }, row_version { 20 });
    cr_assert_eq(schedule.rows().version.value(), 20);
    schedule.recordChanges(row_version { 9 }, row_version { 15 });
    cr_assert_eq(schedule.rows().version.value(), 20);
}
