#include "pimentomast/membership.h"

#include <algorithm>

namespace pimentomast::membership {

namespace {
/// No entry expires in a shorter outage of the store.
constexpr std::chrono::milliseconds minOutage { 1500 };
/// After an outage, entries that expired are registered again within this time if their owners are
/// alive.
constexpr std::chrono::milliseconds reregistrationGrace { 2300 };

struct group_count {
    std::size_t known = 0;
    std::size_t missing = 0;
};
} // namespace

void removal_filter::recordStoreAnswer(instant at)
{
    if (m_lastAnswer && at - *m_lastAnswer >= minOutage)
        m_graceUntil = at + reregistrationGrace;
    m_lastAnswer = m_lastAnswer ? std::max(*m_lastAnswer, at) : at;
}

void removal_filter::recordRestore(instant at)
{
    m_restoreGraceUntil = at + reregistrationGrace;
    m_graceUntil = std::max(m_graceUntil, m_restoreGraceUntil);
}

void removal_filter::classifyMissing(instant now, const std::vector<grouped_entry>& known)
{
    std::map<service_id, group_count> groups;
    for (const auto& each : known) {
        auto& count = groups[each.group];
        ++count.known;
        count.missing += m_missing.contains(each.name) ? 1 : 0;
    }
    for (const auto& each : known) {
        const auto found = m_missing.find(each.name);
        if (found == m_missing.end())
            continue;
        const auto& count = groups[each.group];
        const bool expired = now < m_restoreGraceUntil || 2 * count.missing > count.known;
        found->second = expired ? m_graceUntil : now;
    }
}

std::vector<std::string> removal_filter::takeRemoved(
    instant now, const std::vector<grouped_entry>& known)
{
    if (now < m_graceUntil)
        classifyMissing(now, known);
    std::vector<std::string> left;
    std::erase_if(m_missing, [&](const auto& each) {
        if (each.second > now)
            return false;
        left.push_back(each.first);
        return true;
    });
    return left;
}

} // namespace pimentomast::membership
