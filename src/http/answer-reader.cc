#include "answer-reader.h"

#include <Poco/Net/NetException.h>
#include <Poco/String.h>
#include <boost/asio/buffer.hpp>

namespace pimentomast::http::detail {

namespace {

namespace beast = boost::beast::http;

constexpr std::uint32_t maxHeadBytes = 65536;
/// Chunk sizes and trailers that are incomplete are kept undecoded.
constexpr std::size_t maxUndecodedBytes = 65536;
constexpr unsigned firstStatus = 100;
constexpr unsigned lastStatus = 599;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;

[[noreturn]] void fail(const std::string& what) { throw Poco::Net::MessageException(what); }

std::string text(boost::beast::string_view view) { return { view.data(), view.size() }; }

} // namespace

answer_reader::answer_reader(const std::string& method, std::size_t maxBodyBytes)
    : m_hasNoBody(method == "HEAD")
    , m_maxBodyBytes(maxBodyBytes)
{
    startMessage();
}

void answer_reader::startMessage()
{
    m_parser = std::make_unique<parser>();
    m_parser->header_limit(maxHeadBytes);
    m_parser->body_limit(m_maxBodyBytes);
    m_parser->skip(m_hasNoBody);
}

void answer_reader::put(std::string_view bytes)
{
    m_input += bytes;
    decode();
    while (isInterim() && !m_input.empty()) {
        startMessage();
        decode();
    }
    if (isInterim())
        startMessage();
    if (!m_parser->is_done() && m_input.size() > maxUndecodedBytes)
        fail("answer has a head or chunk head that is too large");
}

void answer_reader::decode()
{
    while (!m_parser->is_done() && !m_input.empty()) {
        const bool hadHead = m_parser->is_header_done();
        boost::beast::error_code fault;
        const auto used = m_parser->put(boost::asio::buffer(m_input.data(), m_input.size()), fault);
        m_input.erase(0, used);
        if (fault && fault != beast::error::need_more)
            fail(fault == beast::error::body_limit ? "answer is too large" : fault.message());
        if (!hadHead && m_parser->is_header_done())
            checkHead();
        if (used == 0)
            return;
    }
}

void answer_reader::checkHead() const
{
    const auto& head = m_parser->get();
    const unsigned status = head.result_int();
    if (status < firstStatus || status > lastStatus || status == switchingProtocols)
        fail("answer has an unexpected status");
    const auto lengths = head.count(beast::field::content_length);
    const auto encodings = head.count(beast::field::transfer_encoding);
    const bool otherEncoding = encodings == 1
        && Poco::icompare(text(head[beast::field::transfer_encoding]), "chunked") != 0;
    if (lengths + encodings > 1 || otherEncoding)
        fail("answer has an ambiguous length");
}

bool answer_reader::isInterim() const
{
    return m_parser->is_done() && m_parser->get().result_int() < firstFinalStatus;
}

void answer_reader::end()
{
    boost::beast::error_code fault;
    if (m_parser->is_header_done())
        m_parser->put_eof(fault);
    if (fault || !m_parser->is_done())
        fail("answer broken off");
}

answer answer_reader::take()
{
    auto whole = m_parser->release();
    answer taken;
    taken.status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(whole.result_int());
    for (const auto& each : whole)
        taken.fields.push_back({ text(each.name_string()), text(each.value()) });
    taken.body = std::move(whole.body());
    return taken;
}

} // namespace pimentomast::http::detail
