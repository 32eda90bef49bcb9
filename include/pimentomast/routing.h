#pragma once

#include "pimentomast/core.h"
#include "pimentomast/table.h"

#include <array>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

/// Decides for one entry host which request goes to which target and when: admission, fair
/// queues, choice of target, retries, target health and quarantine of requests that crash targets.
///
/// Pure: time, messages and a random seed in, actions out. No call blocks. A router is not
/// thread-safe; its caller serializes all calls and passes times that never decrease.
namespace pimentomast::routing {

/// Identifies a request on its host; never reused by a router.
using request_number = strong<struct request_number_tag, std::uint64_t>;
/// Counts the attempts of one request from 1.
using attempt_number = strong<struct attempt_number_tag, std::uint32_t>;
/// Hash of method, path, query and the start of the body; equal for a request sent again.
using fingerprint = strong<struct fingerprint_tag, std::uint64_t>;

/// A parsed request that waits to be forwarded.
struct request {
    request_number number;
    service_id service;
    /// Set if and only if the service is keyed.
    std::optional<key_hash> key;
    caller_id caller;
    /// The request may run more than once.
    bool repeatable = false;
    instant arrival;
    /// No attempt starts or goes on after this time.
    instant deadline;
    fingerprint requestFingerprint;
    /// Targets that it may be sent to at most.
    unsigned attempts = 4;
    /// 0 is served first.
    unsigned priority = 0;
    /// An answer after this time is worth little: a request that would wait longer is refused.
    instant objective = instant::max();
};

/// The owner of a key: requests for it go to the target with this token.
struct owned_by {
    target_id target;
    token grant;
};
/// The key is about to move: the request waits, at most until this time.
struct held_until {
    instant until;
};
/// No owner is known, or the host may not forward now (for example its route lease has run out).
struct no_owner { };
using owner_answer = std::variant<owned_by, held_until, no_owner>;

/// Tells owners of keys. The router asks it at arrival and again right before each dispatch.
class owner_lookup {
public:
    virtual ~owner_lookup() = default;

    /// Returns the owner of the key at the time now. Called only from within the router's own
    /// calls.
    [[nodiscard]] virtual owner_answer find(
        instant now, const service_id& service, key_hash key) const = 0;
};

/// What is certain about a request that got no answer from a target.
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
};
inline constexpr std::size_t refusalReasonCount = 18;

/// Why an attempt was followed by another one.
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
/// The target said that it refused before running: too much load.
struct shed {
    std::optional<duration> retryAfter;
};
/// The target said that it refused before running: it does not hold the key, or the token is old.
struct token_refused { };
/// The target said that it refused before running: it is draining.
struct draining { };
/// No connection could be made, so no byte of the request went out.
struct connect_failed {
    /// The connection was refused: no process listens.
    bool refused = false;
};
/// The connection ended without a whole answer after bytes of the request may have gone out.
struct broken { };
/// The attempt's deadline passed; the connection has been closed.
struct timed_out { };
/// The caller went away; the connection has been closed.
struct cancelled { };
using attempt_result = std::variant<answered, shed, token_refused, draining, connect_failed, broken,
    timed_out, cancelled>;

/// Load that a target reports about itself. Lags, and may be wrong.
struct load_report {
    incarnation run;
    unsigned running = 0;
    unsigned queued = 0;
    unsigned slots = 0;
};
/// The probe was answered over its new connection.
struct probe_answered {
    load_report load;
    duration latency {};
};
/// The probe got no connection or no answer in its time.
struct probe_failed {
    /// The connection was refused: no process listens.
    bool refused = false;
};
using probe_result = std::variant<probe_answered, probe_failed>;

/// A request was in flight on a run of a target that ended, or (forgiven) is cleared of all
/// crashes up to this time.
struct crash {
    fingerprint requestFingerprint;
    target_id target;
    incarnation run;
    instant at;
    bool forgiven = false;
};

/// A fingerprint under suspicion, and the ended runs of targets on which it was in flight.
struct suspect {
    fingerprint requestFingerprint;
    /// Its requests are refused; otherwise they go on, one at a time.
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
    /// Open a new connection for it; otherwise a pooled one may be used.
    bool newConnection = false;
};
/// Answer the caller with this outcome; the router has forgotten the request.
struct refuse {
    request_number number;
    outcome requestOutcome = outcome::NotRun;
    refusal_reason reason = refusal_reason::NoTarget;
    /// Target of the last attempt, or whose queue was too long; empty if there is none.
    target_id target;
    /// Advice for the caller; zero if there is none.
    duration retryAfter {};
    /// How long the request would have waited for its turn; zero if that was not the reason.
    duration expectedWait {};
};
/// Close the connection of this attempt without calling finish(); another action follows for the
/// request. A finish() that comes anyway is ignored.
struct abandon {
    request_number number;
    attempt_number attempt;
};
/// Probe the target's health over a new connection and report with probed().
struct probe {
    target_id target;
};
/// Close the idle connections to the target that were opened before this time.
struct close_idle {
    target_id target;
    instant openedBefore;
};
/// From now on keep at most this many connections to the target, busy, idle and probing together.
struct limit_connections {
    target_id target;
    unsigned count = 1;
};
/// Tell the other hosts, which pass it to heard().
struct broadcast_crash {
    crash record;
};
using action = std::variant<dispatch, refuse, abandon, probe, close_idle, limit_connections,
    broadcast_crash>;
using actions = std::vector<action>;

/// Counts since the start of the router.
struct counters {
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t ejections = 0;
    std::uint64_t ejectionsPrevented = 0;
    std::uint64_t silentConnections = 0;
    /// Indexed by refusal_reason.
    std::array<std::uint64_t, refusalReasonCount> refusals {};
    /// Indexed by retry_reason.
    std::array<std::uint64_t, retryReasonCount> retries {};
};

/// How a target looks from this host.
struct target_view {
    target_id target;
    service_id service;
    unsigned outstanding = 0;
    unsigned queued = 0;
    /// Requests that this host keeps in flight at most; below 1 they are spaced out in time.
    double window = 0;
    bool ejected = false;
    /// Share of the full weight during slow start, from 0 to 1.
    double slowStartShare = 1;
    duration latency {};
};

/// Settings of a router; docs/POLICY.md explains each.
struct options {
    std::uint64_t seed = 1;
    /// Requests that this host forwards at once over all services.
    unsigned workers = 256;
    /// Hosts that may exist without anyone having told this one.
    unsigned assumedHosts = 16;
    /// Age of the highest recent host count that still bounds this host's share of connections.
    std::chrono::milliseconds hostCountLag { 30000 };
    /// Retries per first attempt, for each service and for each caller.
    double retryRatio = 0.09;
    /// Retries that may be saved up.
    double retryBurst = 5;
    /// Exponent of the requests in flight in the choice of a target.
    double loadBias = 2;
    /// Time after which a reported load counts for 1/e.
    std::chrono::milliseconds reportAge { 500 };
    /// Targets report their load in answers to probes and grants. If they don't, windows follow the
    /// latency of answers, a reset may mean that the target is full, and a request whose connection
    /// broke is repeated without a probe before.
    bool targetsReportLoad = true;
    /// Requests that a target shed draw on the retry budgets too.
    bool budgetsShed = false;
    /// A request that has no retry budget waits for it; otherwise it is refused at once.
    bool waitsForBudget = true;
    std::chrono::milliseconds retryBackoff { 10 };
    std::chrono::milliseconds retryBackoffMax { 500 };
    /// Longest pause of a target's window that its shed answer can ask for.
    std::chrono::milliseconds shedPauseMax { 5000 };
    unsigned attemptsMax = 4;
    /// Growth of a window per answer, and what a shed answer leaves of it.
    double windowGrowth = 0.6;
    double windowDecrease = 0.85;
    /// The same for answers to a caller that sends far more than others.
    double floodGrowth = 0.05;
    double floodDecrease = 0.5;
    /// Smallest window, as a part of an equal share of the target's slots for each host.
    double windowMin = 0.5;
    /// Share of a service's targets, by weight, that may be ejected at once.
    double ejectedMax = 0.34;
    /// Between probes of a target that fails, and of one that seems healthy.
    std::chrono::milliseconds probeInterval { 500 };
    /// A target that answers requests needs no background probes.
    std::chrono::milliseconds backgroundProbeInterval { 2000 };
    std::chrono::milliseconds probeTimeout { 1000 };
    /// Shortest ejection; doubled while a target fails again right after its return.
    std::chrono::milliseconds ejectionMin { 1000 };
    std::chrono::milliseconds ejectionMax { 30000 };
    /// For how long a leaving target still gets requests for the keys that it owns.
    std::chrono::milliseconds leavingGrace { 3600000 };
    /// Advice for a request whose key has no owner yet.
    std::chrono::milliseconds ownerRetryAfter { 200 };
    std::chrono::milliseconds slowStart { 10000 };
    /// A first byte that is later than this and than lateFactor times the usual is checked.
    std::chrono::milliseconds lateMin { 500 };
    double lateFactor = 4;
    unsigned quarantineCrashes = 2;
    std::chrono::milliseconds quarantineExpiry { 600000 };
};

/// One per host, for all services.
class router {
public:
    /// Returns a router without services. owners must outlive it. Fails on settings out of range.
    [[nodiscard]] static result<std::unique_ptr<router>> create(
        const options& settings, const owner_lookup& owners);

    virtual ~router() = default;

    /// Takes over a table's services and targets; a request of a service that is gone is refused.
    virtual actions applyTable(instant now, const table::table& rows) = 0;
    /// Takes over the number of live hosts, this one included; empty: could not be confirmed.
    virtual actions applyLiveHosts(instant now, std::optional<unsigned> count) = 0;
    /// Tells that find() of the owner lookup answers differently from before for the service.
    virtual actions ownersChanged(instant now, const service_id& service) = 0;

    /// Takes a request: sooner or later exactly one refuse action ends it, or finish() with
    /// answered or cancelled, or cancel(). Its number must be new.
    virtual actions arrive(instant now, const request& submitted) = 0;
    /// The caller went away. A waiting request is forgotten; one in flight stays until finish().
    virtual actions cancel(instant now, request_number number) = 0;
    /// The attempt's bytes start to go out over a connection that was opened at this time.
    virtual actions sent(
        instant now, request_number number, attempt_number attempt, instant connectionOpened)
        = 0;
    /// The first byte of the answer came. From now on the request is not retried.
    virtual actions responded(instant now, request_number number, attempt_number attempt) = 0;
    /// Ends an attempt. Ignored if the request or this attempt is over.
    virtual actions finish(
        instant now, request_number number, attempt_number attempt, const attempt_result& ended)
        = 0;

    /// Takes a target's load report from a grant's answer.
    virtual actions report(instant now, const target_id& target, const load_report& load) = 0;
    /// Ends a probe.
    virtual actions probed(instant now, const target_id& target, const probe_result& ended) = 0;
    /// Takes news of another host. Repeated news change nothing.
    virtual actions applyCrash(instant now, const crash& record) = 0;
    /// An operator clears a fingerprint; told to the other hosts.
    virtual actions pardon(instant now, fingerprint requestFingerprint) = 0;
    /// Tells whether the table in force is known to be the newest. While it is not, new requests of
    /// services without keys are refused with TableUnconfirmed and waiting ones stay: their targets
    /// may be leaving, and no lease guards them.
    virtual actions applyTableConfirmed(instant now, bool confirmed) = 0;
    /// Refuses waiting requests with HostStopping; those in flight go on.
    virtual actions stop(instant now) = 0;
    /// Ends waits, deadlines, probes and expiries that are due. Call at nextDue(), and in any case
    /// every 100 ms.
    virtual actions tick(instant now) = 0;
    /// Returns the earliest time at which tick() may have something to do.
    [[nodiscard]] virtual instant nextDue() const = 0;

    /// All crashes that count now, for the exchange between hosts.
    [[nodiscard]] virtual std::vector<crash> crashes() const = 0;
    /// All fingerprints that are suspected or refused now, sorted.
    [[nodiscard]] virtual std::vector<suspect> suspects() const = 0;
    [[nodiscard]] virtual const counters& counts() const noexcept = 0;
    [[nodiscard]] virtual std::vector<target_view> targets() const = 0;
};

} // namespace pimentomast::routing
