#include "routing/host_count.h"
#include "routing/weighted_choice.h"

#include <cmath>
#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace std::chrono_literals;

namespace {

constexpr unsigned connections = 130;
constexpr duration lag = 30s;

using candidates = std::vector<weighted_choice::candidate>;

candidates makeCandidates(const std::vector<double>& weights)
{
    candidates made;
    for (std::size_t i = 0; i < weights.size(); ++i)
        made.push_back({ target_id { "t" + std::to_string(i) }, weights[i], 0 });
    return made;
}

/// Reference implementation: every target keeps the virtual time at which its last turn ends.
std::size_t referenceChoice(const candidates& all, std::map<target_id, double>& finish,
    double& virtualTime, double exponent)
{
    std::vector<double> starts;
    std::vector<double> ends;
    for (const auto& each : all) {
        const double cost = std::pow(1 + each.load, exponent) / each.weight;
        starts.push_back(std::max(finish.at(each.id), virtualTime - cost));
        ends.push_back(starts.back() + cost);
    }
    const auto best
        = static_cast<std::size_t>(std::min_element(ends.begin(), ends.end()) - ends.begin());
    virtualTime = std::max(virtualTime, starts[best]);
    finish.at(all[best].id) = ends[best];
    return best;
}

} // namespace

Test(routing_choice, matches_reference_once_all_targets_are_known)
{
    const bool holds = rc::check("weighted choice equals reference version", [] {
        weighted_choice actual(7, 2);
        std::map<target_id, double> finish;
        double virtualTime = 0;
        // A target's first virtual time is random: the reference starts from the actual ones.
        auto all = makeCandidates({ 1, 2, 0.5 });
        for (auto& each : all) {
            const candidates alone { each };
            (void)actual.choose(alone);
        }
        const auto loads = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 27));
        std::map<std::size_t, double> served;
        std::vector<std::size_t> actualOrder;
        std::vector<std::size_t> referenceOrder;
        for (const auto& each : all)
            finish[each.id] = actual.finishOf(each.id);
        virtualTime = actual.virtualTime();
        for (const int load : loads) {
            all[0].load = load % 3;
            const int second = load / 3 % 3;
            const int third = load / 9;
            all[1].load = second;
            all[2].load = third;
            actualOrder.push_back(actual.choose(all).value());
            referenceOrder.push_back(referenceChoice(all, finish, virtualTime, 2));
        }
        RC_ASSERT(actualOrder == referenceOrder);
    });
    cr_assert(holds);
}

Test(routing_choice, idle_targets_are_used_by_weight)
{
    weighted_choice choice(1, 2);
    const auto all = makeCandidates({ 1, 3 });
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 4000; ++i)
        ++counts[choice.choose(all).value()];
    cr_assert_float_eq(counts[1], 3000, 5);
}

Test(routing_choice, loaded_target_gets_less)
{
    weighted_choice choice(1, 2);
    auto all = makeCandidates({ 1, 1 });
    all[0].load = 1;
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 1000; ++i)
        ++counts[choice.choose(all).value()];
    cr_assert_float_eq(counts[0], 200, 5);
}

Test(routing_choice, returns_nothing_without_candidates)
{
    weighted_choice choice(1, 2);
    cr_assert_not(choice.choose({}).has_value());
}

// Hosts start and stop at random; each receives the number of live hosts late, or not at all.
Test(routing_choice, sum_of_host_shares_never_exceeds_the_target_s_connections)
{
    const bool holds = rc::check("shares stay within the connections of a target", [] {
        struct host {
            host_count count { 16, lag };
            instant gone = instant::max();
        };
        std::vector<host> hosts(12);
        std::vector<std::pair<instant, unsigned>> history;
        const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
        instant now { 1000s };
        for (const int step : steps) {
            now += 1s;
            if (step < 4 && hosts.size() < 16)
                hosts.emplace_back();
            if (step >= 4 && step < 8 && hosts.size() > 1)
                hosts.erase(hosts.begin());
            history.emplace_back(now, static_cast<unsigned>(hosts.size()));
            const std::size_t delay = static_cast<std::size_t>(step) % 10;
            const std::size_t index = history.size() > delay ? history.size() - 1 - delay : 0;
            for (host& each : hosts)
                if ((step + static_cast<int>(&each - hosts.data())) % 3 != 0)
                    each.count.update(now, history[index].second);
            unsigned sum = 0;
            for (const host& each : hosts)
                sum += each.count.share(now, connections);
            RC_ASSERT(sum <= connections);
        }
    });
    cr_assert(holds);
}

Test(routing_choice, share_shrinks_at_once_and_grows_after_the_lag)
{
    host_count count(4, 30s);
    count.update(instant { 100s }, 10);
    const unsigned few = count.share(instant { 100s }, 130);
    count.update(instant { 101s }, 20);
    const unsigned many = count.share(instant { 101s }, 130);
    cr_assert_lt(many, few);
    count.update(instant { 110s }, 10);
    cr_assert_eq(count.share(instant { 110s }, 130), many);
    count.update(instant { 141s }, 10);
    cr_assert_eq(count.share(instant { 141s }, 130), few);
    cr_assert_lt(count.share(instant { 200s }, 130), few);
}
