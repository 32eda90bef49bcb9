#include "load.h"

#include <algorithm>
#include <cmath>

namespace pimentomast::serve::detail {
namespace {

constexpr std::size_t sketchKeys = 256;
constexpr std::chrono::seconds sketchHalfLifeS { 5 };
constexpr std::size_t reportedKeys = 32;
constexpr std::size_t mergedKeys = 64;
constexpr double negligibleRate = 0.01;
constexpr std::chrono::seconds minReportLifeS { 10 };
constexpr double reportLifeIntervals = 2.5;
constexpr std::chrono::seconds maxReportIntervalS { 10 };
constexpr double reportBytesPerSecond = 6000;
/// Of all hosts to one coordinator.
constexpr double reportsPerSecond = 150;

double seconds(duration span) { return std::chrono::duration<double>(span).count(); }

double width(const slice& range)
{
    return static_cast<double>(range.last.value() - range.first.value()) + 1;
}

} // namespace

load_meter::entry& load_meter::find(instant now, const service_id& service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        return found->second;
    entry fresh { balancing::sketch::create(sketchKeys, sketchHalfLifeS).value(), {}, now };
    return m_services.emplace(service, std::move(fresh)).first->second;
}

void load_meter::count(instant now, const service_id& service, slice range, key_hash key)
{
    auto& counted = find(now, service);
    counted.keys.add(now, key);
    ++counted.slices[range];
}

wire::ServiceLoad load_meter::report(instant now, const service_id& service)
{
    auto& counted = find(now, service);
    const double elapsed = seconds(now - counted.since);
    wire::ServiceLoad load;
    load.set_service(service.value());
    for (const auto& [range, requests] : counted.slices) {
        if (elapsed <= 0)
            break;
        auto* message = load.add_slices();
        message->set_first(range.first.value());
        message->set_last(range.last.value());
        message->set_requests_per_second(static_cast<double>(requests) / elapsed);
    }
    for (const auto& key : counted.keys.top(now, reportedKeys)) {
        auto* message = load.add_hot_keys();
        message->set_hash(key.hash.value());
        message->set_requests_per_second(key.rate);
        message->set_error(key.error);
    }
    counted.slices.clear();
    counted.since = now;
    return load;
}

std::vector<service_id> load_meter::services() const
{
    std::vector<service_id> ids;
    for (const auto& [service, counted] : m_services)
        ids.push_back(service);
    return ids;
}

duration reportInterval(std::size_t bytes, unsigned hosts, duration shortest)
{
    const std::chrono::duration<double> span(
        std::max(static_cast<double>(bytes) / reportBytesPerSecond, hosts / reportsPerSecond));
    return std::clamp<duration>(
        std::chrono::duration_cast<duration>(span), shortest, maxReportIntervalS);
}

void load_aggregator::addReport(instant now, const host_id& host, const wire::ServiceLoad& load)
{
    auto& taken = m_reports[host];
    const bool continuesReports = isFresh(taken, now);
    const double oldWeight
        = continuesReports ? std::exp2(-seconds(now - taken.at) / seconds(rateHalfLife)) : 0;
    for (auto& [range, rate] : taken.slices)
        rate *= oldWeight;
    for (const auto& part : load.slices()) {
        const slice range { key_hash { part.first() }, key_hash { part.last() } };
        taken.slices[range] += part.requests_per_second() * (1 - oldWeight);
    }
    std::erase_if(taken.slices, [](const auto& part) { return part.second < negligibleRate; });
    taken.keys.clear();
    for (const auto& key : load.hot_keys())
        taken.keys.push_back({ key_hash { key.hash() }, key.requests_per_second(), key.error() });
    taken.interval = continuesReports ? now - taken.at : duration {};
    taken.at = now;
}

bool load_aggregator::isFresh(const report& taken, instant now)
{
    const duration life = std::max<duration>(
        minReportLifeS, std::chrono::duration_cast<duration>(reportLifeIntervals * taken.interval));
    return taken.at != instant {} && now - taken.at <= life;
}

std::vector<double> load_aggregator::rates(instant now, const std::vector<slice>& ranges) const
{
    std::map<key_hash, std::size_t> byFirst;
    for (std::size_t i = 0; i < ranges.size(); ++i)
        byFirst.emplace(ranges[i].first, i);
    std::vector<double> sums(ranges.size());
    for (const auto& [host, taken] : m_reports) {
        if (!isFresh(taken, now))
            continue;
        for (const auto& [counted, rate] : taken.slices) {
            auto part = byFirst.upper_bound(counted.first);
            if (part != byFirst.begin())
                --part;
            for (; part != byFirst.end() && part->first <= counted.last; ++part)
                sums[part->second] += rateWithin(taken, counted, rate, ranges[part->second]);
        }
    }
    return sums;
}

// Counts hot keys where they are, and spreads the remaining load evenly over the counted slice.
double load_aggregator::rateWithin(
    const report& taken, const slice& counted, double rate, const slice& range)
{
    if (!overlap(counted, range))
        return 0;
    const slice shared = intersection(counted, range);
    if (shared == counted)
        return rate;
    double hot = 0;
    double hotInRange = 0;
    for (const auto& key : taken.keys) {
        const double guaranteedRate = key.rate - key.error;
        hot += counted.contains(key.hash) ? guaranteedRate : 0;
        hotInRange += shared.contains(key.hash) ? guaranteedRate : 0;
    }
    const double scale = hot > rate ? rate / hot : 1;
    const double rest = std::max(0.0, rate - hot) * width(shared) / width(counted);
    return hotInRange * scale + rest;
}

load_profile load_aggregator::profile(instant now) const
{
    std::vector<load_profile::part> parts;
    for (const auto& [host, taken] : m_reports) {
        if (!isFresh(taken, now))
            continue;
        for (const auto& [range, rate] : taken.slices)
            parts.push_back({ range, rate });
    }
    return load_profile(std::move(parts));
}

load_profile::load_profile(std::vector<part> parts)
    : m_parts(std::move(parts))
{
    std::sort(m_parts.begin(), m_parts.end(),
        [](const part& left, const part& right) { return left.range < right.range; });
    for (const auto& each : m_parts)
        m_widest = std::max(m_widest, each.range.last.value() - each.range.first.value());
}

double load_profile::rate(const slice& range) const
{
    const auto startsBefore
        = [](const part& each, key_hash hash) { return each.range.first < hash; };
    const auto reach = std::min(m_widest, range.first.value());
    const auto from = std::lower_bound(
        m_parts.begin(), m_parts.end(), key_hash { range.first.value() - reach }, startsBefore);
    double sum = 0;
    for (auto each = from; each != m_parts.end() && each->range.first <= range.last; ++each) {
        if (overlap(each->range, range))
            sum += each->rate * width(intersection(each->range, range)) / width(each->range);
    }
    return sum;
}

std::vector<balancing::hot_key> load_aggregator::hotKeys(instant now) const
{
    std::vector<std::vector<balancing::hot_key>> lists;
    for (const auto& [host, taken] : m_reports) {
        if (isFresh(taken, now))
            lists.push_back(taken.keys);
    }
    return balancing::mergeHotKeys(lists, mergedKeys);
}

} // namespace pimentomast::serve::detail
