#include "server-impl.h"

namespace pimentomast::proxy::detail {
namespace {

using phase = caller_connection::phase;

constexpr std::string_view healthPath = "/pimentomast/health";
/// Bytes that are read ahead of a connection's requests in progress, beside a head and the start of
/// its body.
constexpr std::size_t readAheadBytes = 32768;

} // namespace

void server_impl::onInput(const caller_pointer& caller)
{
    caller->hasUnparsedInput = false;
    if (caller->state == phase::Lingering)
        return pollerOf(*caller).watch(caller);
    if (caller->responses.fate() != connection_fate::KeptOpen)
        return endConnection(caller);
    input_step step = input_step::Taken;
    while (step == input_step::Taken)
        step = takeNext(caller);
    if (step == input_step::Waits)
        readOn(caller);
}

void server_impl::readOn(const caller_pointer& caller)
{
    const std::size_t limit = readAheadBytes + m_options.headBytes + m_options.bodyPrefetchBytes;
    if (caller->input.size() < limit || caller->responses.isEmpty())
        pollerOf(*caller).watch(caller);
}

void server_impl::endConnection(const caller_pointer& caller)
{
    if (caller->isClosed || !caller->responses.isEmpty())
        return;
    releaseCaller(caller, caller->responses.fate());
}

input_step server_impl::takeNext(const caller_pointer& caller)
{
    if (caller->pendingHead) {
        checked_head head = std::move(*caller->pendingHead);
        caller->pendingHead.reset();
        return begin(caller, std::move(head), caller->pendingArrived);
    }
    const auto extent = findHead(caller->input, caller->scanned, limits());
    if (const auto* complete = std::get_if<head_complete>(&extent))
        return onHead(caller, complete->bytes);
    if (const auto* why = std::get_if<reason>(&extent)) {
        if (!caller->responses.admits(false))
            return input_step::Waits;
        refuseHead(caller, *why);
        return input_step::HandedOver;
    }
    caller->scanned = std::get<head_partial>(extent).scanned;
    if (caller->state == phase::Idle && !caller->input.empty()) {
        caller->state = phase::Head;
        caller->phaseStarted = monotonic_clock::now();
    }
    return input_step::Waits;
}

input_step server_impl::onHead(const caller_pointer& caller, std::size_t bytes)
{
    auto checked = checkHead(std::string_view(caller->input).substr(0, bytes), limits());
    if (const auto* why = std::get_if<reason>(&checked)) {
        if (!caller->responses.admits(false))
            return input_step::Waits;
        refuseHead(caller, *why);
        return input_step::HandedOver;
    }
    caller->input.erase(0, bytes);
    caller->scanned = 0;
    const instant arrived = caller->arrivals.consume(bytes);
    if (caller->state == phase::Idle) {
        caller->state = phase::Head;
        caller->phaseStarted = monotonic_clock::now();
    }
    return begin(caller, std::move(std::get<checked_head>(checked)), arrived);
}

bool server_impl::needsBodyPrefetch(const caller_connection& caller, const checked_head& head) const
{
    if (!head.hasBody || head.expectsContinue || head.parser->chunked())
        return false;
    const std::uint64_t length = head.parser->content_length().value_or(0);
    return caller.input.size() < std::min<std::uint64_t>(length, m_options.bodyPrefetchBytes);
}

// A request joins those in progress only if nothing depends on their order or on more input.
bool server_impl::runsConcurrently(const caller_connection& caller, const checked_head& head,
    const table::classified_request& found)
{
    const http::verb method = head.parser->get().method();
    const bool isSafe = method == http::verb::get || method == http::verb::head;
    return isSafe && found.repeatable && head.keepAlive && !head.http10
        && hasWholeBody(caller, head);
}

bool server_impl::hasWholeBody(const caller_connection& caller, const checked_head& head)
{
    if (!head.hasBody)
        return true;
    if (head.expectsContinue || head.parser->chunked())
        return false;
    return caller.input.size() >= head.parser->content_length().value_or(0);
}

void server_impl::takeBody(exchange& request)
{
    caller_connection& caller = *request.caller;
    const std::size_t before = caller.input.size();
    const auto state = decodeBody(*request.head.parser, caller.input, request.replayBuffer, before);
    request.bodyDone = state == body_state::Done;
    (void)caller.arrivals.consume(before - caller.input.size());
}

input_step server_impl::keepHead(const caller_pointer& caller, checked_head head, instant arrived)
{
    caller->pendingHead = std::move(head);
    caller->pendingArrived = arrived;
    return input_step::Waits;
}

input_step server_impl::refuseInTurn(
    const caller_pointer& caller, checked_head head, instant arrived, reason why)
{
    if (!caller->responses.admits(false))
        return keepHead(caller, std::move(head), arrived);
    refuseRequest(caller, head, why);
    return input_step::HandedOver;
}

input_step server_impl::begin(const caller_pointer& caller, checked_head head, instant arrived)
{
    const http::verb method = head.parser->get().method();
    const bool isRead = method == http::verb::get || method == http::verb::head;
    if (isRead && head.target == healthPath)
        return sendHealth(caller, std::move(head), arrived);
    if (isReservedPath(head.target))
        return refuseInTurn(caller, std::move(head), arrived, reason::ReservedPath);
    const auto current = currentTable();
    if (!current)
        return refuseInTurn(caller, std::move(head), arrived, reason::NoTable);
    const auto found = classify(*current, head);
    if (const auto* why = std::get_if<reason>(&found))
        return refuseInTurn(caller, std::move(head), arrived, *why);
    if (needsBodyPrefetch(*caller, head))
        return keepHead(caller, std::move(head), arrived);
    const auto& classification = std::get<table::classified_request>(found);
    const bool joins = !m_draining && runsConcurrently(*caller, head, classification);
    if (!caller->responses.admits(joins))
        return keepHead(caller, std::move(head), arrived);
    if (!classification.route || classification.route->parts.size() < 2)
        return submit(caller, std::move(head), arrived, classification);
    const auto chosen = classify(
        *current, head, [this](const table::route_row& route) -> const table::route_part& {
            return m_splitter.choose(route);
        });
    if (const auto* why = std::get_if<reason>(&chosen))
        return refuseInTurn(caller, std::move(head), arrived, *why);
    return submit(caller, std::move(head), arrived, std::get<table::classified_request>(chosen));
}

duration server_impl::requestTimeout(
    const checked_head& head, const table::classified_request& found) const
{
    const duration allowed = found.route ? found.route->timeout : found.service->deadline;
    if (!m_options.contract.callersStateDeadline)
        return allowed;
    return std::min(allowed, callerTimeout(head, m_options.contract.deadline).value_or(allowed));
}

input_step server_impl::submit(const caller_pointer& caller, checked_head head, instant arrived,
    const table::classified_request& found)
{
    const instant now = monotonic_clock::now();
    const auto deadline = schedule().deadlineFor(now, arrived + requestTimeout(head, found));
    if (!deadline)
        return refuseInTurn(caller, std::move(head), arrived, reason::HostStopping);
    auto request = std::make_unique<exchange>();
    request_facts& facts = request->facts;
    facts.id = request_id { m_nextId.fetch_add(1, std::memory_order_relaxed) };
    facts.service = found.service->id;
    facts.key = found.hash;
    if (found.route) {
        facts.attempts = found.route->maxAttempts;
        facts.priority = found.route->priority;
    }
    facts.caller = found.caller;
    facts.repeatable = found.repeatable;
    const bool bodyPrefetched = head.hasBody && !head.expectsContinue && !head.parser->chunked();
    const std::size_t fingerprintBytes = bodyPrefetched
        ? std::min<std::uint64_t>(*head.parser->content_length(), m_options.bodyPrefetchBytes)
        : 0;
    facts.fingerprint
        = fingerprint(head, std::string_view(caller->input).substr(0, fingerprintBytes));
    facts.arrived = arrived;
    facts.deadline = *deadline;
    if (found.route)
        facts.objective = facts.arrived + found.route->objective;
    request->readDelay = now - arrived;
    request->caller = caller;
    request->position = caller->responses.add(facts.id, runsConcurrently(*caller, head, found));
    request->ownsInput = !hasWholeBody(*caller, head);
    request->head = std::move(head);
    if (request->head.hasBody && !request->ownsInput)
        takeBody(*request);
    const bool ownsInput = request->ownsInput;
    caller->state = phase::Idle;
    caller->phaseStarted = now;
    enqueue(std::move(request));
    return ownsInput ? input_step::HandedOver : input_step::Taken;
}

void server_impl::enqueue(std::unique_ptr<exchange> request)
{
    const request_facts facts = request->facts;
    const caller_pointer caller = request->caller;
    const bool ownsInput = request->ownsInput;
    request->submitted = monotonic_clock::now();
    if (ownsInput) {
        caller->state = phase::Waiting;
        caller->inputTaken = true;
    }
    m_registry.add(std::move(request));
    m_dispatcher.submit(facts, *this);
    if (ownsInput)
        watchWhileWaiting(caller, facts.id);
}

} // namespace pimentomast::proxy::detail
