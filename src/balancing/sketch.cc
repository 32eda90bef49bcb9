#include "pimentomast/balancing.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace pimentomast::balancing {

namespace {

bool isHotter(const hot_key& a, const hot_key& b)
{
    return a.rate != b.rate ? a.rate > b.rate : a.hash < b.hash;
}

std::vector<hot_key> hottest(std::vector<hot_key> keys, std::size_t limit)
{
    std::sort(keys.begin(), keys.end(), isHotter);
    if (keys.size() > limit)
        keys.resize(limit);
    return keys;
}

} // namespace

result<sketch> sketch::create(std::size_t capacity, duration halfLife)
{
    if (capacity == 0 || halfLife <= duration::zero())
        return error { "create sketch", "", "capacity and half-life must be positive" };
    return sketch(capacity, halfLife);
}

sketch::sketch(std::size_t capacity, duration halfLife)
    : m_capacity(capacity)
    , m_halfLife(halfLife)
{
    m_entries.reserve(capacity);
}

void sketch::add(instant now, key_hash key)
{
    decay(now);
    const auto isSame = [key](const entry& each) { return each.hash == key; };
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), isSame);
    if (found != m_entries.end()) {
        found->count += 1;
        return;
    }
    if (m_entries.size() < m_capacity) {
        m_entries.push_back({ key, 1, 0 });
        return;
    }
    const auto least = std::min_element(m_entries.begin(), m_entries.end(),
        [](const entry& a, const entry& b) { return a.count < b.count; });
    *least = { key, least->count + 1, least->count };
}

// At a constant rate, a count that halves every half-life converges to rate * halfLife / ln 2.
std::vector<hot_key> sketch::top(instant now, std::size_t limit) const
{
    const double perSecond
        = std::log(2.0) / std::chrono::duration<double>(m_halfLife).count() * decayFactor(now);
    std::vector<hot_key> keys;
    keys.reserve(m_entries.size());
    for (const entry& each : m_entries)
        keys.push_back({ each.hash, each.count * perSecond, each.error * perSecond });
    return hottest(std::move(keys), limit);
}

// Decays all counts at most once per sixteenth of the half-life, so that most calls update only one
// entry.
void sketch::decay(instant now)
{
    if (m_entries.empty())
        m_last = now;
    if (now - m_last < m_halfLife / 16)
        return;
    const double factor = decayFactor(now);
    for (entry& each : m_entries) {
        each.count *= factor;
        each.error *= factor;
    }
    m_last = now;
}

double sketch::decayFactor(instant now) const
{
    const auto passed = std::chrono::duration<double>(now - m_last).count();
    return std::exp2(-passed / std::chrono::duration<double>(m_halfLife).count());
}

std::vector<hot_key> mergeHotKeys(const std::vector<std::vector<hot_key>>& lists, std::size_t limit)
{
    std::map<key_hash, hot_key> sums;
    for (const auto& list : lists) {
        for (const hot_key& each : list) {
            hot_key& sum = sums[each.hash];
            sum.hash = each.hash;
            sum.rate += each.rate;
            sum.error += each.error;
        }
    }
    std::vector<hot_key> keys;
    keys.reserve(sums.size());
    for (const auto& [hash, sum] : sums)
        keys.push_back(sum);
    return hottest(std::move(keys), limit);
}

} // namespace pimentomast::balancing
