#pragma once

#include "grants.h"

#include <Poco/JSON/Object.h>
#include <Poco/NumberFormatter.h>
#include <cstdio>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

/// Requests that a target ran and slices that it held, as JSON lines; also written to a file, which
/// survives a kill.
namespace stand_in {

/// One request that was run; a line is written at its start and another at its end.
struct run_record {
    std::string requestId;
    std::string method;
    std::string path;
    std::string keyHash;
    std::string token;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
    std::uint64_t bodyBytes = 0;
    /// "running", "completed", "cancelled" or "broken".
    std::string state = "running";
};

inline std::string hex16(std::uint64_t value)
{
    return Poco::NumberFormatter::formatHex(value, 16);
}

inline std::string toJsonLine(const Poco::JSON::Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str() + "\n";
}

inline std::string toJsonLine(const std::string& target, const run_record& run)
{
    Poco::JSON::Object object;
    object.set("kind", "request");
    object.set("target", target);
    object.set("request_id", run.requestId);
    object.set("method", run.method);
    object.set("path", run.path);
    object.set("key_hash", run.keyHash);
    object.set("token", run.token);
    object.set("start_us", run.startUs);
    object.set("end_us", run.endUs);
    object.set("body_bytes", run.bodyBytes);
    object.set("state", run.state);
    return toJsonLine(object);
}

inline std::string toJsonLine(
    const std::string& target, std::uint64_t incarnation, const held_interval& interval)
{
    Poco::JSON::Object object;
    object.set("kind", "held");
    object.set("target", target);
    object.set("incarnation", incarnation);
    object.set("id", interval.id);
    object.set("first", hex16(interval.slice.range.first.value()));
    object.set("last", hex16(interval.slice.range.last.value()));
    object.set("epoch", interval.slice.grant.coordinator.value());
    object.set("sequence", interval.slice.grant.assignment.value());
    object.set("from_us", interval.fromUs);
    object.set("to_us", interval.toUs);
    return toJsonLine(object);
}

/// Thread-safe.
class record {
public:
    record(std::string target, const std::string& file)
        : m_target(std::move(target))
        , m_file(file.empty() ? nullptr : std::fopen(file.c_str(), "ae"))
    {
    }
    record(const record&) = delete;
    record& operator=(const record&) = delete;
    ~record()
    {
        if (m_file != nullptr)
            (void)std::fclose(m_file);
    }

    std::size_t begin(const run_record& run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(run);
        write(toJsonLine(m_target, run));
        return m_runs.size() - 1;
    }

    void end(std::size_t index, const std::string& state, std::uint64_t bodyBytes)
    {
        const std::lock_guard lock(m_mutex);
        run_record& run = m_runs[index];
        run.state = state;
        run.bodyBytes = bodyBytes;
        run.endUs = pm::monotonic_clock::now().time_since_epoch().count();
        write(toJsonLine(m_target, run));
    }

    void writeIntervals(std::uint64_t incarnation, const std::vector<held_interval>& intervals)
    {
        const std::lock_guard lock(m_mutex);
        m_written.resize(intervals.size(), -1);
        for (const held_interval& interval : intervals) {
            if (m_written[interval.id] == interval.toUs)
                continue;
            m_written[interval.id] = interval.toUs;
            write(toJsonLine(m_target, incarnation, interval));
        }
    }

    [[nodiscard]] std::string requests() const
    {
        const std::lock_guard lock(m_mutex);
        std::string text;
        for (const run_record& run : m_runs)
            text += toJsonLine(m_target, run);
        return text;
    }

    [[nodiscard]] unsigned runsOf(const std::string& requestId) const
    {
        const std::lock_guard lock(m_mutex);
        unsigned count = 0;
        for (const run_record& run : m_runs)
            count += run.requestId == requestId ? 1 : 0;
        return count;
    }

    [[nodiscard]] const std::string& target() const { return m_target; }

private:
    void write(const std::string& text)
    {
        if (m_file == nullptr)
            return;
        (void)std::fwrite(text.data(), 1, text.size(), m_file);
        (void)std::fflush(m_file);
    }

    std::string m_target;
    std::FILE* m_file;
    mutable std::mutex m_mutex;
    std::vector<run_record> m_runs;
    std::vector<std::int64_t> m_written;
};

} // namespace stand_in
