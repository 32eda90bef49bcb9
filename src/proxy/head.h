#pragma once

#include "pimentomast/http_parser.h"
#include "pimentomast/proxy.h"

#include <boost/beast/http/buffer_body.hpp>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

/// Strict validation of request heads before any other processing.
///
/// Heads are parsed with Boost.Beast because POCO's reader decodes encoded words in field values,
/// which would let a caller inject lines into the forwarded head.
namespace pimentomast::proxy::detail {

namespace http = boost::beast::http;
using request_parser = http_parser::incremental_parser<true, http::buffer_body>;

/// Beast 1.74 treats boost::none ("no limit") as a limit of 0.
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();

struct head_limits {
    std::size_t headBytes = 16384;
    std::size_t lineBytes = 8192;
    std::size_t fields = 100;
};

/// More bytes are needed; the bytes before `scanned` have been checked.
struct head_partial {
    std::size_t scanned = 0;
};
/// The head is complete and takes the first `bytes` bytes of the input.
struct head_complete {
    std::size_t bytes = 0;
};
using head_extent = std::variant<head_partial, head_complete, reason>;

/// Finds the end of a head that starts at the beginning of the input, after at most one empty line.
/// `scanned` is the value from the previous call for the same head, or 0.
[[nodiscard]] head_extent findHead(
    std::string_view input, std::size_t scanned, const head_limits& limits);

/// A request whose head passed all checks.
struct checked_head {
    /// Holds the parsed head and the state of body decoding.
    std::unique_ptr<request_parser> parser;
    /// Request target in origin form.
    std::string target;
    std::string host;
    /// The caller's connection may be reused for another request.
    bool keepAlive = true;
    bool http10 = false;
    bool expectsContinue = false;
    bool hasBody = false;
    /// Options of the Connection field in lower case; fields with these names are hop-by-hop.
    std::vector<std::string> connectionOptions;
};
using head_check = std::variant<checked_head, reason>;

/// Parses a complete head and checks it as RFC 9112 requires of a server.
[[nodiscard]] head_check checkHead(std::string_view head, const head_limits& limits);

/// Returns the request target in origin form; empty if it is invalid. Stores the authority of an
/// absolute form in `host`.
[[nodiscard]] std::string originForm(std::string_view target, std::string& host);

/// Returns whether a percent-decoded path segment is "." or "..", the percent-encoding is invalid,
/// or the target has a '#' or a backslash.
[[nodiscard]] bool hasInvalidPath(std::string_view target);

/// Returns whether the path is reserved for pimentomast, after percent-decoding and merging
/// repeated slashes, ignoring case.
[[nodiscard]] bool isReservedPath(std::string_view target);

/// Returns whether the field name is reserved for pimentomast; "_" and "-" compare equal.
[[nodiscard]] bool isReservedField(std::string_view name);

/// Returns whether the field is always hop-by-hop.
[[nodiscard]] bool isHopByHop(std::string_view name);

/// Compares field names ignoring case.
[[nodiscard]] bool equalNames(std::string_view left, std::string_view right);

/// Returns the text in lower case.
[[nodiscard]] std::string lowerCase(std::string_view text);

/// Splits a comma-separated list. Elements are trimmed; empty ones are omitted.
[[nodiscard]] std::vector<std::string_view> listElements(std::string_view list);

} // namespace pimentomast::proxy::detail
