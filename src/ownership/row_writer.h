#pragma once

#include "pimentomast/ownership.h"

namespace pimentomast::ownership::detail {

using actions = std::vector<action>;

/// Generates request numbers and write ids.
class id_generator {
public:
    id_generator(const host_run& self, const service_id& service, std::uint64_t seed);

    [[nodiscard]] request_number nextRequest() noexcept;
    [[nodiscard]] store::write_id nextWriteId();

private:
    std::string m_prefix;
    std::uint64_t m_request = 0;
    std::uint64_t m_write;
};

/// The write took effect.
struct write_applied {
    row_version version;
    std::string value;
    /// Time before the first copy of the write was sent.
    instant firstSent;
};
/// The row contains another write. This write can no longer take effect; whether it did before the
/// other one is not known.
struct write_superseded {
    std::optional<store::row> current;
};
/// The write did not take effect; the content of the row is not known.
struct write_rejected { };
/// The outcome is not known yet.
struct write_pending { };
using write_state = std::variant<write_pending, write_applied, write_superseded, write_rejected>;

/// Performs one conditional write of a row at a time. After a lost reply the row is read back to
/// determine the outcome; as long as the row is unchanged, the same write is sent again with the
/// same id.
class row_writer {
public:
    explicit row_writer(std::string key)
        : m_key(std::move(key))
    {
    }

    [[nodiscard]] bool isPending() const noexcept { return m_pending.has_value(); }
    [[nodiscard]] const std::string& value() const { return m_pending->value; }
    /// Precondition: no write is pending.
    void start(
        instant now, row_version expected, std::string value, id_generator& ids, actions& out);
    /// Repeats reads and writes that were not answered in time.
    void tick(instant now, duration timeout, id_generator& ids, actions& out);
    [[nodiscard]] write_state handle(instant now, const write_finished& answer);
    [[nodiscard]] write_state handle(instant now, const row_read& answer);
    void handle(instant now, const row_read_failed& answer);
    /// Discards the pending write, which may still take effect.
    void abandon() noexcept { m_pending.reset(); }

private:
    enum class write_phase {
        AwaitingWrite,
        AwaitingRead,
        ReadDue,
        WriteDue,
    };
    struct pending_write {
        row_version expected;
        std::string value;
        store::write_id id;
        instant firstSent;
        instant lastSent;
        request_number request;
        write_phase state = write_phase::AwaitingWrite;
        bool mayHaveEffect = false;
    };

    void send(instant now, id_generator& ids, actions& out);
    void readBack(instant now, id_generator& ids, actions& out);
    [[nodiscard]] write_state finishApplied(row_version version);
    [[nodiscard]] write_state finishSuperseded(std::optional<store::row> current);

    std::string m_key;
    std::optional<pending_write> m_pending;
};

} // namespace pimentomast::ownership::detail
