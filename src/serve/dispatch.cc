#include "dispatch.h"

namespace pimentomast::serve::detail {
namespace {

constexpr unsigned connectionsUntilTold = 1;

routing::request toRequest(const proxy::request_facts& facts)
{
    routing::request taken;
    taken.number = routing::request_number { facts.id.value() };
    taken.service = facts.service;
    taken.key = facts.key;
    taken.caller = facts.caller;
    taken.repeatable = facts.repeatable;
    taken.arrival = facts.arrived;
    taken.deadline = facts.deadline;
    taken.print = routing::fingerprint { facts.fingerprint };
    return taken;
}

struct result_visitor {
    const proxy::attempt& finished;

    routing::attempt_result operator()(const proxy::attempt_answered& ended) const
    {
        return routing::answered { ended.status, finished.firstByte, finished.total };
    }
    routing::attempt_result operator()(const proxy::attempt_not_run& ended) const
    {
        switch (ended.why) {
        case proxy::reason::TargetShed:
            return routing::shed {};
        case proxy::reason::TargetNotOwner:
            return routing::token_refused {};
        case proxy::reason::TargetDraining:
            return routing::draining {};
        default:
            return routing::connect_failed {};
        }
    }
    routing::attempt_result operator()(const proxy::attempt_unknown& ended) const
    {
        const bool late
            = ended.why == proxy::reason::Deadline || ended.why == proxy::reason::TargetTimeout;
        if (late)
            return routing::timed_out {};
        return routing::broken {};
    }
    routing::attempt_result operator()(const proxy::attempt_broken&) const
    {
        return routing::broken {};
    }
    routing::attempt_result operator()(const proxy::attempt_cancelled&) const
    {
        return routing::cancelled {};
    }
};

proxy::certainty toCertainty(routing::outcome value)
{
    return value == routing::outcome::NotRun ? proxy::certainty::NotRun : proxy::certainty::Unknown;
}

int statusOf(const routing::refuse& order)
{
    switch (order.reason) {
    case routing::refusal_reason::UnknownService:
        return 404;
    case routing::refusal_reason::Quarantined:
        return 422;
    case routing::refusal_reason::DeadlineBeforeDispatch:
    case routing::refusal_reason::DeadlineUnreachable:
    case routing::refusal_reason::DeadlineAfterDispatch:
        return 504;
    default:
        return order.certainty == routing::outcome::NotRun ? 503 : 502;
    }
}

unsigned wholeSeconds(duration span)
{
    return static_cast<unsigned>(std::chrono::ceil<std::chrono::seconds>(span).count());
}

/// Answer for a request whose body was consumed, so that no attempt can follow.
proxy::refusal bodyConsumed(const proxy::attempt& finished)
{
    proxy::refusal answer;
    const auto* notRun = std::get_if<proxy::attempt_not_run>(&finished.result);
    const auto* unknown = std::get_if<proxy::attempt_unknown>(&finished.result);
    answer.outcome = notRun ? proxy::certainty::NotRun : proxy::certainty::Unknown;
    answer.status = notRun ? 503 : 502;
    if (notRun)
        answer.reason = proxy::name(notRun->why);
    if (unknown)
        answer.reason = proxy::name(unknown->why);
    return answer;
}

bool mayContinue(const proxy::attempt_result& ended)
{
    return std::holds_alternative<proxy::attempt_not_run>(ended)
        || std::holds_alternative<proxy::attempt_unknown>(ended);
}

} // namespace

result<std::unique_ptr<dispatch>> dispatch::create(
    const routing::options& settings, const directory& owners, handlers calls)
{
    auto created = std::unique_ptr<dispatch>(new dispatch(owners, std::move(calls)));
    auto router = routing::router::create(settings, owners);
    if (!router)
        return router.error();
    created->m_router = std::move(router).value();
    return created;
}

dispatch::dispatch(const directory& owners, handlers calls)
    : m_owners(owners)
    , m_calls(std::move(calls))
{
}

/// Asks the router under its lock, then carries out its actions without it.
template <class Call>
void dispatch::decide(const Call& call)
{
    routing::actions todo;
    {
        const std::lock_guard guard(m_routerLock);
        todo = call(*m_router);
        track(todo);
    }
    perform(todo);
}

void dispatch::track(const routing::actions& todo)
{
    for (const auto& action : todo) {
        if (const auto* order = std::get_if<routing::dispatch>(&action))
            m_pending[order->number.value()].attempt = order->attempt;
        else if (const auto* refused = std::get_if<routing::refuse>(&action))
            m_pending.erase(refused->number.value());
        else if (const auto* limit = std::get_if<routing::limit_connections>(&action))
            m_connections[limit->target] = limit->count;
    }
}

void dispatch::perform(const routing::actions& todo)
{
    for (const auto& action : todo)
        std::visit([this](const auto& order) { perform(order); }, action);
}

void dispatch::perform(const routing::dispatch& order)
{
    const auto rows = m_owners.rows();
    const auto* target = rows ? rows->target(order.target) : nullptr;
    proxy::destination to;
    to.target = order.target;
    to.grant = order.grant;
    to.connections = connectionsUntilTold;
    if (target)
        to.address = target->address;
    {
        const std::lock_guard guard(m_routerLock);
        const auto told = m_connections.find(order.target);
        if (told != m_connections.end())
            to.connections = told->second;
    }
    m_sink.load()->forward(proxy::request_id { order.number.value() }, to);
}

void dispatch::perform(const routing::refuse& order)
{
    proxy::refusal answer;
    answer.outcome = toCertainty(order.certainty);
    answer.status = statusOf(order);
    answer.reason = routing::name(order.reason);
    answer.retryAfterS = wholeSeconds(order.retryAfter);
    m_sink.load()->refuse(proxy::request_id { order.number.value() }, answer);
}

// The proxy checks late connections itself and asks abandon(), so these need no work here.
void dispatch::perform(const routing::abandon&) { }
void dispatch::perform(const routing::close_idle&) { }

void dispatch::perform(const routing::probe& order)
{
    const auto rows = m_owners.rows();
    if (const auto* target = rows ? rows->target(order.target) : nullptr)
        m_calls.probe(order.target, target->address);
}

void dispatch::perform(const routing::limit_connections&) { }

void dispatch::perform(const routing::tell_hosts& order) { m_calls.tellHosts(order.news); }

void dispatch::count(const proxy::request_facts& facts)
{
    if (!facts.key)
        return;
    const auto range = m_owners.sliceOf(facts.service, *facts.key);
    if (!range)
        return;
    const std::lock_guard guard(m_loadLock);
    m_load.count(facts.arrived, facts.service, *range, *facts.key);
}

void dispatch::submit(const proxy::request_facts& facts, proxy::dispatch_sink& sink)
{
    m_sink = &sink;
    count(facts);
    const auto taken = toRequest(facts);
    decide([&](routing::router& router) {
        m_pending[facts.id.value()] = {};
        return router.arrive(monotonic_clock::now(), taken);
    });
}

void dispatch::ended(const proxy::attempt& finished, proxy::dispatch_sink& sink)
{
    if (!finished.replayable && mayContinue(finished.result)) {
        endUnrepeatable(finished, sink);
        return;
    }
    const auto number = routing::request_number { finished.id.value() };
    decide([&](routing::router& router) -> routing::actions {
        const auto found = m_pending.find(finished.id.value());
        if (found == m_pending.end())
            return {};
        const auto attempt = found->second.attempt;
        found->second.attempt = {};
        const auto now = monotonic_clock::now();
        const bool over = !mayContinue(finished.result);
        if (over)
            m_pending.erase(found);
        routing::actions todo;
        if (std::holds_alternative<proxy::attempt_broken>(finished.result))
            todo = router.responded(now, number, attempt);
        const auto more = router.finish(
            now, number, attempt, std::visit(result_visitor { finished }, finished.result));
        todo.insert(todo.end(), more.begin(), more.end());
        if (over) {
            std::erase_if(todo, [&](const auto& action) {
                const auto* refused = std::get_if<routing::refuse>(&action);
                return refused && refused->number == number;
            });
        }
        return todo;
    });
}

/// Ends a request that cannot be sent again, whatever the router would decide.
void dispatch::endUnrepeatable(const proxy::attempt& finished, proxy::dispatch_sink& sink)
{
    const auto number = routing::request_number { finished.id.value() };
    const auto concerns = [number](const auto& action) {
        const auto* order = std::get_if<routing::dispatch>(&action);
        const auto* refused = std::get_if<routing::refuse>(&action);
        return (order && order->number == number) || (refused && refused->number == number);
    };
    decide([&](routing::router& router) -> routing::actions {
        const auto found = m_pending.find(finished.id.value());
        if (found == m_pending.end())
            return {};
        const auto attempt = found->second.attempt;
        m_pending.erase(found);
        const auto now = monotonic_clock::now();
        auto todo = router.finish(
            now, number, attempt, std::visit(result_visitor { finished }, finished.result));
        const bool again = std::any_of(todo.begin(), todo.end(), concerns);
        std::erase_if(todo, concerns);
        const routing::attempt_number next { attempt.value() + 1 };
        const auto more = again ? router.finish(now, number, next, routing::cancelled {})
                                : router.cancel(now, number);
        todo.insert(todo.end(), more.begin(), more.end());
        return todo;
    });
    sink.refuse(finished.id, bodyConsumed(finished));
}

void dispatch::cancelled(proxy::request_id id)
{
    const routing::request_number number { id.value() };
    decide([&](routing::router& router) -> routing::actions {
        const auto found = m_pending.find(id.value());
        if (found == m_pending.end())
            return {};
        const auto attempt = found->second.attempt;
        m_pending.erase(found);
        const auto now = monotonic_clock::now();
        if (attempt == routing::attempt_number {})
            return router.cancel(now, number);
        return router.finish(now, number, attempt, routing::cancelled {});
    });
}

bool dispatch::abandon(proxy::request_id, const target_id&) { return true; }

void dispatch::tick(instant now)
{
    decide([&](routing::router& router) { return router.tick(now); });
}

void dispatch::applyTable(instant now, std::shared_ptr<const table::table> rows)
{
    decide([&](routing::router& router) { return router.applyTable(now, *rows); });
}

void dispatch::applyLiveHosts(instant now, std::optional<unsigned> count)
{
    decide([&](routing::router& router) { return router.applyLiveHosts(now, count); });
}

void dispatch::ownersChanged(instant now, const service_id& service)
{
    decide([&](routing::router& router) { return router.ownersChanged(now, service); });
}

void dispatch::report(instant now, const target_id& target, const routing::load_report& load)
{
    decide([&](routing::router& router) { return router.report(now, target, load); });
}

void dispatch::probed(instant now, const target_id& target, const routing::probe_result& ended)
{
    decide([&](routing::router& router) { return router.probed(now, target, ended); });
}

void dispatch::heard(instant now, const routing::crash& news)
{
    decide([&](routing::router& router) { return router.heard(now, news); });
}

void dispatch::pardon(instant now, routing::fingerprint print)
{
    decide([&](routing::router& router) { return router.pardon(now, print); });
}

void dispatch::stop(instant now)
{
    decide([&](routing::router& router) { return router.stop(now); });
}

std::vector<routing::crash> dispatch::crashes() const
{
    const std::lock_guard guard(m_routerLock);
    return m_router->crashes();
}

routing::counters dispatch::counts() const
{
    const std::lock_guard guard(m_routerLock);
    return m_router->counts();
}

std::vector<routing::target_view> dispatch::targets() const
{
    const std::lock_guard guard(m_routerLock);
    return m_router->targets();
}

std::vector<wire::ServiceLoad> dispatch::takeLoads(instant now)
{
    const std::lock_guard guard(m_loadLock);
    std::vector<wire::ServiceLoad> loads;
    for (const auto& service : m_load.services())
        loads.push_back(m_load.report(now, service));
    return loads;
}

} // namespace pimentomast::serve::detail
