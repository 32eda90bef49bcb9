#pragma once

#include "pimentomast/core.h"

#include <deque>

namespace pimentomast::serve::detail {

/// Since when this host has had which versions of an assignment. Reads no clock; not thread-safe.
class version_history {
public:
    /// Longest time of which the history is kept.
    static constexpr std::chrono::milliseconds maxAge { 1000 };

    void add(instant now, token version)
    {
        m_entries.push_back({ now, version });
        while (m_entries.size() > 1 && m_entries[1].since + maxAge <= now)
            m_entries.pop_front();
    }

    /// Returns the newest version that was known this long ago, (0, 0) if there is none.
    /// Precondition: age is at most maxAge.
    [[nodiscard]] token knownFor(instant now, duration age) const
    {
        token found;
        for (const auto& each : m_entries) {
            if (each.since + age <= now)
                found = each.version;
        }
        return found;
    }

private:
    struct entry {
        instant since;
        token version;
    };

    std::deque<entry> m_entries;
};

} // namespace pimentomast::serve::detail
