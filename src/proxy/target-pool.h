#pragma once

#include "io.h"
#include "pimentomast/proxy.h"

#include <map>
#include <memory>
#include <mutex>
#include <variant>
#include <vector>

/// Connections to targets. Each exchange has one to itself and gives it back, or closes it.
namespace pimentomast::proxy::detail {

class target_pool;

/// One connection in use. Closed on destruction unless it was given back.
class target_connection {
public:
    target_connection(target_pool& pool, endpoint address);
    target_connection(target_connection&&) = delete;
    ~target_connection();

    Poco::Net::StreamSocket socket;
    /// Another exchange used the connection before.
    bool used = false;
    /// Time since which the connection is open.
    instant opened;

    /// Lets a later exchange use the connection. Precondition: nothing is left of this one.
    void returnToPool();
    [[nodiscard]] const endpoint& address() const noexcept { return m_address; }

private:
    target_pool& m_pool;
    endpoint m_address;
    bool m_returned = false;
};

using acquire_result = std::variant<std::unique_ptr<target_connection>, reason>;

/// Thread-safe; its lock is held for no socket call that can wait.
class target_pool {
public:
    target_pool(duration connectTimeout, duration idleTimeout);

    /// Takes an unused connection, unless it must be a new one, or opens one, of at most
    /// `limit` to the target.
    [[nodiscard]] acquire_result acquire(const endpoint& address, unsigned limit, bool mustBeNew);
    /// Closes unused connections to the target that were opened before.
    void closeOpenedBefore(const endpoint& address, instant before);
    /// Closes connections that were unused for too long.
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
        /// Connections opened earlier are not used again.
        instant minOpened {};
    };

    [[nodiscard]] std::optional<Poco::Net::StreamSocket> open(const endpoint& address) const;
    [[nodiscard]] std::unique_ptr<target_connection> reuse(const endpoint& address);
    [[nodiscard]] bool closeOldestIdle(const endpoint& address);
    [[nodiscard]] std::optional<idle_connection> takeIdle(const endpoint& address);
    [[nodiscard]] bool reserve(const endpoint& address, unsigned limit);
    void release(const endpoint& address);
    void putIdle(const endpoint& address, const Poco::Net::StreamSocket& socket, instant opened);

    duration m_connectTimeout;
    duration m_idleTimeout;
    mutable std::mutex m_mutex;
    std::map<endpoint, target_entry> m_targets;
};

} // namespace pimentomast::proxy::detail
