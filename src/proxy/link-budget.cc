#include "link-budget.h"

#include <algorithm>

namespace pimentomast::proxy::detail {

void link_budget::recordDelay(instant now, duration delay)
{
    const std::lock_guard lock(m_mutex);
    m_admission.recordDelay(now, delay);
}

bool link_budget::admits(const service_id& service, std::uint64_t length) const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.admits(expected(service, length));
}

link_reservation link_budget::begin(const service_id& service, std::uint64_t length)
{
    const std::lock_guard lock(m_mutex);
    const auto bytes = expected(service, length);
    m_admission.begin(bytes);
    return { *this, bytes };
}

void link_budget::recordSize(const service_id& service, std::uint64_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_sizes.record(service, bytes);
}

std::uint64_t link_budget::limit() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.limit().value_or(0);
}

std::uint64_t link_budget::expected(const service_id& service, std::uint64_t length) const
{
    return std::max(m_sizes.expected(service), length);
}

void link_budget::end(std::uint64_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_admission.end(bytes);
}

} // namespace pimentomast::proxy::detail
