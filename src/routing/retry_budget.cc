#include "retry_budget.h"

#include <algorithm>

namespace pimentomast::routing {

retry_budget::retry_budget(double ratio, double burst)
    : m_ratio(ratio)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void retry_budget::onFirstAttempt() noexcept { m_tokens = std::min(m_burst, m_tokens + m_ratio); }

} // namespace pimentomast::routing
