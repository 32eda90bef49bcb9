#pragma once

#include <Poco/Net/StreamSocket.h>
#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <filesystem>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <mutex>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

/// Finds the process at the other end of a loopback connection.
namespace stand_in {

/// A question to the kernel for one TCP connection.
struct connection_query {
    nlmsghdr head {};
    inet_diag_req_v2 body {};
};

/// Returns the question for the caller's socket of an accepted loopback connection. It also finds
/// sockets of IPv6 that are connected to an IPv4 address, as gRPC's are.
inline connection_query callerQuery(const Poco::Net::StreamSocket& accepted)
{
    connection_query query;
    query.head.nlmsg_len = sizeof query;
    query.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    query.head.nlmsg_flags = NLM_F_REQUEST;
    query.body.sdiag_family = AF_INET;
    query.body.sdiag_protocol = IPPROTO_TCP;
    query.body.idiag_states = ~0U;
    query.body.id.idiag_sport = htons(accepted.peerAddress().port());
    query.body.id.idiag_dport = htons(accepted.address().port());
    query.body.id.idiag_src[0] = htonl(INADDR_LOOPBACK);
    query.body.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
    query.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    query.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return query;
}

/// Returns the inode of the caller's socket of a loopback connection, or an empty string. Asks for
/// this connection alone: the table of all connections of a busy machine takes so long to read that
/// the links of other processes stand still meanwhile.
inline std::string findCallerInode(const Poco::Net::StreamSocket& accepted)
{
    const auto query = callerQuery(accepted);
    const int kernel = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (kernel < 0)
        throw std::runtime_error("the kernel takes no questions for connections");
    alignas(nlmsghdr) std::array<char, 4096> answer {};
    const bool sent = ::send(kernel, &query, sizeof query, 0) == sizeof query;
    const auto got = sent ? ::recv(kernel, answer.data(), answer.size(), 0) : -1;
    ::close(kernel);
    nlmsghdr head {};
    inet_diag_msg found {};
    if (got < static_cast<ssize_t>(NLMSG_LENGTH(sizeof found)))
        return {};
    std::memcpy(&head, answer.data(), sizeof head);
    std::memcpy(&found, answer.data() + NLMSG_HDRLEN, sizeof found);
    const bool isOpen = head.nlmsg_type == SOCK_DIAG_BY_FAMILY && found.idiag_inode != 0;
    return isOpen ? std::to_string(found.idiag_inode) : std::string();
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
