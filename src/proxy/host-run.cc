#include "host.h"

#include "reason.h"

namespace pimentomast::proxy::detail {
namespace {

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

bool isHead(const exchange& request)
{
    return request.head.parser->get().method() == http::verb::head;
}

} // namespace

void host::forward(request_id id, const destination& to)
{
    auto request = m_registry.take(id);
    if (!request)
        return;
    (void)pollerOf(*request->caller).unwatch(request->caller);
    request->waited += monotonic_clock::now() - request->submitted;
    m_running.fetch_add(1, std::memory_order_relaxed);
    m_workers->push(job { std::move(request), to });
}

void host::refuse(request_id id, const refusal& answer)
{
    const auto request = m_registry.take(id);
    if (!request)
        return;
    (void)pollerOf(*request->caller).unwatch(request->caller);
    own_answer own;
    own.status = answer.status;
    own.outcome = answer.outcome;
    own.reason = answer.reason;
    own.step = "dispatch request";
    own.peer = request->facts.service.value();
    own.retryAfterS = answer.retryAfterS;
    own.withBody = !isHead(*request);
    own.closes = !request->head.keepAlive || request->head.hasBody || m_draining;
    complete(*request, answer.status);
    send(request->caller, ownAnswer(own), own.closes);
}

relay_context host::context(const job& work)
{
    const request_id id = work.request->facts.id;
    const target_id target = work.to.target;
    return {
        m_options,
        m_targets,
        m_options.requestPrefix,
        [this, id, target] { return m_decisions.abandon(id, target); },
        [this] { return m_draining.load(); },
        m_aborting,
    };
}

void host::run(job work)
{
    ++work.request->attempts;
    const instant started = monotonic_clock::now();
    auto taken = m_targets.acquire(work.to.address, work.to.connections);
    attempt finished;
    finished.id = work.request->facts.id;
    finished.target = work.to.target;
    finished.connecting = monotonic_clock::now() - started;
    if (const auto* why = std::get_if<reason>(&taken)) {
        finished.result = attempt_not_run { *why };
        finished.total = finished.connecting;
        return conclude(work, relay_result { finished.result, false, std::nullopt }, finished);
    }
    auto& connection = std::get<std::unique_ptr<target_connection>>(taken);
    const relay_context surroundings = context(work);
    const relay_result ended = relay(*work.request, *connection, work.to, surroundings).run();
    connection.reset();
    finished.result = ended.result;
    finished.firstByte = ended.firstByte;
    finished.total = monotonic_clock::now() - started;
    conclude(work, ended, finished);
}

void host::conclude(job& work, const relay_result& ended, attempt finished)
{
    m_running.fetch_sub(1, std::memory_order_relaxed);
    finished.replayable = work.request->replayable;
    const auto caller = work.request->caller;
    const overloaded conclusion {
        [&](const attempt_answered& answer) {
            complete(*work.request, answer.status);
            m_decisions.ended(finished, *this);
            finishCaller(caller, ended.callerReusable, false);
        },
        [&](const attempt_not_run& refused) {
            m_counts.add(refused.why);
            waitAgain(std::move(work.request), finished);
        },
        [&](const attempt_unknown& lost) {
            m_counts.add(lost.why);
            waitAgain(std::move(work.request), finished);
        },
        [&](const attempt_broken& broken) {
            m_counts.add(broken.why);
            m_decisions.ended(finished, *this);
            breakOff(*work.request);
        },
        [&](const attempt_cancelled&) {
            m_counts.add(ended.fault.value_or(reason::CallerGone));
            m_decisions.ended(finished, *this);
            answerFault(*work.request, ended.fault);
        },
    };
    std::visit(conclusion, ended.result);
}

void host::waitAgain(std::unique_ptr<exchange> request, const attempt& finished)
{
    const caller_pointer caller = request->caller;
    const request_id id = request->facts.id;
    request->submitted = monotonic_clock::now();
    m_registry.add(std::move(request));
    m_decisions.ended(finished, *this);
    watchWhileWaiting(caller, id);
}

void host::breakOff(const exchange& request)
{
    if (request.head.http10)
        resetConnection(request.caller->socket);
    finishCaller(request.caller, false, true);
}

void host::answerFault(const exchange& request, std::optional<reason> fault)
{
    if (!fault || request.answerStarted)
        return finishCaller(request.caller, false, true);
    own_answer own;
    own.status = statusOf(*fault);
    own.outcome = certainty::Unknown;
    own.reason = name(*fault);
    own.step = "read request body";
    own.peer = request.caller->peerIp;
    complete(request, own.status);
    send(request.caller, ownAnswer(own), true);
}

void host::complete(const exchange& request, int status)
{
    completion finished;
    finished.service = request.facts.service;
    finished.status = status;
    finished.attempts = request.attempts;
    finished.total = monotonic_clock::now() - request.facts.arrived;
    finished.waited = request.waited;
    m_observer.completed(finished);
}

} // namespace pimentomast::proxy::detail
