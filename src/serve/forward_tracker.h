#pragma once

#include "directory.h"
#include "pimentomast/proxy.h"

#include <mutex>
#include <optional>
#include <unordered_map>

namespace pimentomast::serve::detail {

/// Records in the directory which requests are in flight, for services that need a route lease;
/// requests to other services are not tracked. Thread-safe; no lock is held while the directory is
/// called.
class forward_tracker {
public:
    /// routes must outlive the object.
    explicit forward_tracker(directory& routes)
        : m_routes(routes)
    {
    }

    /// Records that a request was submitted.
    void add(const proxy::request_facts& facts);
    /// Records that an attempt is about to be sent; returns false if its route is no longer valid.
    [[nodiscard]] bool begin(proxy::request_id id, const proxy::destination& to);
    /// Records that an attempt is not sent after all, or certainly does not run any more.
    void drop(proxy::request_id id, unsigned attempt);
    /// Records that an attempt's connection is being closed while its answer is awaited.
    void abandon(proxy::request_id id, unsigned attempt);
    /// Records that an attempt has ended.
    void end(const proxy::attempt& finished);
    /// Stops tracking a request.
    void forget(proxy::request_id id);

private:
    struct tracked {
        service_id service;
        key_hash key;
    };

    [[nodiscard]] std::optional<tracked> find(proxy::request_id id) const;

    directory& m_routes;
    mutable std::mutex m_lock;
    std::unordered_map<proxy::request_id, tracked> m_requests;
};

/// Passes decisions on to the next sink, those to forward only if their route is still valid.
class tracking_sink final : public proxy::dispatch_sink {
public:
    /// All arguments must outlive the object.
    tracking_sink(
        forward_tracker& tracker, proxy::dispatcher& dispatcher, proxy::dispatch_sink& next)
        : m_tracker(tracker)
        , m_dispatcher(dispatcher)
        , m_next(next)
    {
    }

    bool forward(proxy::request_id id, const proxy::destination& to) override;
    void refuse(proxy::request_id id, const proxy::refusal& answer) override;
    void abandon(proxy::request_id id, unsigned attempt) override;
    void probe(const target_id& target, const proxy::probe_address& at) override;
    void closeIdle(const endpoint& address, instant openedBefore) override;

private:
    forward_tracker& m_tracker;
    proxy::dispatcher& m_dispatcher;
    proxy::dispatch_sink& m_next;
};

} // namespace pimentomast::serve::detail
