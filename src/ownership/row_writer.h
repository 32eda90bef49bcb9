#pragma once

#include "pimentomast/ownership.h"

namespace pimentomast::ownership::detail {

using actions = std::vector<action>;

/// Draws request numbers and write ids.
class numbering {
public:
    numbering(const host_run& self, const service_id& service, std::uint64_t seed);

    [[nodiscard]] request_number nextRequest() noexcept;
    [[nodiscard]] store::write_id nextWrite();

private:
    std::string m_prefix;
    std::uint64_t m_request = 0;
    std::uint64_t m_write;
};

/// A write took effect.
struct write_settled {
    row_version version;
    std::string value;
    /// Read before the first copy of the write was sent.
    instant firstSent;
};
/// Another write is in the row. This one takes no effect any more; whether it had one before the
/// other is not known.
struct write_lost {
    std::optional<store::row> current;
};
/// The write never took effect and nothing is known of the row.
struct write_dropped { };
/// Nothing is known yet.
struct write_open { };
using write_state = std::variant<write_open, write_settled, write_lost, write_dropped>;

/// One conditional write of a row at a time. A lost reply is settled by reading the row back; as
/// long as the row is unchanged the same write, with the same id, is sent again.
class row_writer {
public:
    explicit row_writer(std::string key)
        : m_key(std::move(key))
    {
    }

    [[nodiscard]] bool isOpen() const noexcept { return m_open.has_value(); }
    [[nodiscard]] const std::string& value() const { return m_open->value; }
    /// Precondition: no write is open.
    void start(
        instant now, row_version expected, std::string value, numbering& numbers, actions& todo);
    /// Sends reads or writes again that were not answered in time.
    void tick(instant now, duration timeout, numbering& numbers, actions& todo);
    [[nodiscard]] write_state take(instant now, const write_finished& answer);
    [[nodiscard]] write_state take(instant now, const row_read& answer);
    void take(instant now, const row_read_failed& answer);
    /// Forgets the open write, which may still take effect.
    void abandon() noexcept { m_open.reset(); }

private:
    enum class waiting {
        ForWrite,
        ForRead,
        ToRead,
        ToWrite,
    };
    struct open_write {
        row_version expected;
        std::string value;
        store::write_id id;
        instant firstSent;
        instant lastSent;
        request_number request;
        waiting state = waiting::ForWrite;
        bool mayHaveEffect = false;
    };

    void send(instant now, numbering& numbers, actions& todo);
    void readBack(instant now, numbering& numbers, actions& todo);
    [[nodiscard]] write_state settled(row_version version);
    [[nodiscard]] write_state lost(std::optional<store::row> current);

    std::string m_key;
    std::optional<open_write> m_open;
};

} // namespace pimentomast::ownership::detail
