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

/// Returns the inode of the socket with these addresses in a connection table of the kernel, or an
/// empty string.
inline std::string findInode(const std::string& file, const std::string& addresses)
{
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    const auto table = text.str();
    const auto entry = table.find(": " + addresses + " ");
    if (entry == std::string::npos)
        return {};
    std::istringstream fields(table.substr(entry, table.find('\n', entry) - entry));
    std::string field;
    for (int i = 0; i < 10; ++i)
        fields >> field;
    return field;
}

/// Returns the inode of the caller's socket of a loopback connection, or an empty string. Both
/// ports are compared, since closed connections from the same caller port stay in the table for a
/// while. gRPC connects to IPv4 addresses through IPv6 sockets, which have a separate table.
inline std::string findCallerInode(const Poco::Net::StreamSocket& accepted)
{
    const auto loopback = [](const Poco::Net::SocketAddress& address) {
        return "0100007F:" + Poco::NumberFormatter::formatHex(address.port(), 4);
    };
    const auto from = loopback(accepted.peerAddress());
    const auto to = loopback(accepted.address());
    const std::string mapped = "0000000000000000FFFF0000";
    const auto found = findInode("/proc/net/tcp", from + " " + to);
    return found.empty() ? findInode("/proc/net/tcp6", mapped + from + " " + mapped + to) : found;
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

class process_finder {
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
        const auto inode = findCallerInode(accepted);
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
