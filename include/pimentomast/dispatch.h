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

/// What the server of callers' requests and the party that decides about them tell each other.
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
    TargetAnswerMalformed,
    TargetAnswerUnframed,
    AnswerBroken,
    /// Not a refusal: the rest of the answer was asked for by Range.
    AnswerContinued,
    TargetShed,
    TargetNotOwner,
    TargetDraining,
    AttemptAbandoned,
    BodyNotReplayable,
    Internal,
    Last = Internal,
};

/// Returns the reason's name as it stands in answers, logs and metrics ("bare-line-ending").
[[nodiscard]] std::string_view name(reason why) noexcept;
/// Returns the HTTP status of an answer of the proxy's own with this reason.
[[nodiscard]] int statusOf(reason why) noexcept;

/// What is certain about a request that got no answer from a target.
enum class request_outcome {
    /// No target ran the request and none will.
    NotRun,
    /// A target may have run the request.
    Unknown,
};

/// What routing needs to know of a request.
struct request_facts {
    request_id id;
    service_id service;
    /// Empty for a service without keys.
    std::optional<key_hash> key;
    caller_id caller;
    bool repeatable = false;
    /// Targets that the request may be sent to at most.
    unsigned attempts = 4;
    /// 0 is served first.
    unsigned priority = 0;
    /// An answer after this time is worth little to the caller.
    instant objective = instant::max();
    /// Same for each sending of the same method, path, key and caller.
    std::uint64_t fingerprint = 0;
    instant arrived;
    instant deadline;
};

/// Where an attempt of a request goes.
struct destination {
    target_id target;
    endpoint address;
    /// Fencing token of the key's grant; empty for a service without keys.
    std::optional<token> grant;
    /// Connections that this host may have to the target.
    unsigned connections = 8;
    /// Counts the attempts of the request from 1.
    unsigned attempt = 1;
    /// Open a new connection for it; otherwise an unused one may be taken.
    bool newConnection = false;
    /// The answer must have begun by then, and by the request's own deadline.
    instant deadline = instant::max();
    /// Name of the process that is meant; empty: not said.
    std::string instance {};
};

/// An answer that the dispatcher has the proxy make.
struct refusal {
    request_outcome outcome = request_outcome::NotRun;
    /// HTTP status, such as 503.
    int status = 503;
    /// Reason as callers and metrics see it.
    std::string reason;
    /// Target of the last attempt, or whose queue was too long; empty if there is none.
    std::string peer;
    /// Time after which the caller may try again; 0: not said.
    duration retryAfter {};
    /// How long the request would have waited for its turn; 0 if that was not the reason.
    duration expectedWait {};
};

/// The target's answer was handed to the caller whole.
struct attempt_answered {
    int status = 200;
};
/// No byte could have reached the target, or it said that it refused before running.
struct attempt_not_run {
    proxy::reason why = reason::Internal;
    /// Pause that the target asked for when it shed the request.
    std::optional<duration> retryAfter {};
};
/// The target may have run the request; the caller has seen nothing of an answer.
struct attempt_unknown {
    proxy::reason why = reason::Internal;
};
/// The answer broke off after the caller had seen a part of it. Nothing can be repeated.
struct attempt_broken {
    proxy::reason why = reason::AnswerBroken;
};
/// The caller went away; the target's connection was closed.
struct attempt_cancelled { };
using attempt_result = std::variant<attempt_answered, attempt_not_run, attempt_unknown,
    attempt_broken, attempt_cancelled>;

/// One finished attempt.
struct attempt {
    request_id id;
    target_id target;
    /// As the destination said.
    unsigned number = 1;
    attempt_result result;
    /// False if the request's body was consumed and is no longer held: it can't be sent again.
    bool replayable = true;
    duration connecting { 0 };
    /// From the request's first byte sent until the answer's first byte.
    duration firstByte { 0 };
    duration total { 0 };
};

/// A target's answer to a probe: its health and load, or nothing if there was none in time.
struct probe_report {
    target_id target;
    std::optional<routing::load_report> load;
    duration latency { 0 };
    /// The connection was refused: no process listens.
    bool refused = false;
};

/// Where a target answers probes.
struct probe_address {
    endpoint address;
    std::string path;
    /// Run that the table tells of the target; 0: the answer tells it.
    incarnation run {};
};

/// Takes decisions about submitted requests. Implemented by the server; thread-safe. Calls for
/// an id that is over have no effect.
class dispatch_sink {
public:
    virtual ~dispatch_sink() = default;
    /// Sends the waiting request to the target. Returns false if it does not wait (any more), so
    /// that no end of this attempt will be told.
    virtual bool forward(request_id id, const destination& to) = 0;
    /// Ends the waiting request with an answer of the proxy's own.
    virtual void refuse(request_id id, const refusal& answer) = 0;
    /// Closes the running attempt's connection, unless the answer has begun. It is not reported
    /// as ended; another decision for the request follows, and may come at once.
    virtual void abandon(request_id id, unsigned attempt) = 0;
    /// Asks the target for its health over a new connection.
    virtual void probe(const target_id& target, const probe_address& at) = 0;
    /// Closes unused connections that were opened before; those in use are not used again.
    virtual void closeIdle(const endpoint& address, instant openedBefore) = 0;
};

/// Decides where requests go. Implementations are thread-safe and may call the sink during a call
/// or later, from any thread, but not after the server is gone.
class dispatcher {
public:
    virtual ~dispatcher() = default;
    /// A request waits for a decision; exactly one call of the sink answers it.
    virtual void submit(const request_facts& facts, dispatch_sink& sink) = 0;
    /// An attempt's bytes start to go out over a connection that was opened at this time.
    virtual void sent(request_id id, unsigned attempt, instant opened, dispatch_sink& sink) = 0;
    /// The first byte of an attempt's answer came.
    virtual void responded(request_id id, unsigned attempt, dispatch_sink& sink) = 0;
    /// An attempt has ended. After not_run or unknown the request waits for another decision;
    /// otherwise it is over.
    virtual void ended(const attempt& finished, dispatch_sink& sink) = 0;
    /// The caller of a waiting request has gone; no decision is needed any more.
    virtual void cancelled(request_id id, dispatch_sink& sink) = 0;
    /// A probe that was asked for has ended.
    virtual void probed(const probe_report& report, dispatch_sink& sink) = 0;
};

/// Dispatcher over a router: serializes its calls, runs its timer and executes its actions.
class routed_dispatcher : public dispatcher {
public:
    /// Makes calls of a router and returns the actions that they gave.
    using router_call = std::function<routing::actions(instant now, routing::router& router)>;
    /// Called with each crash that other hosts should hear of, without a lock.
    using crash_listener = std::function<void(const routing::crash& record)>;

    /// Makes a router. owners must outlive the dispatcher; it is asked under the router's lock and
    /// must not call the dispatcher. Fails on settings that the router refuses.
    [[nodiscard]] static result<std::unique_ptr<routed_dispatcher>> create(
        const routing::options& settings, const routing::owner_lookup& owners,
        crash_listener listener);

    /// Starts the timer; decisions go to the sink, which must outlive the next detach().
    virtual void attach(dispatch_sink& sink) = 0;
    /// Stops the timer. Call before the server is destroyed.
    virtual void detach() = 0;
    /// Calls the router for news (owners, hosts, load reports, crashes) and executes the actions.
    /// Thread-safe.
    virtual void call(const router_call& update) = 0;
    /// Takes over a table: targets' addresses, and the router's view. Thread-safe.
    virtual void setTable(const table::table& rows) = 0;
    /// Reads from the router (counts, targets, crashes) under its lock. Thread-safe.
    virtual void inspect(const std::function<void(const routing::router& router)>& reader) = 0;
};

} // namespace pimentomast::proxy
