#include "quarantine.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

/// Two clearings within this time are ordered by their numbers: their times are known only up to
/// the transit times of the messages that brought them.
constexpr std::chrono::seconds clearingTolerance { 1 };

/// Spreads the bits of a value over the whole word (the finalizer of MurmurHash3).
std::uint64_t mixed(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

std::uint64_t hashOf(const crash& record)
{
    const auto target = hashKey(record.target.value()).value();
    const auto where = mixed(record.forgiven ? record.clearing.value() : target);
    return mixed(record.requestFingerprint.value() ^ where ^ mixed(record.run.value() + 1));
}

} // namespace

quarantine::quarantine(const limits& bounds)
    : m_limits(bounds)
{
}

std::vector<crash> quarantine::add(const std::vector<crash>& records)
{
    std::vector<crash> added;
    std::copy_if(
        records.begin(), records.end(), std::back_inserter(added), [this](const crash& record) {
            return record.forgiven ? addClearing(record) : addCrash(record);
        });
    if (!added.empty())
        recomputeVerdicts();
    return added;
}

bool quarantine::addCrash(const crash& record)
{
    if (forgiven(record.requestFingerprint, record.at))
        return false;
    auto [found, isFirst] = m_runs.try_emplace(run_id { record.target, record.run });
    ended_run& ended = found->second;
    ended.at = isFirst ? record.at : std::min(ended.at, record.at);
    const auto [known, isNew]
        = ended.suspects.try_emplace(record.requestFingerprint, record.inFlight);
    flight& inFlight = known->second;
    if (!inFlight)
        inFlight = record.inFlight;
    else if (record.inFlight)
        inFlight->extend(*record.inFlight);
    return isNew;
}

bool quarantine::addClearing(const crash& record)
{
    if (!isNewer(record))
        return false;
    setCleared(record.requestFingerprint, { record.at, record.clearing });
    return true;
}

bool quarantine::isNewer(const crash& clearing) const
{
    const auto found = m_cleared.find(clearing.requestFingerprint);
    if (found == m_cleared.end())
        return true;
    const cleared& known = found->second;
    if (known.number == clearing.clearing)
        return false;
    if (clearing.at > known.at + clearingTolerance)
        return true;
    return clearing.at + clearingTolerance >= known.at && clearing.clearing > known.number;
}

crash quarantine::clear(instant now, fingerprint requestFingerprint, clearing_id number)
{
    const auto known = m_cleared.find(requestFingerprint);
    if (known != m_cleared.end() && number <= known->second.number)
        number = clearing_id { known->second.number.value() + 1 };
    setCleared(requestFingerprint, { now, number });
    recomputeVerdicts();
    return { requestFingerprint, {}, {}, now, true, number };
}

void quarantine::setCleared(fingerprint requestFingerprint, const cleared& by)
{
    m_cleared[requestFingerprint] = by;
    for (auto& [id, ended] : m_runs) {
        if (ended.at <= by.at)
            ended.suspects.erase(requestFingerprint);
    }
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
    const auto before = m_runs.size() + m_cleared.size();
    std::erase_if(m_runs, [&](const auto& each) { return isOld(each.second.at); });
    std::erase_if(m_cleared, [&](const auto& each) { return isOld(each.second.at); });
    if (m_runs.size() + m_cleared.size() != before)
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
        for (const auto& [requestFingerprint, inFlight] : ended.suspects)
            known.push_back(
                { requestFingerprint, id.target, id.run, ended.at, false, {}, inFlight });
    for (const auto& [requestFingerprint, by] : m_cleared)
        known.push_back(
            { requestFingerprint, target_id {}, incarnation {}, by.at, true, by.number });
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
    const auto found = m_cleared.find(requestFingerprint);
    return found != m_cleared.end() && at <= found->second.at;
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

std::size_t quarantine::successiveRuns(fingerprint requestFingerprint, const run_set& own) const
{
    std::size_t count = 0;
    std::vector<flight_time> flights;
    for (const run_id& id : own) {
        if (const flight& known = m_runs.at(id).suspects.at(requestFingerprint))
            flights.push_back(*known);
        else
            ++count;
    }
    // The largest set of disjoint intervals: always the one that ends first.
    std::sort(flights.begin(), flights.end(),
        [](const flight_time& a, const flight_time& b) { return a.until < b.until; });
    std::optional<instant> lastEnd;
    for (const flight_time& each : flights) {
        if (lastEnd && each.from < *lastEnd)
            continue;
        lastEnd = each.until;
        ++count;
    }
    return count;
}

bool quarantine::isCulprit(
    fingerprint requestFingerprint, const run_set& own, const run_set& attributed) const
{
    if (own.size() < m_limits.crashes)
        return false;
    const bool hasBackgroundCrashes = backgroundOf(own, attributed) >= m_limits.backgroundCrashes;
    return successiveRuns(requestFingerprint, own)
        >= m_limits.crashes + (hasBackgroundCrashes ? 1 : 0);
}

bool quarantine::hasEqualSuspect(
    const suspicion_map& unattributed, fingerprint requestFingerprint, const run_set& own) const
{
    const auto isEqual = [&](const run_id& id, fingerprint other) {
        const auto found = unattributed.find(other);
        return other != requestFingerprint && found != unattributed.end()
            && found->second.size() >= own.size() && found->second.contains(id);
    };
    return std::any_of(own.begin(), own.end(), [&](const run_id& id) {
        const auto& suspects = m_runs.at(id).suspects;
        return std::any_of(suspects.begin(), suspects.end(),
            [&](const auto& other) { return isEqual(id, other.first); });
    });
}

bool quarantine::isFoundCulprit(const suspicion_map& unattributed, const run_set& attributed,
    fingerprint requestFingerprint) const
{
    const auto found = unattributed.find(requestFingerprint);
    return found != unattributed.end() && isCulprit(requestFingerprint, found->second, attributed)
        && !hasEqualSuspect(unattributed, requestFingerprint, found->second);
}

std::optional<fingerprint> quarantine::findCulprit(
    const suspicion_map& unattributed, const run_set& attributed) const
{
    for (const auto& [requestFingerprint, own] : unattributed)
        if (isFoundCulprit(unattributed, attributed, requestFingerprint))
            return requestFingerprint;
    return std::nullopt;
}

std::optional<fingerprint> quarantine::findCulpritOf(
    const run_id& id, const suspicion_map& unattributed, const run_set& attributed) const
{
    for (const auto& [each, inFlight] : m_runs.at(id).suspects)
        if (isFoundCulprit(unattributed, attributed, each))
            return each;
    return std::nullopt;
}

// Evaluates the crashes in order of time, so that later crashes do not revoke a refusal. Before a
// run is added there is no culprit, so one that it makes is among its own suspects; a run that is
// attributed, or a culprit that is found, can make one of any.
void quarantine::recomputeVerdicts()
{
    m_verdicts.clear();
    suspicion_map unattributed;
    run_set attributed;
    for (const run_id& id : runsInOrder()) {
        addSuspects(id, unattributed, attributed);
        auto culprit = attributed.contains(id) ? findCulprit(unattributed, attributed)
                                               : findCulpritOf(id, unattributed, attributed);
        while (culprit) {
            markCulprit(*culprit, unattributed, attributed);
            culprit = findCulprit(unattributed, attributed);
        }
    }
    for (const auto& [requestFingerprint, runs] : unattributed)
        if (!runs.empty())
            m_verdicts[requestFingerprint] = verdict::Suspected;
    recomputeHash();
}

void quarantine::recomputeHash()
{
    m_hash = 0;
    for (const crash& record : all())
        m_hash ^= hashOf(record);
}

// A crash with a known culprit in flight says nothing about the other requests.
void quarantine::addSuspects(
    const run_id& id, suspicion_map& unattributed, run_set& attributed) const
{
    const ended_run& ended = m_runs.at(id);
    const auto isKnownCulprit
        = [&](const auto& each) { return verdictOf(each.first) == verdict::Refused; };
    if (std::any_of(ended.suspects.begin(), ended.suspects.end(), isKnownCulprit)) {
        attributed.insert(id);
        return;
    }
    for (const auto& [requestFingerprint, inFlight] : ended.suspects)
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
