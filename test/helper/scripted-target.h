#pragma once

#include "proxy-fixture.h"

#include <Poco/Net/ServerSocket.h>
#include <functional>
#include <thread>

namespace pimentomast::test {

/// Action of a scripted target after it has read a request head.
struct scripted_response {
    std::string bytes;
    enum class ending { KeepOpen, Close, Reset } after = ending::KeepOpen;
};

/// A target that answers the requests of all connections from a list, in order of arrival. Health
/// probes are always answered and do not use up the list.
class scripted_target {
public:
    explicit scripted_target(std::vector<scripted_response> responses)
        : m_responses(std::move(responses))
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] { accept(); })
    {
    }
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;

    ~scripted_target()
    {
        m_stopped = true;
        m_thread.join();
        for (std::thread& connection : m_connections)
            connection.join();
    }

    [[nodiscard]] proxy::destination destination() const
    {
        const endpoint address { "127.0.0.1", m_listener.address().port() };
        return { target_id { "scripted" }, address, std::nullopt, 64 };
    }

    /// Returns the heads of the requests received so far.
    [[nodiscard]] std::vector<std::string> heads()
    {
        const std::lock_guard lock(m_mutex);
        return m_heads;
    }

    /// Returns the number of connections accepted so far.
    [[nodiscard]] std::size_t connections()
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size();
    }

    /// The response to each health probe.
    static constexpr const char* health
        = "HTTP/1.1 200 OK\r\nContent-Length: 59\r\n\r\n"
          "{\"incarnation\":7,\"load\":{\"running\":0,\"queued\":0,\"slots\":9}}";

private:
    void accept()
    {
        while (!m_stopped) {
            if (!m_listener.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ))
                continue;
            const Poco::Net::StreamSocket socket = m_listener.acceptConnection();
            const std::lock_guard lock(m_mutex);
            m_connections.emplace_back([this, socket] { serve(socket); });
        }
    }

    void serve(Poco::Net::StreamSocket socket)
    {
        std::string input;
        std::array<char, 65536> piece {};
        while (!m_stopped) {
            if (!socket.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ))
                continue;
            int got = 0;
            try {
                got = socket.receiveBytes(piece.data(), piece.size());
            } catch (const Poco::Exception&) {
                got = 0;
            }
            if (got <= 0)
                return;
            input.append(piece.data(), static_cast<std::size_t>(got));
            const std::size_t end = input.find("\r\n\r\n");
            if (end == std::string::npos)
                continue;
            if (!respond(socket, input.substr(0, end + 4)))
                return;
            input.clear();
        }
    }

    bool respond(Poco::Net::StreamSocket& socket, const std::string& head)
    {
        scripted_response next;
        if (head.starts_with("GET /pimentomast/health ")) {
            next.bytes = health;
        } else {
            const std::lock_guard lock(m_mutex);
            m_heads.push_back(head);
            if (m_heads.size() > m_responses.size())
                return true;
            next = m_responses[m_heads.size() - 1];
        }
        if (!next.bytes.empty())
            socket.sendBytes(next.bytes.data(), static_cast<int>(next.bytes.size()));
        if (next.after == scripted_response::ending::Reset)
            socket.setLinger(true, 0);
        if (next.after != scripted_response::ending::KeepOpen)
            socket.close();
        return next.after == scripted_response::ending::KeepOpen;
    }

    std::vector<scripted_response> m_responses;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_stopped { false };
    std::mutex m_mutex;
    std::vector<std::string> m_heads;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace pimentomast::test
