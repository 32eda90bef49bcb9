#pragma once

#include <array>
#include <cstddef>
#include <mutex>
#include <utility>

/// Limit of the memory for bodies on this host.
namespace pimentomast::proxy::detail {

/// What bytes are held for. Uploads and responses are limited to a part of the budget.
enum class body_kind {
    /// A body that is received before its request is submitted.
    Upload,
    /// A body that is kept for a retry.
    Replay,
    /// A response that waits for its turn or for its caller to read.
    Response,
};
constexpr std::size_t bodyKinds = 3;

/// Bytes held for one caller's connection. Guarded by the budget's lock.
struct connection_bytes {
    std::size_t held = 0;
};

class body_reservation;

/// Counts the bytes of bodies that a host holds and refuses those above a limit. Thread-safe; its
/// lock is innermost.
///
/// Uploads and responses can each use five eighths of the limit and seven eighths together; the
/// rest is for the small bodies that are kept for retries. Once more than half is used, a caller's
/// connection gets at most an eighth.
class body_budget {
public:
    /// A limit of 0 only counts.
    explicit body_budget(std::size_t limit) noexcept
        : m_limit(limit)
    {
    }
    body_budget(const body_budget&) = delete;
    body_budget& operator=(const body_budget&) = delete;

    [[nodiscard]] std::size_t limit() const noexcept { return m_limit; }
    /// Returns the bytes held now.
    [[nodiscard]] std::size_t held() const;

private:
    friend class body_reservation;

    [[nodiscard]] bool take(body_kind kind, std::size_t bytes, connection_bytes& connection);
    void takeAlways(body_kind kind, std::size_t bytes, connection_bytes& connection);
    void giveBack(body_kind kind, std::size_t bytes, connection_bytes& connection);
    void add(body_kind kind, std::size_t bytes, connection_bytes& connection);
    [[nodiscard]] bool fits(
        body_kind kind, std::size_t bytes, const connection_bytes& connection) const;

    const std::size_t m_limit;
    mutable std::mutex m_mutex;
    std::size_t m_total = 0;
    std::array<std::size_t, bodyKinds> m_kinds {};
};

/// Bytes of a budget that are held for one caller's connection; given back on destruction. Not
/// thread-safe. The budget and the connection's count must outlive it.
class body_reservation {
public:
    body_reservation() = default;
    body_reservation(body_budget& budget, body_kind kind, connection_bytes& connection) noexcept
        : m_budget(&budget)
        , m_connection(&connection)
        , m_kind(kind)
    {
    }
    body_reservation(body_reservation&& other) noexcept { swap(other); }
    body_reservation& operator=(body_reservation&& other) noexcept
    {
        body_reservation moved(std::move(other));
        swap(moved);
        return *this;
    }
    ~body_reservation() { shrinkTo(0); }

    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }
    /// Holds at least this many bytes. Returns false, and changes nothing, if they do not fit.
    [[nodiscard]] bool growTo(std::size_t bytes)
    {
        if (bytes <= m_bytes || m_budget == nullptr)
            return true;
        if (!m_budget->take(m_kind, bytes - m_bytes, *m_connection))
            return false;
        m_bytes = bytes;
        return true;
    }
    /// Holds at least this many bytes, also above the limit: for bytes that are in memory already.
    void growAlways(std::size_t bytes)
    {
        if (bytes <= m_bytes || m_budget == nullptr)
            return;
        m_budget->takeAlways(m_kind, bytes - m_bytes, *m_connection);
        m_bytes = bytes;
    }
    /// Gives back what is held above this many bytes.
    void shrinkTo(std::size_t bytes)
    {
        if (bytes >= m_bytes || m_budget == nullptr)
            return;
        m_budget->giveBack(m_kind, m_bytes - bytes, *m_connection);
        m_bytes = bytes;
    }

private:
    void swap(body_reservation& other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_connection, other.m_connection);
        std::swap(m_kind, other.m_kind);
        std::swap(m_bytes, other.m_bytes);
    }

    body_budget* m_budget = nullptr;
    connection_bytes* m_connection = nullptr;
    body_kind m_kind = body_kind::Replay;
    std::size_t m_bytes = 0;
};

} // namespace pimentomast::proxy::detail
