#include "pimentomast/ranges.h"

#include <criterion/criterion.h>
#include <map>
#include <random>
#include <set>

using namespace pimentomast;
using namespace std::chrono_literals;
using ranges::call;
using ranges::grant_range;
using ranges::grant_tracker;
using ranges::release_range;

namespace {

constexpr instant start { 1000s };

slice range(std::uint64_t first, std::uint64_t last)
{
    return { key_hash { first }, key_hash { last } };
}

token fence(std::uint64_t number) { return { epoch { 1 }, sequence { number } }; }

std::vector<ownership::granted_slice> wanted(const std::vector<slice>& slices)
{
    std::vector<ownership::granted_slice> all;
    all.reserve(slices.size());
    for (const auto& each : slices)
        all.push_back({ each, fence(1) });
    return all;
}

void accept(grant_tracker& target, const call& made)
{
    target.recordResult(start, made, 2s, ranges::accepted {});
}

void acceptAll(grant_tracker& target, const std::vector<slice>& slices)
{
    for (const auto& each : target.plan(start, wanted(slices), fence(1), {}))
        accept(target, each);
}

} // namespace

Test(ranges, neighbours_are_renewed_by_one_call)
{
    grant_tracker target;
    acceptAll(target, { range(0, 9), range(10, 19), range(30, 39) });
    const auto calls
        = target.plan(start, wanted({ range(0, 9), range(10, 19), range(30, 39) }), fence(2), {});
    cr_assert(calls.size() == 2);
    cr_assert(std::get<grant_range>(calls[0]).range == range(0, 19));
    cr_assert(std::get<grant_range>(calls[1]).range == range(30, 39));
}

Test(ranges, grants_come_before_releases)
{
    grant_tracker target;
    acceptAll(target, { range(0, 99) });
    const auto calls = target.plan(start, wanted({ range(0, 49), range(60, 99) }), fence(2), {});
    cr_assert(calls.size() == 3);
    cr_assert(std::holds_alternative<grant_range>(calls[0]));
    cr_assert(std::holds_alternative<grant_range>(calls[1]));
    cr_assert(std::get<release_range>(calls[2]).range == range(50, 59));
}

Test(ranges, state_of_released_keys_goes_to_their_new_owner_part_by_part)
{
    ranges::handovers states;
    states.put(range(10, 19), ranges::handover { "warm" });
    const auto calls = grant_tracker().plan(start, wanted({ range(0, 29) }), fence(2), states);
    cr_assert(calls.size() == 3);
    cr_assert(std::get<grant_range>(calls[0]).state == ranges::handover {});
    cr_assert(std::get<grant_range>(calls[1]).range == range(10, 19));
    cr_assert(std::get<grant_range>(calls[1]).state == ranges::handover { "warm" });
    cr_assert(std::get<grant_range>(calls[2]).range == range(20, 29));
    states.remove(range(10, 14));
    cr_assert(grant_tracker().plan(start, wanted({ range(10, 19) }), fence(2), states).size() == 2);
}

Test(ranges, released_keys_are_held_while_an_earlier_grant_has_no_answer)
{
    grant_tracker target;
    target.recordResult(
        start, grant_range { range(0, 9), fence(1), {} }, 2s, ranges::unanswered {});
    target.recordResult(
        start + 10ms, grant_range { range(0, 9), fence(1), {} }, 2s, ranges::accepted {});
    target.recordResult(
        start + 20ms, release_range { range(0, 9), fence(1) }, {}, ranges::accepted {});
    cr_assert(target.mayHold(start + 30ms).size() == 1);
    // The target's clock may run 2 % slow.
    cr_assert(target.mayHold(start + 2039ms).size() == 1);
    cr_assert(target.mayHold(start + 2040ms).empty());
}

Test(ranges, refused_and_unsent_calls_change_nothing)
{
    grant_tracker target;
    const grant_range grant { range(0, 9), fence(1), {} };
    target.recordResult(start, grant, 2s, ranges::not_sent {});
    target.recordResult(start, grant, 2s, ranges::fenced_out {});
    cr_assert(target.mayHold(start).empty());
    accept(target, grant);
    target.recordResult(start, release_range { range(0, 9), fence(1) }, {}, ranges::not_sent {});
    cr_assert(target.mayHold(start).size() == 1);
}

/// Simulates a target on the platform: its slow clock measures leases from the arrival of the call,
/// and unanswered calls may take effect late.
struct simulated_target {
    std::map<unsigned, instant> until;

    void apply(const call& made, instant arrival, duration lease)
    {
        const auto end
            = arrival + std::chrono::duration_cast<duration>(lease * ranges::maxClockDriftRatio);
        if (const auto* grant = std::get_if<grant_range>(&made)) {
            for (auto key = grant->range.first.value(); key <= grant->range.last.value(); ++key)
                until[static_cast<unsigned>(key)] = end;
            return;
        }
        const auto& released = std::get<release_range>(made).range;
        for (auto key = released.first.value(); key <= released.last.value(); ++key)
            until.erase(static_cast<unsigned>(key));
    }
    bool holds(unsigned key, instant now) const
    {
        const auto found = until.find(key);
        return found != until.end() && found->second > now;
    }
};

struct late_call {
    instant appliedAt;
    instant arrival;
    call made;
};

std::vector<slice> randomSlices(std::mt19937_64& random)
{
    std::vector<slice> slices;
    for (std::uint64_t first = 0; first < 32; first += 4) {
        if (random() % 2 == 0)
            slices.push_back(range(first, first + 3));
    }
    return slices;
}

// Each key that the target holds is in mayHold(), whichever calls are lost, delayed or not sent.
Test(ranges, may_hold_includes_every_held_key_in_random_histories)
{
    constexpr duration lease = 500ms;
    for (unsigned seed = 0; seed < 200; ++seed) {
        std::mt19937_64 random(seed);
        grant_tracker tracker;
        simulated_target target;
        std::vector<late_call> late;
        instant now = start;
        for (unsigned round = 0; round < 60; ++round) {
            for (const auto& made : tracker.plan(now, wanted(randomSlices(random)), fence(1), {})) {
                const auto sent = now;
                now += std::chrono::milliseconds(random() % 20);
                switch (random() % 5) {
                case 0:
                    late.push_back({ now + std::chrono::milliseconds(random() % 400), sent, made });
                    tracker.recordResult(now, made, lease, ranges::unanswered {});
                    break;
                case 1:
                    tracker.recordResult(now, made, lease, ranges::not_sent {});
                    break;
                default:
                    target.apply(made, sent, lease);
                    tracker.recordResult(now, made, lease, ranges::accepted {});
                }
            }
            now += std::chrono::milliseconds(random() % 100);
            for (const auto& each : late) {
                if (each.appliedAt <= now)
                    target.apply(each.made, each.arrival, lease);
            }
            std::erase_if(late, [now](const late_call& each) { return each.appliedAt <= now; });
            std::set<unsigned> possible;
            for (const auto& each : tracker.mayHold(now)) {
                for (auto key = each.first.value(); key <= each.last.value(); ++key)
                    possible.insert(static_cast<unsigned>(key));
            }
            for (unsigned key = 0; key < 32; ++key)
                cr_assert(!target.holds(key, now) || possible.contains(key),
                    "seed %u round %u key %u", seed, round, key);
        }
    }
}
