#pragma once

#include "pimentomast/core.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

/// The target's side of the grant protocol (docs/DESIGN.md). Pure: the current time is passed in.
namespace stand_in {

namespace pm = pimentomast;

/// A slice with the token under which it was assigned.
struct granted_slice {
    pm::slice range;
    pm::token grant;
};

struct grant_message {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    std::int64_t echoUs = 0;
    std::int64_t leaseMs = 0;
    bool adopt = false;
    /// Sequence of an earlier message whose slices are granted again; 0: those in `slices`.
    std::uint64_t repeats = 0;
    std::vector<granted_slice> slices;
};

enum class grant_answer {
    Accepted,
    OldEpoch,
    OldSequence,
    OtherIncarnation,
    /// The message repeats a list of slices that the target does not hold.
    UnknownList,
};

/// A slice that the target holds or is draining.
struct held_slice {
    std::uint64_t id = 0;
    granted_slice slice;
    std::int64_t untilUs = 0;
    bool draining = false;
    unsigned running = 0;
};

/// Interval in which new requests were accepted for a slice.
struct held_interval {
    std::uint64_t id = 0;
    granted_slice slice;
    std::int64_t fromUs = 0;
    std::int64_t toUs = 0;
};

/// Not thread-safe.
class grant_state {
public:
    explicit grant_state(std::uint64_t incarnation)
        : m_incarnation(incarnation)
    {
    }

    grant_answer receive(const grant_message& message, std::int64_t nowUs)
    {
        expire(nowUs);
        if (message.incarnation != 0 && message.incarnation != m_incarnation)
            return grant_answer::OtherIncarnation;
        if (message.epoch < m_epoch)
            return grant_answer::OldEpoch;
        if (message.epoch == m_epoch && message.sequence <= m_sequence)
            return grant_answer::OldSequence;
        const bool isCurrentList = message.epoch == m_epoch && message.repeats == m_listSequence;
        if (message.repeats != 0 && !isCurrentList)
            return grant_answer::UnknownList;
        if (message.epoch != m_epoch)
            m_listSequence = 0;
        m_epoch = message.epoch;
        m_sequence = message.sequence;
        if (message.repeats != 0)
            renew(message, nowUs);
        else if (!message.adopt)
            replace(message, nowUs);
        return grant_answer::Accepted;
    }

    /// Returns true if exactly the slices of the list that the message repeats are held.
    [[nodiscard]] bool holdsRepeatedList(const grant_message& message) const
    {
        const bool draining = std::any_of(
            m_held.begin(), m_held.end(), [](const held_slice& held) { return held.draining; });
        return message.repeats != 0 && message.repeats == m_listSequence && !draining;
    }

    /// Returns the id of the held slice under which a request may start.
    std::optional<std::uint64_t> begin(
        pm::key_hash hash, const std::optional<pm::token>& presented, std::int64_t nowUs)
    {
        expire(nowUs);
        for (held_slice& held : m_held) {
            const bool current = !presented || *presented == held.slice.grant;
            if (held.draining || !held.slice.range.contains(hash) || !current)
                continue;
            ++held.running;
            return held.id;
        }
        return std::nullopt;
    }

    /// Returns true if a slice that contains the key is draining: requests that started before its
    /// release still run.
    [[nodiscard]] bool isDraining(pm::key_hash hash) const
    {
        return std::any_of(m_held.begin(), m_held.end(), [hash](const held_slice& held) {
            return held.draining && held.slice.range.contains(hash);
        });
    }

    void end(std::uint64_t id, std::int64_t nowUs)
    {
        for (held_slice& held : m_held) {
            if (held.id == id)
                --held.running;
        }
        expire(nowUs);
    }

    /// Ends expired leases and removes drained slices.
    void expire(std::int64_t nowUs)
    {
        for (held_slice& held : m_held) {
            if (held.draining || held.untilUs > nowUs)
                continue;
            release(held, held.untilUs);
            m_listSequence = 0;
        }
        std::erase_if(
            m_held, [](const held_slice& held) { return held.draining && held.running == 0; });
    }

    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }
    [[nodiscard]] std::uint64_t incarnation() const { return m_incarnation; }
    [[nodiscard]] const std::vector<held_slice>& held() const { return m_held; }
    /// All intervals so far; one that is still open ends with its current lease.
    [[nodiscard]] const std::vector<held_interval>& intervals() const { return m_intervals; }

private:
    void replace(const grant_message& message, std::int64_t nowUs)
    {
        constexpr std::int64_t usPerMs = 1000;
        const std::int64_t untilUs = message.echoUs + message.leaseMs * usPerMs;
        for (held_slice& held : m_held) {
            if (!held.draining && !containsSlice(message, held.slice))
                release(held, nowUs);
        }
        m_listSequence = untilUs > nowUs ? message.sequence : 0;
        if (untilUs > nowUs) {
            for (const granted_slice& slice : message.slices)
                grant(slice, untilUs, nowUs);
        }
        expire(nowUs);
    }

    void renew(const grant_message& message, std::int64_t nowUs)
    {
        constexpr std::int64_t usPerMs = 1000;
        const std::int64_t untilUs = message.echoUs + message.leaseMs * usPerMs;
        for (held_slice& held : m_held) {
            if (held.draining || untilUs <= nowUs)
                continue;
            held.untilUs = std::max(held.untilUs, untilUs);
            interval(held.id).toUs = held.untilUs;
        }
    }

    static bool isSame(const granted_slice& left, const granted_slice& right)
    {
        return left.range == right.range && left.grant == right.grant;
    }

    static bool containsSlice(const grant_message& message, const granted_slice& slice)
    {
        return std::any_of(message.slices.begin(), message.slices.end(),
            [&slice](const granted_slice& listed) { return isSame(listed, slice); });
    }

    void grant(const granted_slice& slice, std::int64_t untilUs, std::int64_t nowUs)
    {
        for (held_slice& held : m_held) {
            if (held.draining || !isSame(held.slice, slice))
                continue;
            held.untilUs = std::max(held.untilUs, untilUs);
            interval(held.id).toUs = held.untilUs;
            return;
        }
        const std::uint64_t id = m_intervals.size();
        m_held.push_back({ id, slice, untilUs, false, 0 });
        m_intervals.push_back({ id, slice, nowUs, untilUs });
    }

    void release(held_slice& held, std::int64_t atUs)
    {
        held.draining = true;
        interval(held.id).toUs = std::min(interval(held.id).toUs, atUs);
    }

    held_interval& interval(std::uint64_t id) { return m_intervals[id]; }

    std::uint64_t m_incarnation;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    /// Sequence of the message that listed the held slices; 0 if they are no longer all held.
    std::uint64_t m_listSequence = 0;
    std::vector<held_slice> m_held;
    std::vector<held_interval> m_intervals;
};

} // namespace stand_in
