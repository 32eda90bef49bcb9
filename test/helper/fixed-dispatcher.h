#pragma once

#include "pimentomast/proxy.h"

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace pimentomast::test {

/// Sends requests to the targets in turn. Retries attempts that were not run, and those with an
/// unknown outcome if the request is repeatable, up to a number of attempts.
class fixed_dispatcher : public proxy::dispatcher {
public:
    explicit fixed_dispatcher(std::vector<proxy::destination> targets, unsigned attempts = 1)
        : m_targets(std::move(targets))
        , m_attempts(attempts)
    {
    }

    void submit(const proxy::request_facts& facts, proxy::dispatch_sink& sink) override
    {
        proxy::destination to;
        {
            const std::lock_guard lock(m_mutex);
            m_waiting[facts.id] = { facts, 1 };
            to = next();
        }
        if (!holdsRequests)
            (void)sink.forward(facts.id, to);
    }

    void ended(const proxy::attempt& finished, proxy::dispatch_sink& sink) override
    {
        std::unique_lock lock(m_mutex);
        if (recordsAttempts)
            results.push_back(finished);
        const auto* notRun = std::get_if<proxy::attempt_not_run>(&finished.result);
        const auto* unknown = std::get_if<proxy::attempt_unknown>(&finished.result);
        if (notRun == nullptr && unknown == nullptr) {
            m_waiting.erase(finished.id);
            return;
        }
        auto& waiting = m_waiting[finished.id];
        const bool mayRepeat = notRun != nullptr || waiting.facts.repeatable;
        if (mayRepeat && finished.replayable && waiting.attempts < m_attempts) {
            ++waiting.attempts;
            const proxy::destination to = next();
            lock.unlock();
            (void)sink.forward(finished.id, to);
            return;
        }
        m_waiting.erase(finished.id);
        lock.unlock();
        proxy::refusal details;
        details.outcome
            = notRun != nullptr ? proxy::request_outcome::NotRun : proxy::request_outcome::Unknown;
        details.status = notRun != nullptr ? 503 : 502;
        details.reason = proxy::name(notRun != nullptr ? notRun->why : unknown->why);
        sink.refuse(finished.id, details);
    }

    void cancelled(proxy::request_id id, proxy::dispatch_sink&) override
    {
        const std::lock_guard lock(m_mutex);
        m_waiting.erase(id);
        cancelledRequests.push_back(id);
    }

    void sent(proxy::request_id id, unsigned attempt, instant, proxy::dispatch_sink& sink) override
    {
        if (whenSent)
            whenSent(id, attempt, sink);
    }
    void responded(proxy::request_id, unsigned, proxy::dispatch_sink&) override
    {
        if (whenResponded)
            whenResponded();
    }
    bool identified(
        proxy::request_id id, std::uint64_t fingerprint, proxy::dispatch_sink& sink) override
    {
        {
            const std::lock_guard lock(m_mutex);
            identifiedRequests.push_back(fingerprint);
        }
        return !whenIdentified || whenIdentified(id, sink);
    }
    void probed(const proxy::probe_report&, proxy::dispatch_sink&) override { }

    /// Returns the facts of requests that have not ended.
    [[nodiscard]] std::vector<proxy::request_facts> waiting()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<proxy::request_facts> facts;
        for (const auto& [id, one] : m_waiting)
            facts.push_back(one.facts);
        return facts;
    }

    [[nodiscard]] std::vector<proxy::attempt> attempts()
    {
        const std::lock_guard lock(m_mutex);
        return results;
    }

    std::atomic<bool> recordsAttempts { true };
    /// Requests are not forwarded unless the test does so itself.
    std::atomic<bool> holdsRequests { false };
    /// Called on the attempt's thread before it sends or reads anything. Set before requests
    /// arrive.
    std::function<void(proxy::request_id, unsigned attempt, proxy::dispatch_sink&)> whenSent;
    /// Called on the attempt's thread once it has read the head of a response, before it reads or
    /// sends anything else. Set before requests arrive.
    std::function<void()> whenResponded;
    std::vector<proxy::attempt> results;
    /// Returns whether the request may be sent completely. Called on the attempt's thread. Set
    /// before requests arrive.
    std::function<bool(proxy::request_id, proxy::dispatch_sink&)> whenIdentified;
    /// Fingerprints of requests that were submitted before their body was known.
    std::vector<std::uint64_t> identifiedRequests;
    std::vector<proxy::request_id> cancelledRequests;

private:
    struct entry {
        proxy::request_facts facts;
        unsigned attempts = 0;
    };

    const proxy::destination& next() { return m_targets[m_next++ % m_targets.size()]; }

    std::mutex m_mutex;
    std::vector<proxy::destination> m_targets;
    unsigned m_attempts;
    std::size_t m_next = 0;
    std::map<proxy::request_id, entry> m_waiting;
};

/// Ignores all events.
class null_observer : public proxy::observer {
public:
    void completed(const proxy::completion&) override { }
    void rejected(const proxy::rejection&) override { }
};

/// Returns a table with a keyed service /weights/KEY (GET, HEAD and PUT are repeatable), a keyed
/// service /ledger/KEY without repeatable methods, and an unkeyed service /export (GET and HEAD are
/// repeatable).
inline std::shared_ptr<const table::table> proxyTable()
{
    auto rows = std::make_shared<table::table>();
    table::service_row weights;
    weights.id = service_id { "weights" };
    weights.pathPrefix = "/weights";
    weights.key = table::path_segment { 1 };
    weights.repeatable = { "GET", "HEAD", "PUT" };
    table::service_row ledger;
    ledger.id = service_id { "ledger" };
    ledger.pathPrefix = "/ledger";
    ledger.key = table::path_segment { 1 };
    table::service_row exports;
    exports.id = service_id { "export" };
    exports.pathPrefix = "/export";
    exports.repeatable = { "GET", "HEAD" };
    rows->services = { exports, ledger, weights };
    return rows;
}

} // namespace pimentomast::test
