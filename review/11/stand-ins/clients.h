#pragma once

#include "record.h"

#include <atomic>
#include <functional>
#include <list>
#include <thread>

/// Clients that send requests to hosts over kept connections.
namespace review {

struct client_options {
    endpoint host;
    std::string hostName;
    /// Makes the next request; its id is set by the client.
    std::function<sent_request()> next;
    /// Value of the Host header.
    std::string authority;
    milliseconds deadline { 2000 };
    milliseconds pause { 20 };
    unsigned count = 1;
};

/// Sends one request on the connection and reads the response.
[[nodiscard]] ending exchangeOn(const socket_handle& connection, message_reader& reader,
    const sent_request& sent, const std::string& authority, milliseconds deadline);

/// Runs clients until it is destroyed. Each one keeps its connection while that works.
class client_group {
public:
    client_group(client_options options, record& seen);
    client_group(const client_group&) = delete;
    client_group& operator=(const client_group&) = delete;
    ~client_group();

private:
    void run(const std::string& name);

    client_options m_options;
    record& m_record;
    std::atomic<bool> m_stopped = false;
    std::list<std::thread> m_threads;
};

} // namespace review
