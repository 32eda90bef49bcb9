#pragma once

#include "session-pool.h"

#include <Poco/Net/HTTPResponse.h>
#include <string>
#include <variant>

namespace pimentomast::platform::detail {

struct http_request {
    std::string method;
    std::string path;
    std::string type;
    std::string body;
};

struct http_answer {
    Poco::Net::HTTPResponse::HTTPStatus status = Poco::Net::HTTPResponse::HTTP_OK;
    std::string body;
};

/// No byte of the request was sent.
struct not_sent {
    error cause;
};
/// The request may have been served.
struct no_answer {
    error cause;
};
using http_outcome = std::variant<http_answer, not_sent, no_answer>;

/// Sends requests to one server over pooled keep-alive connections. Thread-safe.
class http_client {
public:
    explicit http_client(const client_options& options);

    /// Sends a request once.
    [[nodiscard]] http_outcome sendOnce(const http_request& request);
    /// Sends an idempotent request, and once more if a pooled connection broke before its answer.
    [[nodiscard]] http_outcome sendIdempotent(const http_request& request);
    [[nodiscard]] const std::string& peer() const noexcept { return m_peer; }

private:
    http_outcome sendOn(
        std::unique_ptr<session> connection, const http_request& request, instant deadline);
    http_outcome sendOnNew(const http_request& request, instant deadline);

    std::chrono::milliseconds m_timeout;
    std::string m_peer;
    session_pool m_pool;
};

} // namespace pimentomast::platform::detail
