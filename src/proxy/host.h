#pragma once

#include "classify.h"
#include "poller.h"
#include "registry.h"
#include "relay.h"
#include "route-splitter.h"
#include "worker-pool.h"

#include <Poco/Net/ServerSocket.h>
#include <condition_variable>

namespace pimentomast::proxy::detail {

/// A dispatched request.
struct forward_job {
    std::unique_ptr<exchange> request;
    destination to;
};
struct probe_job {
    target_id target;
    probe_address at;
};
using job = std::variant<forward_job, probe_job>;

/// How a request ended for its caller.
struct conclusion {
    /// 0: without a whole answer.
    int status = 0;
    /// Why this host ended it; empty if a target answered.
    std::string reason {};
    std::string target {};
    duration retryAfter {};
    duration expectedWait {};
};

/// The server: accepts, checks, classifies, submits and runs requests.
class host final : public server, public dispatch_sink {
public:
    host(const options& settings, dispatcher& decisions, observer& watcher,
        const Poco::Net::ServerSocket& listener);
    host(const host&) = delete;
    host& operator=(const host&) = delete;
    ~host() override;

    [[nodiscard]] endpoint address() const override;
    void setTable(std::shared_ptr<const table::table> rows) override;
    void setHealthy(bool healthy) override;
    void drain(duration accepting) override;
    [[nodiscard]] const counters& counts() const override { return m_counts; }
    [[nodiscard]] gauges state() const override;

    bool forward(request_id id, const destination& to) override;
    void refuse(request_id id, const refusal& answer) override;
    void abandon(request_id id, unsigned attempt) override;
    void probe(const target_id& target, const probe_address& at) override;
    void closeIdle(const endpoint& address, instant openedBefore) override;
    [[nodiscard]] dispatch_sink& sink() override { return *this; }

private:
    void accept();
    void stopAccepting();
    void adopt(const Poco::Net::StreamSocket& socket);
    void onInput(const caller_pointer& caller);
    void onGone(const caller_pointer& caller);
    void onHeadLate(const caller_pointer& caller);
    void onClosed();
    void onSweep(instant now);
    [[nodiscard]] std::size_t countOpened();

    void onHead(const caller_pointer& caller, std::size_t bytes);
    void begin(const caller_pointer& caller, checked_head head);
    [[nodiscard]] bool awaitsBody(const caller_connection& caller, const checked_head& head) const;
    void submit(
        const caller_pointer& caller, checked_head head, const table::classified_request& found);
    [[nodiscard]] duration allowedTime(
        const checked_head& head, const table::classified_request& found) const;
    void enqueue(std::unique_ptr<exchange> request);
    void answerHealth(const caller_pointer& caller, const checked_head& head);
    void refuseHead(const caller_pointer& caller, reason why);
    void refuseRequest(const caller_pointer& caller, const checked_head& head, reason why);
    void send(const caller_pointer& caller, const std::string& text, bool closes);
    void watchWhileWaiting(const caller_pointer& caller, request_id id);

    void execute(std::unique_ptr<exchange> request, const decision& what);
    void start(std::unique_ptr<exchange> request, const destination& to);
    void answerRefusal(const exchange& request, const refusal& answer);
    void run(job work);
    void runForward(forward_job& work);
    [[nodiscard]] relay_result runOver(forward_job& work, target_connection& connection);
    void conclude(forward_job& work, const relay_result& ended, attempt finished);
    void concludeOver(const forward_job& work, attempt finished);
    void waitAgain(std::unique_ptr<exchange> request, const attempt& finished, bool abandoned);
    void continueAnswer(std::unique_ptr<exchange> request);
    void breakOff(const exchange& request);
    void answerFault(const exchange& request, std::optional<reason> fault);
    void complete(const exchange& request, const conclusion& end);
    void finishCaller(const caller_pointer& caller, bool reusable, bool broken);
    [[nodiscard]] relay_context context(const forward_job& work);

    [[nodiscard]] poller& pollerOf(const caller_connection& caller);
    [[nodiscard]] head_limits limits() const;
    [[nodiscard]] std::shared_ptr<const table::table> rows() const;

    options m_options;
    dispatcher& m_decisions;
    observer& m_observer;
    Poco::Net::ServerSocket m_listener;
    counters m_counts;
    std::atomic<std::shared_ptr<const table::table>> m_rows;
    std::atomic<bool> m_healthy { false };
    std::atomic<bool> m_draining { false };
    std::atomic<bool> m_aborting { false };
    std::atomic<std::uint64_t> m_nextId { 1 };
    std::atomic<std::size_t> m_running { 0 };
    /// Taken before the poller's lock.
    std::mutex m_acceptMutex;
    mutable std::mutex m_closedMutex;
    std::condition_variable m_allClosed;
    std::size_t m_connections = 0;
    /// Used by the first poller's thread only.
    instant m_poolSwept {};
    registry m_registry;
    route_splitter m_splitter;
    target_pool m_targets;
    std::vector<std::unique_ptr<poller>> m_pollers;
    std::unique_ptr<worker_pool<job>> m_workers;
};

} // namespace pimentomast::proxy::detail
