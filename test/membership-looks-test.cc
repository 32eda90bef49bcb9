#include "pimentomast/membership.h"

#include <criterion/criterion.h>
#include <random>

using namespace pimentomast;
using namespace pimentomast::membership;
using namespace std::chrono_literals;

/// Looks at a store by hosts that tell each other what they know, in simulated time.
namespace {

const instant start { 1000s };
constexpr auto step = 10ms;
constexpr auto exchangeInterval = 500ms;
constexpr unsigned fanout = 4;
constexpr unsigned hostCount = 12;
const look_options options;

class looking_hosts {
public:
    looking_hosts()
    {
        m_hosts.front().schedule.lead(true);
        for (auto& each : m_hosts)
            each.nextExchange = start + 1ms * std::uniform_int_distribution(0, 500)(m_random);
    }

    /// Returns the looks of all hosts.
    unsigned run(duration span)
    {
        unsigned looks = 0;
        for (const auto end = m_now + span; m_now < end; m_now += step) {
            for (unsigned host = 0; host < hostCount; ++host) {
                looks += host != m_lost && look(m_hosts[host]) ? 1 : 0;
                if (host != m_lost && !m_cut)
                    exchange(m_hosts[host]);
            }
        }
        return looks;
    }

    void change() { ++m_content; }
    void lose(unsigned host) { m_lost = host; }
    void cutAll() { m_cut = true; }
    /// One host reads the same rows in another way than the others.
    void misread(unsigned host) { m_hosts[host].misreads = true; }

    [[nodiscard]] bool allKnow() const
    {
        for (unsigned host = 0; host < hostCount; ++host) {
            if (host != m_lost && m_hosts[host].content != m_content)
                return false;
        }
        return true;
    }

private:
    struct looker {
        look_schedule schedule { options };
        int content = 0;
        instant nextExchange;
        bool misreads = false;

        [[nodiscard]] int told() const { return misreads ? -content : content; }
    };

    bool look(looker& one) const
    {
        if (m_now < one.schedule.due())
            return false;
        one.schedule.looked(m_now, one.content != m_content);
        one.content = m_content;
        return true;
    }

    void exchange(looker& one)
    {
        if (m_now < one.nextExchange)
            return;
        one.nextExchange += exchangeInterval;
        hear(one, 0);
        for (unsigned i = 0; i < fanout; ++i)
            hear(one, std::uniform_int_distribution(0U, hostCount - 1)(m_random));
    }

    void hear(looker& one, unsigned from)
    {
        if (from == m_lost)
            return;
        const auto& peer = m_hosts[from];
        one.schedule.heard(peer.schedule.confirmedAt(), peer.told() == one.told());
    }

    instant m_now = start;
    std::mt19937 m_random { 20261204 };
    int m_content = 1;
    unsigned m_lost = hostCount;
    bool m_cut = false;
    std::vector<looker> m_hosts { hostCount };
};

/// Returns how long it takes until all hosts know of a change.
duration timeToLearn(looking_hosts& hosts)
{
    hosts.change();
    duration taken {};
    for (; !hosts.allKnow(); taken += step)
        (void)hosts.run(step);
    return taken;
}

} // namespace

Test(membership_looks, one_host_looks_for_all)
{
    looking_hosts hosts;
    (void)hosts.run(5s);
    const auto looks = hosts.run(60s);
    const auto ofLeader = 60s / options.oftenMs;
    cr_assert_leq(looks, ofLeader + ofLeader / 10, "%u looks", looks);
}

Test(membership_looks, change_is_known_everywhere_within_the_limit)
{
    for (int round = 0; round < 20; ++round) {
        looking_hosts hosts;
        (void)hosts.run(5s + round * 70ms);
        if (round % 3 == 1)
            hosts.lose(0);
        if (round % 3 == 2)
            hosts.cutAll();
        (void)hosts.run(round * 30ms);
        cr_assert_leq(timeToLearn(hosts).count(), (options.limitMs + step) / 1ns);
    }
}

Test(membership_looks, difference_that_looks_do_not_mend_costs_no_more_than_looking_alone)
{
    looking_hosts hosts;
    hosts.misread(5);
    (void)hosts.run(5s);
    const auto looks = hosts.run(60s);
    const auto alone = 60s / options.oftenMs + hostCount * (60s / options.limitMs);
    cr_assert_leq(looks, 2 * alone, "%u looks", looks);
}

Test(membership_looks, late_word_of_a_look_confirms_nothing_newer)
{
    look_schedule schedule { options };
    schedule.looked(start, true);
    schedule.heard(start - 1s, true);
    cr_assert(schedule.due() == start + options.limitMs);
    schedule.heard(start - 1ms, false);
    cr_assert(schedule.due() == start + options.limitMs);
    schedule.heard(start + 1ms, false);
    cr_assert(schedule.due() <= start + 1ms);
}
