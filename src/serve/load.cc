#include "load.h"

namespace pimentomast::serve::detail {
namespace {

constexpr std::size_t sketchKeys = 256;
constexpr std::chrono::seconds sketchHalfLifeS { 10 };
constexpr std::size_t reportedKeys = 32;
constexpr std::size_t mergedKeys = 64;
constexpr std::chrono::seconds reportLifeS { 10 };

double seconds(duration span) { return std::chrono::duration<double>(span).count(); }

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
    ++counted.slices[range.first];
}

wire::ServiceLoad load_meter::report(instant now, const service_id& service)
{
    auto& counted = find(now, service);
    const double elapsed = seconds(now - counted.since);
    wire::ServiceLoad load;
    load.set_service(service.value());
    for (const auto& [first, requests] : counted.slices) {
        if (elapsed <= 0)
            break;
        auto* message = load.add_slices();
        message->set_first(first.value());
        message->set_requests_per_second(static_cast<double>(requests) / elapsed);
    }
    for (const auto& key : counted.keys.top(now, reportedKeys)) {
        auto* message = load.add_hot_keys();
        message->set_hash(key.hash.value());
        message->set_requests_per_second(key.rate);
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

void load_sum::take(instant now, const host_id& host, const wire::ServiceLoad& load)
{
    report taken { now, {}, {} };
    for (const auto& part : load.slices())
        taken.slices[key_hash { part.first() }] += part.requests_per_second();
    for (const auto& key : load.hot_keys())
        taken.keys.push_back({ key_hash { key.hash() }, key.requests_per_second(), 0 });
    m_reports[host] = std::move(taken);
}

bool load_sum::current(const report& taken, instant now) { return now - taken.at <= reportLifeS; }

double load_sum::slice(instant now, key_hash first) const
{
    double sum = 0;
    for (const auto& [host, taken] : m_reports) {
        const auto found = taken.slices.find(first);
        if (current(taken, now) && found != taken.slices.end())
            sum += found->second;
    }
    return sum;
}

std::vector<balancing::hot_key> load_sum::hotKeys(instant now) const
{
    std::vector<std::vector<balancing::hot_key>> lists;
    for (const auto& [host, taken] : m_reports) {
        if (current(taken, now))
            lists.push_back(taken.keys);
    }
    return balancing::merge(lists, mergedKeys);
}

} // namespace pimentomast::serve::detail
