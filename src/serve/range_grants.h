#pragma once

#include "grant_sender.h"
#include "pimentomast/ranges.h"
#include "pimentomast/serve.h"

#include <boost/asio/thread_pool.hpp>
#include <map>
#include <memory>
#include <mutex>

namespace pimentomast::serve::detail {

/// Carries grant messages to targets that take one range at a time.
///
/// The messages' echo is a reading of this host's own clock, so that a lease ends no later than it
/// would at a target that reads the message itself: each call's lease is what is left of the
/// message's, less the time that the call may take to arrive.
///
/// Thread-safe. Lock order: a target's lock, then the lock of the services' states. A target's lock
/// is held during its calls: grants are sent one after the other, then releases all at once, since
/// each takes until the work on its keys has ended.
class range_grants final : public grant_sender {
public:
    /// calls must outlive the object.
    explicit range_grants(range_calls& calls);
    range_grants(const range_grants&) = delete;
    range_grants& operator=(const range_grants&) = delete;
    ~range_grants() override;

    [[nodiscard]] ownership::event send(const ownership::send_grant& order) override;

private:
    struct target_state {
        std::mutex lock;
        epoch coordinator;
        ranges::grant_tracker granted;
        /// Newest message of this epoch that was carried out.
        sequence handled;
        /// The message that listed these slices.
        sequence listed;
        std::vector<ownership::granted_slice> slices;
    };

    struct service_state {
        std::mutex lock;
        ranges::handovers states;
    };

    [[nodiscard]] target_state& stateOf(const target_id& target);
    [[nodiscard]] service_state& stateOf(const service_id& service);
    /// A call and how it ended.
    struct ended_call {
        ranges::call made;
        duration lease {};
        ranges::call_result outcome;
    };

    [[nodiscard]] bool carryOut(const ownership::send_grant& order, target_state& target);
    [[nodiscard]] ended_call make(const ownership::send_grant& order, const ranges::call& made);
    [[nodiscard]] std::vector<ended_call> releaseAll(
        const ownership::send_grant& order, const std::vector<ranges::call>& releases);
    void noteStates(
        service_state& service, const ranges::call& made, const ranges::call_result& outcome);

    range_calls& m_calls;
    boost::asio::thread_pool m_releasePool;
    std::mutex m_lock;
    std::map<target_id, std::unique_ptr<target_state>> m_targets;
    std::map<service_id, std::unique_ptr<service_state>> m_services;
};

} // namespace pimentomast::serve::detail
