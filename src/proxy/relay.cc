#include "relay.h"

#include "pimentomast/transport.h"

#include <algorithm>
#include <array>
#include <poll.h>

namespace pimentomast::proxy::detail {
namespace {

constexpr std::size_t bufferBytes = 65536;
constexpr long pollLimitMs = 1000;
/// Interval at which a response that is held back looks whether its turn has come.
constexpr long turnIntervalMs = 20;
/// Events that show that the caller no longer waits.
constexpr short callerLeaves = POLLRDHUP | POLLHUP | POLLERR;

} // namespace

relay::relay(exchange& request, target_connection& target, const destination& to,
    const relay_context& context)
    : m_request(request)
    , m_target(target)
    , m_to(to)
    , m_context(context)
    , m_started(monotonic_clock::now())
    , m_lastProgress(m_started)
{
}

relay_result relay::run()
{
    if (const auto result = checkBeforeSending())
        return finish(*result);
    startUpload();
    while (true) {
        if (const auto result = step())
            return finish(*result);
    }
}

// A request may have waited for a worker and for a connection since it was dispatched.
std::optional<attempt_result> relay::checkBeforeSending()
{
    pollfd caller { descriptor(m_request.caller->socket), callerLeaves, 0 };
    if (::poll(&caller, 1, 0) > 0)
        return attempt_cancelled {};
    if (m_started >= m_request.facts.deadline)
        return requestFault(reason::Deadline);
    return std::nullopt;
}

std::optional<attempt_result> relay::step()
{
    if (const auto result = pumpUpload())
        return result;
    if (const auto result = pumpDownload())
        return result;
    return wait();
}

void relay::startUpload()
{
    const std::string id = m_context.requestIdPrefix + std::to_string(m_request.facts.id.value());
    if (m_request.pendingContinuation) {
        m_framing = m_request.pendingContinuation->body;
        m_closesCaller = m_request.pendingContinuation->closesCaller;
        m_delivered = m_request.pendingContinuation->delivered;
        m_total = m_request.pendingContinuation->total;
        m_etag = m_request.pendingContinuation->strongEtag;
        m_download = std::move(m_request.pendingContinuation->unsent);
    }
    m_upload = requestHead(m_request, m_to, m_context.settings.contract, id, m_started);
    m_replayEnd = m_request.replayBuffer.size();
    if (!m_request.head.hasBody)
        m_request.bodyDone = true;
    replayMore();
}

// The body stays in the replay buffer, so that a large one is not in memory twice.
void relay::replayMore()
{
    const std::size_t bytes = std::min(m_replayEnd - m_replayed, bufferBytes);
    m_upload.erase(0, m_uploadOffset);
    m_uploadOffset = 0;
    appendToUpload(std::string_view(m_request.replayBuffer).substr(m_replayed, bytes));
    m_replayed += bytes;
    if (isReplayed())
        keepForReplay({});
    const bool isLast = isReplayed() && m_request.bodyDone;
    if (isLast && m_request.head.hasBody && m_request.head.parser->chunked())
        appendLastChunk(m_upload);
}

void relay::appendToUpload(std::string_view piece)
{
    if (m_request.head.parser->chunked())
        appendChunk(m_upload, piece);
    else
        m_upload += piece;
}

void relay::keepForReplay(std::string_view piece)
{
    if (!m_request.replayable)
        return;
    const std::size_t bytes = m_request.replayBuffer.size() + piece.size();
    const std::size_t limit = std::max(m_request.replayLimit, m_context.settings.maxReplayBytes);
    m_request.replayable = bytes <= limit && m_request.bodyBytes.growTo(bytes);
    if (m_request.replayable) {
        m_request.replayBuffer += piece;
        return;
    }
    std::string().swap(m_request.replayBuffer);
    m_request.bodyBytes.shrinkTo(0);
}

bool relay::uploadComplete() const
{
    return m_request.bodyDone && isReplayed() && m_uploadOffset == m_upload.size();
}

std::optional<attempt_result> relay::pumpUpload()
{
    if (m_uploadFailed)
        return std::nullopt;
    const bool hasUploadRoom = m_upload.size() - m_uploadOffset < bufferBytes;
    if (hasUploadRoom && !isReplayed()) {
        replayMore();
    } else if (hasUploadRoom && !m_request.bodyDone) {
        if (const auto result = readFromCaller())
            return result;
    }
    return m_uploadOffset < m_upload.size() ? sendUpload() : std::nullopt;
}

std::optional<attempt_result> relay::readFromCaller()
{
    caller_connection& caller = *m_request.caller;
    if (caller.input.empty() || m_needsInput) {
        const auto got = receiveInto(caller.socket, caller.input, bufferBytes);
        if (hasEnded(got.state))
            return attempt_cancelled {};
        if (got.bytes > 0)
            m_lastProgress = monotonic_clock::now();
        m_bodyBytesReceived += got.bytes;
    }
    std::string piece;
    const auto state = decodeBody(*m_request.head.parser, caller.input, piece, bufferBytes);
    if (state == body_state::Bad || caller.input.size() >= bufferBytes)
        return requestFault(reason::MalformedBody);
    m_needsInput = state == body_state::NeedsInput;
    m_upload.erase(0, m_uploadOffset);
    m_uploadOffset = 0;
    appendToUpload(piece);
    keepForReplay(piece);
    if (m_request.openFingerprint)
        m_request.openFingerprint->addBody(piece);
    m_request.bodyDone = state == body_state::Done;
    return m_request.bodyDone ? endOfBody() : std::nullopt;
}

// The last bytes are still unsent, so a target that runs whole requests has not begun this one.
std::optional<attempt_result> relay::endOfBody()
{
    if (m_request.head.parser->chunked())
        appendLastChunk(m_upload);
    m_context.bodyRead();
    if (!m_request.openFingerprint)
        return std::nullopt;
    const std::uint64_t fingerprint = m_request.openFingerprint->value();
    m_request.openFingerprint.reset();
    if (m_context.identified(fingerprint))
        return std::nullopt;
    return attempt_unknown { reason::AttemptAbandoned };
}

std::optional<attempt_result> relay::sendUpload()
{
    const auto sent = m_target.send(std::string_view(m_upload).substr(m_uploadOffset));
    if (hasEnded(sent.state)) {
        m_uploadFailed = true;
        if (m_requestBytesSent == 0)
            return attempt_not_run { reason::TargetClosed };
        return std::nullopt;
    }
    if (sent.bytes > 0)
        m_lastProgress = monotonic_clock::now();
    m_requestBytesSent += sent.bytes;
    m_uploadOffset += sent.bytes;
    if (m_uploadOffset == m_upload.size()) {
        m_upload.clear();
        m_uploadOffset = 0;
    }
    return std::nullopt;
}

std::optional<attempt_result> relay::requestFault(reason why)
{
    if (m_request.responseStarted)
        return attempt_broken { why };
    m_fault = why;
    return attempt_cancelled {};
}

std::optional<attempt_result> relay::wait()
{
    const bool wantsCaller = !m_request.bodyDone && !m_uploadFailed && isReplayed()
        && m_upload.size() - m_uploadOffset < bufferBytes;
    const bool wantsTarget = m_responseState != response_state::Done && hasRoom() && !m_targetEnded;
    std::array<pollfd, 2> watched { {
        { descriptor(m_request.caller->socket), POLLRDHUP, 0 },
        { descriptor(m_target.socket), 0, 0 },
    } };
    if (wantsCaller)
        watched[0].events |= POLLIN;
    const bool isHeldBack = awaitsTurn();
    if (!m_download.empty() && !isHeldBack)
        watched[0].events |= POLLOUT;
    if (wantsTarget)
        watched[1].events |= POLLIN;
    if (!m_uploadFailed && (m_uploadOffset < m_upload.size() || !isReplayed()))
        watched[1].events |= POLLOUT;
    if (watched[1].events == 0)
        watched[1].fd = -1;
    const instant before = monotonic_clock::now();
    const auto left = nextTimeout() - before;
    const auto leftMs = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    const long limitMs = isHeldBack ? turnIntervalMs : pollLimitMs;
    ::poll(watched.data(), watched.size(), static_cast<int>(std::clamp<long>(leftMs, 0, limitMs)));
    m_targetReady = (watched[1].revents & ~POLLOUT) != 0;
    if ((watched[0].revents & callerLeaves) != 0)
        return attempt_cancelled {};
    if (m_context.aborting)
        return attempt_cancelled {};
    const instant now = monotonic_clock::now();
    addCallerWait(before, now, wantsCaller && m_upload.empty());
    if (waitsForReader())
        m_readerWait += now - before;
    return checkTimeouts(now);
}

void relay::addCallerWait(instant before, instant now, bool waitsForCaller)
{
    if (waitsForCaller)
        m_callerWait += now - before;
}

bool relay::waitsForReader() const
{
    return m_responseState == response_state::Body && !awaitsTurn() && !hasRoom();
}

bool relay::responseBegun() const
{
    return m_responseState == response_state::Body || m_responseState == response_state::Done;
}

bool relay::transferActive() const { return responseBegun() || !uploadComplete(); }

// Other requests of the connection may wait for this worker, also those whose turn it is.
bool relay::isStuck() const { return awaitsTurn() && !hasRoom(); }

instant relay::answerDeadline() const
{
    return std::min(m_request.facts.deadline, m_to.deadline) + m_callerWait;
}

instant relay::bodyDeadline() const
{
    if (!m_request.facts.deadlineCoversBody)
        return instant::max();
    const duration readerWait = m_total ? m_readerWait : duration::zero();
    return m_request.facts.deadline + m_callerWait + readerWait;
}

instant relay::nextTimeout() const
{
    instant next = m_context.end();
    if (transferActive())
        next = std::min(next, m_lastProgress + m_context.settings.bodyTimeout);
    if (!responseBegun() || isStuck())
        next = std::min(next, answerDeadline());
    if (m_responseState == response_state::Body)
        next = std::min(next, bodyDeadline());
    return next;
}

std::optional<attempt_result> relay::checkTimeouts(instant now)
{
    if (now >= m_context.end())
        return requestFault(m_requestBytesSent == 0 && !m_request.mayHaveRun ? reason::HostStopping
                                                                             : reason::HostStopped);
    if (transferActive() && now >= m_lastProgress + m_context.settings.bodyTimeout) {
        const bool callerStalled
            = (!m_request.bodyDone && isReplayed() && m_upload.empty()) || !m_download.empty();
        return callerStalled ? requestFault(reason::BodyTimeout) : failed(reason::TargetTimeout);
    }
    if (isTargetSilent(now))
        return failed(reason::TargetSilent);
    const std::chrono::duration<double> waited = m_callerWait;
    const bool tooSlow = m_callerWait > m_context.settings.bodyTimeout
        && double(m_bodyBytesReceived)
            < waited.count() * double(m_context.settings.minBodyBytesPerSecond);
    if (!m_request.bodyDone && tooSlow)
        return requestFault(reason::BodyTimeout);
    if (m_responseState == response_state::Body && now >= bodyDeadline()) {
        if (m_request.responseStarted)
            return attempt_broken { reason::Deadline };
        return failed(reason::Deadline);
    }
    const bool isDue = !responseBegun() || isStuck();
    return isDue && now >= answerDeadline() ? std::optional(failed(reason::Deadline))
                                            : std::nullopt;
}

bool relay::isTargetSilent(instant now) const
{
    const bool awaitsTarget = m_requestBytesSent > 0 && m_responseState != response_state::Done;
    return awaitsTarget && now - m_lastProgress >= transport::silenceLimit
        && transport::isSilent(m_target.socket);
}

attempt_result relay::failed(reason why)
{
    m_targetFailed = why == reason::TargetClosed || why == reason::TargetTimeout
        || why == reason::TargetSilent;
    if (m_request.responseStarted)
        return attempt_broken { reason::AnswerBroken };
    return attempt_unknown { why };
}

bool relay::reusableTarget() const
{
    const bool isUntouched
        = m_requestBytesSent == 0 && !m_uploadFailed && !m_targetEnded && m_targetInput.empty();
    if (isUntouched)
        return true;
    const bool bodyUnread = m_notRun && m_request.head.hasBody;
    return m_responseState == response_state::Done && !bodyUnread && uploadComplete()
        && !m_uploadFailed && !m_targetEnded && m_targetInput.empty() && m_response->keep_alive();
}

void relay::releaseTarget()
{
    if (reusableTarget())
        m_target.returnToPool();
}

bool relay::saveContinuation()
{
    const unsigned count = m_request.pendingContinuation ? m_request.pendingContinuation->count : 0;
    if (!m_targetFailed || m_etag.empty() || count >= m_context.settings.maxContinuations)
        return false;
    m_request.pendingContinuation = continuation { m_etag, m_delivered, m_total, m_framing,
        m_closesCaller, std::move(m_download), count + 1 };
    return true;
}

relay_result relay::finish(const attempt_result& result)
{
    relay_result ended { result, false, m_fault, m_firstByte, m_load };
    ended.continues = std::holds_alternative<attempt_broken>(result) && saveContinuation();
    if (m_request.pendingContinuation && std::holds_alternative<attempt_not_run>(result))
        m_request.pendingContinuation->unsent = std::move(m_download);
    const bool answered = std::holds_alternative<attempt_answered>(result);
    ended.callerReusable = answered && m_request.bodyDone && !m_closesCaller;
    ended.bytes = m_requestBytesSent + m_delivered;
    ended.isHeld = m_isHeld;
    ended.isDelivered = m_isDelivered;
    return ended;
}

} // namespace pimentomast::proxy::detail
