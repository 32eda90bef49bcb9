#include "server-impl.h"

#include "pimentomast/telemetry.h"
#include "probe.h"

#include <algorithm>

namespace pimentomast::proxy::detail {
namespace {

std::string outcomeOf(const attempt_result& ended)
{
    const overloaded names {
        [](const attempt_answered& answered) { return std::to_string(answered.status); },
        [](const attempt_cancelled&) { return std::string(name(reason::CallerGone)); },
        [](const auto& other) { return std::string(name(other.why)); },
    };
    return std::visit(names, ended);
}

bool isHead(const exchange& request)
{
    return request.head.parser->get().method() == http::verb::head;
}

} // namespace

bool server_impl::forward(request_id id, const destination& to)
{
    decide_result found = m_registry.decide(id, to);
    if (!found.request)
        return found.deferred;
    execute(std::move(found.request), to);
    return true;
}

void server_impl::refuse(request_id id, const refusal& details)
{
    decide_result found = m_registry.decide(id, details);
    if (found.request)
        execute(std::move(found.request), details);
}

void server_impl::abandon(request_id id, unsigned attempt) { m_registry.abandon(id, attempt); }

void server_impl::probe(const target_id& target, const probe_address& at)
{
    m_workers->push(probe_job { target, at });
}

void server_impl::closeIdle(const endpoint& address, instant openedBefore)
{
    m_targets.closeOpenedBefore(address, openedBefore);
}

void server_impl::execute(std::unique_ptr<exchange> request, const decision& what)
{
    if (request->ownsInput)
        (void)pollerOf(*request->caller).unwatch(request->caller);
    request->waited += monotonic_clock::now() - request->submitted;
    const auto* to = std::get_if<destination>(&what);
    if (to != nullptr && !request->replayable)
        refuseUnreplayable(*request, *to);
    else if (to != nullptr)
        startAttempt(std::move(request), *to);
    else
        sendRefusal(*request, std::get<refusal>(what));
}

void server_impl::startAttempt(std::unique_ptr<exchange> request, const destination& to)
{
    m_running.fetch_add(1, std::memory_order_relaxed);
    m_workers->push(forward_job { std::move(request), to });
}

// The dispatcher isn't told how an abandoned attempt ended, so it can't know that the body is gone.
void server_impl::refuseUnreplayable(const exchange& request, const destination& to)
{
    attempt unsent;
    unsent.id = request.facts.id;
    unsent.target = to.target;
    unsent.number = to.attempt;
    unsent.result = attempt_cancelled {};
    (void)m_registry.finish(unsent.id);
    m_dispatcher.ended(unsent, *this);
    refusal details;
    details.outcome = request_outcome::Unknown;
    details.status = 502;
    details.reason = name(reason::BodyNotReplayable);
    details.peer = to.target.value();
    sendRefusal(request, details);
}

bool server_impl::mustClose(const exchange& request) const
{
    return !request.head.keepAlive || request.ownsInput
        || (m_draining && request.caller->responses.closeAfter(request.position));
}

void server_impl::sendRefusal(const exchange& request, const refusal& details)
{
    if (request.responseStarted) {
        complete(request, { details.status, details.reason, details.peer });
        return abortResponse(request);
    }
    local_response response;
    response.status = details.status;
    response.outcome = details.outcome;
    response.reason = details.reason;
    response.step = "dispatch request";
    response.peer = details.peer.empty() ? request.facts.service.value() : details.peer;
    response.retryAfter = details.retryAfter;
    response.fractionalRetryAfter = m_options.contract.fractionalRetryAfter;
    response.withBody = !isHead(request);
    response.closes = mustClose(request);
    complete(request,
        { details.status, details.reason, details.peer, details.retryAfter, details.expectedWait });
    respond(request, formatLocalResponse(response), response.closes);
}

relay_context server_impl::context(const forward_job& work)
{
    exchange& request = *work.request;
    const request_id id = request.facts.id;
    const unsigned number = work.to.attempt;
    return {
        m_options,
        m_options.requestIdPrefix,
        [this, id, number] {
            m_registry.markResponseStarted(id);
            m_dispatcher.responded(id, number, *this);
        },
        [this, &request] {
            return m_draining && request.caller->responses.closeAfter(request.position);
        },
        [this, &request] {
            request.ownsInput = false;
            returnInput(request);
        },
        [this, id](
            std::uint64_t fingerprint) { return m_dispatcher.identified(id, fingerprint, *this); },
        [this] { return schedule().end; },
        m_aborting,
    };
}

void server_impl::run(job work)
{
    if (auto* forwarded = std::get_if<forward_job>(&work))
        return runForward(*forwarded);
    const probe_job& requested = std::get<probe_job>(work);
    const auto report
        = probeHealth(requested.target, requested.at, m_options.probeTimeout, m_options.contract);
    if (report.isWarmupMalformed)
        m_counts.add(reason::WarmupReportMalformed);
    m_dispatcher.probed(report, *this);
}

void server_impl::onDeliveryEnded(
    delivery& ended, delivery_end how, const response_order::progress& now)
{
    if (ended.request && how == delivery_end::Sent) {
        complete(*ended.request, { ended.status });
    } else if (ended.request) {
        const reason why = how == delivery_end::Stalled ? reason::BodyTimeout : reason::CallerGone;
        m_counts.add(why);
        complete(*ended.request, { 0, std::string(name(why)) });
    }
    proceed(ended.caller, now);
}

void server_impl::runForward(forward_job& work)
{
    attempt finished;
    finished.id = work.request->facts.id;
    finished.target = work.to.target;
    finished.number = work.to.attempt;
    if (const auto why = checkStop(*work.request, schedule())) {
        finished.result = attempt_cancelled {};
        const relay_result stopped { finished.result, false, why, duration(0) };
        return handleAttemptResult(work, stopped, std::move(finished));
    }
    ++work.request->attempts;
    const instant started = monotonic_clock::now();
    const auto& refusedBy = work.request->refusedBy;
    const bool mustBeNew = work.to.newConnection
        || std::find(refusedBy.begin(), refusedBy.end(), work.to.address) != refusedBy.end();
    auto acquired = m_targets.acquire(work.to.address, work.to.connections, mustBeNew);
    finished.connecting = monotonic_clock::now() - started;
    relay_result ended;
    if (const auto* why = std::get_if<reason>(&acquired))
        ended.result = attempt_not_run { *why };
    else
        ended = tryAttempt(work, *std::get<std::unique_ptr<target_connection>>(acquired));
    finished.result = ended.result;
    finished.firstByte = ended.firstByte;
    finished.load = ended.load.report;
    if (ended.load.isMalformed)
        m_counts.add(reason::LoadReportMalformed);
    finished.total = monotonic_clock::now() - started;
    finished.replayable = work.request->replayable;
    work.request->history.push_back({ work.to.target, outcomeOf(ended.result), finished.total });
    handleAttemptResult(work, ended, finished);
}

relay_result server_impl::tryAttempt(forward_job& work, target_connection& connection)
{
    try {
        return runAttempt(work, connection);
    } catch (const std::exception& fault) {
        telemetry::log(telemetry::severity::Error, "attempt-failed",
            { { "request", requestIdText(*work.request, m_options) },
                { "peer", work.to.target.value() }, { "reason", fault.what() } });
        return { attempt_cancelled {}, false, reason::Internal, duration(0) };
    }
}

relay_result server_impl::runAttempt(forward_job& work, target_connection& connection)
{
    const request_id id = work.request->facts.id;
    if (!m_registry.attachConnection(id, connection.socket))
        return { attempt_not_run { reason::AttemptAbandoned }, false, std::nullopt, duration(0) };
    m_dispatcher.sent(id, work.to.attempt, connection.opened, *this);
    const relay_context attemptContext = context(work);
    relay attemptRelay(*work.request, connection, work.to, attemptContext);
    const relay_result ended = attemptRelay.run();
    if (!m_registry.detachConnection(id))
        attemptRelay.releaseTarget();
    return ended;
}

void server_impl::handleAttemptResult(
    forward_job& work, const relay_result& ended, attempt finished)
{
    m_running.fetch_sub(1, std::memory_order_relaxed);
    const bool abandoned = m_registry.detachConnection(finished.id);
    const overloaded steps {
        [&](const attempt_answered& answered) {
            m_link.recordSize(work.request->facts.service, ended.bytes);
            if (!ended.isDelivered)
                complete(*work.request, { answered.status });
            finishRequest(work, finished);
            endAnswered(work, ended, answered.status);
        },
        [&](const attempt_not_run& refused) {
            m_counts.add(refused.why);
            work.request->refusedBy.push_back(work.to.address);
            waitForDecision(std::move(work.request), finished, abandoned);
        },
        [&](const attempt_unknown& lost) {
            m_counts.add(abandoned ? reason::AttemptAbandoned : lost.why);
            work.request->mayHaveRun = true;
            waitForDecision(std::move(work.request), finished, abandoned);
        },
        [&](const attempt_broken& broken) {
            m_counts.add(broken.why);
            finishRequest(work, finished);
            if (ended.continues)
                return continueResponse(std::move(work.request));
            complete(*work.request, { 0, std::string(name(broken.why)) });
            abortResponse(*work.request);
        },
        [&](const attempt_cancelled&) {
            m_counts.add(ended.fault.value_or(reason::CallerGone));
            finishRequest(work, finished);
            sendFault(*work.request, ended.fault);
        },
    };
    std::visit(steps, ended.result);
}

void server_impl::endAnswered(forward_job& work, const relay_result& ended, int status)
{
    exchange& request = *work.request;
    if (ended.isHeld)
        return;
    if (!ended.isDelivered)
        return endResponse(
            request, ended.callerReusable ? connection_fate::KeptOpen : connection_fate::Closes);
    std::string().swap(request.replayBuffer);
    request.bodyBytes.shrinkTo(0);
    if (request.ownsInput) {
        request.ownsInput = false;
        returnInput(request);
    }
    const caller_pointer caller = request.caller;
    const turn position = request.position;
    ++m_delivered;
    m_deliveries.add({ caller, position, std::move(work.request), status });
}

void server_impl::finishRequest(const forward_job& work, attempt finished)
{
    const unsigned last = m_registry.finish(work.request->facts.id);
    finished.number = std::max(finished.number, last);
    m_dispatcher.ended(finished, *this);
}

void server_impl::waitForDecision(
    std::unique_ptr<exchange> request, const attempt& finished, bool abandoned)
{
    const caller_pointer caller = request->caller;
    const request_id id = request->facts.id;
    const bool ownsInput = request->ownsInput;
    request->submitted = monotonic_clock::now();
    if (ownsInput)
        caller->state = caller_connection::phase::Waiting;
    if (auto decided = m_registry.requeue(std::move(request)))
        return execute(std::move(decided->request), decided->what);
    if (!abandoned)
        m_dispatcher.ended(finished, *this);
    if (ownsInput)
        watchWhileWaiting(caller, id);
}

void server_impl::continueResponse(std::unique_ptr<exchange> request)
{
    m_counts.add(reason::AnswerContinued);
    request_facts& facts = request->facts;
    facts.id = request_id { m_nextId.fetch_add(1, std::memory_order_relaxed) };
    request->caller->responses.rename(request->position, facts.id);
    enqueue(std::move(request));
}

void server_impl::abortResponse(const exchange& request)
{
    if (request.head.http10)
        resetOnClose(request.caller->socket);
    endResponse(request, connection_fate::Broken);
}

void server_impl::sendFault(const exchange& request, std::optional<reason> fault)
{
    if (!fault || request.responseStarted) {
        complete(request, { 0, std::string(name(fault.value_or(reason::CallerGone))) });
        return endResponse(request, connection_fate::Broken);
    }
    if (*fault == reason::HostStopping || *fault == reason::HostStopped)
        return endStopped(request, *fault);
    local_response response;
    response.status = statusOf(*fault);
    response.outcome = request_outcome::Unknown;
    response.reason = name(*fault);
    response.step = *fault == reason::Internal ? "forward request" : "read request body";
    response.peer = request.caller->peerIp;
    response.withBody = !isHead(request);
    response.closes = mustClose(request);
    complete(request, { response.status, response.reason });
    respond(request, formatLocalResponse(response), response.closes);
}

void server_impl::complete(const exchange& request, const request_result& end)
{
    const auto now = monotonic_clock::now();
    completion finished;
    finished.id = requestIdText(request, m_options);
    finished.service = request.facts.service;
    finished.caller = request.facts.caller;
    finished.key = request.facts.key;
    finished.status = end.status;
    finished.reason = end.reason;
    finished.target = end.target;
    finished.retryAfter = end.retryAfter;
    finished.expectedWait = end.expectedWait;
    finished.attempts = request.attempts;
    finished.history = request.history;
    finished.late = now > request.facts.objective;
    finished.total = now - request.facts.arrived;
    finished.waited = request.waited;
    finished.readDelay = request.readDelay;
    m_observer.completed(finished);
}

} // namespace pimentomast::proxy::detail
