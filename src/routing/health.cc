#include "engine.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr double errorShareToEject = 0.5;
constexpr double peerErrorShareMax = 0.2;
constexpr unsigned errorSamplesMin = 10;
/// Time between two reports of an idle target after which a request that it did not answer is lost.
constexpr duration idleConfirmationTime = std::chrono::seconds(2);
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
        { lost.submitted.requestFingerprint, lost.run, m_now }, lostAttemptRetention);
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
    std::set<fingerprint> suspects;
    for (const lost_attempt& each : target.lost)
        if (each.run == run)
            suspects.insert(each.requestFingerprint);
    for (const request_number number : target.inFlight) {
        const pending_request& inFlight = m_requests.at(number);
        if (inFlight.run == run)
            suspects.insert(inFlight.submitted.requestFingerprint);
    }
    m_quarantine.addUnattributed(m_now, target.row.id, run);
    std::vector<crash> records;
    records.reserve(suspects.size());
    for (const fingerprint requestFingerprint : suspects)
        records.push_back({ requestFingerprint, target.row.id, run, m_now, false });
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

bool engine::isOverdue(const pending_request& inFlight) const
{
    const auto found = m_services.find(inFlight.submitted.service);
    const duration bound
        = found == m_services.end() ? duration {} : found->second.firstByte.upperBound();
    return bound > duration {} && m_now - inFlight.sent >= bound;
}

duration engine::lateAfter(const service_id& service) const
{
    const auto found = m_services.find(service);
    const duration firstByteBound
        = found == m_services.end() ? duration {} : found->second.firstByte.upperBound();
    const auto scaled
        = std::chrono::duration_cast<duration>(firstByteBound * m_settings.lateFactor);
    return std::max<duration>(m_settings.lateMin, scaled);
}

instant engine::lateAt(const pending_request& inFlight) const
{
    return inFlight.sent + lateAfter(inFlight.submitted.service);
}

// A request whose target was dropped from the table, perhaps to return as another, is not awaited.
void engine::awaitAnswer(const pending_request& inFlight)
{
    const request& submitted = inFlight.submitted;
    const target_state* target = findTarget(inFlight.target);
    if (target != nullptr && !inFlight.responded && target->inFlight.contains(submitted.number))
        m_unanswered[submitted.service].emplace(inFlight.sent, submitted.number);
}

void engine::endAwaitedAnswer(const pending_request& inFlight)
{
    const auto found = m_unanswered.find(inFlight.submitted.service);
    if (found != m_unanswered.end())
        found->second.erase({ inFlight.sent, inFlight.submitted.number });
}

void engine::requestLateProbes()
{
    for (const auto& [service, requests] : m_unanswered) {
        const instant sentBefore = m_now - lateAfter(service);
        for (auto next = requests.begin(); next != requests.end() && next->first <= sentBefore;
             ++next) {
            ++m_targetVisits;
            target_state& target = *findTarget(m_requests.at(next->second).target);
            target.health.requestProbe(m_now);
            indexProbe(target);
        }
    }
}

bool engine::isUnansweredSince(const pending_request& inFlight, instant probeStarted) const
{
    return inFlight.wasSent && !inFlight.responded && probeStarted >= lateAt(inFlight);
}

// The target answered a probe over a new connection while requests got no answer. Those on
// connections that were opened before their dispatch or, if the target reports no work, all of them
// are tried again. The attempts may yet have been answered, so none is given up unless another can
// follow.
void engine::retryLateAttempts(
    target_state& target, instant probeStarted, const load_report& reported)
{
    const bool reportsWork = reported.running + reported.queued > 0;
    std::vector<request_number> late;
    for (const request_number number : target.inFlight) {
        const pending_request& inFlight = m_requests.at(number);
        const bool isSuspect = inFlight.reusedConnection || !reportsWork;
        if (isSuspect && isUnansweredSince(inFlight, probeStarted))
            late.push_back(number);
    }
    if (!late.empty())
        m_actions.emplace_back(close_idle { target.row.id, probeStarted });
    for (const request_number number : late) {
        pending_request& inFlight = m_requests.at(number);
        if (!mayAttemptAgain(inFlight))
            continue;
        ++m_counts.silentConnections;
        attemptAgain(inFlight, retry_reason::ConnectionSilent, refusal_reason::ConnectionSilent);
    }
}

// A request that may not be repeated ends only if the target itself reports, twice, that it works
// on nothing: the first probe may have been answered before the request was read. Targets that
// report no load may be at work on it for as long as their connection lives.
void engine::endLostAttempts(
    target_state& target, instant probeStarted, const load_report& reported)
{
    const bool isIdle = m_settings.targetsReportLoad && reported.running + reported.queued == 0;
    std::vector<request_number> lost;
    for (const request_number number : target.inFlight) {
        pending_request& inFlight = m_requests.at(number);
        if (inFlight.submitted.repeatable)
            continue;
        if (!isIdle || !isUnansweredSince(inFlight, probeStarted))
            inFlight.idleSince.reset();
        else if (probeStarted - inFlight.idleSince.value_or(probeStarted) >= idleConfirmationTime)
            lost.push_back(number);
        else if (!inFlight.idleSince)
            inFlight.idleSince = probeStarted;
    }
    if (!lost.empty())
        m_actions.emplace_back(close_idle { target.row.id, probeStarted });
    for (const request_number number : lost) {
        pending_request& inFlight = m_requests.at(number);
        ++m_counts.silentConnections;
        abandonAttempt(inFlight);
        end(inFlight, outcome::Unknown, refusal_reason::ConnectionSilent);
    }
}

// An ejected target is not expected to answer late requests; repeatable ones are retried on another
// target.
void engine::endLateAttempts(target_state& target)
{
    const auto numbers = target.inFlight;
    for (const request_number number : numbers) {
        pending_request& inFlight = m_requests.at(number);
        if (isUnansweredSince(inFlight, m_now) && mayAttemptAgain(inFlight))
            attemptAgain(
                inFlight, retry_reason::AttemptTimedOut, refusal_reason::DeadlineAfterDispatch);
    }
}

void engine::abandonAttempt(pending_request& inFlight)
{
    m_actions.emplace_back(abandon { inFlight.submitted.number, inFlight.attempt });
    if (target_state* target = detachFromTarget(inFlight))
        recordLoss(inFlight, *target);
    inFlight.mayHaveRun = true;
}

// Precondition: mayAttemptAgain(). The retry is paid for at once: later there may be no token.
void engine::attemptAgain(pending_request& inFlight, retry_reason retry, refusal_reason reason)
{
    abandonAttempt(inFlight);
    chargeRetryBudgets(inFlight);
    inFlight.isRetryPaid = true;
    retryOrEnd(inFlight, retry, reason);
}

} // namespace pimentomast::routing
