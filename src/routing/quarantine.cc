#include "quarantine.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

template <class Set>
bool overlap(const Set& a, const Set& b)
{
    return std::any_of(a.begin(), a.end(), [&](const auto& each) { return b.contains(each); });
}

} // namespace

quarantine::quarantine(const limits& bounds)
    : m_limits(bounds)
{
}

bool quarantine::add(const crash& news)
{
    if (forgiven(news.print, news.at))
        return false;
    if (news.forgiven) {
        m_forgiven[news.print] = news.at;
        judgeAll();
        return true;
    }
    auto [found, added] = m_runs.try_emplace(run_id { news.target, news.run });
    ended_run& ended = found->second;
    ended.at = added ? news.at : std::min(ended.at, news.at);
    const bool isNew = ended.suspects.insert(news.print).second;
    if (isNew)
        judgeAll();
    return isNew;
}

void quarantine::addUnattributed(instant now, const target_id& target, incarnation run)
{
    auto [found, added] = m_runs.try_emplace(run_id { target, run });
    if (added)
        found->second.at = now;
}

void quarantine::expire(instant now)
{
    const auto isOld = [&](instant at) { return at + m_limits.expiry <= now; };
    const auto before = m_runs.size() + m_forgiven.size();
    std::erase_if(m_runs, [&](const auto& each) { return isOld(each.second.at); });
    std::erase_if(m_forgiven, [&](const auto& each) { return isOld(each.second); });
    if (m_runs.size() + m_forgiven.size() != before)
        judgeAll();
}

quarantine::verdict quarantine::judge(fingerprint print) const
{
    const auto found = m_verdicts.find(print);
    return found == m_verdicts.end() ? verdict::Clear : found->second;
}

std::vector<crash> quarantine::all() const
{
    std::vector<crash> known;
    for (const auto& [id, ended] : m_runs)
        for (const fingerprint print : ended.suspects)
            known.push_back({ print, id.target, id.run, ended.at, false });
    for (const auto& [print, at] : m_forgiven)
        known.push_back({ print, target_id {}, incarnation {}, at, true });
    return known;
}

std::vector<suspect> quarantine::suspects() const
{
    const auto known = all();
    std::vector<suspect> found;
    for (const auto& [print, ruling] : m_verdicts) {
        suspect each { print, ruling == verdict::Refused, {} };
        std::copy_if(
            known.begin(), known.end(), std::back_inserter(each.crashes), [&](const crash& news) {
                return news.print == each.print && !news.forgiven && !forgiven(each.print, news.at);
            });
        found.push_back(std::move(each));
    }
    return found;
}

bool quarantine::forgiven(fingerprint print, instant at) const
{
    const auto found = m_forgiven.find(print);
    return found != m_forgiven.end() && at <= found->second;
}

std::vector<quarantine::run_id> quarantine::runsInOrder() const
{
    std::vector<run_id> order;
    order.reserve(m_runs.size());
    for (const auto& [id, ended] : m_runs)
        order.push_back(id);
    std::stable_sort(order.begin(), order.end(),
        [&](const run_id& a, const run_id& b) { return m_runs.at(a).at < m_runs.at(b).at; });
    return order;
}

std::size_t quarantine::backgroundOf(const run_set& own, const run_set& explained) const
{
    instant last {};
    for (const run_id& id : own)
        last = std::max(last, m_runs.at(id).at);
    std::size_t others = 0;
    for (const auto& [id, ended] : m_runs) {
        const bool isRecent = ended.at + m_limits.backgroundWindow > last && ended.at <= last;
        if (isRecent && !own.contains(id) && !explained.contains(id))
            ++others;
    }
    return others;
}

bool quarantine::isGuilty(const run_set& own, const run_set& explained) const
{
    if (own.size() < m_limits.crashes)
        return false;
    const bool targetsDieAnyway = backgroundOf(own, explained) >= m_limits.backgroundCrashes;
    return own.size() >= m_limits.crashes + (targetsDieAnyway ? 1 : 0);
}

bool quarantine::hasRival(const suspicion_map& open, fingerprint print, const run_set& own)
{
    return std::any_of(open.begin(), open.end(), [&](const auto& other) {
        const auto& [otherPrint, runs] = other;
        return otherPrint != print && runs.size() >= own.size() && overlap(runs, own);
    });
}

std::optional<fingerprint> quarantine::findGuilty(
    const suspicion_map& open, const run_set& explained) const
{
    for (const auto& [print, own] : open)
        if (isGuilty(own, explained) && !hasRival(open, print, own))
            return print;
    return std::nullopt;
}

// Plays the crashes in the order of time: who is found guilty stays so, whatever crashes later.
void quarantine::judgeAll()
{
    m_verdicts.clear();
    suspicion_map open;
    run_set explained;
    for (const run_id& id : runsInOrder()) {
        addSuspects(id, open, explained);
        while (const auto guilty = findGuilty(open, explained))
            convict(*guilty, open, explained);
    }
    for (const auto& [print, runs] : open)
        if (!runs.empty())
            m_verdicts[print] = verdict::Suspected;
}

// A crash with a guilty request in flight says nothing about the others.
void quarantine::addSuspects(const run_id& id, suspicion_map& open, run_set& explained) const
{
    const ended_run& ended = m_runs.at(id);
    const auto isGuilty = [&](fingerprint print) { return judge(print) == verdict::Refused; };
    if (std::any_of(ended.suspects.begin(), ended.suspects.end(), isGuilty)) {
        explained.insert(id);
        return;
    }
    for (const fingerprint print : ended.suspects)
        if (!forgiven(print, ended.at))
            open[print].insert(id);
}

void quarantine::convict(fingerprint guilty, suspicion_map& open, run_set& explained)
{
    const run_set own = open.at(guilty);
    m_verdicts[guilty] = verdict::Refused;
    explained.insert(own.begin(), own.end());
    for (auto& [print, runs] : open)
        std::erase_if(runs, [&](const run_id& id) { return own.contains(id); });
}

} // namespace pimentomast::routing
