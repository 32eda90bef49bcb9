#pragma once

#include "ownership-fakes.h"

#include <limits>

/// Invariants of rows, published assignments and tokens that hold in every simulated history.
namespace ownership_simulation {

inline key_hash sampledHash(int index)
{
    return key_hash { std::numeric_limits<std::uint64_t>::max() / sampledHashes
        * static_cast<std::uint64_t>(index) };
}

/// Each check returns a description of the violation, or an empty string.
class oracle {
public:
    /// A coordinator wrote the row of the assignment.
    std::string committed(const std::string& row)
    {
        const auto parsed = parseAssignment(row);
        if (!parsed)
            return "an invalid assignment was committed: " + parsed.error().text();
        if (parsed.value().version() <= m_committed)
            return "the committed version did not increase";
        m_committed = parsed.value().version();
        m_rows.push_back(parsed.value());
        return {};
    }

    /// A coordinator wrote its row.
    std::string coordinated(const std::string& row)
    {
        const auto parsed = parseCoordinatorRow(row);
        if (!parsed)
            return "an invalid coordinator row was written";
        const auto& holder = m_holders.emplace(parsed.value().number, parsed.value().holder).first;
        return holder->second == parsed.value().holder ? "" : "two holders have one epoch";
    }

    /// A coordinator sent an assignment to the hosts.
    std::string published(const assignment& value)
    {
        const bool allowed = std::any_of(
            m_rows.begin(), m_rows.end(), [&](const auto& each) { return allows(each, value); });
        if (!allowed)
            return "no committed assignment allows the published one";
        std::vector<std::pair<target_id, token>> owners;
        for (int i = 0; i < sampledHashes; ++i) {
            const auto* found = value.find(sampledHash(i));
            owners.emplace_back(found->owner, found->grant);
        }
        const auto known = m_published.emplace(value.version(), owners).first;
        return known->second == owners ? "" : "one version was published with different contents";
    }

    /// A target holds a key only with a token above those with which other targets held it before.
    std::string held(const std::vector<fake_target>& targets, std::int64_t now, int sampled)
    {
        auto& highest = m_highest[sampled];
        for (const auto& each : targets) {
            if (!each.holds(now, sampledHash(sampled)))
                continue;
            const auto taken = each.tokenOf(sampledHash(sampled));
            if (each.id != highest.first && taken <= highest.second)
                return "a key changed its owner without a higher token";
            if (highest.second < taken)
                highest = { each.id, taken };
        }
        return {};
    }

private:
    /// A row allows an assignment of its epoch if each key has the row's owner, unless the row
    /// names a standby for it.
    static bool allows(const assignment& row, const assignment& published)
    {
        if (row.coordinator != published.coordinator)
            return false;
        for (int i = 0; i < sampledHashes; ++i) {
            const auto* written = row.find(sampledHash(i));
            const auto& owner = published.find(sampledHash(i))->owner;
            if (owner != written->owner && owner != written->standby)
                return false;
        }
        return true;
    }

    token m_committed;
    std::map<epoch, host_run> m_holders;
    std::vector<assignment> m_rows;
    std::map<token, std::vector<std::pair<target_id, token>>> m_published;
    std::map<int, std::pair<target_id, token>> m_highest;
};

} // namespace ownership_simulation
