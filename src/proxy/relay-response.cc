#include "relay.h"

#include <boost/asio/buffer.hpp>

namespace pimentomast::proxy::detail {
namespace {

constexpr std::size_t bufferBytes = 65536;
/// Bytes of a response that are kept while it may not be sent yet.
constexpr std::size_t heldBytes = 1048576;
constexpr std::size_t maxResponseHeadBytes = 65536;

} // namespace

std::optional<attempt_result> relay::pumpDownload()
{
    if (m_responseState != response_state::Done && hasRoom() && (m_targetReady || m_uploadFailed)) {
        if (const auto result = readTarget())
            return result;
    }
    return flushToCaller();
}

std::optional<attempt_result> relay::readTarget()
{
    const auto got = m_target.receive(m_targetInput, bufferBytes);
    if (hasEnded(got.state))
        m_targetEnded = true;
    if (const auto result = skipStaleResponse())
        return result;
    if (m_responseState == response_state::Awaited) {
        if (const auto result = readResponseHead())
            return result;
    }
    if (got.bytes > 0 && responseBegun())
        m_lastProgress = monotonic_clock::now();
    if (m_responseState == response_state::Body) {
        if (const auto result = decodeResponseBody())
            return result;
    }
    if (got.state == io_state::EndOfStream)
        completeUnframedResponse();
    if (m_targetEnded && m_responseState != response_state::Done)
        return failed(got.state == io_state::Silent ? reason::TargetSilent : reason::TargetClosed);
    return std::nullopt;
}

void relay::recordFirstByte()
{
    if (m_firstByte != duration::zero())
        return;
    m_firstByte = std::max(monotonic_clock::now() - m_started, duration(1));
    m_context.responded();
}

std::optional<attempt_result> relay::readResponseHead()
{
    while (m_responseState == response_state::Awaited) {
        const std::size_t end = m_targetInput.find("\r\n\r\n");
        if (end == std::string::npos)
            return m_targetInput.size() > maxResponseHeadBytes
                ? std::optional(failed(reason::TargetAnswerMalformed))
                : std::nullopt;
        m_response = std::make_unique<response_parser>();
        m_response->header_limit(maxResponseHeadBytes + 4);
        m_response->body_limit(unlimitedBody);
        m_response->skip(m_request.head.parser->get().method() == http::verb::head);
        boost::beast::error_code fault;
        m_response->put(boost::asio::buffer(m_targetInput.data(), end + 4), fault);
        if (fault || !m_response->is_header_done())
            return failed(reason::TargetAnswerMalformed);
        m_targetInput.erase(0, end + 4);
        if (isStaleResponse(*m_response, m_request, m_context.settings.contract)) {
            m_responseState = response_state::Stale;
            if (const auto result = skipStaleResponse())
                return result;
            continue;
        }
        recordFirstByte();
        if (const auto result = beginResponse())
            return result;
    }
    return std::nullopt;
}

std::optional<attempt_result> relay::checkResponseFraming()
{
    const auto& fields = m_response->get();
    const auto lengths = fields.count(http::field::content_length);
    const auto encodings = fields.count(http::field::transfer_encoding);
    const auto encoding = fields[http::field::transfer_encoding];
    const bool otherEncoding
        = encodings == 1 && !equalNames({ encoding.data(), encoding.size() }, "chunked");
    if (lengths + encodings > 1 || otherEncoding)
        return failed(reason::TargetAnswerMalformed);
    if (m_response->need_eof() && m_targetInput.size() > maxResponseHeadBytes)
        return failed(reason::TargetAnswerMalformed);
    return std::nullopt;
}

// Skips a response to an earlier request on this connection, sent after that request had already
// got its response.
std::optional<attempt_result> relay::skipStaleResponse()
{
    if (m_responseState != response_state::Stale)
        return std::nullopt;
    if (m_response->need_eof())
        return failed(reason::TargetAnswerUnframed);
    std::string ignored;
    const auto state = m_response->is_done()
        ? body_state::Done
        : decodeBody(*m_response, m_targetInput, ignored, bufferBytes);
    if (state == body_state::Bad)
        return failed(reason::TargetAnswerMalformed);
    if (state == body_state::Done)
        m_responseState = response_state::Awaited;
    return std::nullopt;
}

// A response without a length is complete when the target ends the connection in order, which
// target_connection::receive() tells apart from other ends of the stream.
void relay::completeUnframedResponse()
{
    if (m_responseState != response_state::Body || m_notRun || !m_response->need_eof()
        || !m_targetInput.empty() || !hasWholeLength())
        return;
    m_responseState = response_state::Done;
    if (m_framing == framing::Chunked)
        appendLastChunk(m_download);
}

std::optional<attempt_result> relay::beginResponse()
{
    const unsigned status = m_response->get().result_int();
    if (!isValidStatus(status))
        return failed(reason::TargetAnswerMalformed);
    if (status < 200) {
        sendInterim();
        return std::nullopt;
    }
    m_load = loadField(*m_response, m_context.settings.contract);
    if (const auto result = checkResponseFraming())
        return result;
    if (isNamelessRefusal(*m_response, m_context.settings.contract))
        return failed(reason::TargetAnswerMalformed);
    if (const auto why = notRunReason(*m_response, m_context.settings.contract))
        return completeNotRun(*why);
    if (!m_request.facts.repeatable && isUnprovedRefusal(*m_response, m_context.settings.contract))
        return completeUnprovedRefusal();
    if (m_request.pendingContinuation)
        return beginContinuation();
    m_etag = continuationEtag(*m_response, m_request);
    if (const auto length = m_response->content_length())
        m_total = *length;
    m_framing = responseFraming(*m_response, m_request.head);
    m_closesCaller = !m_request.head.keepAlive || m_framing == framing::Close || !m_request.bodyDone
        || m_context.shouldClose();
    m_download += responseHead(*m_response, m_request.head, m_framing, m_closesCaller);
    m_responseState = m_response->is_done() ? response_state::Done : response_state::Body;
    if (m_responseState == response_state::Done && m_framing == framing::Chunked)
        appendLastChunk(m_download);
    return std::nullopt;
}

std::optional<attempt_result> relay::beginContinuation()
{
    m_total = continuedBodyLength(*m_response, *m_request.pendingContinuation);
    if (!m_total)
        return attempt_broken { reason::AnswerBroken };
    m_responseState = response_state::Body;
    return std::nullopt;
}

void relay::sendInterim()
{
    if (m_request.head.http10 || m_request.pendingContinuation)
        return;
    const bool isContinue = m_response->get().result_int() == 100;
    const bool isUnwanted
        = m_request.continueSent || m_continueUnsent || !m_request.head.expectsContinue;
    if (isContinue && isUnwanted)
        return;
    m_continueUnsent = m_continueUnsent || isContinue;
    m_download += interimHead(*m_response);
}

attempt_result relay::completeNotRun(reason why)
{
    m_notRun = true;
    discardBody();
    return attempt_not_run { why, retryAfter(*m_response) };
}

// Callers send a request again after such a status, so it may reach them only if it is true.
attempt_result relay::completeUnprovedRefusal()
{
    discardBody();
    return attempt_unknown { reason::RefusalUnproved };
}

void relay::discardBody()
{
    m_responseState = response_state::Body;
    std::string ignored;
    if (m_response->is_done()
        || decodeBody(*m_response, m_targetInput, ignored, bufferBytes) == body_state::Done)
        m_responseState = response_state::Done;
}

std::optional<attempt_result> relay::decodeResponseBody()
{
    std::string piece;
    const auto state = decodeBody(*m_response, m_targetInput, piece, bufferBytes);
    if (state == body_state::Bad || m_targetInput.size() >= bufferBytes)
        return failed(reason::TargetAnswerMalformed);
    if (m_total && m_delivered + piece.size() > *m_total)
        return attempt_broken { reason::AnswerBroken };
    appendToDownload(piece);
    if (state != body_state::Done)
        return std::nullopt;
    if (!hasWholeLength())
        return attempt_broken { reason::AnswerBroken };
    m_responseState = response_state::Done;
    if (m_framing == framing::Chunked)
        appendLastChunk(m_download);
    return std::nullopt;
}

bool relay::hasWholeLength() const
{
    return !m_total || m_framing == framing::None || m_delivered == *m_total;
}

void relay::appendToDownload(std::string_view piece)
{
    m_delivered += piece.size();
    if (m_framing == framing::Chunked)
        appendChunk(m_download, piece);
    else
        m_download += piece;
}

bool relay::maySend() const
{
    const bool isWhole = m_responseState == response_state::Done;
    const bool isFull = m_download.size() >= heldBytes;
    return m_request.caller->responses.maySend(m_request.position, isWhole || isFull);
}

bool relay::hasRoom() const
{
    return m_download.size() < bufferBytes
        || (awaitsTurn() && m_download.size() < heldBytes
            && m_request.responseBytes.growTo(m_download.size() + bufferBytes));
}

io_state relay::sendToCaller()
{
    const auto sent = sendSome(m_request.caller->socket, m_download);
    if (sent.bytes > 0) {
        if (responseBegun())
            m_lastProgress = monotonic_clock::now();
        if (m_responseState != response_state::Awaited)
            markStarted();
    }
    m_download.erase(0, sent.bytes);
    m_request.responseBytes.shrinkTo(m_download.size());
    return sent.state;
}

// The end of the connection ends a body without a length or chunks, so it must look broken until
// all of the body is sent, however the request, the host or its process ends.
void relay::markStarted()
{
    if (!m_request.responseStarted && m_framing == framing::Close)
        resetOnClose(m_request.caller->socket);
    m_request.responseStarted = true;
}

void relay::deliverRest()
{
    if (!m_request.responseBytes.growTo(m_download.size()))
        return;
    const bool isKeptOpen = m_request.bodyDone && !m_closesCaller;
    m_request.caller->responses.deliver(m_request.position, m_download,
        std::move(m_request.responseBytes),
        isKeptOpen ? connection_fate::KeptOpen : connection_fate::Closes, m_request.caller->socket);
    m_request.responseStarted = true;
    m_isDelivered = true;
    m_download.clear();
}

std::optional<attempt_result> relay::flushToCaller()
{
    const bool isWhole = m_responseState == response_state::Done;
    response_order& order = m_request.caller->responses;
    if (isWhole && !m_download.empty()
        && order.hold(m_request.position, m_download, std::move(m_request.responseBytes))) {
        m_isHeld = true;
        m_download.clear();
    }
    if (!m_download.empty() && maySend() && hasEnded(sendToCaller()))
        return attempt_cancelled {};
    if (isWhole && !m_download.empty() && maySend())
        deliverRest();
    if (m_download.empty() && m_continueUnsent) {
        m_request.continueSent = true;
        m_continueUnsent = false;
    }
    if (!isWhole || !m_download.empty())
        return std::nullopt;
    if (m_framing == framing::Close && !m_isDelivered)
        finishOnClose(m_request.caller->socket);
    return attempt_answered { static_cast<int>(m_response->get().result_int()) };
}

} // namespace pimentomast::proxy::detail
