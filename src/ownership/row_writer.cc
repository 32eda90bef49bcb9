#include "row_writer.h"

namespace pimentomast::ownership::detail {

namespace {
constexpr std::chrono::milliseconds readBackIntervalMs { 50 };
} // namespace

numbering::numbering(const host_run& self, const service_id& service, std::uint64_t seed)
    : m_prefix(self.host.value() + '/' + std::to_string(self.run.value()) + '/' + service.value())
    , m_write(seed)
{
}

request_number numbering::nextRequest() noexcept { return request_number { ++m_request }; }

store::write_id numbering::nextWrite()
{
    return store::write_id { m_prefix + '/' + std::to_string(++m_write) };
}

void row_writer::start(
    instant now, row_version expected, std::string value, numbering& numbers, actions& todo)
{
    m_open = open_write { expected, std::move(value), numbers.nextWrite(), now, now, {} };
    send(now, numbers, todo);
}

void row_writer::send(instant now, numbering& numbers, actions& todo)
{
    m_open->request = numbers.nextRequest();
    m_open->state = waiting::ForWrite;
    m_open->lastSent = now;
    todo.push_back(
        write_row { m_open->request, m_key, m_open->expected, m_open->value, m_open->id });
}

void row_writer::readBack(instant now, numbering& numbers, actions& todo)
{
    m_open->request = numbers.nextRequest();
    m_open->state = waiting::ForRead;
    m_open->lastSent = now;
    todo.push_back(read_row { m_open->request, m_key });
}

void row_writer::tick(instant now, duration timeout, numbering& numbers, actions& todo)
{
    if (!m_open)
        return;
    const auto waited = now - m_open->lastSent;
    const bool timedOut = waited >= timeout;
    switch (m_open->state) {
    case waiting::ForWrite:
        if (timedOut) {
            m_open->mayHaveEffect = true;
            readBack(now, numbers, todo);
        }
        break;
    case waiting::ForRead:
        if (timedOut)
            readBack(now, numbers, todo);
        break;
    case waiting::ToRead:
        if (waited >= readBackIntervalMs)
            readBack(now, numbers, todo);
        break;
    case waiting::ToWrite:
        send(now, numbers, todo);
        break;
    }
}

write_state row_writer::settled(row_version version)
{
    write_settled done { version, std::move(m_open->value), m_open->firstSent };
    m_open.reset();
    return done;
}

write_state row_writer::lost(std::optional<store::row> current)
{
    if (current && current->writer == m_open->id)
        return settled(current->version);
    m_open.reset();
    return write_lost { std::move(current) };
}

write_state row_writer::take(instant now, const write_finished& answer)
{
    if (!m_open || m_open->request != answer.request)
        return write_open {};
    if (const auto* accepted = std::get_if<store::write_accepted>(&answer.outcome))
        return settled(accepted->version);
    if (const auto* conflict = std::get_if<store::write_conflict>(&answer.outcome))
        return lost(conflict->current);
    const bool refused = std::holds_alternative<store::write_refused>(answer.outcome);
    if (refused && !m_open->mayHaveEffect) {
        m_open.reset();
        return write_dropped {};
    }
    m_open->mayHaveEffect = true;
    m_open->state = waiting::ToRead;
    m_open->lastSent = now;
    return write_open {};
}

write_state row_writer::take(instant now, const row_read& answer)
{
    if (!m_open || m_open->request != answer.request)
        return write_open {};
    const auto version = answer.row ? answer.row->version : row_version {};
    if (version != m_open->expected)
        return lost(answer.row);
    // The write may still be under way: only a conflict with the same write can rule it out.
    m_open->state = waiting::ToWrite;
    m_open->lastSent = now;
    return write_open {};
}

void row_writer::take(instant now, const row_read_failed& answer)
{
    if (!m_open || m_open->request != answer.request)
        return;
    m_open->state = waiting::ToRead;
    m_open->lastSent = now;
}

} // namespace pimentomast::ownership::detail
