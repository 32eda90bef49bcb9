#include "routing/host_count.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <vector>

using namespace pimentomast;
using namespace pimentomast::routing;
using namespace std::chrono_literals;

namespace {

constexpr unsigned assumedHosts = 4;
constexpr duration lag = 30s;

/// Keeps every confirmation and searches them all.
class all_confirmations {
public:
    void update(instant now, std::optional<unsigned> count)
    {
        if (!count)
            return;
        m_all.push_back({ now, *count });
        while (m_all.size() > 1 && m_all[1].at + lag < now)
            m_all.erase(m_all.begin());
    }

    [[nodiscard]] unsigned divisor(instant now) const
    {
        unsigned highest = 0;
        bool confirmed = false;
        for (const confirmation& each : m_all) {
            highest = std::max(highest, each.count);
            confirmed = confirmed || each.at + lag >= now;
        }
        const unsigned hosts = std::max(assumedHosts, highest + (highest + 3) / 4);
        return confirmed ? hosts : 2 * hosts;
    }

    [[nodiscard]] unsigned lastKnown() const { return m_all.empty() ? 7 : m_all.back().count; }

private:
    struct confirmation {
        instant at;
        unsigned count = 0;
    };
    std::vector<confirmation> m_all;
};

} // namespace

Test(routing_host_count, equal_confirmations_are_not_searched_one_by_one)
{
    host_count hosts(assumedHosts, lag);
    instant now { 1000s };
    for (unsigned i = 0; i < 1000; ++i)
        hosts.update(now += 20ms, 12);
    cr_assert_eq(hosts.keptChanges(), 1);
    cr_assert_eq(hosts.divisor(now), 15);
}

Test(routing_host_count, divisor_is_that_of_a_search_through_all_confirmations)
{
    const bool holds = rc::check("the same divisor after any history", [] {
        host_count hosts(assumedHosts, lag);
        all_confirmations searched;
        instant now { 1000s };
        const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 400U));
        for (const unsigned step : steps) {
            now += std::chrono::milliseconds(100 * (step % 100));
            const auto count = step / 100 == 0 ? std::nullopt : std::optional(4 + 3 * (step / 100));
            hosts.update(now, count);
            searched.update(now, count);
            const instant later = now + std::chrono::milliseconds(150 * step);
            RC_ASSERT(hosts.divisor(now) == searched.divisor(now));
            RC_ASSERT(hosts.divisor(later) == searched.divisor(later));
            RC_ASSERT(hosts.lastKnown(7) == searched.lastKnown());
        }
    });
    cr_assert(holds);
}
