#pragma once

#include "pimentomast/core.h"
#include "pimentomast/table.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

/// Routing decisions of one entry host: admission control, fair queueing, target selection,
/// retries, target health and quarantine of requests that crash targets.
///
/// Performs no I/O and reads no clock: each call takes the current time and returns the actions to
/// execute, and random choices derive from a seed. No call blocks. A router is not thread-safe: the
/// calling code must serialize all calls and pass times that never decrease.
namespace pimentomast::routing {

/// Identifies a request on its host; never reused by a router.
using request_number = strong<struct request_number_tag, std::uint64_t>;
/// Counts the attempts of one request from 1.
using attempt_number = strong<struct attempt_number_tag, std::uint32_t>;
/// Hash of method, path, query and the start of the body; the same when a request is resent.
using fingerprint = strong<struct fingerprint_tag, std::uint64_t>;

/// A parsed request that waits to be forwarded.
struct request {
    request_number number;
    service_id service;
    /// Set if and only if the service is keyed.
    std::optional<key_hash> key;
    caller_id caller;
    /// Whether the request may be executed more than once.
    bool repeatable = false;
    instant arrival;
    /// No attempt starts or continues after this time.
    instant deadline;
    fingerprint requestFingerprint;
    /// Maximum number of attempts that send bytes to a target.
    unsigned attempts = 4;
    /// 0 is served first.
    unsigned priority = 0;
    /// Latency objective: a later answer is worth little, so a request that would wait longer is
    /// refused.
    instant objective = instant::max();
};

/// The key has an owner: requests for it are sent to the target with this token.
struct owned_by {
    target_id target;
    token grant;
};
/// The key is about to move to another owner: the request waits, at most until this time.
struct held_until {
    instant until;
};
/// No owner is known, or the host may not forward now (for example because its route lease
/// has expired).
struct no_owner { };
using owner_answer = std::variant<owned_by, held_until, no_owner>;

/// Looks up the owners of keys. The router calls it when a request arrives and again right before
/// each dispatch.
class owner_lookup {
public:
    virtual ~owner_lookup() = default;

    /// Returns the owner of the key at the time now. Called only while a call of the router is
    /// running.
    [[nodiscard]] virtual owner_answer find(
        instant now, const service_id& service, key_hash key) const = 0;
};

/// Whether a request that got no answer from a target may have been executed.
enum class outcome {
    NotRun,
    Unknown,
};

enum class refusal_reason {
    UnknownService,
    NoTarget,
    NoOwner,
    QueueFull,
    DeadlineBeforeDispatch,
    DeadlineUnreachable,
    DeadlineAfterDispatch,
    TargetShed,
    TokenRefused,
    TargetDraining,
    ConnectFailed,
    RetryBudget,
    ConnectionBroken,
    ConnectionSilent,
    Quarantined,
    HostStopping,
    TableUnconfirmed,
    WaitTooLong,
    TargetWarming,
    RefusalUnproved,
};
inline constexpr std::size_t refusalReasonCount = 20;

/// Why a request was attempted again.
enum class retry_reason {
    TargetShed,
    TokenRefused,
    TargetDraining,
    ConnectFailed,
    ConnectionBroken,
    ConnectionSilent,
    AttemptTimedOut,
};
inline constexpr std::size_t retryReasonCount = 7;

/// Returns the name as used in metrics and answers, such as "queue-full". Thread-safe.
[[nodiscard]] std::string_view name(outcome value) noexcept;
[[nodiscard]] std::string_view name(refusal_reason value) noexcept;
[[nodiscard]] std::string_view name(retry_reason value) noexcept;

/// The target answered, with any status.
struct answered {
    int status = 200;
    duration firstByte {};
    duration total {};
};
/// The target answered a request that may not be repeated with a status that promises that it has
/// not run, but did not state it.
struct refusal_unproved {
    answered answer {};
};
/// The target refused the request before executing it because of overload.
struct shed {
    std::optional<duration> retryAfter;
};
/// The target refused the request before executing it: it does not hold the key, or the token is
/// outdated.
struct token_refused { };
/// The target refused the request before executing it because it is draining.
struct draining { };
/// No connection was established, so no byte of the request was sent.
struct connect_failed {
    /// The connection was refused: no process is listening.
    bool refused = false;
};
/// The connection ended before the answer was complete, after bytes of the request may have been
/// sent.
struct broken {
    /// The target's machine no longer acknowledged anything.
    bool silent = false;
};
/// The attempt's deadline passed; the connection has been closed.
struct timed_out { };
/// The caller disconnected; the connection has been closed.
struct cancelled { };
using attempt_result = std::variant<answered, refusal_unproved, shed, token_refused, draining,
    connect_failed, broken, timed_out, cancelled>;

/// Load reported by a target. May be out of date or wrong.
struct load_report {
    incarnation run;
    unsigned running = 0;
    unsigned queued = 0;
    unsigned slots = 0;
    /// Time that work takes on the target's machine at the moment, relative to the usual time.
    double slowdown = 1;
};
/// What this host saw of a target's speed during some time.
struct speed_sample {
    target_id target;
    /// Attempts with an answer that is no server error, and attempts that got none for longer than
    /// is usual.
    std::uint64_t answers = 0;
    /// Sum of their times.
    duration total {};
    /// Attempts that ended because the target was full, or reset the connection unanswered.
    std::uint64_t rejections = 0;

    bool operator==(const speed_sample&) const = default;
};
/// Speeds of targets relative to the usual one of their service. A target that is missing has the
/// usual speed.
using speed_factors = std::map<target_id, double>;
/// What the hosts agree on to spread their requests evenly over the targets.
struct even_load {
    speed_factors factors;
    /// Position of this host among all of them, below hosts.
    unsigned rank = 0;
    unsigned hosts = 1;
};
/// The target answered the probe over a new connection.
struct probe_answered {
    load_report load;
    duration latency {};
    /// Remaining time for which the target is cold; zero if it is warm or does not state it.
    duration coldFor {};
};
/// The probe got no connection or no answer within its timeout.
struct probe_failed {
    /// The connection was refused: no process is listening.
    bool refused = false;
};
using probe_result = std::variant<probe_answered, probe_failed>;

/// Number of a clearing, by which it is known again however old its age makes it look.
using clearing_id = strong<struct clearing_id_tag, std::uint64_t>;

/// Time in which a request was in flight at a target.
struct flight_time {
    instant from;
    instant until;

    /// Includes the other time, and what lies between them.
    void extend(const flight_time& other) noexcept
    {
        from = std::min(from, other.from);
        until = std::max(until, other.until);
    }
};

/// Record that a request was in flight when a run of a target ended or, if forgiven is set, that
/// the request is cleared of all crashes up to this time.
struct crash {
    fingerprint requestFingerprint;
    target_id target;
    incarnation run;
    instant at;
    bool forgiven = false;
    /// Set if and only if forgiven is.
    clearing_id clearing {};
    /// When the request was in flight; unknown in records of hosts that do not state it.
    std::optional<flight_time> inFlight {};
};

/// A fingerprint suspected of crashing targets, and the crashes at which it was in flight.
struct suspect {
    fingerprint requestFingerprint;
    /// Whether its requests are refused; otherwise they are dispatched one at a time.
    bool refused = false;
    std::vector<crash> crashes;
};

/// Forward the request now, over a pooled or new connection to the target.
struct dispatch {
    request_number number;
    attempt_number attempt;
    target_id target;
    /// Set if and only if the service is keyed.
    std::optional<token> grant;
    /// End the attempt as timed_out at this time.
    instant deadline;
    /// Open a new connection; otherwise a pooled one may be used.
    bool newConnection = false;
};
/// Answer the caller with this outcome. The router no longer tracks the request.
struct refuse {
    request_number number;
    outcome requestOutcome = outcome::NotRun;
    refusal_reason reason = refusal_reason::NoTarget;
    /// Target of the last attempt, or target whose queue was too long; empty if there is none.
    target_id target;
    /// Suggested delay before the caller retries; zero if there is none.
    duration retryAfter {};
    /// Estimated time in the queue; zero unless this was the reason.
    duration expectedWait {};
};
/// Close the connection of this attempt without calling finish(); another action follows for the
/// request. If finish() is called anyway, it is ignored.
struct abandon {
    request_number number;
    attempt_number attempt;
};
/// Probe the target's health over a new connection and report the result with probed().
struct probe {
    target_id target;
};
/// Close the idle connections to the target that were opened before this time.
struct close_idle {
    target_id target;
    instant openedBefore;
};
/// From now on keep at most this many connections to the target, counting busy and idle ones and
/// those of probes.
struct limit_connections {
    target_id target;
    unsigned count = 1;
};
/// Send the record to the other hosts, which pass it to applyCrashes().
struct broadcast_crash {
    crash record;
};
using action = std::variant<dispatch, refuse, abandon, probe, close_idle, limit_connections,
    broadcast_crash>;
using actions = std::vector<action>;

/// Counts since the router was created.
struct counters {
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t ejections = 0;
    std::uint64_t ejectionsPrevented = 0;
    std::uint64_t silentConnections = 0;
    /// Requests that waited because a cold target could not take more.
    std::uint64_t delayedByWarmup = 0;
    /// Indexed by refusal_reason.
    std::array<std::uint64_t, refusalReasonCount> refusals {};
    /// Indexed by retry_reason.
    std::array<std::uint64_t, retryReasonCount> retries {};
};

/// State of a target as seen by this host.
struct target_view {
    target_id target;
    service_id service;
    unsigned outstanding = 0;
    unsigned queued = 0;
    /// Maximum number of requests that this host keeps in flight; below 1, requests are spaced out
    /// in time.
    double window = 0;
    bool ejected = false;
    /// Share of the full weight during slow start, from 0 to 1.
    double slowStartShare = 1;
    /// The target is cold, and its service limits cold targets.
    bool cold = false;
    duration latency {};
    /// Speed relative to the usual one of the service, as set by applyEvenLoad().
    double speedFactor = 1;
};

/// Settings of a router; docs/POLICY.md explains each.
struct options {
    std::uint64_t seed = 1;
    /// Maximum number of requests that this host has in flight, over all services.
    unsigned workers = 256;
    /// Minimum number of hosts to assume, since hosts may exist that this one has not been told of.
    unsigned assumedHosts = 16;
    /// How long a reported host count continues to limit this host's share of connections.
    std::chrono::milliseconds hostCountLag { 30000 };
    /// Retries allowed per first attempt, for each service and for each caller.
    double retryRatio = 0.09;
    /// Maximum number of unused retries that a budget accumulates.
    double retryBurst = 5;
    /// Exponent of the requests in flight in the cost by which a target is chosen.
    double loadBias = 2;
    /// Time constant of the decay of a reported load: after this time it counts for 1/e.
    std::chrono::milliseconds reportAge { 500 };
    /// Targets report their load in answers to probes and grants. If they don't, windows follow the
    /// latency of answers, a connection reset may mean that the target is overloaded, and a request
    /// whose connection broke is retried without waiting for a probe.
    bool targetsReportLoad = true;
    /// Whether retries of shed requests also consume the retry budgets.
    bool budgetsShed = false;
    /// Whether a retry without budget waits until there is some; otherwise the request is refused
    /// at once.
    bool waitsForBudget = true;
    std::chrono::milliseconds retryBackoff { 10 };
    std::chrono::milliseconds retryBackoffMax { 500 };
    /// Longest pause in dispatching to a target that its shed answer can request.
    std::chrono::milliseconds shedPauseMax { 5000 };
    unsigned attemptsMax = 4;
    /// Relative growth of a window per answer, and its factor per shed answer.
    double windowGrowth = 0.6;
    double windowDecrease = 0.85;
    /// The same for answers to a caller that sends far more than others.
    double floodGrowth = 0.05;
    double floodDecrease = 0.5;
    /// Smallest window, as a fraction of the target's slots divided by the number of hosts.
    double windowMin = 0.5;
    /// Time in which the distance of a window below 1 from 1 halves while nothing is learned of the
    /// target; 0: the window does not change.
    std::chrono::milliseconds windowHalfLife { 0 };
    /// Largest share of a service's targets, by weight, that may be ejected at the same time.
    double ejectedMax = 0.34;
    /// Interval between probes of a target that is ejected or whose last probe failed.
    std::chrono::milliseconds probeInterval { 500 };
    /// Interval between probes of a healthy target; longer, since a target that answers requests
    /// needs no background probes.
    std::chrono::milliseconds backgroundProbeInterval { 2000 };
    std::chrono::milliseconds probeTimeout { 1000 };
    /// Duration of the first ejection; doubled each time that the target fails again before its
    /// slow start has ended.
    std::chrono::milliseconds ejectionMin { 1000 };
    std::chrono::milliseconds ejectionMax { 30000 };
    /// How long a leaving target still receives requests for the keys that it owns.
    std::chrono::milliseconds leavingGrace { 3600000 };
    /// Suggested retry delay for a request whose key has no owner yet.
    std::chrono::milliseconds ownerRetryAfter { 200 };
    std::chrono::milliseconds slowStart { 10000 };
    /// The target is probed when the first byte takes longer than this and than lateFactor times
    /// the smoothed first-byte time of the service plus four deviations.
    std::chrono::milliseconds lateMin { 500 };
    double lateFactor = 4;
    unsigned quarantineCrashes = 2;
    std::chrono::milliseconds quarantineExpiry { 600000 };
};

/// Router of one host, for all services.
class router {
public:
    /// Returns a router without services. owners must outlive it. Fails on settings out of range.
    [[nodiscard]] static result<std::unique_ptr<router>> create(
        const options& settings, const owner_lookup& owners);

    virtual ~router() = default;

    /// Replaces the services and targets with those of the table; waiting requests of removed
    /// services are refused.
    virtual actions applyTable(instant now, const table::table& rows) = 0;
    /// Sets the number of live hosts, including this one; empty if it could not be confirmed.
    virtual actions applyLiveHosts(instant now, std::optional<unsigned> count) = 0;
    /// Sets the hosts in the store's list, sorted by id. By this list the hosts agree on who sends
    /// to a cold target; a router that has no list, or one without self, sends nothing there.
    virtual actions applyListedHosts(
        instant now, const host_id& self, const std::vector<host_id>& listed)
        = 0;
    /// Call when owner_lookup::find() answers differently from before for keys of the service.
    virtual actions ownersChanged(instant now, const service_id& service) = 0;

    /// Accepts a request. It ends in exactly one way: a refuse action, finish() with answered or
    /// cancelled, or cancel(). Its number must not have been used before.
    virtual actions arrive(instant now, const request& submitted) = 0;
    /// The caller disconnected. A waiting request is removed; one in flight stays until finish().
    virtual actions cancel(instant now, request_number number) = 0;
    /// Sending of the attempt's bytes begins, over a connection opened at connectionOpened.
    virtual actions sent(
        instant now, request_number number, attempt_number attempt, instant connectionOpened)
        = 0;
    /// The first byte of the answer arrived. From now on the request is not retried.
    virtual actions responded(instant now, request_number number, attempt_number attempt) = 0;
    /// Replaces the fingerprint of a request whose body was not known when it arrived. Refuses the
    /// request, and abandons its attempt, if it is quarantined and no answer has begun. Ignored if
    /// the request has ended.
    virtual actions identify(instant now, request_number number, fingerprint requestFingerprint)
        = 0;
    /// Ends an attempt. Ignored if the request or this attempt has already ended.
    virtual actions finish(
        instant now, request_number number, attempt_number attempt, const attempt_result& ended)
        = 0;

    /// Applies a load report from a target's answer to a grant or to a request. Its run is 0 if the
    /// answer does not state it.
    virtual actions report(instant now, const target_id& target, const load_report& load) = 0;
    /// Applies the result of a probe.
    virtual actions probed(instant now, const target_id& target, const probe_result& ended) = 0;
    /// Applies crash records from another host. Records that are already known change nothing.
    virtual actions applyCrashes(instant now, const std::vector<crash>& records) = 0;
    /// Clears a fingerprint on behalf of an operator, on this host and on the others.
    virtual actions pardon(instant now, fingerprint requestFingerprint) = 0;
    /// From now on multiplies the weights of targets by the factors, and prefers for services
    /// without keys the part of the targets that belongs to this host's rank. Precondition: factors
    /// are positive.
    virtual actions applyEvenLoad(instant now, const even_load& shared) = 0;
    /// Returns what was counted of each target since the last call, without targets of which
    /// nothing was.
    [[nodiscard]] virtual std::vector<speed_sample> takeSpeedSamples() = 0;
    /// Sets whether the current table is known to be the newest. While it is not, new requests of
    /// services without keys are refused with TableUnconfirmed and waiting ones keep waiting: their
    /// targets may be leaving, and no lease protects these requests.
    virtual actions applyTableConfirmed(instant now, bool confirmed) = 0;
    /// Refuses waiting requests with HostStopping; those in flight continue.
    virtual actions stop(instant now) = 0;
    /// Handles backoffs, deadlines, probes and expiries that are due. Must be called at nextDue()
    /// and at least every 100 ms.
    virtual actions tick(instant now) = 0;
    /// Returns the earliest time at which tick() may have something to do.
    [[nodiscard]] virtual instant nextDue() const = 0;

    /// All crash records that have not expired, for the exchange between hosts.
    [[nodiscard]] virtual std::vector<crash> crashes() const = 0;
    /// A hash of what crashes() returns, without the times; 0 if it returns nothing.
    [[nodiscard]] virtual std::uint64_t crashesHash() const = 0;
    /// All fingerprints that are currently suspected or refused, sorted.
    [[nodiscard]] virtual std::vector<suspect> suspects() const = 0;
    [[nodiscard]] virtual const counters& counts() const noexcept = 0;
    [[nodiscard]] virtual std::vector<target_view> targets() const = 0;
};

} // namespace pimentomast::routing
