#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>

/// Parts that the stand-ins of the second review share.
namespace review {

/// Milliseconds of the steady clock, which is the same for all processes of a machine.
inline std::int64_t nowMs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Command line of the form `--name value`.
class arguments {
public:
    arguments(int count, char** words)
    {
        for (int i = 1; i + 1 < count; i += 2)
            m_values[words[i]] = words[i + 1];
    }

    [[nodiscard]] std::string text(const std::string& name, const std::string& otherwise = {}) const
    {
        const auto found = m_values.find("--" + name);
        return found == m_values.end() ? otherwise : found->second;
    }

    [[nodiscard]] int number(const std::string& name, int otherwise) const
    {
        const auto found = m_values.find("--" + name);
        return found == m_values.end() ? otherwise : std::stoi(found->second);
    }

private:
    std::map<std::string, std::string> m_values;
};

/// Appends lines with their time to a file. Thread-safe.
class record {
public:
    explicit record(const std::string& path)
        : m_file(path, std::ios::app)
    {
    }

    void add(const std::string& line)
    {
        const std::lock_guard guard(m_mutex);
        m_file << nowMs() << ' ' << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
