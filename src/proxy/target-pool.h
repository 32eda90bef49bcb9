#pragma once

#include "io.h"
#include "pimentomast/proxy.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

/// Pool of target connections. Each attempt uses a connection exclusively and then returns it to
/// the pool or closes it.
namespace pimentomast::proxy::detail {

class target_pool;

/// A connection in use. Closed on destruction unless it was returned to the pool: nothing of a
/// request that was given up arrives more than transport::maxTransit later.
class target_connection {
public:
    target_connection(target_pool& pool, endpoint address);
    target_connection(target_connection&&) = delete;
    ~target_connection();

    Poco::Net::StreamSocket socket;
    /// The connection was used by an earlier attempt.
    bool used = false;
    /// Time at which opening the connection began.
    instant opened;

    /// Like sendSome(). Remembers how the connection was lost.
    io_result send(std::string_view bytes);
    /// Like receiveInto(), but returns the end of the stream only if the target ended its sending
    /// and the connection has not failed. A socket alone does not tell: the kernel reports an error
    /// to one call only, and the registry shuts down the receiving side of abandoned attempts.
    io_result receive(std::string& buffer, std::size_t limit);
    /// Makes the connection available to later attempts. Precondition: no data of this exchange is
    /// left on it.
    void returnToPool();
    [[nodiscard]] const endpoint& address() const noexcept { return m_address; }

private:
    target_pool& m_pool;
    endpoint m_address;
    bool m_returned = false;
    /// Failed or Silent once a send has found the connection lost.
    std::optional<io_state> m_loss;
};

using acquire_result = std::variant<std::unique_ptr<target_connection>, reason>;

/// Thread-safe. The lock is not held during socket calls that can block.
class target_pool {
public:
    target_pool(duration connectTimeout, duration idleTimeout);

    /// Returns an idle connection or opens a new one; always opens one if mustBeNew is set. If the
    /// target already has `limit` connections, idle ones are closed to make room. Blocks up to the
    /// connect timeout. Fails with NoConnection or ConnectFailed.
    [[nodiscard]] acquire_result acquire(const endpoint& address, unsigned limit, bool mustBeNew);
    /// Closes idle connections to the target that were opened before the given time; those in use
    /// are closed when they are returned.
    void closeOpenedBefore(const endpoint& address, instant before);
    /// Closes idle connections that exceeded the idle timeout, were closed by the target or have
    /// unexpected input.
    void closeIdle(instant now);
    /// Returns the number of open connections.
    [[nodiscard]] std::size_t size() const;

private:
    friend class target_connection;

    struct idle_connection {
        Poco::Net::StreamSocket socket;
        instant opened;
        instant idleSince;
    };
    struct target_entry {
        std::vector<idle_connection> idle;
        std::size_t open = 0;
        /// Connections opened before this time are not reused.
        instant minOpened {};

        template <class Condition>
        void closeIdleIf(const Condition& isOver);
    };

    [[nodiscard]] std::optional<Poco::Net::StreamSocket> open(const endpoint& address) const;
    [[nodiscard]] std::unique_ptr<target_connection> reuse(const endpoint& address);
    [[nodiscard]] bool closeOldestIdle(const endpoint& address);
    [[nodiscard]] std::optional<idle_connection> takeIdle(const endpoint& address);
    [[nodiscard]] bool reserve(const endpoint& address, unsigned limit);
    void release(const endpoint& address);
    void putIdle(const endpoint& address, Poco::Net::StreamSocket& socket, instant opened);

    duration m_connectTimeout;
    duration m_idleTimeout;
    mutable std::mutex m_mutex;
    std::map<endpoint, target_entry> m_targets;
};

} // namespace pimentomast::proxy::detail
