#pragma once

#include "record.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <cmath>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

/// A link to an upstream that can be cut for a time.
namespace review {

/// The time at which bytes that were sent at some time arrive, by the retransmissions of TCP: 0.2,
/// 0.6, 1.4, 3.0, 6.2, 12.6 s after the first try (the initial timeout of 200 ms, doubled).
inline long arrivalMs(long sentMs, long healedMs)
{
    constexpr long firstTimeoutMs = 200;
    long retryMs = sentMs;
    for (long timeoutMs = firstTimeoutMs; retryMs < healedMs; timeoutMs *= 2)
        retryMs += timeoutMs;
    return retryMs;
}

/// Forwards connections to an upstream. While the link is cut, nothing passes: what is sent on a
/// connection that is open arrives by a retransmission after the cut, unless its sender resets the
/// connection; connections that are opened meanwhile are never made.
class link {
public:
    link(Poco::Net::SocketAddress to, record& log)
        : m_to(std::move(to))
        , m_log(log)
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] { accept(); })
    {
    }
    link(const link&) = delete;
    link& operator=(const link&) = delete;
    ~link()
    {
        m_stopped = true;
        m_thread.join();
        for (auto& each : m_connections)
            each.join();
    }

    [[nodiscard]] Poco::Net::SocketAddress address() const { return m_listener.address(); }

    void cut(long fromMs, long untilMs)
    {
        m_healedMs = untilMs;
        m_cutMs = fromMs;
    }
    [[nodiscard]] long healedMs() const { return m_healedMs; }

private:
    static constexpr long never = -1;
    static constexpr int stepUs = 5000;

    /// One direction of a connection.
    struct direction {
        Poco::Net::StreamSocket from;
        Poco::Net::StreamSocket to;
        std::string held;
        /// When the first of the bytes held was sent.
        long sentMs = never;
        bool ended = false;
        bool passedEnd = false;
    };

    [[nodiscard]] bool isCut(long now) const
    {
        return m_cutMs != never && now >= m_cutMs && now < m_healedMs;
    }

    void accept()
    {
        while (!m_stopped) {
            if (!m_listener.poll(Poco::Timespan(stepUs), Poco::Net::Socket::SELECT_READ))
                continue;
            const auto caller = m_listener.acceptConnection();
            const bool lost = isCut(m_log.now());
            m_connections.emplace_back(
                [this, caller, lost] { lost ? drop(caller) : carry(caller); });
        }
    }

    void drop(const Poco::Net::StreamSocket& caller)
    {
        while (!m_stopped && isCut(m_log.now()))
            std::this_thread::sleep_for(std::chrono::microseconds(stepUs));
        reset(caller);
    }

    static void reset(Poco::Net::StreamSocket socket)
    {
        try {
            socket.setLinger(true, 0);
            socket.close();
        } catch (const Poco::Exception&) {
            return;
        }
    }

    void carry(const Poco::Net::StreamSocket& caller)
    {
        try {
            const Poco::Net::StreamSocket server(m_to);
            std::array<direction, 2> both { { { caller, server, {} }, { server, caller, {} } } };
            while (!m_stopped && !(both[0].passedEnd && both[1].passedEnd)) {
                bool moved = false;
                for (auto& each : both)
                    moved = step(each) || moved;
                if (!moved)
                    std::this_thread::sleep_for(std::chrono::microseconds(stepUs));
            }
        } catch (const Poco::Exception&) {
            // A reset: what is held is lost.
            reset(caller);
        }
    }

    /// Returns whether anything was read or passed on. Throws if the sender reset the connection.
    bool step(direction& way)
    {
        const bool read = receive(way);
        const long now = m_log.now();
        if (isCut(now) || (way.sentMs != never && now < arrivalMs(way.sentMs, m_healedMs)))
            return read;
        if (!way.held.empty()) {
            if (way.sentMs != never)
                m_log.add("link: " + way.held.substr(0, way.held.find('\r')) + ", sent at "
                    + std::to_string(way.sentMs) + " ms arrive");
            way.to.sendBytes(way.held.data(), static_cast<int>(way.held.size()));
            way.held.clear();
        }
        way.sentMs = never;
        if (way.ended && !way.passedEnd) {
            way.passedEnd = true;
            way.to.shutdownSend();
        }
        return read;
    }

    bool receive(direction& way)
    {
        if (way.ended || !way.from.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return false;
        std::array<char, 16384> piece {};
        const int count = way.from.receiveBytes(piece.data(), static_cast<int>(piece.size()));
        way.ended = count <= 0;
        if (count > 0)
            way.held.append(piece.data(), static_cast<std::size_t>(count));
        const long now = m_log.now();
        if (way.sentMs == never && isCut(now))
            way.sentMs = now;
        return true;
    }

    const Poco::Net::SocketAddress m_to;
    record& m_log;
    Poco::Net::ServerSocket m_listener;
    std::atomic<long> m_cutMs { never };
    std::atomic<long> m_healedMs { 0 };
    std::atomic<bool> m_stopped { false };
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace review
