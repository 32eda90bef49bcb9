#pragma once

#include "sockets.h"
#include "threads.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

/// A stand-in for the platform's store of rows.
namespace review {

struct row_name {
    std::string table;
    std::string part;
    std::string key;
    auto operator<=>(const row_name&) const = default;
};

/// Serves rows-get, rows-feed and rows-tx. Each caller may have a port of its own, which can be
/// put out of service. Thread-safe.
class store_stand_in {
public:
    store_stand_in();
    store_stand_in(const store_stand_in&) = delete;
    store_stand_in& operator=(const store_stand_in&) = delete;
    ~store_stand_in();

    enum class service {
        Good,
        /// Answers 503 and does nothing.
        Refuses,
        /// Does not answer.
        Silent,
    };

    /// Opens a port of the store; returns its address.
    [[nodiscard]] endpoint open();
    void setService(std::size_t port, service how) { m_ports.at(port)->how = how; }
    void setServiceOfAll(service how);

    /// Writes a row as its operator or an upstream does. Returns its version.
    std::uint64_t put(const row_name& name, const std::string& value);
    void remove(const row_name& name);
    [[nodiscard]] std::string get(const row_name& name) const;
    /// Goes back to the copy that keep() made last, in a new era.
    void keep();
    void restore();

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change {
        row_name name;
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct contents {
        std::map<row_name, row> rows;
        std::vector<change> changes;
        std::uint64_t version = 0;
    };
    struct port {
        socket_handle listener;
        std::atomic<service> how = service::Good;
        std::thread acceptor;
    };

    void accept(port& at);
    void serve(port& at, const socket_handle& connection);
    [[nodiscard]] message answer(const message& request);
    [[nodiscard]] message listRows(const std::map<std::string, std::string>& query);
    [[nodiscard]] message readFeed(const std::map<std::string, std::string>& query);
    [[nodiscard]] message transact(const std::string& body);
    [[nodiscard]] message refusal() const;
    [[nodiscard]] message reply(int status, const std::string& rows, bool more = false) const;
    void set(const row_name& name, const std::string& value);
    void erase(const row_name& name);

    mutable std::mutex m_lock;
    std::condition_variable m_changed;
    contents m_now;
    contents m_copy;
    std::uint64_t m_era = 0;
    steady::time_point m_started = steady::now();
    std::atomic<bool> m_stopped = false;
    std::vector<std::unique_ptr<port>> m_ports;
    connection_threads m_threads;
};

} // namespace review
