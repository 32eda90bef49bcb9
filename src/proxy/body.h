#pragma once

#include "head.h"

#include <string>

/// Decoding and encoding of message bodies.
namespace pimentomast::proxy::detail {

using response_parser = http_parser::incremental_parser<false, http::buffer_body>;

enum class body_state {
    NeedsInput,
    /// The output limit was reached.
    NeedsRoom,
    Done,
    Bad,
};

/// Decodes body bytes, removing them from the input and appending at most `room` bytes to the
/// output. May be called again without more input.
[[nodiscard]] body_state decodeBody(
    request_parser& parser, std::string& input, std::string& output, std::size_t room);
[[nodiscard]] body_state decodeBody(
    response_parser& parser, std::string& input, std::string& output, std::size_t room);

/// Appends the bytes as one chunk. Does nothing if there are none, as an empty chunk ends the body.
void appendChunk(std::string& output, std::string_view bytes);

/// Appends the last chunk and an empty trailer section.
void appendLastChunk(std::string& output);

} // namespace pimentomast::proxy::detail
