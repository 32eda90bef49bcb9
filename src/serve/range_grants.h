#pragma once

#include "grant_sender.h"
#include "pimentomast/ranges.h"
#include "pimentomast/serve.h"
#include "pimentomast/workers.h"

#include <map>
#include <memory>
#include <mutex>

namespace pimentomast::serve::detail {

/// Sends grant messages to targets that are granted one range per call.
///
/// The echo of a message is a reading of this host's own clock. The lease of a call is the
/// remaining lease of its message minus the maximum delivery delay, reduced by the allowed clock
/// drift, so that it ends no later than at a target that processes the message itself.
///
/// Thread-safe. Lock order: a target's lock, then the lock of a service's states. A target's lock
/// is held during its calls: grants are sent one after the other, then all releases in parallel,
/// since each release takes until the work on its keys has ended.
class range_grants final : public grant_sender {
public:
    /// client must outlive the object.
    explicit range_grants(range_client& client);
    range_grants(const range_grants&) = delete;
    range_grants& operator=(const range_grants&) = delete;
    ~range_grants() override;

    [[nodiscard]] ownership::event send(const ownership::send_grant& action) override;

private:
    struct target_state {
        std::mutex lock;
        epoch coordinator;
        ranges::grant_tracker granted;
        /// Number of the newest message of this epoch that was carried out.
        sequence handled;
        /// Number of the message that listed the slices.
        sequence listed;
        std::vector<ownership::granted_slice> slices;
    };

    struct service_state {
        std::mutex lock;
        ranges::handovers states;
    };

    [[nodiscard]] target_state& stateOf(const target_id& target);
    [[nodiscard]] service_state& stateOf(const service_id& service);
    /// A call with its lease and its outcome.
    struct ended_call {
        ranges::call made;
        duration lease {};
        ranges::call_result outcome;
    };

    [[nodiscard]] bool carryOut(const ownership::send_grant& action, target_state& target);
    [[nodiscard]] ended_call execute(const ownership::send_grant& action, const ranges::call& made);
    [[nodiscard]] std::vector<ended_call> releaseAll(
        const ownership::send_grant& action, const std::vector<ranges::call>& releases);
    void recordHandovers(
        service_state& service, const ranges::call& made, const ranges::call_result& outcome);

    range_client& m_client;
    worker_pool<std::function<void()>> m_releasePool;
    std::mutex m_lock;
    std::map<target_id, std::unique_ptr<target_state>> m_targets;
    std::map<service_id, std::unique_ptr<service_state>> m_services;
};

} // namespace pimentomast::serve::detail
