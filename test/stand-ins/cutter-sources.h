#pragma once

#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberFormatter.h>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

/// Finds the process at the other end of a loopback connection.
namespace stand_in {

/// Returns the inode of the socket whose local port this is, or an empty string.
inline std::string inodeOfPort(std::uint16_t port)
{
    std::ostringstream text;
    text << std::ifstream("/proc/net/tcp").rdbuf();
    const auto table = text.str();
    const auto entry = table.find(": 0100007F:" + Poco::NumberFormatter::formatHex(port, 4) + " ");
    if (entry == std::string::npos)
        return {};
    std::istringstream fields(table.substr(entry, table.find('\n', entry) - entry));
    std::string field;
    for (int i = 0; i < 10; ++i)
        fields >> field;
    return field;
}

inline bool holdsSocket(pid_t process, const std::string& inode)
{
    const auto wanted = "socket:[" + inode + "]";
    std::error_code failed;
    const std::filesystem::directory_iterator files(
        "/proc/" + std::to_string(process) + "/fd", failed);
    for (const auto& file : files)
        if (std::filesystem::read_symlink(file.path(), failed) == wanted)
            return true;
    return false;
}

class sources {
public:
    void set(std::vector<pid_t> processes)
    {
        const std::lock_guard lock(m_mutex);
        m_processes = std::move(processes);
    }

    /// Returns the process at the other end of a loopback connection, or 0.
    pid_t find(const Poco::Net::StreamSocket& accepted)
    {
        const std::lock_guard lock(m_mutex);
        if (m_processes.empty())
            return 0;
        const auto inode = inodeOfPort(accepted.peerAddress().port());
        for (const auto process : m_processes)
            if (!inode.empty() && holdsSocket(process, inode))
                return process;
        return 0;
    }

private:
    std::mutex m_mutex;
    std::vector<pid_t> m_processes;
};

} // namespace stand_in
