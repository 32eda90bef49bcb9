#pragma once

#include "pimentomast/core.h"
#include "pimentomast/store.h"
#include "pimentomast/telemetry.h"

#include <memory>
#include <string>
#include <vector>

/// Administration API over HTTP, on an address of its own.
namespace pimentomast::admin {

struct health {
    /// False: the balancer should send no new connections to this host.
    bool accepting = false;
    /// Why not, for example "leaving"; empty while accepting.
    std::string reason;
};

/// What the API needs from the entry host that it runs in. Implementations are thread-safe.
class node {
public:
    virtual ~node() = default;

    [[nodiscard]] virtual health currentHealth() const = 0;
    /// Returns a JSON object. It must hold no secret.
    [[nodiscard]] virtual std::string statusJson() const = 0;
    /// Returns the requests that are suspected or refused because targets crashed while they ran:
    /// {"requests":[{"fingerprint","refused","crashes":[{"target","incarnation","seconds_ago"}]}]}.
    [[nodiscard]] virtual std::string crashesJson() const = 0;
    /// Clears this fingerprint on every host; false if it is neither suspected nor refused.
    virtual bool pardon(std::uint64_t fingerprint) = 0;
    /// The platform that the table is kept in.
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
    /// Starts to listen; fails if the address cannot be bound. `node` must outlive the server.
    [[nodiscard]] static result<std::unique_ptr<server>> start(const options& options, node& node);

    virtual ~server() = default;
    /// Returns the address that is listened on, with the port that was bound.
    [[nodiscard]] virtual endpoint address() const = 0;
};

/// A method and path of the API.
struct route_description {
    std::string method;
    std::string path;
};

/// Returns all routes. Thread-safe.
[[nodiscard]] std::vector<route_description> describeRoutes();

/// Compares without an early exit, so that the time taken does not tell where texts differ.
/// Thread-safe.
[[nodiscard]] bool equalInConstantTime(const std::string& given, const std::string& expected);

} // namespace pimentomast::admin
