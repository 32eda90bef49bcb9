#pragma once

#include <Poco/Net/StreamSocket.h>
#include <array>
#include <linux/filter.h>
#include <stdexcept>
#include <sys/socket.h>

namespace pimentomast::test {

/// Cuts the link to the peer of a socket for as long as it lives: the kernel drops all that arrives
/// for the socket, unacknowledged, also resets. Both programs see a silent connection.
class cut_link {
public:
    explicit cut_link(const Poco::Net::StreamSocket& socket)
        : cut_link(static_cast<int>(socket.impl()->sockfd()))
    {
    }
    explicit cut_link(int descriptor)
        : m_socket(descriptor)
    {
        std::array<sock_filter, 1> dropAll { { BPF_STMT(BPF_RET | BPF_K, 0) } };
        const sock_fprog program { dropAll.size(), dropAll.data() };
        if (::setsockopt(m_socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) != 0)
            throw std::runtime_error("socket filters are not supported");
    }
    cut_link(const cut_link&) = delete;
    cut_link& operator=(const cut_link&) = delete;
    ~cut_link()
    {
        const int unused = 0;
        ::setsockopt(m_socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
    }

private:
    int m_socket;
};

} // namespace pimentomast::test
