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

bool quarantine::add(const crash& record)
{
    if (forgiven(record.requestFingerprint, record.at))
        return false;
    if (record.forgiven) {
        m_forgiven[record.requestFingerprint] = record.at;
        recomputeVerdicts();
        return true;
    }
    auto [found, added] = m_runs.try_emplace(run_id { record.target, record.run });
    ended_run& ended = found->second;
    ended.at = added ? record.at : std::min(ended.at, record.at);
    const bool isNew = ended.suspects.insert(record.requestFingerprint).second;
    if (isNew)
        recomputeVerdicts();
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
        recomputeVerdicts();
}

quarantine::verdict quarantine::verdictOf(fingerprint requestFingerprint) const
{
    const auto found = m_verdicts.find(requestFingerprint);
    return found == m_verdicts.end() ? verdict::Clear : found->second;
}

std::vector<crash> quarantine::all() const
{
    std::vector<crash> known;
    for (const auto& [id, ended] : m_runs)
        for (const fingerprint requestFingerprint : ended.suspects)
            known.push_back({ requestFingerprint, id.target, id.run, ended.at, false });
    for (const auto& [requestFingerprint, at] : m_forgiven)
        known.push_back({ requestFingerprint, target_id {}, incarnation {}, at, true });
    return known;
}

std::vector<suspect> quarantine::suspects() const
{
    const auto known = all();
    std::vector<suspect> found;
    for (const auto& [requestFingerprint, status] : m_verdicts) {
        suspect each { requestFingerprint, status == verdict::Refused, {} };
        std::copy_if(
            known.begin(), known.end(), std::back_inserter(each.crashes), [&](const crash& record) {
                return record.requestFingerprint == each.requestFingerprint && !record.forgiven
                    && !forgiven(each.requestFingerprint, record.at);
            });
        found.push_back(std::move(each));
    }
    return found;
}

bool quarantine::forgiven(fingerprint requestFingerprint, instant at) const
{
    const auto found = m_forgiven.find(requestFingerprint);
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

std::size_t quarantine::backgroundOf(const run_set& own, const run_set& attributed) const
{
    instant last {};
    for (const run_id& id : own)
        last = std::max(last, m_runs.at(id).at);
    std::size_t others = 0;
    for (const auto& [id, ended] : m_runs) {
        const bool isRecent = ended.at + m_limits.backgroundWindow > last && ended.at <= last;
        if (isRecent && !own.contains(id) && !attributed.contains(id))
            ++others;
    }
    return others;
}

bool quarantine::isCulprit(const run_set& own, const run_set& attributed) const
{
    if (own.size() < m_limits.crashes)
        return false;
    const bool hasBackgroundCrashes = backgroundOf(own, attributed) >= m_limits.backgroundCrashes;
    return own.size() >= m_limits.crashes + (hasBackgroundCrashes ? 1 : 0);
}

bool quarantine::hasEqualSuspect(
    const suspicion_map& unattributed, fingerprint requestFingerprint, const run_set& own)
{
    return std::any_of(unattributed.begin(), unattributed.end(), [&](const auto& other) {
        const auto& [otherFingerprint, runs] = other;
        return otherFingerprint != requestFingerprint && runs.size() >= own.size()
            && overlap(runs, own);
    });
}

std::optional<fingerprint> quarantine::findCulprit(
    const suspicion_map& unattributed, const run_set& attributed) const
{
    for (const auto& [requestFingerprint, own] : unattributed)
        if (isCulprit(own, attributed) && !hasEqualSuspect(unattributed, requestFingerprint, own))
            return requestFingerprint;
    return std::nullopt;
}

// Evaluates the crashes in order of time, so that later crashes do not revoke a refusal.
void quarantine::recomputeVerdicts()
{
    m_verdicts.clear();
    suspicion_map unattributed;
    run_set attributed;
    for (const run_id& id : runsInOrder()) {
        addSuspects(id, unattributed, attributed);
        while (const auto culprit = findCulprit(unattributed, attributed))
            markCulprit(*culprit, unattributed, attributed);
    }
    for (const auto& [requestFingerprint, runs] : unattributed)
        if (!runs.empty())
            m_verdicts[requestFingerprint] = verdict::Suspected;
}

// A crash with a known culprit in flight says nothing about the other requests.
void quarantine::addSuspects(
    const run_id& id, suspicion_map& unattributed, run_set& attributed) const
{
    const ended_run& ended = m_runs.at(id);
    const auto isCulprit = [&](fingerprint requestFingerprint) {
        return verdictOf(requestFingerprint) == verdict::Refused;
    };
    if (std::any_of(ended.suspects.begin(), ended.suspects.end(), isCulprit)) {
        attributed.insert(id);
        return;
    }
    for (const fingerprint requestFingerprint : ended.suspects)
        if (!forgiven(requestFingerprint, ended.at))
            unattributed[requestFingerprint].insert(id);
}

void quarantine::markCulprit(fingerprint culprit, suspicion_map& unattributed, run_set& attributed)
{
    const run_set own = unattributed.at(culprit);
    m_verdicts[culprit] = verdict::Refused;
    attributed.insert(own.begin(), own.end());
    for (auto& [requestFingerprint, runs] : unattributed)
        std::erase_if(runs, [&](const run_id& id) { return own.contains(id); });
}

} // namespace pimentomast::routing
