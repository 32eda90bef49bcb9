#pragma once

#include "helper.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>

namespace pimentomast::test {

/// A server whose handler runs for each connection on a thread of its own, with the connection's
/// number from 0.
class scripted_server {
public:
    using handler = std::function<void(Poco::Net::StreamSocket&, int)>;

    explicit scripted_server(handler serve)
        : m_serve(std::move(serve))
        , m_thread([this] { acceptLoop(); })
    {
    }
    ~scripted_server()
    {
        m_stopped = true;
        m_thread.join();
        for (auto& each : m_connections)
            each.join();
    }

    [[nodiscard]] endpoint address() const { return { "127.0.0.1", m_listening.address().port() }; }

private:
    void acceptLoop()
    {
        for (int number = 0; !m_stopped;) {
            if (!m_listening.poll(Poco::Timespan(20000), Poco::Net::Socket::SELECT_READ))
                continue;
            m_connections.emplace_back([this, accepted = m_listening.acceptConnection(),
                                           number = number++] { serve(accepted, number); });
        }
    }

    void serve(Poco::Net::StreamSocket accepted, int number)
    {
        try {
            m_serve(accepted, number);
        } catch (const Poco::Exception&) {
            // The client has closed the connection.
        }
    }

    handler m_serve;
    Poco::Net::ServerSocket m_listening { Poco::Net::SocketAddress("127.0.0.1", 0) };
    std::atomic<bool> m_stopped { false };
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

/// Receives the head of a request and returns it; empty if the client closed the connection.
inline std::string readRequest(Poco::Net::StreamSocket& socket)
{
    std::string received;
    std::array<char, 4096> buffer {};
    while (received.find("\r\n\r\n") == std::string::npos) {
        const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count <= 0)
            return {};
        received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return received;
}

/// Sends all bytes. Throws a Poco exception if the client has closed the connection.
inline void write(Poco::Net::StreamSocket& socket, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();)
        sent += static_cast<std::size_t>(
            socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
}

} // namespace pimentomast::test
