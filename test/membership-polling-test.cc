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
    polling_hosts()
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
            for (unsigned host = 0; host < hostCount; ++host) {
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
    /// Makes one host report another state than the others for the same rows.
    void misread(unsigned host) { m_hosts[host].misreads = true; }

    [[nodiscard]] bool allUpToDate() const
    {
        for (unsigned host = 0; host < hostCount; ++host) {
            if (host != m_disconnected && m_hosts[host].content != m_content)
                return false;
        }
        return true;
    }

private:
    struct polling_host {
        poll_schedule schedule { options };
        int content = 0;
        instant nextExchange;
        bool misreads = false;

        [[nodiscard]] int reportedContent() const { return misreads ? -content : content; }
    };

    bool poll(polling_host& self) const
    {
        if (m_now < self.schedule.nextPollAt())
            return false;
        self.schedule.recordPoll(m_now, self.content != m_content);
        self.content = m_content;
        return true;
    }

    void exchange(polling_host& self)
    {
        if (m_now < self.nextExchange)
            return;
        self.nextExchange += exchangeInterval;
        receiveState(self, 0);
        for (unsigned i = 0; i < fanout; ++i)
            receiveState(self, std::uniform_int_distribution(0U, hostCount - 1)(m_random));
    }

    void receiveState(polling_host& self, unsigned from)
    {
        if (from == m_disconnected)
            return;
        const auto& peer = m_hosts[from];
        self.schedule.recordPeerState(
            peer.schedule.confirmedAt(), peer.reportedContent() == self.reportedContent());
    }

    instant m_now = start;
    std::mt19937 m_random { 20261204 };
    int m_content = 1;
    unsigned m_disconnected = hostCount;
    bool m_isolated = false;
    std::vector<polling_host> m_hosts { hostCount };
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

Test(membership_polling, delayed_peer_report_does_not_override_a_newer_poll)
{
    poll_schedule schedule { options };
    schedule.recordPoll(start, true);
    schedule.recordPeerState(start - 1s, true);
    cr_assert(schedule.nextPollAt() == start + options.maxAgeMs);
    schedule.recordPeerState(start - 1ms, false);
    cr_assert(schedule.nextPollAt() == start + options.maxAgeMs);
    schedule.recordPeerState(start + 1ms, false);
    cr_assert(schedule.nextPollAt() <= start + 1ms);
}
