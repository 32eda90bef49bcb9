#pragma once

#include "directory.h"
#include "load.h"
#include "pimentomast/proxy.h"
#include "pimentomast/routing.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace pimentomast::serve::detail {

/// Joins the proxy to the pure router: takes its questions, carries out the router's actions.
///
/// Thread-safe. Lock order: router, then directory; the load's lock is taken alone. No lock is held
/// while the sink or a handler is called.
class dispatch : public proxy::dispatcher {
public:
    struct handlers {
        /// Probes a target's health over a new connection, then calls probed(). Must not block.
        std::function<void(const target_id&, const endpoint&)> probe;
        /// Tells the other hosts of a crash. Must not block.
        std::function<void(const routing::crash&)> tellHosts;
    };

    /// Fails on settings out of range. owners must outlive the object.
    [[nodiscard]] static result<std::unique_ptr<dispatch>> create(
        const routing::options& settings, const directory& owners, handlers calls);

    void submit(const proxy::request_facts& facts, proxy::dispatch_sink& sink) override;
    void ended(const proxy::attempt& finished, proxy::dispatch_sink& sink) override;
    void cancelled(proxy::request_id id) override;
    bool abandon(proxy::request_id id, const target_id& target) override;

    void tick(instant now);
    void applyTable(instant now, std::shared_ptr<const table::table> rows);
    void applyLiveHosts(instant now, std::optional<unsigned> count);
    void ownersChanged(instant now, const service_id& service);
    void report(instant now, const target_id& target, const routing::load_report& load);
    void probed(instant now, const target_id& target, const routing::probe_result& ended);
    void heard(instant now, const routing::crash& news);
    void pardon(instant now, routing::fingerprint print);
    void stop(instant now);

    [[nodiscard]] std::vector<routing::crash> crashes() const;
    [[nodiscard]] routing::counters counts() const;
    [[nodiscard]] std::vector<routing::target_view> targets() const;
    /// Returns the rates of every keyed service since the last call.
    [[nodiscard]] std::vector<wire::ServiceLoad> takeLoads(instant now);

private:
    /// What the router knows under a proxy's request id.
    struct pending {
        /// 0 while no attempt runs.
        routing::attempt_number attempt;
    };

    dispatch(const directory& owners, handlers calls);
    template <class Call>
    void decide(const Call& call);
    void perform(const routing::actions& todo);
    void perform(const routing::dispatch& order);
    void perform(const routing::refuse& order);
    void perform(const routing::abandon& order);
    void perform(const routing::probe& order);
    void perform(const routing::close_idle& order);
    void perform(const routing::limit_connections& order);
    void perform(const routing::tell_hosts& order);
    void track(const routing::actions& todo);
    void endUnrepeatable(const proxy::attempt& finished, proxy::dispatch_sink& sink);
    void count(const proxy::request_facts& facts);

    const directory& m_owners;
    handlers m_calls;
    /// The proxy's sink; set by the first request, before any decision can need it.
    std::atomic<proxy::dispatch_sink*> m_sink { nullptr };
    mutable std::mutex m_routerLock;
    std::unique_ptr<routing::router> m_router;
    std::unordered_map<std::uint64_t, pending> m_pending;
    std::map<target_id, unsigned> m_connections;
    std::mutex m_loadLock;
    load_meter m_load;
};

} // namespace pimentomast::serve::detail
