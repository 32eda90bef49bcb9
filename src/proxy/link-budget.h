#pragma once

#include "pimentomast/link.h"

#include <mutex>
#include <utility>

/// Limit of the bytes that requests in progress move over this host's network link.
namespace pimentomast::proxy::detail {

class link_reservation;

/// Thread-safe; its lock is innermost.
class link_budget {
public:
    link_budget() = default;
    link_budget(const link_budget&) = delete;
    link_budget& operator=(const link_budget&) = delete;

    void recordDelay(instant now, duration delay);
    /// Returns whether a request of the service may begin; length is that of its body, if stated.
    [[nodiscard]] bool admits(const service_id& service, std::uint64_t length) const;
    /// Counts a request as in progress until the reservation is destroyed.
    [[nodiscard]] link_reservation begin(const service_id& service, std::uint64_t length);
    /// Records how many bytes a request of the service and its answer had.
    void recordSize(const service_id& service, std::uint64_t bytes);
    /// Returns the limit in bytes; 0 if there is none.
    [[nodiscard]] std::uint64_t limit() const;

private:
    friend class link_reservation;

    [[nodiscard]] std::uint64_t expected(const service_id& service, std::uint64_t length) const;
    void end(std::uint64_t bytes);

    mutable std::mutex m_mutex;
    link::admission m_admission;
    link::transfer_sizes m_sizes;
};

/// A request that counts as in progress. Not thread-safe; the budget must outlive it.
class link_reservation {
public:
    link_reservation() = default;
    link_reservation(link_budget& budget, std::uint64_t bytes) noexcept
        : m_budget(&budget)
        , m_bytes(bytes)
    {
    }
    link_reservation(link_reservation&& other) noexcept { swap(other); }
    link_reservation& operator=(link_reservation&& other) noexcept
    {
        link_reservation moved(std::move(other));
        swap(moved);
        return *this;
    }
    ~link_reservation()
    {
        if (m_budget != nullptr)
            m_budget->end(m_bytes);
    }

private:
    void swap(link_reservation& other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
    }

    link_budget* m_budget = nullptr;
    std::uint64_t m_bytes = 0;
};

} // namespace pimentomast::proxy::detail
