#pragma once

#include "pimentomast/core.h"

#include <Poco/Net/HTTPClientSession.h>
#include <memory>
#include <mutex>
#include <vector>

namespace pimentomast::http::detail {

/// HTTP session that never reconnects on its own: only open() opens a connection.
class session : public Poco::Net::HTTPClientSession {
public:
    explicit session(const endpoint& address);
    session(const session&) = delete;
    session& operator=(const session&) = delete;
    ~session() override;

    /// Opens the connection. Throws a Poco exception if that fails or takes longer than the
    /// timeout.
    void open(std::chrono::milliseconds timeout);
    /// Sets the timeout of each following receive and send.
    void setIoTimeout(std::chrono::milliseconds timeout);
    /// Call before a request is sent. The connection is reset if it ends before endExchange(). The
    /// limit is that of transport::limitDelivery().
    void beginExchange(std::chrono::milliseconds deliveryLimit);
    /// Call when the answer is whole.
    void endExchange() { m_isIdle = true; }
    /// Returns whether an idle connection is still open and has received nothing.
    [[nodiscard]] bool reusable();

protected:
    [[nodiscard]] bool mustReconnect() const override { return false; }

private:
    bool m_isIdle = true;
};

/// Idle connections to one server. Thread-safe.
class session_pool {
public:
    explicit session_pool(endpoint address);

    /// Returns an idle connection that is still usable, or nothing.
    [[nodiscard]] std::unique_ptr<session> takeIdle();
    /// Returns a new connection. Throws a Poco exception if it cannot be opened.
    [[nodiscard]] std::unique_ptr<session> openNew(std::chrono::milliseconds timeout) const;
    /// Returns a connection to the pool. Precondition: its last answer was read completely.
    void returnIdle(std::unique_ptr<session> idle);
    /// Closes all idle connections.
    void clear();

private:
    static constexpr std::size_t maxIdle = 16;

    endpoint m_address;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<session>> m_idle;
};

} // namespace pimentomast::http::detail
