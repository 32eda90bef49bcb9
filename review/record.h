#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using steady = std::chrono::steady_clock;

/// File of what was sent, answered and run, each line with the milliseconds since the start.
/// Thread-safe.
class record {
public:
    explicit record(const std::string& path)
        : m_file(path)
    {
    }

    void add(const std::string& line)
    {
        const std::lock_guard guard(m_lock);
        m_file << now() << " ms  " << line << '\n' << std::flush;
    }

    [[nodiscard]] long now() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - m_start)
            .count();
    }

private:
    const steady::time_point m_start = steady::now();
    std::mutex m_lock;
    std::ofstream m_file;
};

} // namespace review
