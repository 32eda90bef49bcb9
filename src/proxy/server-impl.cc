#include "server-impl.h"

#include <Poco/Exception.h>

namespace pimentomast::proxy::detail {
namespace {

using phase = caller_connection::phase;

constexpr std::string_view healthPath = "/pimentomast/health";
constexpr std::chrono::seconds lingerTime { 2 };
constexpr std::chrono::seconds poolSweepInterval { 1 };
/// Delay after a failed accept (no descriptors left), so that the poller does not spin.
constexpr std::chrono::milliseconds acceptRetryDelay { 10 };

std::string refusalText(reason why, bool withBody, const contract& fields)
{
    local_response response;
    response.status = statusOf(why);
    response.reason = name(why);
    response.step = "accept request";
    response.retryAfter = why == reason::HostStopping ? stopRetryAfter : duration::zero();
    response.fractionalRetryAfter = fields.fractionalRetryAfter;
    response.withBody = withBody;
    return formatLocalResponse(response);
}

} // namespace

server_impl::server_impl(const options& settings, dispatcher& requestDispatcher,
    observer& requestObserver, const Poco::Net::ServerSocket& listener)
    : m_options(settings)
    , m_dispatcher(requestDispatcher)
    , m_observer(requestObserver)
    , m_listener(listener)
    , m_targets(settings.connectTimeout, settings.pooledIdleTimeout)
{
    const poller_events events {
        [this](const caller_pointer& caller) { onInput(caller); },
        [this](const caller_pointer& caller) { onCallerDisconnected(caller); },
        [this](const caller_pointer& caller) { onHeadTimeout(caller); },
        [this] { onClosed(); },
        [this](instant now) { onSweep(now); },
    };
    const poller_timeouts timeouts {
        settings.headTimeout,
        settings.idleTimeout,
        settings.drainIdleTimeout,
        lingerTime,
    };
    m_workers = std::make_unique<worker_pool<job>>(
        settings.workers, [this](job work) { run(std::move(work)); });
    for (unsigned i = 0; i < settings.pollers; ++i)
        m_pollers.push_back(std::make_unique<poller>(events, timeouts));
    m_pollers.front()->enableSweepEvents();
    m_pollers.front()->listen(m_listener, [this] { accept(); });
}

server_impl::~server_impl()
{
    m_aborting = true;
    for (const auto& callerPoller : m_pollers)
        callerPoller->stop();
    m_workers.reset();
}

endpoint server_impl::address() const
{
    const auto bound = m_listener.address();
    return { bound.host().toString(), bound.port() };
}

void server_impl::setTable(std::shared_ptr<const table::table> rows)
{
    m_table.store(std::move(rows));
}

void server_impl::setHealthy(bool healthy) { m_healthy = healthy; }

std::shared_ptr<const table::table> server_impl::currentTable() const { return m_table.load(); }

gauges server_impl::state() const
{
    gauges now;
    {
        const std::lock_guard lock(m_connectionsMutex);
        now.connections = m_connections;
    }
    now.waiting = m_registry.waiting();
    now.running = m_running;
    now.targetConnections = m_targets.size();
    return now;
}

poller& server_impl::pollerOf(const caller_connection& caller)
{
    return *m_pollers[static_cast<std::size_t>(descriptor(caller.socket)) % m_pollers.size()];
}

head_limits server_impl::limits() const
{
    return { m_options.headBytes, m_options.lineBytes, m_options.fields };
}

void server_impl::accept()
{
    const std::lock_guard lock(m_acceptMutex);
    while (hasPendingConnection(m_listener)) {
        try {
            addCaller(m_listener.acceptConnection());
        } catch (const Poco::Exception&) {
            std::this_thread::sleep_for(acceptRetryDelay);
            return;
        }
    }
}

void server_impl::addCaller(const Poco::Net::StreamSocket& socket)
{
    auto caller = std::make_shared<caller_connection>();
    caller->socket = socket;
    caller->socket.setNoDelay(true);
    caller->peerIp = socket.peerAddress().host().toString();
    caller->phaseStarted = monotonic_clock::now();
    if (addConnection() <= m_options.maxCallerConnections)
        return pollerOf(*caller).watch(caller);
    refuseHead(caller, reason::TooManyConnections);
}

void server_impl::onSweep(instant now)
{
    if (now - m_lastPoolSweep < poolSweepInterval)
        return;
    m_lastPoolSweep = now;
    m_targets.closeIdle(now);
}

std::size_t server_impl::addConnection()
{
    const std::lock_guard lock(m_connectionsMutex);
    return ++m_connections;
}

void server_impl::onClosed()
{
    const std::lock_guard lock(m_connectionsMutex);
    --m_connections;
    if (m_connections == 0)
        m_allClosed.notify_all();
}

void server_impl::onInput(const caller_pointer& caller)
{
    caller->hasUnparsedInput = false;
    if (caller->pendingHead) {
        checked_head head = std::move(*caller->pendingHead);
        caller->pendingHead.reset();
        return begin(caller, std::move(head));
    }
    const auto extent = findHead(caller->input, caller->scanned, limits());
    if (const auto* why = std::get_if<reason>(&extent))
        return refuseHead(caller, *why);
    if (const auto* complete = std::get_if<head_complete>(&extent))
        return onHead(caller, complete->bytes);
    caller->scanned = std::get<head_partial>(extent).scanned;
    if (caller->state == phase::Idle) {
        caller->state = phase::Head;
        caller->phaseStarted = monotonic_clock::now();
    }
    pollerOf(*caller).watch(caller);
}

void server_impl::onHead(const caller_pointer& caller, std::size_t bytes)
{
    auto checked = checkHead(std::string_view(caller->input).substr(0, bytes), limits());
    caller->input.erase(0, bytes);
    caller->scanned = 0;
    if (const auto* why = std::get_if<reason>(&checked))
        return refuseHead(caller, *why);
    if (caller->state == phase::Idle) {
        caller->state = phase::Head;
        caller->phaseStarted = monotonic_clock::now();
    }
    begin(caller, std::move(std::get<checked_head>(checked)));
}

bool server_impl::needsBodyPrefetch(const caller_connection& caller, const checked_head& head) const
{
    if (!head.hasBody || head.expectsContinue || head.parser->chunked())
        return false;
    const std::uint64_t length = head.parser->content_length().value_or(0);
    return caller.input.size() < std::min<std::uint64_t>(length, m_options.bodyPrefetchBytes);
}

void server_impl::onCallerDisconnected(const caller_pointer& caller)
{
    const auto request = m_registry.cancel(caller->waitingRequest);
    if (!request)
        return;
    m_counts.add(reason::CallerGone);
    complete(*request, { 0, std::string(name(reason::CallerGone)) });
    m_dispatcher.cancelled(request->facts.id, *this);
    releaseCaller(caller, false, false);
}

void server_impl::onHeadTimeout(const caller_pointer& caller)
{
    if (monotonic_clock::now() >= schedule().lastDeadline)
        return refuseHead(caller, reason::HostStopping);
    refuseHead(caller, caller->pendingHead ? reason::BodyTimeout : reason::HeadTimeout);
}

void server_impl::begin(const caller_pointer& caller, checked_head head)
{
    const http::verb method = head.parser->get().method();
    const bool isRead = method == http::verb::get || method == http::verb::head;
    if (isRead && head.target == healthPath)
        return sendHealth(caller, head);
    if (isReservedPath(head.target))
        return refuseRequest(caller, head, reason::ReservedPath);
    const auto current = currentTable();
    if (!current)
        return refuseRequest(caller, head, reason::NoTable);
    const auto found = classify(*current, head);
    if (const auto* why = std::get_if<reason>(&found))
        return refuseRequest(caller, head, *why);
    if (needsBodyPrefetch(*caller, head)) {
        caller->pendingHead = std::move(head);
        return pollerOf(*caller).watch(caller);
    }
    const auto& classification = std::get<table::classified_request>(found);
    if (!classification.route || classification.route->parts.size() < 2)
        return submit(caller, std::move(head), classification);
    const auto chosen = classify(
        *current, head, [this](const table::route_row& route) -> const table::route_part& {
            return m_splitter.choose(route);
        });
    if (const auto* why = std::get_if<reason>(&chosen))
        return refuseRequest(caller, head, *why);
    submit(caller, std::move(head), std::get<table::classified_request>(chosen));
}

duration server_impl::requestTimeout(
    const checked_head& head, const table::classified_request& found) const
{
    const duration allowed = found.route ? found.route->timeout : found.service->deadline;
    if (!m_options.contract.callersStateDeadline)
        return allowed;
    return std::min(allowed, callerTimeout(head, m_options.contract.deadline).value_or(allowed));
}

void server_impl::submit(
    const caller_pointer& caller, checked_head head, const table::classified_request& found)
{
    const instant arrived = monotonic_clock::now();
    const auto deadline = schedule().deadlineFor(arrived, arrived + requestTimeout(head, found));
    if (!deadline)
        return refuseRequest(caller, head, reason::HostStopping);
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
    request->caller = caller;
    request->head = std::move(head);
    enqueue(std::move(request));
}

void server_impl::enqueue(std::unique_ptr<exchange> request)
{
    const request_facts facts = request->facts;
    const caller_pointer caller = request->caller;
    request->submitted = facts.arrived;
    caller->state = phase::Waiting;
    caller->waitingRequest = facts.id;
    m_registry.add(std::move(request));
    m_dispatcher.submit(facts, *this);
    watchWhileWaiting(caller, facts.id);
}

void server_impl::watchWhileWaiting(const caller_pointer& caller, request_id id)
{
    m_registry.ifWaiting(id, [&] { pollerOf(*caller).watch(caller); });
}

void server_impl::sendHealth(const caller_pointer& caller, const checked_head& head)
{
    const bool healthy = m_healthy && !m_draining;
    const std::string body = healthy ? "healthy\n" : "unhealthy\n";
    std::string text = healthy ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 503 Service Unavailable\r\n";
    text += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    const bool closes = !head.keepAlive || head.hasBody || m_draining;
    text += closes ? "Connection: close\r\n\r\n" : "\r\n";
    if (head.parser->get().method() != http::verb::head)
        text += body;
    send(caller, text, closes);
}

void server_impl::refuseHead(const caller_pointer& caller, reason why)
{
    m_counts.add(why);
    m_observer.rejected({ {}, {}, {}, why });
    send(caller, refusalText(why, true, m_options.contract), true);
}

void server_impl::refuseRequest(const caller_pointer& caller, const checked_head& head, reason why)
{
    m_counts.add(why);
    m_observer.rejected(
        { callerSuppliedId(head, m_options.contract), head.host, head.target, why });
    const bool withBody = head.parser->get().method() != http::verb::head;
    send(caller, refusalText(why, withBody, m_options.contract), true);
}

void server_impl::send(const caller_pointer& caller, const std::string& text, bool closes)
{
    const bool fullySent = sendSome(caller->socket, text).bytes == text.size();
    releaseCaller(caller, fullySent && !closes, !fullySent);
}

void server_impl::releaseCaller(const caller_pointer& caller, bool reusable, bool broken)
{
    if (broken || m_aborting) {
        closeConnection(caller->socket);
        return onClosed();
    }
    caller->phaseStarted = monotonic_clock::now();
    caller->scanned = 0;
    caller->waitingRequest = {};
    caller->pendingHead.reset();
    caller->state = reusable ? phase::Idle : phase::Lingering;
    if (!reusable) {
        caller->input.clear();
        shutdownSend(caller->socket);
    }
    caller->hasUnparsedInput = !caller->input.empty();
    pollerOf(*caller).watch(caller);
}

} // namespace pimentomast::proxy::detail

namespace pimentomast::proxy {

result<std::unique_ptr<server>> server::start(
    const options& settings, dispatcher& requestDispatcher, observer& requestObserver)
{
    constexpr int backlog = 4096;
    try {
        Poco::Net::ServerSocket listener;
        // The last argument is reusePort; by default POCO lets other processes share the port.
        listener.bind(
            Poco::Net::SocketAddress(settings.listen.ip, settings.listen.port), true, false);
        listener.listen(backlog);
        listener.setBlocking(false);
        return std::make_unique<detail::server_impl>(
            settings, requestDispatcher, requestObserver, listener);
    } catch (const Poco::Exception& fault) {
        return error { "listen for callers", settings.listen.text(), fault.displayText() };
    }
}

} // namespace pimentomast::proxy
