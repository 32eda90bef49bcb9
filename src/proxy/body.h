#pragma once

#include "head.h"

#include <string>

/// Decoding and encoding of message bodies. Boost.Beast decodes: POCO's chunked reader takes a
/// body that was broken off for a complete one.
namespace pimentomast::proxy::detail {

using response_parser = http::response_parser<http::buffer_body>;

enum class body_state {
    NeedsInput,
    /// The output has no room left.
    NeedsRoom,
    Done,
    Bad,
};

/// Decodes body bytes from the input, which loses them, onto the output's end, at most `room`.
[[nodiscard]] body_state decodeBody(
    request_parser& parser, std::string& input, std::string& output, std::size_t room);
[[nodiscard]] body_state decodeBody(
    response_parser& parser, std::string& input, std::string& output, std::size_t room);

/// Appends the bytes as one chunk; nothing for no bytes.
void appendChunk(std::string& output, std::string_view bytes);

/// Appends the end of a chunked body.
void appendLastChunk(std::string& output);

} // namespace pimentomast::proxy::detail
