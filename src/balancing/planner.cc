#include "planning.h"

#include <algorithm>

namespace pimentomast::balancing {

namespace {

std::optional<std::string> findInvalidSetting(const planner_options& settings)
{
    if (settings.slicesPerTarget == 0)
        return "slicesPerTarget must be at least 1";
    if (settings.tolerance < 0 || settings.churnPrice < 0 || settings.domainTolerance < 0)
        return "tolerance, churnPrice and domainTolerance must not be negative";
    if (settings.hotShare <= 0 || settings.coldShare < 0 || settings.coldShare >= settings.hotShare)
        return "hotShare must be positive and above coldShare";
    if (settings.slowStartMinShare <= 0 || settings.slowStartMinShare > 1)
        return "slowStartMinShare must be above 0 and at most 1";
    return std::nullopt;
}

/// Smooth weighted round robin: next() returns the target that is furthest below its share.
class owner_sequence {
public:
    explicit owner_sequence(const std::vector<placement_target>& targets)
    {
        for (const placement_target& target : targets)
            if (target.state == target_state::Ready && target.weight > 0)
                m_targets.push_back({ target.id, target.weight, 0 });
        for (const weighted_target& each : m_targets)
            m_total += each.weight;
    }

    std::optional<target_id> next()
    {
        if (m_targets.empty())
            return std::nullopt;
        for (weighted_target& each : m_targets)
            each.credit += each.weight;
        const auto first = std::max_element(m_targets.begin(), m_targets.end(),
            [](const weighted_target& a, const weighted_target& b) { return a.credit < b.credit; });
        first->credit -= m_total;
        return first->id;
    }

private:
    struct weighted_target {
        target_id id;
        double weight = 0;
        double credit = 0;
    };

    std::vector<weighted_target> m_targets;
    double m_total = 0;
};

} // namespace

result<planner> planner::create(const planner_options& settings)
{
    if (const auto reason = findInvalidSetting(settings))
        return error { "create planner", "", *reason };
    return planner(settings);
}

planner::planner(const planner_options& settings)
    : m_settings(settings)
{
}

std::vector<placed_slice> planner::initial(
    instant now, const std::vector<placement_target>& targets) const
{
    const std::size_t wanted
        = m_settings.slicesPerTarget * std::max<std::size_t>(1, targets.size());
    const std::size_t count = std::min<std::size_t>(wanted, std::max(1U, m_settings.slicesMax));
    const std::uint64_t even = UINT64_MAX / count;
    const std::uint64_t width = std::max(even - even % m_settings.keyWidth, m_settings.keyWidth);
    owner_sequence owners(targets);
    std::vector<placed_slice> slices(count);
    for (std::size_t i = 0; i < count; ++i) {
        placed_slice& each = slices[i];
        each.keys.first = key_hash { i * width };
        each.keys.last = key_hash { i + 1 == count ? UINT64_MAX : (i + 1) * width - 1 };
        each.owner = owners.next();
        each.movedAt = now;
    }
    return slices;
}

std::vector<proposal> planner::plan(const plan_input& input) const
{
    planning_round round(m_settings, input);
    round.placeUnowned();
    round.drainLeaving();
    round.splitHotKeys();
    round.rebalance();
    round.returnColdKeys();
    round.mergeNeighbours();
    return std::move(round).proposals();
}

} // namespace pimentomast::balancing
