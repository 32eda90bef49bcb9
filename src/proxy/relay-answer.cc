#include "relay.h"

#include <boost/asio/buffer.hpp>

namespace pimentomast::proxy::detail {
namespace {

constexpr std::size_t bufferBytes = 65536;
constexpr std::size_t answerHeadBytes = 65536;

} // namespace

std::optional<attempt_result> relay::pumpDownload()
{
    const bool hasRoom = m_download.size() < bufferBytes;
    if (m_answerState != answer_state::Done && hasRoom && (m_targetReady || m_uploadBroken)) {
        if (const auto result = readTarget())
            return result;
    }
    return flushToCaller();
}

std::optional<attempt_result> relay::readTarget()
{
    const auto got = receiveInto(m_target.socket, m_targetInput, bufferBytes);
    if (got.state == io_state::Ended || got.state == io_state::Failed)
        m_targetEnded = true;
    if (got.bytes > 0)
        m_progress = monotonic_clock::now();
    if (const auto result = skipStray())
        return result;
    if (m_answerState == answer_state::Awaited) {
        if (const auto result = readAnswerHead())
            return result;
    }
    if (m_answerState == answer_state::Body) {
        if (const auto result = decodeAnswer())
            return result;
    }
    if (got.state == io_state::Ended)
        endUnframed();
    if (m_targetEnded && m_answerState != answer_state::Done)
        return failed(reason::TargetClosed);
    return std::nullopt;
}

void relay::noteFirstByte()
{
    if (m_firstByte != duration::zero())
        return;
    m_firstByte = std::max(m_progress - m_started, duration(1));
    m_context.responded();
}

std::optional<attempt_result> relay::readAnswerHead()
{
    while (m_answerState == answer_state::Awaited) {
        const std::size_t end = m_targetInput.find("\r\n\r\n");
        if (end == std::string::npos)
            return m_targetInput.size() > answerHeadBytes
                ? std::optional(failed(reason::TargetAnswerMalformed))
                : std::nullopt;
        m_answer = std::make_unique<response_parser>();
        m_answer->header_limit(answerHeadBytes + 4);
        m_answer->body_limit(unlimitedBody);
        m_answer->skip(m_request.head.parser->get().method() == http::verb::head);
        boost::beast::error_code fault;
        m_answer->put(boost::asio::buffer(m_targetInput.data(), end + 4), fault);
        if (fault || !m_answer->is_header_done())
            return failed(reason::TargetAnswerMalformed);
        m_targetInput.erase(0, end + 4);
        if (isStray(*m_answer, m_request, m_context.settings.contract)) {
            m_answerState = answer_state::Stray;
            if (const auto result = skipStray())
                return result;
            continue;
        }
        noteFirstByte();
        if (const auto result = beginAnswer())
            return result;
    }
    return std::nullopt;
}

std::optional<attempt_result> relay::checkAnswerFraming()
{
    const auto& fields = m_answer->get();
    const auto lengths = fields.count(http::field::content_length);
    const auto encodings = fields.count(http::field::transfer_encoding);
    if (lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1))
        return failed(reason::TargetAnswerMalformed);
    if (m_answer->need_eof() && m_targetInput.size() > answerHeadBytes)
        return failed(reason::TargetAnswerMalformed);
    return std::nullopt;
}

// An answer to an earlier request, which came after that request had its answer.
std::optional<attempt_result> relay::skipStray()
{
    if (m_answerState != answer_state::Stray)
        return std::nullopt;
    if (m_answer->need_eof())
        return failed(reason::TargetAnswerUnframed);
    std::string ignored;
    const auto state = m_answer->is_done()
        ? body_state::Done
        : decodeBody(*m_answer, m_targetInput, ignored, bufferBytes);
    if (state == body_state::Bad)
        return failed(reason::TargetAnswerMalformed);
    if (state == body_state::Done)
        m_answerState = answer_state::Awaited;
    return std::nullopt;
}

// An answer without a length ends with its connection, if that ends in order.
void relay::endUnframed()
{
    if (m_answerState != answer_state::Body || m_refused || !m_answer->need_eof()
        || !m_targetInput.empty())
        return;
    m_answerState = answer_state::Done;
    if (m_framing == framing::Chunked)
        appendLastChunk(m_download);
}

std::optional<attempt_result> relay::beginAnswer()
{
    const unsigned status = m_answer->get().result_int();
    if (status == 101)
        return failed(reason::TargetAnswerMalformed);
    if (status < 200) {
        sendInterim();
        return std::nullopt;
    }
    if (const auto result = checkAnswerFraming())
        return result;
    if (const auto why = notRunReason(*m_answer, m_context.settings.contract))
        return endNotRun(*why);
    if (m_request.rest)
        return beginRest();
    m_tag = continuationTag(*m_answer, m_request);
    if (const auto length = m_answer->content_length())
        m_total = *length;
    m_framing = answerFraming(*m_answer, m_request.head);
    m_closesCaller = !m_request.head.keepAlive || m_framing == framing::Close || !m_request.bodyDone
        || m_context.closing();
    m_download += answerHead(*m_answer, m_request.head, m_framing, m_closesCaller);
    m_answerState = m_answer->is_done() ? answer_state::Done : answer_state::Body;
    if (m_answerState == answer_state::Done && m_framing == framing::Chunked)
        appendLastChunk(m_download);
    return std::nullopt;
}

std::optional<attempt_result> relay::beginRest()
{
    m_total = restTotal(*m_answer, *m_request.rest);
    if (!m_total)
        return attempt_broken { reason::AnswerBroken };
    m_answerState = answer_state::Body;
    return std::nullopt;
}

void relay::sendInterim()
{
    if (m_request.head.http10)
        return;
    const bool isContinue = m_answer->get().result_int() == 100;
    if (isContinue && (m_request.continueSent || !m_request.head.expectsContinue))
        return;
    m_request.continueSent = m_request.continueSent || isContinue;
    m_download += interimHead(*m_answer);
}

attempt_result relay::endNotRun(reason why)
{
    m_refused = true;
    m_answerState = answer_state::Body;
    std::string ignored;
    if (m_answer->is_done()
        || decodeBody(*m_answer, m_targetInput, ignored, bufferBytes) == body_state::Done)
        m_answerState = answer_state::Done;
    return attempt_not_run { why, retryAfter(*m_answer) };
}

std::optional<attempt_result> relay::decodeAnswer()
{
    std::string piece;
    const auto state = decodeBody(*m_answer, m_targetInput, piece, bufferBytes);
    if (state == body_state::Bad || m_targetInput.size() >= bufferBytes)
        return failed(reason::TargetAnswerMalformed);
    addToDownload(piece);
    if (state != body_state::Done)
        return std::nullopt;
    if (m_total && m_framing != framing::None && m_delivered != *m_total)
        return attempt_broken { reason::AnswerBroken };
    m_answerState = answer_state::Done;
    if (m_framing == framing::Chunked)
        appendLastChunk(m_download);
    return std::nullopt;
}

void relay::addToDownload(std::string_view piece)
{
    m_delivered += piece.size();
    if (m_framing == framing::Chunked)
        appendChunk(m_download, piece);
    else
        m_download += piece;
}

std::optional<attempt_result> relay::flushToCaller()
{
    if (!m_download.empty()) {
        const auto sent = sendSome(m_request.caller->socket, m_download);
        if (sent.state == io_state::Failed)
            return attempt_cancelled {};
        if (sent.bytes > 0) {
            m_progress = monotonic_clock::now();
            m_request.answerStarted
                = m_request.answerStarted || m_answerState != answer_state::Awaited;
        }
        m_download.erase(0, sent.bytes);
    }
    if (m_answerState == answer_state::Done && m_download.empty())
        return attempt_answered { static_cast<int>(m_answer->get().result_int()) };
    return std::nullopt;
}

} // namespace pimentomast::proxy::detail
