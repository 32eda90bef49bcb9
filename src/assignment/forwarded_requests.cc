#include "pimentomast/assignment.h"

#include <algorithm>

namespace pimentomast::ownership {

void forwarded_requests::begin(attempt_id attempt, key_hash key, const target_id& owner)
{
    m_running[attempt] = { key, owner };
}

void forwarded_requests::end(attempt_id attempt) { m_running.erase(attempt); }

void forwarded_requests::giveUp(attempt_id attempt, instant until)
{
    const auto found = m_running.find(attempt);
    if (found != m_running.end())
        found->second.until = until;
}

token forwarded_requests::confirm(instant now, const assignment& newest)
{
    std::erase_if(m_running, [&](const auto& each) { return each.second.until <= now; });
    const bool drained = std::all_of(m_running.begin(), m_running.end(), [&](const auto& each) {
        const auto* owned = newest.find(each.second.key);
        return owned && owned->owner == each.second.owner;
    });
    if (drained)
        m_confirmed = newest.version();
    return m_confirmed;
}

} // namespace pimentomast::ownership
