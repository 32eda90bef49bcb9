#include "pimentomast/membership.h"

#include <algorithm>

namespace pimentomast::membership {

void look_schedule::looked(instant sentAt, bool changed)
{
    if (m_contradicted && !changed)
        m_trustAgain = sentAt + m_options.limitMs;
    m_contradicted = false;
    m_lookedAt = sentAt;
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
}

void look_schedule::heard(instant seenAt, bool same)
{
    if (same)
        m_confirmedAt = std::max(m_confirmedAt, seenAt);
    else if (m_lookedAt < seenAt && m_trustAgain <= seenAt)
        m_contradicted = true;
}

instant look_schedule::due() const noexcept
{
    if (m_contradicted)
        return m_lookedAt;
    return m_leads ? m_lookedAt + m_options.oftenMs : m_confirmedAt + m_options.limitMs;
}

} // namespace pimentomast::membership
