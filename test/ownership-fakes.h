#pragma once

#include "pimentomast/ownership.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <set>

/// Fake targets and hosts with separate clocks, and the faults that a simulation injects.
namespace ownership_simulation {

using namespace pimentomast;
using namespace pimentomast::ownership;
using std::chrono::milliseconds;

inline const service_id service { "weights" };
constexpr int storeNode = 1000;
constexpr int firstTargetNode = 100;
constexpr int sampledHashes = 16;

struct options {
    std::uint64_t seed = 0;
    int hosts = 3;
    int targets = 3;
    /// Targets that the table lists at first; see simulation::listedTargets.
    int listedTargets = std::numeric_limits<int>::max();
    bool checksTokens = true;
    /// Targets report the slices that they hold to a new coordinator.
    bool reportsHeld = true;
    timings times;
    /// Largest rate error of a clock, as a fraction of simulated time.
    double drift = 0;
};

struct faults {
    bool outage = false;
    double loss = 0;
    double lostReply = 0;
    double longDelay = 0;
    double pauseBeforeSend = 0;
    std::set<std::pair<int, int>> cuts;
};

inline std::int64_t scaled(std::int64_t now, double rate)
{
    return static_cast<std::int64_t>(static_cast<double>(now) * rate);
}

struct fake_target {
    target_id id;
    incarnation run { 1 };
    std::int64_t clockOffsetUs = 0;
    double rate = 1;
    std::int64_t frozenUntil = 0;
    epoch highest;
    sequence last;
    /// Number of the message that listed the slices, and the list; 0 once the lease has expired.
    sequence listNumber;
    std::vector<granted_slice> list;
    std::int64_t leaseEndsUs = 0;
    std::vector<held_slice> held;

    std::int64_t clock(std::int64_t now) const { return scaled(now, rate) + clockOffsetUs; }
    bool holds(std::int64_t now, key_hash hash) const
    {
        return clock(now) < leaseEndsUs
            && std::any_of(held.begin(), held.end(),
                [&](const auto& each) { return each.range.contains(hash); });
    }

    /// Precondition: the target holds the key.
    token tokenOf(key_hash hash) const
    {
        const auto found = std::find_if(
            held.begin(), held.end(), [&](const auto& each) { return each.range.contains(hash); });
        return found->grant;
    }

    /// Returns whether the target accepts a message. An expired list is discarded in either case.
    bool acceptMessage(std::int64_t now, const grant_message& message)
    {
        if (message.target != incarnation {} && message.target != run)
            return false;
        if (message.coordinator < highest)
            return false;
        if (message.coordinator == highest && message.number <= last)
            return false;
        const bool leaseEnded = clock(now) >= leaseEndsUs;
        if (leaseEnded || highest < message.coordinator)
            listNumber = {};
        if (message.repeats != sequence {} && message.repeats != listNumber)
            return false;
        highest = message.coordinator;
        last = message.number;
        if (leaseEnded)
            held.clear();
        return true;
    }

    /// Applies a message unless the target refuses it; drained decides for each released slice
    /// whether no request is running on it.
    bool handle(
        std::int64_t now, const grant_message& message, const std::function<bool()>& drained)
    {
        if (!acceptMessage(now, message))
            return false;
        if (message.adopt)
            return true;
        if (message.repeats == sequence {}) {
            listNumber = message.number;
            list = message.slices;
        }
        hold(now, message, drained);
        return true;
    }

    void hold(std::int64_t now, const grant_message& message, const std::function<bool()>& drained)
    {
        const auto ends = static_cast<std::int64_t>(message.echoUs) + message.lease.count() * 1000;
        const auto before = std::exchange(held, {});
        const bool expired = ends <= clock(now);
        for (const auto& each : list) {
            if (!expired)
                held.push_back({ each.range, each.grant, false });
        }
        for (auto each : before) {
            const bool kept = std::any_of(
                list.begin(), list.end(), [&](const auto& one) { return one.range == each.range; });
            if (kept || drained())
                continue;
            each.draining = true;
            held.push_back(each);
        }
        leaseEndsUs = ends;
    }

    grant_reply reply(std::int64_t now, sequence repeated) const
    {
        grant_reply answer;
        answer.target = run;
        answer.clockUs = static_cast<std::uint64_t>(clock(now));
        answer.highest = highest;
        const bool exactly = held.size() == list.size()
            && std::none_of(
                held.begin(), held.end(), [](const auto& each) { return each.draining; });
        if (repeated != sequence {} && exactly)
            answer.repeats = repeated;
        else
            answer.held = held;
        return answer;
    }
};

struct fake_host {
    host_run id;
    std::int64_t clockOffsetUs = 0;
    double rate = 1;
    std::int64_t pausedUntil = 0;
    /// Newest era that a response of the store had.
    std::uint64_t era = 0;
    std::optional<coordinator> coordination;
    route_table routes;
};

} // namespace ownership_simulation
