#include "body.h"

#include <Poco/NumberFormatter.h>
#include <algorithm>
#include <boost/asio/buffer.hpp>

namespace pimentomast::proxy::detail {
namespace {

template <class Parser>
body_state decode(Parser& parser, std::string& input, std::string& output, std::size_t limit)
{
    const std::size_t room = std::min(limit, input.size());
    std::size_t consumedTotal = 0;
    const std::size_t used = output.size();
    output.resize(used + room);
    auto& body = parser.get().body();
    body.data = output.data() + used;
    body.size = room;
    body_state state = body_state::NeedsInput;
    while (!parser.is_done()) {
        const std::size_t roomBefore = body.size;
        boost::beast::error_code fault;
        const std::size_t consumed = parser.put(
            boost::asio::buffer(input.data() + consumedTotal, input.size() - consumedTotal), fault);
        consumedTotal += consumed;
        if (fault == http::error::need_buffer || (!fault && body.size == 0)) {
            state = body_state::NeedsRoom;
            break;
        }
        if (fault && fault != http::error::need_more) {
            state = body_state::Bad;
            break;
        }
        if (consumed == 0 && body.size == roomBefore)
            break;
    }
    output.resize(used + room - body.size);
    input.erase(0, consumedTotal);
    return parser.is_done() ? body_state::Done : state;
}

} // namespace

body_state decodeBody(
    request_parser& parser, std::string& input, std::string& output, std::size_t room)
{
    return decode(parser, input, output, room);
}

body_state decodeBody(
    response_parser& parser, std::string& input, std::string& output, std::size_t room)
{
    return decode(parser, input, output, room);
}

void appendChunk(std::string& output, std::string_view bytes)
{
    if (bytes.empty())
        return;
    output += Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(bytes.size()));
    output += "\r\n";
    output += bytes;
    output += "\r\n";
}

void appendLastChunk(std::string& output) { output += "0\r\n\r\n"; }

} // namespace pimentomast::proxy::detail
