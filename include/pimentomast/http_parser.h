#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <string_view>

/// Parser of HTTP messages that arrive piece by piece. Boost.Beast is used because POCO's readers
/// take a message that ends early for a whole one.
namespace pimentomast::http_parser {

namespace beast = boost::beast::http;

/// Returns whether a line of the head continues the field before it. The text starts with a line of
/// the head and may go beyond it.
[[nodiscard]] inline bool hasFoldedField(std::string_view text)
{
    constexpr std::string_view lineEnd = "\r\n";
    const std::string_view head = text.substr(0, text.find("\r\n\r\n"));
    for (auto at = head.find(lineEnd); at != std::string_view::npos; at = head.find(lineEnd, at)) {
        at += lineEnd.size();
        if (at < head.size() && (head[at] == ' ' || head[at] == '\t'))
            return true;
    }
    return false;
}

/// Beast's parser without its preconditions on the input: it may be given too little, and the same
/// bytes again. Beast itself ends the process if it is called within the last chunk with fewer
/// bytes than the shortest one has. A head with a folded field is refused (RFC 9112, 5.2): Beast
/// makes the line a part of the field before it, also if it is a field whose name starts with a
/// blank. Not thread-safe.
template <bool IsRequest, class Body>
class incremental_parser : public beast::parser<IsRequest, Body> {
public:
    /// Parses the input and returns how many of its bytes were used. Sets error::need_more if the
    /// message is incomplete. Preconditions: the message is not done, and the input starts with
    /// what the call before left.
    std::size_t put(boost::asio::const_buffer input, boost::beast::error_code& fault)
    {
        if (isIncomplete(input.size())) {
            fault = beast::error::need_more;
            return 0;
        }
        if (!this->is_header_done()
            && hasFoldedField({ static_cast<const char*>(input.data()), input.size() })) {
            fault = beast::error::bad_field;
            return 0;
        }
        const std::size_t used = beast::parser<IsRequest, Body>::put(input, fault);
        m_left = fault == beast::error::need_more ? input.size() - used : 0;
        return used;
    }

private:
    /// Size of "0", two line ends.
    static constexpr std::size_t lastChunkBytes = 5;

    /// Returns whether nothing can be parsed: bytes are left over only within a head, a chunk's
    /// head or a trailer section, and each is followed by at least a last chunk's bytes.
    [[nodiscard]] bool isIncomplete(std::size_t size) const
    {
        return m_left > 0 && (size <= m_left || size < lastChunkBytes);
    }

    std::size_t m_left = 0;
};

} // namespace pimentomast::http_parser
