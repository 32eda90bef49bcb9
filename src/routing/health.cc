#include "engine.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr double errorShareToEject = 0.5;
constexpr double peerErrorShareMax = 0.2;
constexpr unsigned errorSamplesMin = 10;
constexpr duration lostAttemptRetention = std::chrono::seconds(10);
constexpr double trustLossOnShed = 0.8;
constexpr double trustLossOnUnderReport = 0.9;

} // namespace

void target_state::reduceTrustIfSlotsFree()
{
    if (report && report->running + report->queued < row.slots)
        reportTrust *= trustLossOnShed;
}

void target_state::addLostAttempt(const lost_attempt& attempt, duration retention)
{
    std::erase_if(lost, [&](const lost_attempt& each) { return each.at + retention < attempt.at; });
    lost.push_back(attempt);
}

actions engine::report(instant now, const target_id& target, const load_report& load)
{
    m_now = now;
    target_state* known = findTarget(target);
    if (known == nullptr)
        return takeActions();
    if (load.run != incarnation {})
        updateRun(*known, load.run);
    updateReport(*known, load);
    return takeActions();
}

void engine::updateReport(target_state& target, const load_report& load)
{
    target.report = load;
    target.reportedAt = m_now;
    std::size_t answering = 0;
    for (const request_number number : target.inFlight)
        if (m_requests.at(number).responded)
            ++answering;
    if (load.running < answering)
        target.reportTrust *= trustLossOnUnderReport;
}

actions engine::probed(instant now, const target_id& target, const probe_result& ended)
{
    m_now = now;
    target_state* known = findTarget(target);
    if (known == nullptr)
        return takeActions();
    const auto started = known->health.probeStarted();
    if (const auto* good = std::get_if<probe_answered>(&ended)) {
        updateRun(*known, good->load.run);
        updateReport(*known, good->load);
        known->health.onProbeAnswered(now);
        applyProbedWarmup(*known, good->coldFor);
        if (started) {
            resolveLosses(*known, *started);
            retryLateAttempts(*known, *started, good->load);
            endLostAttempts(*known, *started, good->load);
        }
    } else {
        if (std::get<probe_failed>(ended).refused)
            onRunEnded(*known);
        known->health.onProbeFailed(now);
        ejectIfFailing(*known);
    }
    indexProbe(*known);
    releaseAwaitingProbe(*known);
    if (service_state* service = findService(known->row.service))
        dispatchService(*service);
    return takeActions();
}

void engine::updateRun(target_state& target, incarnation run)
{
    if (target.run == run)
        return;
    onRunEnded(target);
    const bool isFirst = !target.runSeen;
    target.run = run;
    target.runSeen = true;
    if (!isFirst)
        target.health.restart(m_now);
}

// The process with the incarnation target.run has ended. For a leaving target this is planned and
// no crash.
void engine::onRunEnded(target_state& target)
{
    if (!target.run)
        return;
    const incarnation run = *target.run;
    target.run.reset();
    target.report.reset();
    target.reportTrust = 1;
    if (target.row.state == table::mark::Active)
        attributeCrash(target, run);
    target.lost.clear();
    resolveLosses(target, m_now);
}

void engine::recordLoss(const pending_request& lost, target_state& target)
{
    target.addLostAttempt(
        { lost.submitted.requestFingerprint, lost.run, lost.sentOrDispatched(), m_now },
        lostAttemptRetention);
}

// It is now known whether the target's run survived these losses.
void engine::resolveLosses(const target_state& target, instant until)
{
    std::erase_if(m_unresolvedLosses, [&](const auto& each) {
        return each.second.target == target.row.id && each.second.at <= until;
    });
}

// Suspects are the requests in flight when the run ended and those whose connection to it broke
// shortly before.
void engine::attributeCrash(target_state& target, incarnation run)
{
    std::map<fingerprint, flight_time> suspects;
    const auto addSuspect = [&](fingerprint requestFingerprint, const flight_time& inFlight) {
        auto [found, isNew] = suspects.try_emplace(requestFingerprint, inFlight);
        if (!isNew)
            found->second.extend(inFlight);
    };
    for (const lost_attempt& each : target.lost)
        if (each.run == run)
            addSuspect(each.requestFingerprint, { each.sent, each.at });
    for (const request_number number : target.inFlight) {
        const pending_request& inFlight = m_requests.at(number);
        if (inFlight.run == run)
            addSuspect(
                inFlight.submitted.requestFingerprint, { inFlight.sentOrDispatched(), m_now });
    }
    m_quarantine.addUnattributed(m_now, target.row.id, run);
    std::vector<crash> records;
    records.reserve(suspects.size());
    for (const auto& [requestFingerprint, inFlight] : suspects)
        records.push_back({ requestFingerprint, target.row.id, run, m_now, false, {}, inFlight });
    for (const crash& record : m_quarantine.add(records))
        m_actions.emplace_back(broadcast_crash { record });
    refuseQuarantined();
}

actions engine::applyCrashes(instant now, const std::vector<crash>& records)
{
    m_now = now;
    if (!m_quarantine.add(records).empty())
        refuseQuarantined();
    return takeActions();
}

actions engine::pardon(instant now, fingerprint requestFingerprint)
{
    m_now = now;
    clear(requestFingerprint);
    return takeActions();
}

void engine::clear(fingerprint requestFingerprint)
{
    const crash cleared = m_quarantine.clear(m_now, requestFingerprint, clearing_id { m_random() });
    m_actions.emplace_back(broadcast_crash { cleared });
}

void engine::refuseQuarantined()
{
    std::vector<request_number> refused;
    for (const auto& [number, each] : m_requests) {
        const bool isWaiting = each.currentPhase != phase::InFlight;
        if (isWaiting
            && m_quarantine.verdictOf(each.submitted.requestFingerprint)
                == quarantine::verdict::Refused)
            refused.push_back(number);
    }
    for (const request_number number : refused)
        end(m_requests.at(number), outcome::NotRun, refusal_reason::Quarantined);
}

void engine::ejectIfFailing(target_state& target)
{
    if (target.health.failing() && !target.health.ejected())
        eject(target);
}

// Errors of most targets are attributed to the service; errors of a single target, while the others
// answer well, to that target.
void engine::ejectErrorOutlier(target_state& target)
{
    const target_health& health = target.health;
    if (health.ejected() || health.samples() < errorSamplesMin
        || health.errorShare() < errorShareToEject)
        return;
    const service_state* service = findService(target.row.service);
    double others = 0;
    std::size_t count = 0;
    for (const target_id& id : service->targets) {
        if (id == target.row.id)
            continue;
        others += m_targets.at(id).health.errorShare();
        ++count;
    }
    if (count > 0 && others / static_cast<double>(count) < peerErrorShareMax)
        eject(target);
}

void engine::eject(target_state& target)
{
    if (!mayEject(target)) {
        ++m_counts.ejectionsPrevented;
        return;
    }
    ++m_counts.ejections;
    target.health.eject(m_now);
    endLateAttempts(target);
}

// One target may always be ejected, unless it is the last active one that is not ejected.
bool engine::mayEject(const target_state& target) const
{
    double all = 0;
    double out = 0;
    std::size_t serving = 0;
    for (const target_id& id : m_services.at(target.row.service).targets) {
        const target_state& each = m_targets.at(id);
        if (each.row.state != table::mark::Active)
            continue;
        all += each.row.weight;
        if (each.health.ejected())
            out += each.row.weight;
        else if (&each != &target)
            ++serving;
    }
    const bool isFirst = out == 0;
    return serving > 0 && (isFirst || out + target.row.weight <= m_settings.ejectedMax * all);
}

void engine::indexProbe(target_state& target)
{
    const instant due = target.health.probeDue();
    if (due == target.indexedProbe)
        return;
    m_probes.erase({ target.indexedProbe, &target });
    m_probes.emplace(due, &target);
    target.indexedProbe = due;
}

// In the order of the ids, so that the random numbers that the probes use do not depend on
// addresses.
std::vector<target_state*> engine::targetsWithDueProbe() const
{
    std::vector<target_state*> due;
    for (auto next = m_probes.begin(); next != m_probes.end() && next->first <= m_now; ++next)
        due.push_back(next->second);
    std::sort(
        due.begin(), due.end(), [](const auto* a, const auto* b) { return a->row.id < b->row.id; });
    return due;
}

void engine::startDueProbes()
{
    for (target_state* target : targetsWithDueProbe()) {
        ++m_targetVisits;
        if (target->health.probing()) {
            target->health.onProbeFailed(m_now);
            ejectIfFailing(*target);
            releaseAwaitingProbe(*target);
        } else {
            startProbe(*target);
        }
        indexProbe(*target);
    }
}

void engine::startProbe(target_state& target)
{
    std::uniform_real_distribution<double> jitter(0.8, 1.2);
    target.health.onProbeStarted(m_now, jitter(m_random));
    m_actions.emplace_back(probe { target.row.id });
}

} // namespace pimentomast::routing
