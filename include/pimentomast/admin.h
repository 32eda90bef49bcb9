#pragma once

#include "pimentomast/core.h"
#include "pimentomast/store.h"
#include "pimentomast/telemetry.h"

#include <memory>
#include <string>
#include <vector>

/// Administration API over HTTP, served on a separate address.
namespace pimentomast::admin {

struct health {
    /// Whether the load balancer should send new connections to this host.
    bool accepting = false;
    /// Reason for not accepting, for example "leaving"; empty while accepting.
    std::string reason;
};

/// Interface of the entry host that the API runs in. Implementations must be thread-safe.
class node {
public:
    virtual ~node() = default;

    [[nodiscard]] virtual health currentHealth() const = 0;
    /// Returns a JSON object, which must not contain secrets.
    [[nodiscard]] virtual std::string statusJson() const = 0;
    /// Returns the requests that are suspected or refused because targets crashed while running
    /// them:
    /// {"requests":[{"fingerprint","refused","crashes":[{"target","incarnation","seconds_ago"}]}]}.
    [[nodiscard]] virtual std::string crashesJson() const = 0;
    /// Clears the fingerprint on every host. Returns false if it is neither suspected nor refused.
    virtual bool pardon(std::uint64_t fingerprint) = 0;
    /// Returns the platform services that store the table.
    [[nodiscard]] virtual store::services& platform() = 0;
    [[nodiscard]] virtual telemetry::registry& metrics() = 0;
};

struct options {
    endpoint address;
    std::string token;
    unsigned threads = 32;
};

/// Serves the API until it is destroyed.
class server {
public:
    /// Starts listening; fails if the address cannot be bound. `node` must outlive the server.
    [[nodiscard]] static result<std::unique_ptr<server>> start(const options& options, node& node);

    virtual ~server() = default;
    /// Returns the listening address, with the port that was bound.
    [[nodiscard]] virtual endpoint address() const = 0;
};

/// A method and path of the API.
struct route_description {
    std::string method;
    std::string path;
};

/// Returns all routes. Thread-safe.
[[nodiscard]] std::vector<route_description> describeRoutes();

/// Compares without an early exit, so that the duration does not reveal where the strings differ.
/// Returns false if `expected` is empty. Thread-safe.
[[nodiscard]] bool equalInConstantTime(const std::string& given, const std::string& expected);

} // namespace pimentomast::admin
