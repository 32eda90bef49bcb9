#pragma once

#include "pimentomast/core.h"
#include "pimentomast/routing.h"
#include "pimentomast/table.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Interface between the proxy, which serves callers' requests, and the dispatcher, which decides
/// where they go.
namespace pimentomast::proxy {

/// Number of a request, unique within one run of a host.
using request_id = strong<struct request_id_tag, std::uint64_t>;

/// Why the proxy refused or ended a request. Each has a counter.
enum class reason {
    BareLineEnding,
    HeadTooLarge,
    LineTooLong,
    TooManyFields,
    HeadTimeout,
    MalformedHead,
    FoldedField,
    UnknownMethod,
    BadTarget,
    ReservedPath,
    BadVersion,
    BadHost,
    BadLength,
    RepeatedLength,
    LengthAndEncoding,
    UnsupportedEncoding,
    ReservedField,
    BadConnectionField,
    UnsupportedExpectation,
    TooManyConnections,
    NoTable,
    NoService,
    NoKey,
    Ambiguous,
    BadKey,
    MalformedBody,
    BodyTimeout,
    Deadline,
    CallerGone,
    ConnectFailed,
    NoConnection,
    TargetClosed,
    TargetTimeout,
    TargetSilent,
    TargetAnswerMalformed,
    TargetAnswerUnframed,
    /// The status of the answer promises that the request has not run, but the target does not
    /// state it, and the request may not run again.
    RefusalUnproved,
    /// Not a refusal: the target's load report is ignored.
    LoadReportMalformed,
    /// Not a refusal: the target's remaining warm-up time is ignored.
    WarmupReportMalformed,
    AnswerBroken,
    /// Not a refusal: the rest of the answer was requested with a Range field.
    AnswerContinued,
    TargetShed,
    TargetNotOwner,
    TargetDraining,
    AttemptAbandoned,
    BodyNotReplayable,
    /// The host holds as many body bytes as it may.
    BodyMemory,
    /// Bytes wait on the host's network link for long.
    LinkFull,
    /// This host stops and could not have finished the request.
    HostStopping,
    /// This host stops and ended a request that a target may have been running.
    HostStopped,
    Internal,
    Last = Internal,
};

/// Returns the reason's name as used in answers, logs and metrics, such as "bare-line-ending".
[[nodiscard]] std::string_view name(reason why) noexcept;
/// Returns the HTTP status of an answer that the proxy itself generates for this reason.
[[nodiscard]] int statusOf(reason why) noexcept;

/// Whether a request that got no answer from a target may have been executed.
enum class request_outcome {
    /// No target has executed the request and none will.
    NotRun,
    /// A target may have executed the request.
    Unknown,
};

/// Properties of a request that routing needs.
struct request_facts {
    request_id id;
    service_id service;
    /// Empty for a service without keys.
    std::optional<key_hash> key;
    caller_id caller;
    bool repeatable = false;
    /// Maximum number of attempts that send bytes to a target.
    unsigned attempts = 4;
    /// 0 is served first.
    unsigned priority = 0;
    /// An answer after this time is worth little to the caller.
    instant objective = instant::max();
    /// Hash of method, host, path, query, caller and body; the same when a request is resent. Until
    /// the whole body is known it is a hash that no other request has.
    std::uint64_t fingerprint = 0;
    instant arrived;
    instant deadline;
    /// The answer must be complete by the deadline; otherwise only its head must have arrived.
    bool deadlineCoversBody = false;
};

/// Where an attempt of a request is sent.
struct destination {
    target_id target;
    endpoint address;
    /// Fencing token of the key's grant; empty for a service without keys.
    std::optional<token> grant;
    /// Maximum number of connections from this host to the target.
    unsigned connections = 8;
    /// Counts the attempts of the request from 1.
    unsigned attempt = 1;
    /// Open a new connection; otherwise an idle one may be used.
    bool newConnection = false;
    /// The answer must begin by this time and by the request's own deadline.
    instant deadline = instant::max();
    /// Name of the process that should receive the request; empty if unspecified.
    std::string instance {};
};

/// An answer that the dispatcher tells the proxy to generate.
struct refusal {
    request_outcome outcome = request_outcome::NotRun;
    /// HTTP status, such as 503.
    int status = 503;
    /// Reason as shown to callers and in metrics.
    std::string reason;
    /// Target of the last attempt, or target whose queue was too long; empty if there is none.
    std::string peer;
    /// Suggested delay before the caller retries; 0 if there is none.
    duration retryAfter {};
    /// Estimated time in the queue; 0 unless this was the reason.
    duration expectedWait {};
};

/// The target's complete answer was sent to the caller.
struct attempt_answered {
    int status = 200;
};
/// No byte can have reached the target, or the target refused the request before executing it.
struct attempt_not_run {
    proxy::reason why = reason::Internal;
    /// Pause that the target requested when it shed the request.
    std::optional<duration> retryAfter {};
};
/// The target may have executed the request; no part of an answer was sent to the caller.
struct attempt_unknown {
    proxy::reason why = reason::Internal;
};
/// The answer ended early, after a part of it was sent to the caller; the request cannot be
/// retried.
struct attempt_broken {
    proxy::reason why = reason::AnswerBroken;
};
/// The caller disconnected; the connection to the target was closed.
struct attempt_cancelled { };
using attempt_result = std::variant<attempt_answered, attempt_not_run, attempt_unknown,
    attempt_broken, attempt_cancelled>;

/// One finished attempt.
struct attempt {
    request_id id;
    target_id target;
    /// Number from destination::attempt.
    unsigned number = 1;
    attempt_result result;
    /// False if the request's body was consumed and is no longer buffered: it can't be sent again.
    bool replayable = true;
    duration connecting { 0 };
    /// From sending the request's first byte until receiving the answer's first byte.
    duration firstByte { 0 };
    duration total { 0 };
    /// Load that the target reported with its answer.
    std::optional<routing::load_report> load {};
};

/// Result of a probe: the load that the target reported, or nothing if it did not answer in time.
struct probe_report {
    target_id target;
    std::optional<routing::load_report> load;
    duration latency { 0 };
    /// The connection was refused: no process is listening.
    bool refused = false;
    /// Time for which the target says that it is still cold.
    duration coldFor {};
    /// What it says about this cannot be read.
    bool isWarmupMalformed = false;
};

/// Where a target answers probes.
struct probe_address {
    endpoint address;
    std::string path;
    /// Run of the target according to the table; 0 if the answer to the probe contains it.
    incarnation run {};
};

/// Receives decisions about submitted requests. Implemented by the server; thread-safe. Calls for
/// a request that has ended have no effect.
class dispatch_sink {
public:
    virtual ~dispatch_sink() = default;
    /// Sends the waiting request to the target. Returns false if the request is not waiting (any
    /// more); dispatcher::ended() is then not called for this attempt.
    virtual bool forward(request_id id, const destination& to) = 0;
    /// Ends the waiting request with an answer generated by the proxy.
    virtual void refuse(request_id id, const refusal& answer) = 0;
    /// Closes the running attempt's connection, unless the answer has begun. dispatcher::ended() is
    /// not called for it; another decision for the request follows, possibly immediately.
    virtual void abandon(request_id id, unsigned attempt) = 0;
    /// Probes the target's health over a new connection.
    virtual void probe(const target_id& target, const probe_address& at) = 0;
    /// Closes idle connections opened before openedBefore; busy ones among these are not reused.
    virtual void closeIdle(const endpoint& address, instant openedBefore) = 0;
};

/// Decides where requests go. Implementations are thread-safe and may call the sink during a call
/// or later, from any thread, but not after the server is destroyed.
class dispatcher {
public:
    virtual ~dispatcher() = default;
    /// Submits a request that waits for a decision; exactly one call of the sink delivers it.
    virtual void submit(const request_facts& facts, dispatch_sink& sink) = 0;
    /// Sending of an attempt's bytes begins, over a connection opened at this time.
    virtual void sent(request_id id, unsigned attempt, instant opened, dispatch_sink& sink) = 0;
    /// The first byte of an attempt's answer arrived.
    virtual void responded(request_id id, unsigned attempt, dispatch_sink& sink) = 0;
    /// The body of a request has been read completely, and with it its fingerprint is known, after
    /// the request was submitted with a provisional one. Returns false if the request is refused;
    /// the attempt must then end without sending the rest of it.
    [[nodiscard]] virtual bool identified(
        request_id id, std::uint64_t fingerprint, dispatch_sink& sink)
        = 0;
    /// An attempt has ended. After attempt_not_run or attempt_unknown the request waits for another
    /// decision; otherwise it has ended too.
    virtual void ended(const attempt& finished, dispatch_sink& sink) = 0;
    /// The caller of a waiting request disconnected; no decision is needed any more.
    virtual void cancelled(request_id id, dispatch_sink& sink) = 0;
    /// A probe requested through the sink has ended.
    virtual void probed(const probe_report& report, dispatch_sink& sink) = 0;
};

/// Dispatcher over a router: serializes its calls, runs its timer and executes its actions.
class routed_dispatcher : public dispatcher {
public:
    /// Makes calls of a router and returns the actions that they returned.
    using router_call = std::function<routing::actions(instant now, routing::router& router)>;
    /// Called, without holding a lock, with each crash record to be sent to the other hosts.
    using crash_listener = std::function<void(const routing::crash& record)>;

    /// Creates a dispatcher and its router. owners must outlive the dispatcher; it is called under
    /// the router's lock and must not call the dispatcher. Fails on settings that the router
    /// rejects.
    [[nodiscard]] static result<std::unique_ptr<routed_dispatcher>> create(
        const routing::options& settings, const routing::owner_lookup& owners,
        crash_listener listener);

    /// Starts the timer. Decisions are sent to the sink, which must outlive the next detach().
    virtual void attach(dispatch_sink& sink) = 0;
    /// Stops the timer. Call before the server is destroyed.
    virtual void detach() = 0;
    /// Passes an update (owners, hosts, load reports, crashes) to the router and executes the
    /// resulting actions. Thread-safe.
    virtual void call(const router_call& update) = 0;
    /// Applies a table to the target addresses and to the router. Thread-safe.
    virtual void setTable(const table::table& rows) = 0;
    /// Reads from the router (counts, targets, crashes) under its lock. Thread-safe.
    virtual void inspect(const std::function<void(const routing::router& router)>& reader) = 0;
};

} // namespace pimentomast::proxy
