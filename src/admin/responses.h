#pragma once

#include "pimentomast/admin.h"

/// Request handling of the administration API, independent of the HTTP transport.
namespace pimentomast::admin::detail {

struct request {
    std::string method;
    /// Path without the query.
    std::string path;
    std::string query;
    /// Value of the Authorization header; empty if there is none.
    std::string authorization;
    std::string body;
};

struct response {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
};

/// Handles a request; every path except /health requires the token. Thread-safe.
[[nodiscard]] response respond(node& node, const std::string& token, const request& request);

} // namespace pimentomast::admin::detail
