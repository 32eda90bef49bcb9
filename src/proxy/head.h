#pragma once

#include "pimentomast/proxy.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

/// Strict checks of request heads, before anything else sees the request.
///
/// Heads are read with Boost.Beast: POCO's reader decodes encoded words in field values, by which
/// a caller could add lines to the head that is forwarded.
namespace pimentomast::proxy::detail {

namespace http = boost::beast::http;
using request_parser = http::request_parser<http::buffer_body>;

/// Beast 1.74 takes "no limit" for a limit of nothing.
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();

struct head_limits {
    std::size_t headBytes = 16384;
    std::size_t lineBytes = 8192;
    std::size_t fields = 100;
};

/// More bytes are needed; everything before `scanned` was checked.
struct head_partial {
    std::size_t scanned = 0;
};
/// The head takes the first `bytes` bytes of the input.
struct head_complete {
    std::size_t bytes = 0;
};
using head_extent = std::variant<head_partial, head_complete, reason>;

/// Looks for the end of a head that begins at the input's start, after at most one empty line.
/// scanned: what an earlier call for the same head returned.
[[nodiscard]] head_extent findHead(
    std::string_view input, std::size_t scanned, const head_limits& limits);

/// A request whose head passed every check.
struct checked_head {
    /// Head and state of the body.
    std::unique_ptr<request_parser> parser;
    /// Origin form.
    std::string target;
    std::string host;
    /// The caller allows another request on its connection.
    bool keepAlive = true;
    bool http10 = false;
    bool expectsContinue = false;
    bool hasBody = false;
    /// Lower-case names of fields that the Connection field makes hop-by-hop.
    std::vector<std::string> connectionOptions;
};
using head_check = std::variant<checked_head, reason>;

/// Parses and checks a complete head as RFC 9112 demands of a server.
[[nodiscard]] head_check checkHead(std::string_view head, const head_limits& limits);

/// Returns the target in origin form, taking the authority of an absolute form out to `host`;
/// empty if the target is not acceptable.
[[nodiscard]] std::string originForm(std::string_view target, std::string& host);

/// Tells whether a percent-decoded segment of the path is "." or "..", or the encoding is broken.
[[nodiscard]] bool hasInvalidPath(std::string_view target);

/// Tells whether the path, percent-decoded and without repeated slashes, is one of pimentomast's
/// own.
[[nodiscard]] bool isReservedPath(std::string_view target);

/// Tells whether the name is one of pimentomast's own fields; "_" and "-" count as equal.
[[nodiscard]] bool isReservedField(std::string_view name);

/// Tells whether the field concerns one connection only.
[[nodiscard]] bool isHopByHop(std::string_view name);

/// Compares without regard to case.
[[nodiscard]] bool equalNames(std::string_view left, std::string_view right);

/// Returns the text in lower case.
[[nodiscard]] std::string lowerCase(std::string_view text);

/// Splits a comma-separated list; elements are trimmed, empty ones are left out.
[[nodiscard]] std::vector<std::string_view> listElements(std::string_view list);

} // namespace pimentomast::proxy::detail
