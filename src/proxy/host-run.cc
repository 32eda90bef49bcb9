#include "host.h"

#include "probe.h"

#include <algorithm>

namespace pimentomast::proxy::detail {
namespace {

std::string outcomeOf(const attempt_result& ended)
{
    const overloaded names {
        [](const attempt_answered& answer) { return std::to_string(answer.status); },
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

bool host::forward(request_id id, const destination& to)
{
    taken found = m_registry.decide(id, to);
    if (!found.request)
        return found.kept;
    execute(std::move(found.request), to);
    return true;
}

void host::refuse(request_id id, const refusal& answer)
{
    taken found = m_registry.decide(id, answer);
    if (found.request)
        execute(std::move(found.request), answer);
}

void host::abandon(request_id id, unsigned attempt) { m_registry.abandon(id, attempt); }

void host::probe(const target_id& target, const probe_address& at)
{
    m_workers->push(probe_job { target, at });
}

void host::closeIdle(const endpoint& address, instant openedBefore)
{
    m_targets.closeOlder(address, openedBefore);
}

void host::execute(std::unique_ptr<exchange> request, const decision& what)
{
    (void)pollerOf(*request->caller).unwatch(request->caller);
    request->waited += monotonic_clock::now() - request->submitted;
    if (const auto* to = std::get_if<destination>(&what))
        start(std::move(request), *to);
    else
        answerRefusal(*request, std::get<refusal>(what));
}

void host::start(std::unique_ptr<exchange> request, const destination& to)
{
    m_running.fetch_add(1, std::memory_order_relaxed);
    m_workers->push(forward_job { std::move(request), to });
}

void host::answerRefusal(const exchange& request, const refusal& answer)
{
    if (request.answerStarted) {
        complete(request, { answer.status, answer.reason, answer.peer });
        return breakOff(request);
    }
    own_answer own;
    own.status = answer.status;
    own.outcome = answer.outcome;
    own.reason = answer.reason;
    own.step = "dispatch request";
    own.peer = answer.peer.empty() ? request.facts.service.value() : answer.peer;
    own.retryAfter = answer.retryAfter;
    own.fractionalRetryAfter = m_options.contract.fractionalRetryAfter;
    own.withBody = !isHead(request);
    own.closes = !request.head.keepAlive || request.head.hasBody || m_draining;
    complete(request,
        { answer.status, answer.reason, answer.peer, answer.retryAfter, answer.expectedWait });
    send(request.caller, ownAnswer(own), own.closes);
}

relay_context host::context(const forward_job& work)
{
    const request_id id = work.request->facts.id;
    const unsigned number = work.to.attempt;
    return {
        m_options,
        m_options.requestPrefix,
        [this, id, number] {
            m_registry.begun(id);
            m_decisions.responded(id, number, *this);
        },
        [this] { return m_draining.load(); },
        m_aborting,
    };
}

void host::run(job work)
{
    if (auto* forwarded = std::get_if<forward_job>(&work))
        return runForward(*forwarded);
    const probe_job& asked = std::get<probe_job>(work);
    m_decisions.probed(askHealth(asked.target, asked.at, m_options.probeTimeout), *this);
}

void host::runForward(forward_job& work)
{
    ++work.request->attempts;
    const instant started = monotonic_clock::now();
    auto taken = m_targets.acquire(work.to.address, work.to.connections, work.to.newConnection);
    attempt finished;
    finished.id = work.request->facts.id;
    finished.target = work.to.target;
    finished.number = work.to.attempt;
    finished.connecting = monotonic_clock::now() - started;
    relay_result ended;
    if (const auto* why = std::get_if<reason>(&taken))
        ended.result = attempt_not_run { *why };
    else
        ended = runOver(work, *std::get<std::unique_ptr<target_connection>>(taken));
    finished.result = ended.result;
    finished.firstByte = ended.firstByte;
    finished.total = monotonic_clock::now() - started;
    finished.replayable = work.request->replayable;
    work.request->history.push_back({ work.to.target, outcomeOf(ended.result), finished.total });
    conclude(work, ended, finished);
}

relay_result host::runOver(forward_job& work, target_connection& connection)
{
    const request_id id = work.request->facts.id;
    if (!m_registry.connected(id, connection.socket))
        return { attempt_not_run { reason::AttemptAbandoned }, false, std::nullopt, duration(0) };
    m_decisions.sent(id, work.to.attempt, connection.opened, *this);
    const relay_context surroundings = context(work);
    relay running(*work.request, connection, work.to, surroundings);
    const relay_result ended = running.run();
    if (!m_registry.detach(id))
        running.giveBackTarget();
    return ended;
}

void host::conclude(forward_job& work, const relay_result& ended, attempt finished)
{
    m_running.fetch_sub(1, std::memory_order_relaxed);
    const bool abandoned = m_registry.detach(finished.id);
    const overloaded steps {
        [&](const attempt_answered& answer) {
            complete(*work.request, { answer.status });
            concludeOver(work, finished);
            finishCaller(work.request->caller, ended.callerReusable, false);
        },
        [&](const attempt_not_run& refused) {
            m_counts.add(refused.why);
            waitAgain(std::move(work.request), finished, abandoned);
        },
        [&](const attempt_unknown& lost) {
            m_counts.add(abandoned ? reason::AttemptAbandoned : lost.why);
            waitAgain(std::move(work.request), finished, abandoned);
        },
        [&](const attempt_broken& broken) {
            m_counts.add(broken.why);
            concludeOver(work, finished);
            if (ended.continues)
                return continueAnswer(std::move(work.request));
            complete(*work.request, { 0, std::string(name(broken.why)) });
            breakOff(*work.request);
        },
        [&](const attempt_cancelled&) {
            m_counts.add(ended.fault.value_or(reason::CallerGone));
            concludeOver(work, finished);
            answerFault(*work.request, ended.fault);
        },
    };
    std::visit(steps, ended.result);
}

void host::concludeOver(const forward_job& work, attempt finished)
{
    const unsigned last = m_registry.finish(work.request->facts.id);
    finished.number = std::max(finished.number, last);
    m_decisions.ended(finished, *this);
}

void host::waitAgain(std::unique_ptr<exchange> request, const attempt& finished, bool abandoned)
{
    const caller_pointer caller = request->caller;
    const request_id id = request->facts.id;
    request->submitted = monotonic_clock::now();
    caller->state = caller_connection::phase::Waiting;
    if (auto decided = m_registry.park(std::move(request)))
        return execute(std::move(decided->request), decided->what);
    if (!abandoned)
        m_decisions.ended(finished, *this);
    watchWhileWaiting(caller, id);
}

void host::continueAnswer(std::unique_ptr<exchange> request)
{
    m_counts.add(reason::AnswerContinued);
    request_facts& facts = request->facts;
    const duration allowed = facts.deadline - facts.arrived;
    facts.id = request_id { m_nextId.fetch_add(1, std::memory_order_relaxed) };
    facts.arrived = monotonic_clock::now();
    facts.deadline = facts.arrived + allowed;
    enqueue(std::move(request));
}

void host::breakOff(const exchange& request)
{
    if (request.head.http10)
        resetConnection(request.caller->socket);
    finishCaller(request.caller, false, true);
}

void host::answerFault(const exchange& request, std::optional<reason> fault)
{
    if (!fault || request.answerStarted) {
        complete(request, { 0, std::string(name(fault.value_or(reason::CallerGone))) });
        return finishCaller(request.caller, false, true);
    }
    own_answer own;
    own.status = statusOf(*fault);
    own.outcome = request_outcome::Unknown;
    own.reason = name(*fault);
    own.step = "read request body";
    own.peer = request.caller->peerIp;
    complete(request, { own.status, own.reason });
    send(request.caller, ownAnswer(own), true);
}

void host::complete(const exchange& request, const conclusion& end)
{
    const auto now = monotonic_clock::now();
    completion finished;
    finished.id = idOf(request, m_options);
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
    m_observer.completed(finished);
}

} // namespace pimentomast::proxy::detail
