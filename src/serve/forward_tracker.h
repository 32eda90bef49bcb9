#pragma once

#include "directory.h"
#include "pimentomast/proxy.h"

#include <mutex>
#include <optional>
#include <unordered_map>

namespace pimentomast::serve::detail {

/// Tells the directory which requests are in flight, for services that need a route lease; other
/// requests pass by it. Thread-safe; no lock is held while the directory is called.
class forward_tracker {
public:
    /// routes must outlive the object.
    explicit forward_tracker(directory& routes)
        : m_routes(routes)
    {
    }

    /// A request was submitted.
    void add(const proxy::request_facts& facts);
    /// An attempt is about to go out; returns false if its route does not hold any more.
    [[nodiscard]] bool begin(proxy::request_id id, const proxy::destination& to);
    /// An attempt does not go out.
    void drop(proxy::request_id id, unsigned attempt);
    /// An attempt's connection is being closed although its answer is awaited.
    void abandon(proxy::request_id id, unsigned attempt);
    /// An attempt has ended.
    void end(const proxy::attempt& finished);
    /// A request is over.
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

/// Passes decisions on, those to forward only while their route holds.
class tracking_sink final : public proxy::dispatch_sink {
public:
    /// All must outlive the object.
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
