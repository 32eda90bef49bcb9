#include "server-impl.h"

#include <Poco/Exception.h>

namespace pimentomast::proxy::detail {
namespace {

using phase = caller_connection::phase;

constexpr std::chrono::seconds lingerTime { 2 };
constexpr std::chrono::seconds poolSweepInterval { 1 };
/// Delay after a failed accept (no descriptors left), so that the poller does not spin.
constexpr std::chrono::milliseconds acceptRetryDelay { 10 };

duration retryAfterOf(reason why)
{
    if (why == reason::HostStopping)
        return stopRetryAfter;
    if (why == reason::LinkFull)
        return linkFullRetryAfter;
    return why == reason::BodyMemory ? bodyMemoryRetryAfter : duration::zero();
}

std::string refusalText(reason why, bool withBody, const contract& fields)
{
    local_response response;
    response.status = statusOf(why);
    response.reason = name(why);
    response.step = "accept request";
    response.retryAfter = retryAfterOf(why);
    response.fractionalRetryAfter = fields.fractionalRetryAfter;
    response.withBody = withBody;
    return formatLocalResponse(response);
}

} // namespace

server_impl::server_impl(const options& settings, dispatcher& requestDispatcher,
    observer& requestObserver, const Poco::Net::ServerSocket& listener)
    : m_options(settings)
    , m_budget(settings.bodyMemoryBytes)
    , m_dispatcher(requestDispatcher)
    , m_observer(requestObserver)
    , m_listener(listener)
    , m_targets(settings.connectTimeout, settings.pooledIdleTimeout)
    , m_deliveries(settings.bodyTimeout,
          [this](delivery& ended, delivery_end how, const response_order::progress& now) {
              onDeliveryEnded(ended, how, now);
          })
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
        settings.bodyTimeout,
        settings.minBodyBytesPerSecond,
    };
    m_workers = std::make_unique<worker_pool<job>>(
        worker_pool_options { settings.workers }, [this](job work) { run(std::move(work)); });
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
    m_deliveries.stop();
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
    now.bodyBytes = m_budget.held();
    now.bodyBytesLimit = m_budget.limit();
    now.deliveries = m_deliveries.size();
    now.delivered = m_delivered;
    now.receivedBytes = forwardedBytes().received;
    now.sentBytes = forwardedBytes().sent;
    now.linkLimitBytes = m_link.limit();
    return now;
}

poller& server_impl::pollerOf(const caller_connection& caller) { return *m_pollers[caller.poller]; }

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
    caller->poller = static_cast<std::size_t>(descriptor(caller->socket)) % m_pollers.size();
    if (addConnection() <= m_options.maxCallerConnections)
        return pollerOf(*caller).watch(caller);
    refuseHead(caller, reason::TooManyConnections);
}

void server_impl::onSweep(instant now)
{
    resumePaused();
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

void server_impl::onCallerDisconnected(const caller_pointer& caller)
{
    if (!caller->inputTaken) {
        caller->responses.abandon();
        cancelWaiting(caller);
        return endConnection(caller);
    }
    cancelWaiting(caller);
}

void server_impl::cancelWaiting(const caller_pointer& caller)
{
    for (const request_id id : caller->responses.requests()) {
        const auto request = m_registry.cancel(id);
        if (!request)
            continue;
        m_counts.add(reason::CallerGone);
        complete(*request, { 0, std::string(name(reason::CallerGone)) });
        m_dispatcher.cancelled(id, *this);
        endResponse(*request, connection_fate::Closes);
    }
}

void server_impl::onHeadTimeout(const caller_pointer& caller)
{
    if (monotonic_clock::now() >= schedule().lastDeadline)
        return refuseHead(caller, reason::HostStopping);
    refuseHead(caller, caller->pendingHead ? reason::BodyTimeout : reason::HeadTimeout);
}

void server_impl::watchWhileWaiting(const caller_pointer& caller, request_id id)
{
    m_registry.ifWaiting(id, [&] { pollerOf(*caller).watch(caller); });
}

input_step server_impl::sendHealth(const caller_pointer& caller, checked_head head, instant arrived)
{
    if (!caller->responses.admits(false))
        return keepHead(caller, std::move(head), arrived);
    const bool healthy = m_healthy && !m_draining;
    const std::string body = healthy ? "healthy\n" : "unhealthy\n";
    std::string text = healthy ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 503 Service Unavailable\r\n";
    text += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    const bool closes = !head.keepAlive || head.hasBody || m_draining;
    text += closes ? "Connection: close\r\n\r\n" : "\r\n";
    if (head.parser->get().method() != http::verb::head)
        text += body;
    send(caller, text, closes);
    return input_step::HandedOver;
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
    if (!fullySent)
        return releaseCaller(caller, connection_fate::Broken);
    releaseCaller(caller, closes ? connection_fate::Closes : connection_fate::KeptOpen);
}

void server_impl::respond(const exchange& request, const std::string& text, bool closes)
{
    response_order& order = request.caller->responses;
    if (closes)
        (void)order.closeAfter(request.position);
    if (order.hold(request.position, text))
        return;
    const bool fullySent = sendSome(request.caller->socket, text).bytes == text.size();
    endResponse(request, fullySent ? order.fate() : connection_fate::Broken);
}

void server_impl::endResponse(const exchange& request, connection_fate fate)
{
    const caller_pointer caller = request.caller;
    const bool ownsInput = request.ownsInput;
    if (m_aborting)
        fate = connection_fate::Broken;
    if (ownsInput)
        returnInput(request);
    proceed(caller, caller->responses.end(request.position, fate, caller->socket));
}

void server_impl::proceed(const caller_pointer& caller, const response_order::progress& now)
{
    if (now.unsent)
        m_deliveries.add({ caller, *now.unsent });
    if (now.fate == connection_fate::Broken && !now.isEmpty)
        cancelWaiting(caller);
    const bool ends = now.isEmpty && now.fate != connection_fate::KeptOpen;
    if (ends || now.readerWaits)
        pollerOf(*caller).resume(caller);
}

// What is left of the input came at an unknown time after the request's own head.
void server_impl::returnInput(const exchange& request)
{
    const caller_pointer& caller = request.caller;
    caller->arrivals.reset(caller->input.size(), request.facts.arrived);
    caller->scanned = 0;
    caller->phaseStarted = monotonic_clock::now();
    caller->state = phase::Idle;
    caller->inputTaken = false;
    pollerOf(*caller).resume(caller);
}

void server_impl::releaseCaller(const caller_pointer& caller, connection_fate fate)
{
    clearPaused(caller);
    caller->collection.reset();
    if (fate == connection_fate::Broken || m_aborting) {
        caller->isClosed = true;
        closeConnection(caller->socket);
        return onClosed();
    }
    const bool reusable = fate == connection_fate::KeptOpen;
    caller->phaseStarted = monotonic_clock::now();
    caller->scanned = 0;
    caller->pendingHead.reset();
    caller->state = reusable ? phase::Idle : phase::Lingering;
    if (!reusable) {
        caller->input.clear();
        shutdownSend(caller->socket);
    }
    caller->arrivals.reset(caller->input.size(), caller->phaseStarted);
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
