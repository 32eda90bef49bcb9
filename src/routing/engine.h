#pragma once

#include "caller_shares.h"
#include "fair_queue.h"
#include "host_count.h"
#include "pimentomast/routing.h"
#include "quarantine.h"
#include "retry_budget.h"
#include "target_health.h"
#include "warmup_quota.h"
#include "weighted_choice.h"
#include "window.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace pimentomast::routing {

/// Assumed latency of a target or service that has not answered yet.
inline constexpr duration initialLatency = std::chrono::milliseconds(10);

/// State of a request that has not ended.
enum class phase {
    /// In the fair queue of its service or, for keyed services, of its target.
    Queued,
    /// Waits for its backoff after a failed attempt, or for the probe of a target that it may have
    /// crashed.
    BackingOff,
    /// Waits for its service's and its caller's retry budgets.
    AwaitingBudget,
    /// Its key has no owner at the moment.
    Unowned,
    InFlight,
};

/// A request that has not ended yet.
struct pending_request {
    request submitted;
    phase currentPhase = phase::Queued;
    attempt_number attempt;
    /// Keyed services: the target in whose queue it waits.
    target_id queuedTarget;
    /// Target of the last attempt, and its run when the attempt started.
    target_id target;
    incarnation run;
    std::vector<target_id> tried;
    instant dispatched;
    instant sent;
    bool wasSent = false;
    /// Number of attempts that sent bytes.
    unsigned sends = 0;
    /// Keyed services: the grant that was sent with the last attempt.
    std::optional<token> grant;
    /// The owner of the key and its grant, if the last attempt was refused with them, and the time
    /// until which the request is not sent with them again.
    std::optional<owned_by> refusedOwner;
    instant refusedUntil;
    unsigned ownerRefusals = 0;
    bool reusedConnection = false;
    bool responded = false;
    /// Start of the first of the probes that found the target idle since this attempt became late.
    std::optional<instant> idleSince;
    /// The retry budgets have been charged for the next attempt.
    bool isRetryPaid = false;
    bool callerGone = false;
    /// It waited because a cold target could not take more.
    bool delayedByWarmup = false;
    /// An earlier attempt may have run.
    bool mayHaveRun = false;
    /// Set by the last attempt's failure.
    std::optional<retry_reason> retry;
    refusal_reason failure = refusal_reason::DeadlineBeforeDispatch;
    duration retryAfter {};
    duration expectedWait {};
    instant notBefore;
    instant heldUntil;

    /// Start of the last attempt.
    [[nodiscard]] instant sentOrDispatched() const noexcept { return wasSent ? sent : dispatched; }
};

/// A request that was in flight on a run of a target when its connection broke.
struct lost_attempt {
    fingerprint requestFingerprint;
    incarnation run;
    instant sent;
    instant at;
};

/// A request's connection broke, and no probe has shown yet whether the target crashed.
struct unresolved_loss {
    target_id target;
    instant at;
};

/// Staggers the retries of refused requests, so that they do not all compete for the same free
/// slot.
class retry_after_schedule {
public:
    /// Returns the delay until the next retry time, at least `earliest`; retry times are
    /// `perRequest` apart. A time after `until` is too late to be useful and is not reserved.
    duration next(instant now, duration earliest, duration perRequest, instant until);

private:
    instant m_nextFree {};
};

struct target_state {
    target_state(const table::target_row& from, const target_health::limits& healthLimits,
        const window::limits& windowLimits, double quantum, instant added, instant slowStartBegin);

    table::target_row row;
    target_health health;
    routing::window window;
    warmup_quota quota;
    /// Until when the target is cold according to its answers to probes.
    instant probedColdUntil {};
    /// This host may send to the target while it is cold. Up to date while it is cold.
    bool isSender = false;
    /// Keyed services only.
    fair_queue waiting;
    std::set<request_number> inFlight;
    std::vector<lost_attempt> lost;
    std::optional<incarnation> run;
    retry_after_schedule retryAfterSchedule;
    std::optional<load_report> report;
    instant reportedAt {};
    double reportTrust = 1;
    /// Counted since the last call of takeSpeedSamples(); its target is not set.
    speed_sample speed;
    double speedFactor = 1;
    instant shedUntil {};
    /// From when the target counts as leaving.
    std::optional<instant> leavingSince;
    unsigned connections = 1;
    /// The only request that may be in flight, because it is suspected of crashing targets.
    std::optional<request_number> isolated;
    instant isolatedUntil {};
    /// Requests whose connection broke; retried once a probe has shown whether the target crashed.
    std::vector<request_number> awaitingProbe;
    bool runSeen = false;
    /// Its index in service_state::targets.
    std::size_t position = 0;
    /// Its probeDue() in the engine's index of probes.
    instant indexedProbe = instant::max();

    /// Reduces the trust in load reports if the target shed while it reported free slots.
    void reduceTrustIfSlotsFree();
    void addLostAttempt(const lost_attempt& attempt, duration retention);
};

struct service_state {
    service_state(const table::service_row& from, const options& settings, double quantum,
        std::uint64_t seed);

    table::service_row row;
    std::vector<target_id> targets;
    /// Targets that are chosen before all others, if there are any; unkeyed services only.
    std::vector<target_id> preferred;
    /// The targets whose own queue is not empty, by position.
    std::map<std::size_t, target_state*> queued;
    /// Unkeyed services only.
    fair_queue waiting;
    weighted_choice choice;
    /// Of preferred targets. Turns in the whole service are rare for a host that prefers some of
    /// its targets, so a common choice would not keep the order of the others: all hosts would send
    /// to the same ones first.
    weighted_choice preferredChoice;
    retry_budget budget;
    /// Unkeyed services only.
    retry_after_schedule retryAfterSchedule;
    std::deque<request_number> unowned;
    std::deque<request_number> awaitingBudget;
    std::map<caller_id, std::set<request_number>> waitingByCaller;
    std::size_t waitingCount = 0;
    caller_shares shares;
    unsigned inFlight = 0;
    latency_estimate latency;
    latency_estimate firstByte;
    std::unordered_map<caller_id, latency_estimate> callerLatency;
    /// Time between dispatches while more requests were waiting.
    latency_estimate drainGap;
    unsigned drainSamples = 0;
    instant lastDrain {};
    bool wasBacklogged = false;
};

class engine final : public router {
public:
    engine(const options& settings, const owner_lookup& owners);

    actions applyTable(instant now, const table::table& rows) override;
    actions applyLiveHosts(instant now, std::optional<unsigned> count) override;
    actions applyListedHosts(
        instant now, const host_id& self, const std::vector<host_id>& listed) override;
    actions ownersChanged(instant now, const service_id& service) override;
    actions arrive(instant now, const request& submitted) override;
    actions cancel(instant now, request_number number) override;
    actions sent(instant now, request_number number, attempt_number attempt,
        instant connectionOpened) override;
    actions responded(instant now, request_number number, attempt_number attempt) override;
    actions identify(instant now, request_number number, fingerprint requestFingerprint) override;
    actions finish(instant now, request_number number, attempt_number attempt,
        const attempt_result& ended) override;
    actions report(instant now, const target_id& target, const load_report& load) override;
    actions probed(instant now, const target_id& target, const probe_result& ended) override;
    actions applyCrashes(instant now, const std::vector<crash>& records) override;
    actions pardon(instant now, fingerprint requestFingerprint) override;
    actions applyEvenLoad(instant now, const even_load& shared) override;
    [[nodiscard]] std::vector<speed_sample> takeSpeedSamples() override;
    actions applyTableConfirmed(instant now, bool confirmed) override;
    actions stop(instant now) override;
    actions tick(instant now) override;
    [[nodiscard]] instant nextDue() const override;
    [[nodiscard]] std::vector<crash> crashes() const override;
    [[nodiscard]] std::uint64_t crashesHash() const override;
    [[nodiscard]] std::vector<suspect> suspects() const override;
    [[nodiscard]] const counters& counts() const noexcept override { return m_counts; }
    [[nodiscard]] std::vector<target_view> targets() const override;

    /// Number of times that a target was looked at to find out what is due, since the engine was
    /// created.
    [[nodiscard]] std::uint64_t targetVisits() const noexcept { return m_targetVisits; }

private:
    friend struct finish_visitor;
    /// Defined by the tests, which compare the indexes with a search.
    friend struct engine_search;
    using sent_request = std::pair<instant, request_number>;
    using connection_divisors = std::pair<unsigned, unsigned>;

    [[nodiscard]] actions takeActions() { return std::exchange(m_actions, {}); }

    // engine.cc: table and hosts
    void applyServices(const table::table& rows);
    void applyTargets(const table::table& rows);
    void dropTarget(const target_id& id);
    void updateConnections();
    void updateConnectionsIfHostsChanged();

    // waiting.cc: requests that are not in flight
    [[nodiscard]] std::optional<refusal_reason> refusalAtArrival(const request& submitted);
    /// Estimate for a request at the end of a queue.
    struct queue_estimate {
        duration wait {};
        /// Time between two dispatches from the queue.
        duration perRequest {};
        /// Latency of the target once the request is dispatched.
        duration latency {};
        /// Part of the wait that is due to cold targets.
        duration warming {};
    };
    [[nodiscard]] queue_estimate targetQueueEstimate(
        const target_state& target, std::size_t ahead) const;
    [[nodiscard]] queue_estimate serviceQueueEstimate(const service_state& service) const;
    bool refuseLate(request_number number);
    [[nodiscard]] bool missesDeadline(const request& submitted, const service_state& service) const;
    bool makeRoom(service_state& service, const caller_id& arriving);
    void enqueue(pending_request& waiting);
    void pushToQueue(pending_request& waiting, fair_queue& in);
    void enqueueUnowned(pending_request& waiting);
    [[nodiscard]] bool hasLeft(const target_state& target) const;
    void refuseLateUnowned(service_state& service);
    void dequeue(pending_request& waiting);
    void retryUnowned(service_state& service);
    /// Call after each change of the target's own queue.
    void indexQueue(target_state& target);
    void holdForNewOwner(pending_request& refused);
    [[nodiscard]] bool isRefusedOwner(const pending_request& waiting, const owned_by& owner) const;
    void countWaiting(const pending_request& waiting);
    void uncountWaiting(const pending_request& waiting);
    [[nodiscard]] double cost(const service_state& service, const caller_id& caller) const;
    void end(pending_request& ended, outcome requestOutcome, refusal_reason reason);
    void forget(request_number number);

    // warming.cc: cold targets
    [[nodiscard]] static instant coldUntil(const target_state& target);
    [[nodiscard]] bool isCold(const target_state& target) const;
    /// Whether the limit of cold targets allows this host one more request to the target.
    [[nodiscard]] bool warmupAllows(const target_state& target) const;
    /// When warmupAllows() becomes true if no other event happens.
    [[nodiscard]] instant warmupOpensAt(const target_state& target) const;
    /// For how long the limit delays a request that has this many others ahead of it.
    [[nodiscard]] duration warmupWait(const target_state& target, std::size_t ahead) const;
    /// The same for a service without keys; zero if one of its targets is warm.
    [[nodiscard]] duration warmupWait(const service_state& service) const;
    void applyWarmup(target_state& target, const table::table& rows);
    void applyProbedWarmup(target_state& target, duration coldFor);
    void updateSender(target_state& target);
    void updateSenders();
    /// Refuses a request in a target's queue that could not be answered in time. Returns whether it
    /// was refused.
    bool refuseWarming(pending_request& waiting, target_state& target, std::size_t ahead);
    void refuseWarming();
    void countDelay(pending_request& waiting, const target_state& target);
    void countDelay(pending_request& waiting, const service_state& service);

    // dispatching.cc: from waiting to in flight
    void dispatchAll();
    void dispatchService(service_state& service);
    void dispatchQueuedTargets(service_state& service);
    void dispatchTarget(target_state& target);
    bool dispatchNextUnkeyed(service_state& service);
    bool dispatchNextKeyed(target_state& target);
    bool dispatchKeyed(target_state& target, pending_request& waiting);
    [[nodiscard]] std::array<std::optional<request_number>, 2> candidates(
        const service_state& service, fair_queue& in);
    [[nodiscard]] bool mayRetry(const pending_request& waiting);
    [[nodiscard]] bool workerFree(const service_state& service) const;
    [[nodiscard]] bool eligible(const target_state& target, const pending_request& waiting) const;
    [[nodiscard]] bool windowAllows(
        const target_state& target, const pending_request& waiting) const;
    [[nodiscard]] std::optional<target_id> chooseTarget(
        service_state& service, const pending_request& waiting);
    /// Returns nothing if there are fewer candidates than this.
    [[nodiscard]] std::optional<target_id> chooseAmong(const std::vector<target_id>& targets,
        const service_state& service, weighted_choice& choice, const pending_request& waiting,
        std::size_t candidatesMin);
    [[nodiscard]] double estimatedLoad(const target_state& target) const;
    [[nodiscard]] double reportRelevance(const target_state& target) const;
    [[nodiscard]] double currentSlowdown(const target_state& target) const;
    [[nodiscard]] double effectiveWeight(
        const target_state& target, const service_state& service) const;
    void startAttempt(pending_request& waiting, target_state& target, std::optional<token> grant);
    static void recordDrainGap(service_state& service, instant now);

    // attempts.cc and retries.cc: ends of attempts
    [[nodiscard]] pending_request* currentAttempt(request_number number, attempt_number attempt);
    target_state* detachFromTarget(pending_request& ended);
    void retryOrEnd(pending_request& failed, retry_reason retry, refusal_reason reason);
    /// Whether the host and the request's own limit allow an attempt after this one.
    [[nodiscard]] bool allowsAttempt(const pending_request& inFlight);
    /// Whether a request that may be repeated will be attempted again if this attempt is given up.
    [[nodiscard]] bool mayAttemptAgain(const pending_request& inFlight);
    void backOff(pending_request& failed);
    [[nodiscard]] duration failureBackoff(const pending_request& failed) const;
    [[nodiscard]] duration shedBackoff(const pending_request& failed) const;
    void awaitProbe(pending_request& failed);
    bool awaitCrashCheck(pending_request& waiting);
    void clearSuspect(const pending_request& ended, const answered& result);
    void adaptWindow(target_state& target, const request& submitted, bool wasShed);
    void recordLatency(const request& submitted, const answered& result);

    // speed.cc: samples of the targets' speed
    static void countAnswer(target_state& target, const answered& result);
    void preferTargets(service_state& service);
    /// Counts an attempt that ended without an answer, if it took longer than is usual.
    void countUnanswered(target_state& target, const pending_request& ended);

    // health.cc: probes, ejection, crashes
    void updateRun(target_state& target, incarnation run);
    void attributeCrash(target_state& target, incarnation run);
    void clear(fingerprint requestFingerprint);
    void ejectIfFailing(target_state& target);
    void ejectErrorOutlier(target_state& target);
    void eject(target_state& target);
    [[nodiscard]] bool mayEject(const target_state& target) const;
    /// Call after each change of the target's health that may move its probeDue().
    void indexProbe(target_state& target);
    [[nodiscard]] std::vector<target_state*> targetsWithDueProbe() const;
    void startDueProbes();
    void startProbe(target_state& target);
    void releaseAwaitingProbe(target_state& target);
    void releaseAwaitingProbe(target_state& target, pending_request& waiting);
    void recordLoss(const pending_request& lost, target_state& target);
    void resolveLosses(const target_state& target, instant until);
    void refuseQuarantined();
    void updateReport(target_state& target, const load_report& load);
    void onRunEnded(target_state& target);

    // late.cc: late answers, and attempts that are given up for them
    void requestLateProbes();
    /// Time from the first byte of a request of the service to when its answer is late.
    [[nodiscard]] duration lateAfter(const service_id& service) const;
    [[nodiscard]] instant lateAt(const pending_request& inFlight) const;
    void awaitAnswer(const pending_request& inFlight);
    void endAwaitedAnswer(const pending_request& inFlight);
    /// Whether the first byte is later than nearly all of the service's.
    [[nodiscard]] bool isOverdue(const pending_request& inFlight) const;
    /// Whether a request was late already when the probe started, and has no answer yet.
    [[nodiscard]] bool isUnansweredSince(
        const pending_request& inFlight, instant probeStarted) const;
    void retryLateAttempts(target_state& target, instant probeStarted, const load_report& reported);
    void endLostAttempts(target_state& target, instant probeStarted, const load_report& reported);
    void endLateAttempts(target_state& target);
    void abandonAttempt(pending_request& inFlight);
    void attemptAgain(pending_request& inFlight, retry_reason retry, refusal_reason reason);

    // tick.cc and retries.cc: timers and retry budgets
    void endBackoffs();
    void resume(pending_request& waiting);
    void resumeAwaitingBudget(service_state& service);
    void chargeRetryBudgets(const pending_request& waiting);
    void creditRetryBudgets(service_state& service, const caller_id& caller);
    [[nodiscard]] retry_budget& callerBudget(const caller_id& caller);
    void expireDeadlines();
    [[nodiscard]] refusal_reason reasonAtDeadline(const pending_request& late);
    [[nodiscard]] instant nextLate() const;
    [[nodiscard]] instant nextUnowned(const service_state& service) const;
    [[nodiscard]] instant nextOpening(const service_state& service) const;
    [[nodiscard]] instant opensAt(const target_state& target) const;

    [[nodiscard]] target_state* findTarget(const target_id& id);
    [[nodiscard]] service_state* findService(const service_id& id);
    [[nodiscard]] pending_request* find(request_number number);

    options m_settings;
    const owner_lookup& m_owners;
    target_health::limits m_healthLimits;
    window::limits m_windowLimits;
    instant m_now {};
    actions m_actions;
    bool m_stopping = false;
    bool m_confirmed = true;
    bool m_hasTable = false;
    std::map<service_id, service_state> m_services;
    std::map<target_id, target_state> m_targets;
    std::unordered_map<request_number, pending_request> m_requests;
    std::unordered_map<caller_id, retry_budget> m_callerBudgets;
    std::set<std::pair<instant, request_number>> m_backoffs;
    std::set<std::pair<instant, request_number>> m_deadlines;
    /// All targets by their probeDue().
    std::set<std::pair<instant, target_state*>> m_probes;
    /// Requests in flight at a target of the table that were sent and not answered, by the time of
    /// sending.
    std::map<service_id, std::set<sent_request>> m_unanswered;
    std::map<fingerprint, unsigned> m_inFlightFingerprints;
    host_count m_hosts;
    std::optional<even_load> m_evenLoad;
    /// What the targets' connections and windows were last divided by.
    connection_divisors m_appliedDivisors;
    mutable std::uint64_t m_targetVisits = 0;
    warmup_senders m_senders;
    quarantine m_quarantine;
    std::map<fingerprint, unresolved_loss> m_unresolvedLosses;
    std::mt19937_64 m_random;
    unsigned m_inFlight = 0;
    counters m_counts;
};

} // namespace pimentomast::routing
