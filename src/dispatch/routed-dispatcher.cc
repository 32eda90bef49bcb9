#include "router-results.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <iterator>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace pimentomast::proxy {
namespace {

using detail::routerResult;
using detail::statusOf;

constexpr std::chrono::milliseconds timerInterval { 5 };

/// Lock order: the router's lock is innermost; actions are executed without it.
class routed_dispatcher_impl final : public routed_dispatcher {
public:
    routed_dispatcher_impl(std::unique_ptr<routing::router> router, crash_listener listener)
        : m_router(std::move(router))
        , m_listener(std::move(listener))
    {
    }
    routed_dispatcher_impl(const routed_dispatcher_impl&) = delete;
    routed_dispatcher_impl& operator=(const routed_dispatcher_impl&) = delete;
    ~routed_dispatcher_impl() override { stopTimer(); }

    void attach(dispatch_sink& sink) override
    {
        m_sink = &sink;
        m_timer = std::thread([this] { runTimer(); });
    }

    void detach() override
    {
        stopTimer();
        m_sink = nullptr;
    }

    void submit(const request_facts& facts, dispatch_sink& sink) override
    {
        routing::request submitted;
        submitted.number = routing::request_number { facts.id.value() };
        submitted.service = facts.service;
        submitted.key = facts.key;
        submitted.caller = facts.caller;
        submitted.repeatable = facts.repeatable;
        submitted.arrival = facts.arrived;
        submitted.deadline = facts.deadline;
        submitted.attempts = facts.attempts;
        submitted.priority = facts.priority;
        submitted.objective = facts.objective;
        submitted.requestFingerprint = routing::fingerprint { facts.fingerprint };
        run([&](instant now, routing::router& router) { return router.arrive(now, submitted); },
            sink);
    }

    void sent(request_id id, unsigned number, instant opened, dispatch_sink& sink) override
    {
        run(
            [&](instant now, routing::router& router) {
                return router.sent(now, routing::request_number { id.value() },
                    routing::attempt_number { number }, opened);
            },
            sink);
    }

    void responded(request_id id, unsigned number, dispatch_sink& sink) override
    {
        run(
            [&](instant now, routing::router& router) {
                return router.responded(now, routing::request_number { id.value() },
                    routing::attempt_number { number });
            },
            sink);
    }

    bool identified(request_id id, std::uint64_t fingerprint, dispatch_sink& sink) override
    {
        bool isRefused = false;
        run(
            [&](instant now, routing::router& router) {
                auto todo = router.identify(now, routing::request_number { id.value() },
                    routing::fingerprint { fingerprint });
                isRefused = std::ranges::any_of(todo, [](const routing::action& step) {
                    return std::holds_alternative<routing::refuse>(step);
                });
                return todo;
            },
            sink);
        return !isRefused;
    }

    void ended(const attempt& finished, dispatch_sink& sink) override
    {
        recordUnreplayable(finished);
        run(
            [&](instant now, routing::router& router) {
                auto todo = router.finish(now, routing::request_number { finished.id.value() },
                    routing::attempt_number { finished.number }, routerResult(finished));
                if (finished.load)
                    std::ranges::move(router.report(now, finished.target, *finished.load),
                        std::back_inserter(todo));
                return todo;
            },
            sink);
    }

    void cancelled(request_id id, dispatch_sink& sink) override
    {
        run(
            [&](instant now, routing::router& router) {
                return router.cancel(now, routing::request_number { id.value() });
            },
            sink);
        const std::lock_guard lock(m_mutex);
        m_unreplayable.erase(id);
    }

    void probed(const probe_report& report, dispatch_sink& sink) override
    {
        routing::probe_result ended = routing::probe_failed { report.refused };
        if (report.load)
            ended = routing::probe_answered { *report.load, report.latency, report.coldFor };
        run([&](instant now,
                routing::router& router) { return router.probed(now, report.target, ended); },
            sink);
    }

    void call(const router_call& update) override
    {
        if (dispatch_sink* sink = m_sink.load())
            return run(update, *sink);
        const std::lock_guard lock(m_mutex);
        const routing::actions ignored = update(monotonic_clock::now(), *m_router);
        for (const routing::action& step : ignored)
            storeLimit(step);
    }

    void setTable(const table::table& rows) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_targets.clear();
            for (const table::target_row& row : rows.targets)
                m_targets[row.id] = row;
            m_healthPaths.clear();
            for (const table::service_row& row : rows.services)
                m_healthPaths[row.id] = row.healthPath;
        }
        call([&](instant now, routing::router& router) { return router.applyTable(now, rows); });
    }

    void inspect(const std::function<void(const routing::router& router)>& reader) override
    {
        const std::lock_guard lock(m_mutex);
        reader(*m_router);
    }

private:
    /// Outcome of the last attempt of a request whose body can't be sent again.
    struct unreplayable_outcome {
        request_outcome outcome = request_outcome::Unknown;
    };

    void run(const router_call& step, dispatch_sink& sink)
    {
        routing::actions todo;
        {
            const std::lock_guard lock(m_mutex);
            todo = step(monotonic_clock::now(), *m_router);
        }
        for (const routing::action& next : todo)
            execute(next, sink);
    }

    void execute(const routing::action& step, dispatch_sink& sink)
    {
        const overloaded steps {
            [&](const routing::dispatch& to) { dispatchTo(to, sink); },
            [&](const routing::refuse& answer) { refuseWith(answer, sink); },
            [&](const routing::abandon& attempt) {
                sink.abandon(request_id { attempt.number.value() }, attempt.attempt.value());
            },
            [&](const routing::probe& asked) { probeTarget(asked.target, sink); },
            [&](const routing::close_idle& order) {
                if (const auto row = find(order.target))
                    sink.closeIdle(row->address, order.openedBefore);
            },
            [&](const routing::limit_connections&) {
                const std::lock_guard lock(m_mutex);
                storeLimit(step);
            },
            [&](const routing::broadcast_crash& broadcast) {
                if (m_listener)
                    m_listener(broadcast.record);
            },
        };
        std::visit(steps, step);
    }

    /// Precondition: m_mutex is held.
    void storeLimit(const routing::action& step)
    {
        if (const auto* limit = std::get_if<routing::limit_connections>(&step))
            m_limits[limit->target] = limit->count;
    }

    void dispatchTo(const routing::dispatch& order, dispatch_sink& sink)
    {
        const request_id id { order.number.value() };
        if (const auto known = takeUnreplayable(id))
            return endUnreplayable(order, *known, sink);
        const auto row = find(order.target);
        if (!row)
            return finishAttempt(order, routing::connect_failed {}, sink);
        destination to;
        to.target = order.target;
        to.address = row->address;
        to.grant = order.grant;
        to.instance = row->instance;
        to.connections = limitOf(*row);
        to.attempt = order.attempt.value();
        to.newConnection = order.newConnection;
        to.deadline = order.deadline;
        if (!sink.forward(id, to))
            finishAttempt(order, routing::cancelled {}, sink);
    }

    void endUnreplayable(
        const routing::dispatch& order, const unreplayable_outcome& known, dispatch_sink& sink)
    {
        finishAttempt(order, routing::cancelled {}, sink);
        refusal answer;
        answer.outcome = known.outcome;
        answer.status = known.outcome == request_outcome::NotRun ? 503 : 502;
        answer.reason = name(reason::BodyNotReplayable);
        sink.refuse(request_id { order.number.value() }, answer);
    }

    void finishAttempt(
        const routing::dispatch& order, const routing::attempt_result& ended, dispatch_sink& sink)
    {
        run(
            [&](instant now, routing::router& router) {
                return router.finish(now, order.number, order.attempt, ended);
            },
            sink);
    }

    void refuseWith(const routing::refuse& order, dispatch_sink& sink)
    {
        const request_id id { order.number.value() };
        (void)takeUnreplayable(id);
        refusal answer;
        answer.outcome = order.requestOutcome == routing::outcome::NotRun
            ? request_outcome::NotRun
            : request_outcome::Unknown;
        answer.status = statusOf(order.reason, order.requestOutcome);
        answer.reason = routing::name(order.reason);
        answer.peer = order.target.value();
        answer.retryAfter = std::max(order.retryAfter, duration::zero());
        answer.expectedWait = order.expectedWait;
        sink.refuse(id, answer);
    }

    void probeTarget(const target_id& target, dispatch_sink& sink)
    {
        if (const auto row = find(target))
            return sink.probe(target, { row->address, healthPath(row->service), row->run });
        run(
            [&](instant now, routing::router& router) {
                return router.probed(now, target, routing::probe_failed {});
            },
            sink);
    }

    void recordUnreplayable(const attempt& finished)
    {
        const bool notRun = std::holds_alternative<attempt_not_run>(finished.result);
        const bool unknown = std::holds_alternative<attempt_unknown>(finished.result);
        const std::lock_guard lock(m_mutex);
        if (!finished.replayable && (notRun || unknown))
            m_unreplayable[finished.id]
                = { notRun ? request_outcome::NotRun : request_outcome::Unknown };
    }

    std::optional<unreplayable_outcome> takeUnreplayable(request_id id)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_unreplayable.find(id);
        if (found == m_unreplayable.end())
            return std::nullopt;
        const unreplayable_outcome known = found->second;
        m_unreplayable.erase(found);
        return known;
    }

    std::optional<table::target_row> find(const target_id& target)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_targets.find(target);
        return found == m_targets.end() ? std::nullopt : std::optional(found->second);
    }

    std::string healthPath(const service_id& service)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_healthPaths.find(service);
        return found == m_healthPaths.end() ? "/" : found->second;
    }

    unsigned limitOf(const table::target_row& row)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_limits.find(row.id);
        return found == m_limits.end() ? row.connections : found->second;
    }

    void runTimer()
    {
        std::unique_lock lock(m_timerMutex);
        while (!m_stopped) {
            lock.unlock();
            tickIfDue();
            lock.lock();
            m_timerStop.wait_for(lock, timerInterval, [this] { return m_stopped; });
        }
    }

    void tickIfDue()
    {
        const instant now = monotonic_clock::now();
        {
            const std::lock_guard lock(m_mutex);
            if (m_router->nextDue() > now && now - m_ticked < tickInterval)
                return;
            m_ticked = now;
        }
        call([](instant at, routing::router& router) { return router.tick(at); });
    }

    void stopTimer()
    {
        {
            const std::lock_guard lock(m_timerMutex);
            m_stopped = true;
        }
        m_timerStop.notify_all();
        if (m_timer.joinable())
            m_timer.join();
    }

    static constexpr std::chrono::milliseconds tickInterval { 100 };

    std::mutex m_mutex;
    std::unique_ptr<routing::router> m_router;
    std::map<target_id, table::target_row> m_targets;
    std::map<service_id, std::string> m_healthPaths;
    std::map<target_id, unsigned> m_limits;
    std::unordered_map<request_id, unreplayable_outcome> m_unreplayable;
    crash_listener m_listener;
    std::atomic<dispatch_sink*> m_sink { nullptr };
    std::mutex m_timerMutex;
    std::condition_variable m_timerStop;
    bool m_stopped = false;
    instant m_ticked {};
    std::thread m_timer;
};

} // namespace

result<std::unique_ptr<routed_dispatcher>> routed_dispatcher::create(
    const routing::options& settings, const routing::owner_lookup& owners, crash_listener listener)
{
    auto router = routing::router::create(settings, owners);
    if (!router)
        return router.error();
    return std::make_unique<routed_dispatcher_impl>(std::move(router.value()), std::move(listener));
}

} // namespace pimentomast::proxy
