#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

/// Parser of HTTP messages that arrive piece by piece. Boost.Beast is used because POCO's readers
/// take a message that ends early for a whole one.
namespace pimentomast::http_parser {

namespace beast = boost::beast::http;

/// Beast's parser without its preconditions on the input: it may be given too little, and the same
/// bytes again. Beast itself ends the process if it is called within the last chunk with fewer
/// bytes than the shortest one has. Not thread-safe.
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
