#pragma once

#include "grant_sender.h"
#include "pimentomast/http.h"

#include <map>
#include <memory>
#include <mutex>

namespace pimentomast::serve::detail {

/// Sends grant messages to targets over persistent connections. Thread-safe.
class grant_client final : public grant_sender {
public:
    explicit grant_client(std::chrono::milliseconds timeout)
        : m_timeout(timeout)
    {
    }

    [[nodiscard]] ownership::event send(const ownership::send_grant& action) override;

private:
    [[nodiscard]] std::shared_ptr<http::client> clientFor(const endpoint& address);

    std::chrono::milliseconds m_timeout;
    std::mutex m_lock;
    std::map<endpoint, std::shared_ptr<http::client>> m_clients;
};

} // namespace pimentomast::serve::detail
