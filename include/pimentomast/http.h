#pragma once

#include "pimentomast/core.h"

#include <Poco/Net/HTTPResponse.h>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// HTTP client for the host's own requests, to stores and to the control interface of targets.
/// Callers' requests are not sent through it.
///
/// A request is not sent after its timeout, and does not arrive later than transport::maxTransit
/// after that: the connection is reset when its answer is given up.
namespace pimentomast::http {

/// One header field of a request or an answer.
struct field {
    std::string name;
    std::string value;
};

struct request {
    std::string method;
    std::string path;
    /// Media type of the body; empty if there is none.
    std::string type;
    std::string body;
    /// Overrides the client's timeout.
    std::optional<std::chrono::milliseconds> timeout {};
    /// Limit for the body of the answer, if it may take longer than the timeout as long as its
    /// bytes keep arriving; counted from the start of the exchange.
    std::optional<std::chrono::milliseconds> bodyTimeout {};
    std::vector<field> fields {};
    /// Whether to open a connection for this request alone. On a kept one, what the server wrote
    /// beyond an earlier answer can be taken for the answer to this request.
    bool ownConnection = false;
};

struct answer {
    Poco::Net::HTTPResponse::HTTPStatus status = Poco::Net::HTTPResponse::HTTP_OK;
    std::string body;
    std::vector<field> fields {};
    /// Whether the connection had carried other requests before.
    bool onKeptConnection = false;
    /// When the first byte arrived.
    instant startedAt {};

    /// Returns the value of the first field with this name, ignoring case; empty if there is none.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// No byte of the request was sent.
struct not_sent {
    error cause;
    /// The connection was refused: no process listens on the address.
    bool refused = false;
};
/// No complete answer was received; the server may have executed the request.
struct no_answer {
    error cause;
};
using outcome = std::variant<answer, not_sent, no_answer>;

struct client_options {
    endpoint address;
    /// Limit for an exchange, unless the request states others.
    std::chrono::milliseconds timeout { 500 };
    /// Longest body of an answer; a longer one counts as no answer.
    std::size_t maxAnswerBytes = std::size_t { 32 } << 20U;
};

/// Sends requests to one server over pooled keep-alive connections. Thread-safe.
class client {
public:
    explicit client(const client_options& options);
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client();

    /// Sends a request once.
    [[nodiscard]] outcome sendOnce(const request& sent);
    /// Sends an idempotent request, and once more on a new connection if a pooled connection failed
    /// within the timeout.
    [[nodiscard]] outcome sendIdempotent(const request& sent);
    /// Returns the server's address as used in errors.
    [[nodiscard]] const std::string& peer() const noexcept;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace pimentomast::http
