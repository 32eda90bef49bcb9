#include "row_writer.h"

namespace pimentomast::ownership::detail {

namespace {
constexpr std::chrono::milliseconds readBackIntervalMs { 50 };
} // namespace

id_generator::id_generator(const host_run& self, const service_id& service, std::uint64_t seed)
    : m_prefix(self.host.value() + '/' + std::to_string(self.run.value()) + '/' + service.value())
    , m_write(seed)
{
}

request_number id_generator::nextRequest() noexcept { return request_number { ++m_request }; }

store::write_id id_generator::nextWriteId()
{
    return store::write_id { m_prefix + '/' + std::to_string(++m_write) };
}

void row_writer::start(
    instant now, row_version expected, std::string value, id_generator& ids, actions& out)
{
    m_pending = pending_write { expected, std::move(value), ids.nextWriteId(), now, now, {} };
    send(now, ids, out);
}

void row_writer::send(instant now, id_generator& ids, actions& out)
{
    m_pending->request = ids.nextRequest();
    m_pending->state = write_phase::AwaitingWrite;
    m_pending->lastSent = now;
    out.push_back(write_row {
        m_pending->request, m_key, m_pending->expected, m_pending->value, m_pending->id });
}

void row_writer::readBack(instant now, id_generator& ids, actions& out)
{
    m_pending->request = ids.nextRequest();
    m_pending->state = write_phase::AwaitingRead;
    m_pending->lastSent = now;
    out.push_back(read_row { m_pending->request, m_key });
}

void row_writer::tick(instant now, duration timeout, id_generator& ids, actions& out)
{
    if (!m_pending)
        return;
    const auto waited = now - m_pending->lastSent;
    const bool timedOut = waited >= timeout;
    switch (m_pending->state) {
    case write_phase::AwaitingWrite:
        if (timedOut) {
            m_pending->mayHaveEffect = true;
            readBack(now, ids, out);
        }
        break;
    case write_phase::AwaitingRead:
        if (timedOut)
            readBack(now, ids, out);
        break;
    case write_phase::ReadDue:
        if (waited >= readBackIntervalMs)
            readBack(now, ids, out);
        break;
    case write_phase::WriteDue:
        send(now, ids, out);
        break;
    }
}

write_state row_writer::finishApplied(row_version version)
{
    write_applied done { version, std::move(m_pending->value), m_pending->firstSent };
    m_pending.reset();
    return done;
}

write_state row_writer::finishSuperseded(std::optional<store::row> current)
{
    if (current && current->writer == m_pending->id)
        return finishApplied(current->version);
    m_pending.reset();
    return write_superseded { std::move(current) };
}

write_state row_writer::handle(instant now, const write_finished& answer)
{
    if (!m_pending || m_pending->request != answer.request)
        return write_pending {};
    if (const auto* accepted = std::get_if<store::write_accepted>(&answer.outcome))
        return finishApplied(accepted->version);
    if (const auto* conflict = std::get_if<store::write_conflict>(&answer.outcome))
        return finishSuperseded(conflict->current);
    const bool refused = std::holds_alternative<store::write_refused>(answer.outcome);
    if (refused && !m_pending->mayHaveEffect) {
        m_pending.reset();
        return write_rejected {};
    }
    m_pending->mayHaveEffect = true;
    m_pending->state = write_phase::ReadDue;
    m_pending->lastSent = now;
    return write_pending {};
}

write_state row_writer::handle(instant now, const row_read& answer)
{
    if (!m_pending || m_pending->request != answer.request)
        return write_pending {};
    const auto version = answer.row ? answer.row->version : row_version {};
    if (version != m_pending->expected)
        return finishSuperseded(answer.row);
    // The write may still be in flight: only a conflict of a repeated write can rule that out.
    m_pending->state = write_phase::WriteDue;
    m_pending->lastSent = now;
    return write_pending {};
}

void row_writer::handle(instant now, const row_read_failed& answer)
{
    if (!m_pending || m_pending->request != answer.request)
        return;
    m_pending->state = write_phase::ReadDue;
    m_pending->lastSent = now;
}

} // namespace pimentomast::ownership::detail
