#pragma once

#include "cutter-sources.h"
#include "pimentomast/transport.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

/// A forwarded address, which passes, delays, silences or resets its connections.
namespace stand_in {

using namespace std::chrono_literals;
using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

inline const Poco::Timespan pollInterval(0, 20'000);
constexpr int bufferBytes = 64 << 10;

enum class mode {
    Pass,
    DropForward,
    DropBackward,
    DropBoth,
    Refuse,
};

enum class direction {
    Forward,
    Backward,
};

struct reset_rule {
    std::string match;
    direction at = direction::Forward;
    std::size_t bytes = 0;
};

struct connection {
    StreamSocket caller;
    StreamSocket server;
    /// Process id of the caller; -1 until a rule needs it.
    std::atomic<pid_t> source = -1;
    std::atomic<bool> silenced = false;
    std::atomic<bool> ended = false;
    /// One end has finished sending, and the other's sending side was shut down.
    std::atomic<bool> isHalfClosed = false;
    std::mutex resetMutex {};
    std::optional<reset_rule> pendingReset {};

    /// Both peers see a reset once the threads of this connection have released it.
    void reset()
    {
        for (auto* socket : { &caller, &server })
            if (socket->impl()->initialized())
                socket->setLinger(true, 0);
        ended = true;
    }
};

class link : public std::enable_shared_from_this<link> {
public:
    link(const SocketAddress& listen, const SocketAddress& to, process_finder& processFinder)
        : m_listen(listen)
        , m_to(to)
        , m_processFinder(processFinder)
    {
    }

    void run()
    {
        std::unique_ptr<ServerSocket> listener;
        for (;;) {
            if (modeOf(0) == mode::Refuse) {
                listener.reset();
                std::this_thread::sleep_for(10ms);
                continue;
            }
            if (!listener)
                listener = std::make_unique<ServerSocket>(m_listen, 256);
            if (listener->poll(pollInterval, Poco::Net::Socket::SELECT_READ))
                accept(*listener);
        }
    }

    void setMode(pid_t source, mode chosen)
    {
        const std::lock_guard lock(m_mutex);
        m_modes[source] = chosen;
        if (chosen == mode::Refuse)
            forEach(source, [](connection& open) { open.reset(); });
    }

    void silence(pid_t source)
    {
        const std::lock_guard lock(m_mutex);
        forEach(source, [](connection& open) { open.silenced = true; });
    }

    void close(pid_t source)
    {
        const std::lock_guard lock(m_mutex);
        forEach(source, [](connection& open) { open.reset(); });
    }

    void inject(const std::string& bytes)
    {
        const std::lock_guard lock(m_mutex);
        forEach(0, [&](connection& open) {
            try {
                sendAll(open, open.caller, bytes);
            } catch (const Poco::Exception&) {
                // The caller has reset the connection, which pump() may not have detected yet.
                open.reset();
            }
        });
    }

    void resetNextConnection(reset_rule rule)
    {
        const std::lock_guard lock(m_mutex);
        m_resetRules.push_back(std::move(rule));
    }

private:
    /// Applies the change to the open connections of a process, or to all if `source` is 0. Called
    /// with m_mutex held.
    template <class Change>
    void forEach(pid_t source, Change change)
    {
        for (auto& weak : m_connections)
            if (const auto open = weak.lock(); open && (source == 0 || findSource(*open) == source))
                change(*open);
    }

    /// Looks the process up on first use only, since that reads the kernel's whole connection
    /// table.
    pid_t findSource(connection& open)
    {
        if (open.source == -1)
            open.source = m_processFinder.find(open.caller);
        return open.source;
    }

    mode modeOf(pid_t source)
    {
        const std::lock_guard lock(m_mutex);
        const auto own = m_modes.find(source);
        return own != m_modes.end() ? own->second : m_modes[0];
    }

    mode modeOf(connection& open)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_modes.size() == 1)
                return m_modes[0];
        }
        return modeOf(findSource(open));
    }

    bool isBlocked(connection& open, direction dir)
    {
        if (open.silenced)
            return true;
        const auto current = modeOf(open);
        return current == mode::DropBoth
            || current == (dir == direction::Forward ? mode::DropForward : mode::DropBackward);
    }

    void accept(ServerSocket& listener)
    {
        auto open = std::make_shared<connection>();
        open->caller = listener.acceptConnection();
        std::thread([self = shared_from_this(), open] { self->connectAndForward(open); }).detach();
    }

    void connectAndForward(const std::shared_ptr<connection>& open)
    {
        try {
            while (modeOf(*open) == mode::DropBoth)
                std::this_thread::sleep_for(10ms);
            open->server.connect(m_to);
            open->caller.setNoDelay(true);
            open->server.setNoDelay(true);
            open->caller.setSendTimeout(pollInterval);
            open->server.setSendTimeout(pollInterval);
        } catch (const Poco::Exception&) {
            return open->reset();
        }
        {
            const std::lock_guard lock(m_mutex);
            m_connections.remove_if([](const auto& weak) { return weak.expired(); });
            m_connections.push_back(open);
        }
        if (modeOf(*open) == mode::Refuse)
            return open->reset();
        std::thread([self = shared_from_this(), open] {
            self->pump(open, direction::Backward);
        }).detach();
        pump(open, direction::Forward);
    }

    void pump(const std::shared_ptr<connection>& open, direction dir)
    {
        auto& from = dir == direction::Forward ? open->caller : open->server;
        auto& to = dir == direction::Forward ? open->server : open->caller;
        std::string buffer(bufferBytes, '\0');
        try {
            while (!open->ended && pass(*open, dir, from, to, buffer)) { }
        } catch (const Poco::Exception&) {
            open->reset();
        }
    }

    /// Returns false once this direction has ended.
    bool pass(
        connection& open, direction dir, StreamSocket& from, StreamSocket& to, std::string& buffer)
    {
        if (isBlocked(open, dir)) {
            std::this_thread::sleep_for(5ms);
            return true;
        }
        if (!from.poll(pollInterval, Poco::Net::Socket::SELECT_READ) || isBlocked(open, dir))
            return true;
        const int received = from.receiveBytes(buffer.data(), bufferBytes);
        if (received <= 0) {
            passEnd(open, from, to);
            return false;
        }
        return send(
            open, dir, to, std::string_view(buffer.data(), static_cast<std::size_t>(received)));
    }

    /// The other direction's send may have been told of a reset, after which this read looks like
    /// an orderly end.
    static void passEnd(connection& open, const StreamSocket& from, StreamSocket& to)
    {
        const bool isFinished = pimentomast::transport::hasPeerFinished(from) || open.isHalfClosed;
        if (!isFinished)
            return open.reset();
        open.isHalfClosed = true;
        to.shutdownSend();
    }

    bool send(connection& open, direction dir, StreamSocket& to, std::string_view bytes)
    {
        if (dir == direction::Forward)
            applyResetRules(open, bytes);
        const auto allowed = allowedBytes(open, dir, bytes.size());
        sendAll(open, to, bytes.substr(0, allowed));
        if (allowed == bytes.size() && !isResetDue(open, dir))
            return true;
        open.reset();
        return false;
    }

    static void sendAll(connection& open, StreamSocket& to, std::string_view bytes)
    {
        while (!bytes.empty() && !open.ended) {
            try {
                const int sent = to.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
                bytes.remove_prefix(static_cast<std::size_t>(sent));
            } catch (const Poco::TimeoutException&) {
                continue;
            }
        }
    }

    void applyResetRules(connection& open, std::string_view bytes)
    {
        const std::lock_guard lock(m_mutex);
        for (auto rule = m_resetRules.begin(); rule != m_resetRules.end(); ++rule) {
            if (bytes.find(rule->match) == std::string_view::npos)
                continue;
            const std::lock_guard resetLock(open.resetMutex);
            open.pendingReset = *rule;
            m_resetRules.erase(rule);
            return;
        }
    }

    static std::size_t allowedBytes(connection& open, direction dir, std::size_t size)
    {
        const std::lock_guard lock(open.resetMutex);
        if (!open.pendingReset || open.pendingReset->at != dir)
            return size;
        const auto allowed = std::min(size, open.pendingReset->bytes);
        open.pendingReset->bytes -= allowed;
        return allowed;
    }

    static bool isResetDue(connection& open, direction dir)
    {
        const std::lock_guard lock(open.resetMutex);
        return open.pendingReset && open.pendingReset->at == dir && open.pendingReset->bytes == 0;
    }

    SocketAddress m_listen;
    SocketAddress m_to;
    process_finder& m_processFinder;
    std::mutex m_mutex;
    std::map<pid_t, mode> m_modes { { 0, mode::Pass } };
    std::list<std::weak_ptr<connection>> m_connections;
    std::list<reset_rule> m_resetRules;
};

} // namespace stand_in
