#include "dispatch.h"

namespace pimentomast::serve::detail {

result<std::unique_ptr<dispatch>> dispatch::create(
    const routing::options& settings, directory& owners, crash_listener listener)
{
    auto routedDispatcher = proxy::routed_dispatcher::create(settings, owners, std::move(listener));
    if (!routedDispatcher)
        return routedDispatcher.error();
    return std::unique_ptr<dispatch>(new dispatch(owners, std::move(routedDispatcher).value()));
}

dispatch::dispatch(directory& owners, std::unique_ptr<proxy::routed_dispatcher> routedDispatcher)
    : m_owners(owners)
    , m_forwards(owners)
    , m_routedDispatcher(std::move(routedDispatcher))
{
}

void dispatch::count(const proxy::request_facts& facts)
{
    if (!facts.key)
        return;
    const auto range = m_owners.countedRange(facts.service, *facts.key);
    if (!range)
        return;
    const std::lock_guard guard(m_loadLock);
    m_load.count(facts.arrived, facts.service, *range, *facts.key);
}

void dispatch::submit(const proxy::request_facts& facts, proxy::dispatch_sink& sink)
{
    count(facts);
    m_forwards.add(facts);
    tracking_sink tracked(m_forwards, *this, sink);
    m_routedDispatcher->submit(facts, tracked);
}

void dispatch::sent(
    proxy::request_id id, unsigned attempt, instant opened, proxy::dispatch_sink& sink)
{
    tracking_sink tracked(m_forwards, *this, sink);
    m_routedDispatcher->sent(id, attempt, opened, tracked);
}

void dispatch::responded(proxy::request_id id, unsigned attempt, proxy::dispatch_sink& sink)
{
    tracking_sink tracked(m_forwards, *this, sink);
    m_routedDispatcher->responded(id, attempt, tracked);
}

bool dispatch::identified(
    proxy::request_id id, std::uint64_t fingerprint, proxy::dispatch_sink& sink)
{
    tracking_sink tracked(m_forwards, *this, sink);
    return m_routedDispatcher->identified(id, fingerprint, tracked);
}

void dispatch::ended(const proxy::attempt& finished, proxy::dispatch_sink& sink)
{
    m_forwards.end(finished);
    tracking_sink tracked(m_forwards, *this, sink);
    m_routedDispatcher->ended(finished, tracked);
}

void dispatch::cancelled(proxy::request_id id, proxy::dispatch_sink& sink)
{
    m_forwards.forget(id);
    tracking_sink tracked(m_forwards, *this, sink);
    m_routedDispatcher->cancelled(id, tracked);
}

void dispatch::probed(const proxy::probe_report& report, proxy::dispatch_sink& sink)
{
    tracking_sink tracked(m_forwards, *this, sink);
    m_routedDispatcher->probed(report, tracked);
}

void dispatch::attach(proxy::dispatch_sink& sink)
{
    m_attached = std::make_unique<tracking_sink>(m_forwards, *this, sink);
    m_routedDispatcher->attach(*m_attached);
}

void dispatch::detach() { m_routedDispatcher->detach(); }

void dispatch::applyTable(const table::table& table) { m_routedDispatcher->setTable(table); }

void dispatch::applyLiveHosts(std::optional<unsigned> count)
{
    m_routedDispatcher->call(
        [&](instant now, routing::router& router) { return router.applyLiveHosts(now, count); });
}

void dispatch::applyListedHosts(const host_id& self, const std::vector<host_id>& listed)
{
    m_routedDispatcher->call([&](instant now, routing::router& router) {
        return router.applyListedHosts(now, self, listed);
    });
}

void dispatch::applyConfirmed(bool confirmed)
{
    m_routedDispatcher->call([&](instant now, routing::router& router) {
        return router.applyTableConfirmed(now, confirmed);
    });
}

void dispatch::ownersChanged(const service_id& service)
{
    m_routedDispatcher->call(
        [&](instant now, routing::router& router) { return router.ownersChanged(now, service); });
}

void dispatch::report(const target_id& target, const routing::load_report& load)
{
    m_routedDispatcher->call(
        [&](instant now, routing::router& router) { return router.report(now, target, load); });
}

void dispatch::applyEvenLoad(const routing::even_load& shared)
{
    m_routedDispatcher->call(
        [&](instant now, routing::router& router) { return router.applyEvenLoad(now, shared); });
}

std::vector<routing::speed_sample> dispatch::takeSpeedSamples()
{
    std::vector<routing::speed_sample> taken;
    m_routedDispatcher->call([&](instant, routing::router& router) {
        taken = router.takeSpeedSamples();
        return routing::actions {};
    });
    return taken;
}

void dispatch::applyPeerCrashes(const std::vector<routing::crash>& records)
{
    m_routedDispatcher->call(
        [&](instant now, routing::router& router) { return router.applyCrashes(now, records); });
}

void dispatch::pardon(routing::fingerprint print)
{
    m_routedDispatcher->call(
        [&](instant now, routing::router& router) { return router.pardon(now, print); });
}

std::vector<routing::crash> dispatch::crashes() const
{
    std::vector<routing::crash> known;
    m_routedDispatcher->inspect([&](const routing::router& router) { known = router.crashes(); });
    return known;
}

std::uint64_t dispatch::crashesHash() const
{
    std::uint64_t hash = 0;
    m_routedDispatcher->inspect(
        [&](const routing::router& router) { hash = router.crashesHash(); });
    return hash;
}

std::vector<routing::suspect> dispatch::suspects() const
{
    std::vector<routing::suspect> known;
    m_routedDispatcher->inspect([&](const routing::router& router) { known = router.suspects(); });
    return known;
}

routing::counters dispatch::counts() const
{
    routing::counters counted;
    m_routedDispatcher->inspect([&](const routing::router& router) { counted = router.counts(); });
    return counted;
}

std::vector<routing::target_view> dispatch::targets() const
{
    std::vector<routing::target_view> views;
    m_routedDispatcher->inspect([&](const routing::router& router) { views = router.targets(); });
    return views;
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
