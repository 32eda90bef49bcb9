#pragma once

#include "grant_sender.h"

#include <Poco/Net/HTTPClientSession.h>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

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
    using session = std::unique_ptr<Poco::Net::HTTPClientSession>;

    struct answer {
        int status = 0;
        std::string body;
    };

    [[nodiscard]] answer exchange(const endpoint& address, const std::string& body);
    [[nodiscard]] session acquireSession(const endpoint& address);
    void releaseSession(const endpoint& address, session idle);

    std::chrono::milliseconds m_timeout;
    std::mutex m_lock;
    std::map<endpoint, std::vector<session>> m_idle;
};

} // namespace pimentomast::serve::detail
