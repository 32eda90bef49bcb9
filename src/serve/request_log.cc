#include "request_log.h"

#include <algorithm>

namespace pimentomast::serve::detail {
namespace {

constexpr double burstSeconds = 5;
constexpr double reservedForImportant = 0.5;
constexpr std::chrono::seconds leftOutInterval { 1 };
/// Age of the tables from which the lines of requests state it.
constexpr std::chrono::milliseconds oldTables { 1000 };

std::string millisecondsText(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

bool hasFailed(const proxy::completion& finished)
{
    constexpr int firstFailure = 400;
    return finished.status == 0 || finished.status >= firstFailure || !finished.reason.empty();
}

/// "TARGET:OUTCOME:MILLISECONDS", separated by spaces, in the order of the attempts.
std::string historyText(const std::vector<proxy::attempt_summary>& history)
{
    std::string text;
    for (const auto& each : history) {
        text += text.empty() ? "" : " ";
        text += each.target.value() + ":" + each.outcome + ":" + millisecondsText(each.total);
    }
    return text;
}

std::string versionText(token version)
{
    return std::to_string(version.coordinator.value()) + "."
        + std::to_string(version.assignment.value());
}

/// The fields of a line; empty texts and durations below a millisecond are omitted.
class line_fields {
public:
    void add(std::string_view key, std::string value)
    {
        if (!value.empty())
            m_fields.push_back({ key, std::move(value) });
    }
    void add(std::string_view key, duration span)
    {
        if (span >= std::chrono::milliseconds(1))
            add(key, millisecondsText(span));
    }

    [[nodiscard]] const std::vector<telemetry::field>& all() const noexcept { return m_fields; }

private:
    std::vector<telemetry::field> m_fields;
};

} // namespace

line_budget::line_budget(unsigned linesPerSecond)
    : m_rate(linesPerSecond)
    , m_capacity(burstSeconds * linesPerSecond)
    , m_available(m_capacity)
{
}

void line_budget::refill(instant now)
{
    if (m_refilled != instant {}) {
        const std::chrono::duration<double> passed = now - m_refilled;
        m_available = std::min(m_capacity, m_available + m_rate * passed.count());
    }
    m_refilled = now;
}

bool line_budget::take(instant now, bool important)
{
    refill(now);
    const double reserve = important ? 0 : reservedForImportant * m_capacity;
    if (m_available < reserve + 1) {
        ++m_leftOut;
        return false;
    }
    m_available -= 1;
    return true;
}

std::uint64_t line_budget::takeLeftOut() noexcept { return std::exchange(m_leftOut, 0); }

request_log::request_log(unsigned linesPerSecond, writer write)
    : m_write(std::move(write))
    , m_budget(linesPerSecond)
{
}

bool request_log::admit(bool important)
{
    std::uint64_t leftOut = 0;
    {
        const std::lock_guard guard(m_lock);
        const auto now = monotonic_clock::now();
        if (!m_budget.take(now, important))
            return false;
        if (now >= m_nextLeftOut)
            leftOut = m_budget.takeLeftOut();
        if (leftOut > 0)
            m_nextLeftOut = now + leftOutInterval;
    }
    if (leftOut > 0)
        m_write(telemetry::severity::Info, "request-lines-left-out",
            { { "count", std::to_string(leftOut) } });
    return true;
}

void request_log::write(const proxy::completion& finished, token version, duration tablesAge)
{
    const bool failed = hasFailed(finished);
    const bool unremarkable = !failed && finished.attempts <= 1 && !finished.late;
    if (unremarkable || !admit(failed))
        return;
    line_fields line;
    line.add("request", finished.id);
    line.add("service", finished.service.value());
    line.add("caller", finished.caller.value());
    line.add("status", std::to_string(finished.status));
    line.add("reason", finished.reason);
    line.add("target", finished.target);
    line.add("attempts", historyText(finished.history));
    line.add("read_delay_ms", finished.readDelay);
    line.add("waited_ms", millisecondsText(finished.waited));
    line.add("total_ms", millisecondsText(finished.total));
    line.add("late", finished.late ? "yes" : "");
    line.add("expected_wait_ms", finished.expectedWait);
    line.add("retry_after_ms", finished.retryAfter);
    if (finished.key) {
        line.add("key_hash", std::to_string(finished.key->value()));
        line.add("assignment", versionText(version));
    }
    if (tablesAge >= oldTables)
        line.add("tables_age_ms", tablesAge);
    if (failed)
        m_write(telemetry::severity::Info, "request-failed", line.all());
    else
        m_write(telemetry::severity::Info, "request-served", line.all());
}

void request_log::write(const proxy::rejection& refused)
{
    if (!admit(true))
        return;
    line_fields line;
    line.add("request", refused.id);
    line.add("host", refused.host);
    line.add("path", refused.path);
    line.add("reason", std::string(proxy::name(refused.why)));
    m_write(telemetry::severity::Info, "request-rejected", line.all());
}

} // namespace pimentomast::serve::detail
