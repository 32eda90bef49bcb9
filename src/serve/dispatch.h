#pragma once

#include "directory.h"
#include "forward_tracker.h"
#include "load.h"
#include "pimentomast/proxy.h"
#include "pimentomast/routing.h"

#include <mutex>

namespace pimentomast::serve::detail {

/// Connects the proxy's dispatcher with this host's directory, counts load, and tracks the requests
/// in flight.
///
/// Thread-safe. Lock order: router, then directory; the locks of the load meter and of the tracker
/// are never held together with another. No lock is held while the sink or a handler is called.
class dispatch : public proxy::dispatcher {
public:
    /// Reports a crash to the other hosts. Must not block.
    using crash_listener = proxy::routed_dispatcher::crash_listener;

    /// Fails on settings out of range. owners must outlive the object.
    [[nodiscard]] static result<std::unique_ptr<dispatch>> create(
        const routing::options& settings, directory& owners, crash_listener listener);

    void submit(const proxy::request_facts& facts, proxy::dispatch_sink& sink) override;
    void sent(proxy::request_id id, unsigned attempt, instant opened,
        proxy::dispatch_sink& sink) override;
    void responded(proxy::request_id id, unsigned attempt, proxy::dispatch_sink& sink) override;
    bool identified(
        proxy::request_id id, std::uint64_t fingerprint, proxy::dispatch_sink& sink) override;
    void ended(const proxy::attempt& finished, proxy::dispatch_sink& sink) override;
    void cancelled(proxy::request_id id, proxy::dispatch_sink& sink) override;
    void probed(const proxy::probe_report& report, proxy::dispatch_sink& sink) override;

    /// Starts the router's timer; its decisions go to the sink until detach().
    void attach(proxy::dispatch_sink& sink);
    void detach();

    void applyTable(const table::table& table);
    /// confirmed: whether the table in force is known to be the newest.
    void applyConfirmed(bool confirmed);
    void applyLiveHosts(std::optional<unsigned> count);
    /// listed: the store's list of hosts, sorted.
    void applyListedHosts(const host_id& self, const std::vector<host_id>& listed);
    void ownersChanged(const service_id& service);
    void report(const target_id& target, const routing::load_report& load);
    void applyEvenLoad(const routing::even_load& shared);
    void applyPeerCrashes(const std::vector<routing::crash>& records);
    void pardon(routing::fingerprint print);

    [[nodiscard]] std::vector<routing::crash> crashes() const;
    [[nodiscard]] std::uint64_t crashesHash() const;
    [[nodiscard]] std::vector<routing::suspect> suspects() const;
    [[nodiscard]] routing::counters counts() const;
    [[nodiscard]] std::vector<routing::target_view> targets() const;
    /// Returns the request rates of every keyed service since the last call.
    [[nodiscard]] std::vector<wire::ServiceLoad> takeLoads(instant now);
    /// Returns what was counted of the targets' speed since the last call.
    [[nodiscard]] std::vector<routing::speed_sample> takeSpeedSamples();

private:
    dispatch(directory& owners, std::unique_ptr<proxy::routed_dispatcher> routedDispatcher);
    void count(const proxy::request_facts& facts);

    const directory& m_owners;
    forward_tracker m_forwards;
    std::unique_ptr<tracking_sink> m_attached;
    std::unique_ptr<proxy::routed_dispatcher> m_routedDispatcher;
    std::mutex m_loadLock;
    load_meter m_load;
};

} // namespace pimentomast::serve::detail
