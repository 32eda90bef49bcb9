#include "server-impl.h"

namespace pimentomast::proxy::detail {
namespace {

using phase = caller_connection::phase;

constexpr std::string_view healthPath = "/pimentomast/health";
/// Bytes that are read ahead of a connection's requests in progress, beside a head and the start of
/// its body.
constexpr std::size_t readAheadBytes = 32768;
/// Memory that a body in chunks is given at first; it doubles when it is used up.
constexpr std::size_t firstCollectionBytes = 65536;
/// Longest head of a chunk, or trailer section, in a body that is received before submission.
constexpr std::size_t maxChunkHeadBytes = 65536;
constexpr std::string_view continueHead = "HTTP/1.1 100 Continue\r\n\r\n";

/// Returns the length of the body; 0 if there is none or it is not stated.
std::uint64_t statedLength(const checked_head& head)
{
    const auto length = head.hasBody ? head.parser->content_length() : boost::none;
    return length ? *length : 0;
}

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
    if (caller->collection) {
        if (const auto step = collectBody(caller))
            return *step;
    }
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
    return isSafe && found.repeatable && head.keepAlive && !head.http10 && !caller.collection
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
    if (caller.collection) {
        request.replayBuffer = std::move(caller.collection->bytes);
        request.replayLimit = request.replayBuffer.size();
        request.bodyBytes = std::move(caller.collection->reservation);
        request.bodyDone = caller.collection->isWhole;
        // The proxy has asked for the body itself.
        request.continueSent = request.head.expectsContinue;
        caller.collection.reset();
        // The buffer grew with the body and would keep its size on an idle connection.
        if (caller.input.empty())
            std::string().swap(caller.input);
        return;
    }
    const std::size_t before = caller.input.size();
    const auto state = decodeBody(*request.head.parser, caller.input, request.replayBuffer, before);
    request.bodyDone = state == body_state::Done;
    (void)caller.arrivals.consume(before - caller.input.size());
}

input_step server_impl::startCollection(const caller_pointer& caller, checked_head head,
    instant arrived, const table::classified_request& found)
{
    if (!caller->responses.admits(false))
        return keepHead(caller, std::move(head), arrived);
    const instant now = monotonic_clock::now();
    const auto deadline = schedule().deadlineFor(now, arrived + requestTimeout(head, found));
    if (!deadline)
        return refuseInTurn(caller, std::move(head), arrived, reason::HostStopping);
    body_collection body;
    body.reservation = body_reservation(m_budget, body_kind::Upload, caller->bodyBytes);
    body.link = m_link.begin(found.service->id, statedLength(head));
    body.limit = m_options.uploadPrefetchBytes;
    body.deadline = *deadline;
    body.started = now;
    body.lastProgress = now;
    const std::uint64_t length
        = head.parser->chunked() ? firstCollectionBytes : *head.parser->content_length();
    const std::size_t bytes = std::min<std::uint64_t>(length, body.limit);
    if (!body.reservation.growTo(bytes))
        return refuseInTurn(caller, std::move(head), arrived, reason::BodyMemory);
    body.bytes.reserve(bytes);
    if (head.expectsContinue && caller->input.empty()
        && sendSome(caller->socket, continueHead).bytes != continueHead.size()) {
        releaseCaller(caller, connection_fate::Broken);
        return input_step::HandedOver;
    }
    caller->collection = std::move(body);
    caller->state = phase::Body;
    caller->phaseStarted = now;
    (void)keepHead(caller, std::move(head), arrived);
    return input_step::Taken;
}

bool server_impl::growCollection(const caller_pointer& caller)
{
    body_collection& body = *caller->collection;
    const std::size_t bytes = std::min(body.limit, 2 * body.reservation.bytes());
    if (!body.reservation.growTo(bytes))
        return false;
    body.bytes.reserve(bytes);
    return true;
}

std::optional<input_step> server_impl::collectBody(const caller_pointer& caller)
{
    body_collection& body = *caller->collection;
    request_parser& parser = *caller->pendingHead->parser;
    while (!body.isComplete() && !caller->input.empty()) {
        const std::size_t room = body.reservation.bytes() - body.bytes.size();
        if (room == 0 && !growCollection(caller))
            return pauseCollection(caller);
        if (room == 0)
            continue;
        const std::size_t before = caller->input.size();
        const auto state = decodeBody(parser, caller->input, body.bytes, room);
        const std::size_t taken = before - caller->input.size();
        (void)caller->arrivals.consume(taken);
        const bool isChunkHeadTooLong = taken == 0 && caller->input.size() >= maxChunkHeadBytes;
        if (state == body_state::Bad || isChunkHeadTooLong)
            return refusePending(caller, reason::MalformedBody);
        body.isWhole = state == body_state::Done;
        if (taken == 0)
            break;
        body.lastProgress = monotonic_clock::now();
    }
    clearPaused(caller);
    return body.isComplete() ? std::nullopt : std::optional(input_step::Waits);
}

input_step server_impl::refusePending(const caller_pointer& caller, reason why)
{
    const checked_head head = std::move(*caller->pendingHead);
    refuseRequest(caller, head, why);
    return input_step::HandedOver;
}

// A paused connection is not watched, so its sender may have left meanwhile.
input_step server_impl::pauseCollection(const caller_pointer& caller)
{
    const instant now = monotonic_clock::now();
    body_collection& body = *caller->collection;
    if (hasPeerClosed(caller->socket)) {
        onCallerDisconnected(caller);
        return input_step::HandedOver;
    }
    if (now >= schedule().lastDeadline)
        return refusePending(caller, reason::HostStopping);
    // If nothing else is held, no memory will become free.
    const bool othersHoldMemory = m_budget.held() > body.reservation.bytes();
    if (!othersHoldMemory || now >= body.deadline || !takePause(caller))
        return refusePending(caller, reason::BodyMemory);
    if (!body.pausedSince)
        body.pausedSince = now;
    return input_step::HandedOver;
}

// A sender that came later and is paused already looks for memory again, and is refused then.
bool server_impl::takePause(const caller_pointer& caller)
{
    const std::lock_guard lock(m_pausedMutex);
    if (m_paused == caller)
        return true;
    if (m_paused && m_pausedArrived <= caller->pendingArrived)
        return false;
    if (m_paused)
        pollerOf(*m_paused).resume(m_paused);
    m_paused = caller;
    m_pausedArrived = caller->pendingArrived;
    return true;
}

void server_impl::resumePaused()
{
    const std::lock_guard lock(m_pausedMutex);
    if (m_paused)
        pollerOf(*m_paused).resume(m_paused);
}

void server_impl::clearPaused(const caller_pointer& caller)
{
    if (caller->collection && caller->collection->pausedSince) {
        const instant now = monotonic_clock::now();
        caller->collection->paused += now - *caller->collection->pausedSince;
        caller->collection->pausedSince.reset();
        caller->collection->lastProgress = now;
    }
    const std::lock_guard lock(m_pausedMutex);
    if (m_paused == caller)
        m_paused.reset();
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
    const auto& classification = std::get<table::classified_request>(found);
    if (!caller->collection) {
        if (!m_link.admits(classification.service->id, statedLength(head)))
            return refuseInTurn(caller, std::move(head), arrived, reason::LinkFull);
        if (head.hasBody && classification.route && classification.route->buffersBody)
            return startCollection(caller, std::move(head), arrived, classification);
        if (needsBodyPrefetch(*caller, head))
            return keepHead(caller, std::move(head), arrived);
    }
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

void server_impl::beginFingerprint(exchange& request, const table::classified_request& found) const
{
    const std::string_view routedHost
        = found.route ? std::string_view(found.route->host) : std::string_view();
    fingerprint_builder builder(request.head, routedHost, found.caller);
    builder.addBody(request.replayBuffer);
    if (!request.head.hasBody || request.bodyDone) {
        request.facts.fingerprint = builder.value();
        return;
    }
    request.facts.fingerprint
        = hashKey(m_options.requestIdPrefix + std::to_string(request.facts.id.value())).value();
    request.openFingerprint = std::move(builder);
}

input_step server_impl::submit(const caller_pointer& caller, checked_head head, instant arrived,
    const table::classified_request& found)
{
    const instant now = monotonic_clock::now();
    const auto deadline = schedule().deadlineFor(now, arrived + requestTimeout(head, found));
    if (!deadline)
        return refuseInTurn(caller, std::move(head), arrived, reason::HostStopping);
    const bool isCollected = caller->collection.has_value();
    const bool hasBodyLeft
        = isCollected ? !caller->collection->isWhole : !hasWholeBody(*caller, head);
    body_reservation memory(m_budget, body_kind::Replay, caller->bodyBytes);
    const bool takesBody = !isCollected && head.hasBody && !hasBodyLeft;
    if (takesBody && !memory.growTo(*head.parser->content_length()))
        return refuseInTurn(caller, std::move(head), arrived, reason::BodyMemory);
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
    facts.arrived = arrived;
    facts.deadline = *deadline;
    facts.deadlineCoversBody = found.route != nullptr;
    if (found.route)
        facts.objective = facts.arrived + found.route->objective;
    request->readDelay = now - arrived;
    request->caller = caller;
    request->position = caller->responses.add(facts.id, runsConcurrently(*caller, head, found));
    request->ownsInput = hasBodyLeft;
    request->bodyBytes = std::move(memory);
    request->link = isCollected ? std::move(caller->collection->link)
                                : m_link.begin(found.service->id, statedLength(head));
    request->responseBytes = body_reservation(m_budget, body_kind::Response, caller->bodyBytes);
    request->head = std::move(head);
    if (isCollected || takesBody)
        takeBody(*request);
    beginFingerprint(*request, found);
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
