#pragma once

#include "pimentomast/core.h"

#include <atomic>
#include <optional>

namespace pimentomast::serve::detail {

/// Tells another thread that a round of work has not ended. Reads no clock. One thread calls
/// begin(), enter() and end(), another one overdue().
class round_watch {
public:
    struct running_round {
        /// The stage that is running.
        const char* stage = "";
        duration running {};
    };

    /// limit: time after which a round is overdue.
    explicit round_watch(duration limit)
        : m_limit(limit)
    {
    }

    /// The text must outlive the object.
    void begin(const char* firstStage, instant now) noexcept
    {
        m_stage = firstStage;
        m_started = now;
    }
    void enter(const char* stage) noexcept { m_stage = stage; }
    void end() noexcept { m_started = none; }

    /// Returns the round if it is overdue; for the same round again only once its time has doubled.
    [[nodiscard]] std::optional<running_round> overdue(instant now) noexcept
    {
        const instant started = m_started;
        if (started == none)
            return {};
        if (started != m_seen) {
            m_seen = started;
            m_nextReport = m_limit;
        }
        const auto running = now - started;
        if (running < m_nextReport)
            return {};
        m_nextReport = 2 * running;
        return running_round { m_stage, running };
    }

private:
    static constexpr instant none = instant::min();

    duration m_limit;
    std::atomic<instant> m_started { none };
    std::atomic<const char*> m_stage { "" };
    instant m_seen = none;
    duration m_nextReport {};
};

} // namespace pimentomast::serve::detail
