#pragma once

#include "pimentomast/core.h"

#include <optional>
#include <string_view>

namespace pimentomast::serve::detail {

/// Measures the consecutive stages of one piece of work, to name the slowest if it took too long.
/// Reads no clock; not thread-safe.
class stage_timer {
public:
    struct slowest_stage {
        std::string_view name;
        duration took {};
        /// Of all stages together.
        duration total {};
    };

    explicit stage_timer(instant started)
        : m_started(started)
        , m_stageStarted(started)
    {
    }

    /// Records that the stage ended at now; the next stage starts then. The text that name refers
    /// to must outlive the object. Precondition: now never decreases.
    void endStage(std::string_view name, instant now) noexcept
    {
        const auto took = now - m_stageStarted;
        if (took > m_slowest.took)
            m_slowest = { name, took, {} };
        m_stageStarted = now;
    }

    /// Returns the slowest stage if all stages together took longer than the limit.
    [[nodiscard]] std::optional<slowest_stage> slowerThan(duration limit) const noexcept
    {
        const auto total = m_stageStarted - m_started;
        if (total <= limit)
            return {};
        return slowest_stage { m_slowest.name, m_slowest.took, total };
    }

private:
    instant m_started;
    instant m_stageStarted;
    slowest_stage m_slowest;
};

} // namespace pimentomast::serve::detail
