#include "placement.h"

#include <algorithm>

namespace pimentomast::serve::detail {
namespace {

/// Slices are split until each part carries at most a target's mean load divided by this number.
constexpr double busyPartsPerMean = 4;

balancing::target_state stateOf(const ownership::target_view& view, const table::target_row& row)
{
    if (!view.reachable)
        return view.leaseExpired ? balancing::target_state::Lost : balancing::target_state::Suspect;
    if (row.state == table::mark::Leaving)
        return balancing::target_state::Leaving;
    return balancing::target_state::Ready;
}

const ownership::target_view* find(
    const std::vector<ownership::target_view>& views, const target_id& id)
{
    const auto found
        = std::find_if(views.begin(), views.end(), [&](const auto& view) { return view.id == id; });
    return found == views.end() ? nullptr : &*found;
}

bool isCold(instant now, const table::target_row& row)
{
    return row.coldUntil && now < *row.coldUntil;
}

struct proposal_visitor {
    ownership::placement_wanted& wanted;

    void operator()(const balancing::move_slice& change) const
    {
        wanted.slices.push_back({ change.keys, change.to });
    }
    void operator()(const balancing::merge_slices& change) const
    {
        wanted.joins.push_back({ change.first.first, change.second.last });
    }
    void operator()(const balancing::split_slice&) const { }
};

using placed_slices = std::vector<balancing::placed_slice>;

void splitBefore(placed_slices& placed, key_hash hash)
{
    const auto found = std::find_if(placed.begin(), placed.end(),
        [&](const auto& each) { return each.keys.first < hash && hash <= each.keys.last; });
    if (found != placed.end())
        (void)balancing::apply(instant {}, placed, balancing::split_slice { found->keys, hash });
}

void applyMove(instant now, placed_slices& placed, const ownership::wanted_slice& move)
{
    splitBefore(placed, move.range.first);
    if (move.range.last.value() < UINT64_MAX)
        splitBefore(placed, key_hash { move.range.last.value() + 1 });
    for (auto& each : placed) {
        if (!move.range.contains(each.keys.first))
            continue;
        each.owner = move.owner;
        each.movedAt = now;
    }
}

} // namespace

result<placement_planner> placement_planner::create(
    const table::service_row& service, const balancing::planner_options& common)
{
    auto options = common;
    options.churnPrice = service.churnPrice;
    options.keyWidth = table::keyWidth(service.keyForm);
    options.loadWindow = rateWindow;
    auto planner = balancing::planner::create(options);
    if (!planner)
        return planner.error();
    return placement_planner(planner.value(), options.keyWidth);
}

placement_planner::placement_planner(const balancing::planner& planner, std::uint64_t keyWidth)
    : m_planner(planner)
    , m_keyWidth(keyWidth)
{
}

void placement_planner::addLoad(instant now, const host_id& host, const wire::ServiceLoad& load)
{
    m_load.addReport(now, host, load);
}

ownership::placement_wanted placement_planner::plan(instant now,
    const ownership::assignment& committed, const std::vector<ownership::wanted_slice>& moving,
    const std::vector<ownership::target_view>& views, const std::vector<table::target_row>& rows)
{
    updateTenures(now, committed);
    updateReadyTimes(now, views, rows);
    const balancing::plan_input input { now, slices(now, committed, moving), targets(views, rows),
        m_load.hotKeys(now) };
    m_imbalance = balancing::imbalance(input.slices, input.targets);
    ownership::placement_wanted wanted;
    for (const auto& proposal : m_planner.plan(input))
        std::visit(proposal_visitor { wanted }, proposal);
    return wanted;
}

void placement_planner::updateTenures(instant now, const ownership::assignment& committed)
{
    std::map<key_hash, tenure> current;
    for (const auto& owned : committed.slices) {
        // A slice that was split off inherits the tenure of the slice that contained it.
        const auto after = m_tenures.upper_bound(owned.range.first);
        const bool known = after != m_tenures.begin();
        const bool stays = known && std::prev(after)->second.owner == owned.owner;
        current[owned.range.first] = { owned.owner, stays ? std::prev(after)->second.since : now };
    }
    m_tenures = std::move(current);
}

// A target that became cold gets load by slow start, as one that has just become reachable.
void placement_planner::updateReadyTimes(instant now,
    const std::vector<ownership::target_view>& targets, const std::vector<table::target_row>& rows)
{
    std::set<target_id> cold;
    for (const auto& row : rows) {
        if (!isCold(now, row))
            continue;
        cold.insert(row.id);
        if (!m_cold.contains(row.id))
            m_readySince.erase(row.id);
    }
    m_cold = std::move(cold);
    for (const auto& view : targets) {
        if (!view.reachable)
            m_readySince.erase(view.id);
        else
            m_readySince.try_emplace(view.id, now);
    }
}

std::vector<balancing::placed_slice> placement_planner::slices(instant now,
    const ownership::assignment& committed,
    const std::vector<ownership::wanted_slice>& moving) const
{
    std::vector<balancing::placed_slice> placed;
    for (const auto& owned : committed.slices) {
        balancing::placed_slice part;
        part.keys = owned.range;
        part.owner = owned.owner;
        part.movedAt = m_tenures.at(owned.range.first).since;
        placed.push_back(part);
    }
    for (const auto& each : moving)
        applyMove(now, placed, each);
    countLoads(now, placed);
    return m_keyWidth > 1 ? splitBusySlices(now, placed) : placed;
}

std::vector<balancing::placed_slice> placement_planner::splitBusySlices(
    instant now, const std::vector<balancing::placed_slice>& placed) const
{
    double total = 0;
    std::set<target_id> owners;
    for (const auto& each : placed) {
        total += each.load;
        if (each.owner)
            owners.insert(*each.owner);
    }
    const double mean = total / static_cast<double>(std::max<std::size_t>(owners.size(), 1));
    const auto profile = m_load.profile(now);
    std::vector<balancing::placed_slice> parts;
    for (const auto& each : placed)
        splitInto(profile, each, mean / busyPartsPerMean, parts);
    return parts;
}

void placement_planner::splitInto(const load_profile& profile, const balancing::placed_slice& whole,
    double maxLoad, std::vector<balancing::placed_slice>& parts) const
{
    const auto keys = (whole.keys.last.value() - whole.keys.first.value()) / m_keyWidth + 1;
    if (whole.load <= maxLoad || maxLoad <= 0 || keys < 2) {
        parts.push_back(whole);
        return;
    }
    const key_hash middle { whole.keys.first.value() + keys / 2 * m_keyWidth };
    auto lower = whole;
    auto upper = whole;
    lower.keys.last = key_hash { middle.value() - 1 };
    upper.keys.first = middle;
    lower.load = profile.rate(lower.keys);
    upper.load = profile.rate(upper.keys);
    splitInto(profile, lower, maxLoad, parts);
    splitInto(profile, upper, maxLoad, parts);
}

void placement_planner::countLoads(instant now, std::vector<balancing::placed_slice>& placed) const
{
    std::vector<slice> ranges;
    ranges.reserve(placed.size());
    for (const auto& each : placed)
        ranges.push_back(each.keys);
    const auto rates = m_load.rates(now, ranges);
    for (std::size_t i = 0; i < placed.size(); ++i)
        placed[i].load = rates[i];
}

std::vector<balancing::placement_target> placement_planner::targets(
    const std::vector<ownership::target_view>& views,
    const std::vector<table::target_row>& rows) const
{
    std::vector<balancing::placement_target> all;
    for (const auto& row : rows) {
        const auto* view = find(views, row.id);
        if (!view)
            continue;
        const auto ready = m_readySince.find(row.id);
        balancing::placement_target target;
        target.id = row.id;
        target.domain = row.domain;
        target.weight = row.weight;
        target.state = stateOf(*view, row);
        if (ready != m_readySince.end())
            target.readySince = ready->second;
        all.push_back(target);
    }
    return all;
}

} // namespace pimentomast::serve::detail
