#include "http/answer-reader.h"
#include "proxy/body.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <Poco/Exception.h>

using namespace pimentomast;
using proxy::detail::body_state;
using proxy::detail::decodeBody;
using proxy::detail::request_parser;
using proxy::detail::response_parser;

/// Bodies in chunks are decoded alike, however they are cut into pieces, whenever the decoder is
/// called without more input, and wherever they end.
namespace {

const std::string requestHead
    = "PUT /weights/g1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t room = 64;

/// Result of decoding.
struct decoded_body {
    body_state state = body_state::NeedsInput;
    std::string bytes;
};

std::string hex(std::size_t value)
{
    std::ostringstream text;
    text << std::hex << value;
    return text.str();
}

rc::Gen<std::string> lineTail()
{
    return rc::gen::weightedElement<std::string>(
        { { 6, "\r\n" }, { 1, ";a\r\n" }, { 1, ";a=b\r\n" }, { 1, ";a=\"b;c\"\r\n" } });
}

std::string chunk()
{
    const auto data = *rc::gen::resize(12, rc::gen::nonEmpty(rc::gen::string<std::string>()));
    return hex(data.size()) + *lineTail() + data + "\r\n";
}

std::string lastChunk()
{
    const auto zeros
        = *rc::gen::weightedElement<std::string>({ { 8, "0" }, { 1, "00" }, { 1, "0000" } });
    const auto trailers = *rc::gen::weightedElement<std::string>(
        { { 5, "" }, { 1, "A: 1\r\n" }, { 1, "A: 1\r\nB: 2\r\n" }, { 1, "A: 1\r\n 2\r\n" } });
    return zeros + *lineTail() + trailers + "\r\n";
}

/// Returns a body that is whole, or with one byte changed, or one taken out.
std::string body()
{
    std::string whole;
    const auto chunks = *rc::gen::inRange(0, 4);
    for (int i = 0; i < chunks; ++i)
        whole += chunk();
    whole += lastChunk();
    const auto at = *rc::gen::inRange<std::size_t>(0, whole.size());
    switch (*rc::gen::weightedElement<int>({ { 6, 0 }, { 1, 1 }, { 1, 2 } })) {
    case 1:
        whole[at] = *rc::gen::elementOf(std::string("0a\r\n; :\"\t\0", 10));
        break;
    case 2:
        whole.erase(at, 1);
        break;
    default:
        break;
    }
    return whole;
}

template <class Parser>
std::unique_ptr<Parser> parserAfterHead(const std::string& head)
{
    auto parser = std::make_unique<Parser>();
    boost::beast::error_code fault;
    parser->put(boost::asio::buffer(head), fault);
    RC_ASSERT(!fault && parser->is_header_done());
    return parser;
}

/// Decodes until nothing changes any more, with some calls more than needed.
template <class Parser>
void decodeAll(Parser& parser, std::string& input, decoded_body& into, int idleCalls)
{
    for (int idle = 0; idle <= idleCalls && into.state != body_state::Bad;) {
        if (parser.is_done()) {
            into.state = body_state::Done;
            return;
        }
        const auto before = input.size();
        into.state = decodeBody(parser, input, into.bytes, room);
        if (input.size() == before)
            ++idle;
    }
}

template <class Parser>
decoded_body decodeWhole(const std::string& head, const std::string& text)
{
    const auto parser = parserAfterHead<Parser>(head);
    decoded_body decoded;
    std::string input = text;
    decodeAll(*parser, input, decoded, 1);
    return decoded;
}

template <class Parser>
decoded_body decodeInPieces(const std::string& head, const std::string& text)
{
    const auto parser = parserAfterHead<Parser>(head);
    decoded_body decoded;
    std::string input;
    const auto longest = *rc::gen::inRange<std::size_t>(1, 5);
    for (std::size_t at = 0; at < text.size() && decoded.state != body_state::Bad;) {
        const auto size = *rc::gen::inRange<std::size_t>(1, longest + 1);
        input += text.substr(at, size);
        at += size;
        decodeAll(*parser, input, decoded, *rc::gen::inRange(0, 3));
    }
    return decoded;
}

template <class Parser>
bool isDecodedAlikeInPieces(const std::string& head)
{
    return rc::check([&] {
        const auto text = body();
        const auto end = *rc::gen::weightedOneOf<std::size_t>({ { 3, rc::gen::just(text.size()) },
            { 1, rc::gen::inRange<std::size_t>(0, text.size()) } });
        const auto whole = decodeWhole<Parser>(head, text.substr(0, end));
        const auto pieces = decodeInPieces<Parser>(head, text.substr(0, end));
        RC_ASSERT((whole.state == body_state::Done) == (pieces.state == body_state::Done));
        RC_ASSERT((whole.state == body_state::Bad) == (pieces.state == body_state::Bad));
        if (whole.state != body_state::Bad)
            RC_ASSERT(whole.bytes == pieces.bytes);
    });
}

/// Returns the answer's body; nothing if it is refused or not whole.
std::optional<std::string> readAnswer(const std::string& text, std::size_t longest)
{
    http::detail::answer_reader reader("GET", 1000);
    try {
        for (std::size_t at = 0; at < text.size() && !reader.done();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, longest + 1);
            reader.put(std::string_view(text).substr(at, size));
            at += size;
        }
        if (!reader.done())
            reader.end();
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
    return reader.take().body;
}

} // namespace

// An empty answer in chunks that broke off before its last line ended the process.
Test(http_parser, answers_of_targets_are_decoded_alike_in_pieces)
{
    cr_assert(isDecodedAlikeInPieces<response_parser>(responseHead));
}

// So did a request whose empty body in chunks paused before its last line.
Test(http_parser, bodies_of_requests_are_decoded_alike_in_pieces)
{
    cr_assert(isDecodedAlikeInPieces<request_parser>(requestHead));
}

// So did an answer of the store or of a target to a call of the host itself.
Test(http_parser, answers_to_the_host_are_read_alike_in_pieces)
{
    cr_assert(rc::check([] {
        const auto interim = *rc::gen::weightedElement<std::string>(
            { { 4, "" }, { 1, "HTTP/1.1 100 Continue\r\n\r\n" } });
        const auto text = interim + responseHead + body();
        const auto end = *rc::gen::weightedOneOf<std::size_t>({ { 3, rc::gen::just(text.size()) },
            { 1, rc::gen::inRange<std::size_t>(0, text.size()) } });
        const auto cut = text.substr(0, end);
        RC_ASSERT(readAnswer(cut, cut.size() + 1) == readAnswer(cut, 4));
    }));
}
