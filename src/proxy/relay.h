#pragma once

#include "message.h"
#include "target-pool.h"

#include <algorithm>
#include <atomic>

#include <functional>

/// Runs one attempt of a request over one target connection.
namespace pimentomast::proxy::detail {

struct relay_context {
    const options& settings;
    std::string requestIdPrefix;
    /// Called once, after the first response head has been parsed.
    std::function<void()> responded;
    /// Returns whether the response should close the caller's connection.
    std::function<bool()> shouldClose;
    /// Called once the request's body has been read from the caller.
    std::function<void()> bodyRead;
    /// Called after that with the fingerprint of a request that was submitted before. Returns
    /// whether the rest of the request may be sent.
    std::function<bool(std::uint64_t fingerprint)> identified;
    /// Returns the time at which the attempt must have ended.
    std::function<instant()> end;
    /// Set when the server is destroyed.
    const std::atomic<bool>& aborting;
};

/// Result of an attempt.
struct relay_result {
    attempt_result result;
    /// The caller's connection can be used for another request.
    bool callerReusable = false;
    /// Set if the request itself was invalid or too slow; the proxy responds with this reason.
    std::optional<reason> fault;
    duration firstByte { 0 };
    /// Load that the target reported with its response.
    load_field load {};
    /// Bytes of the request and of the response's body.
    std::uint64_t bytes = 0;
    /// The response was interrupted, and the request holds the state needed to continue it.
    bool continues = false;
    /// The whole response waits for its turn on the caller's connection.
    bool isHeld = false;
    /// The rest of the whole response was handed over for delivery: the caller reads slowly.
    bool isDelivered = false;
};

/// Streams the request and response bodies until the response is complete or the attempt has
/// failed. Runs on one worker thread and owns both connections while it runs.
class relay {
public:
    relay(exchange& request, target_connection& target, const destination& to,
        const relay_context& context);

    [[nodiscard]] relay_result run();
    /// Returns the target connection to the pool if no data of this exchange is left on it.
    void releaseTarget();

private:
    enum class response_state {
        Awaited,
        /// The body of a response to an earlier request is being skipped.
        Stale,
        Body,
        Done,
    };

    /// Returns a result if the caller left or the deadline passed before anything was sent.
    [[nodiscard]] std::optional<attempt_result> checkBeforeSending();
    [[nodiscard]] std::optional<attempt_result> step();
    void startUpload();
    /// Appends the next piece of the body that was received before this attempt.
    void replayMore();
    [[nodiscard]] bool isReplayed() const { return m_replayed == m_replayEnd; }
    /// Keeps a piece of the body for a later attempt, if it may still be kept.
    void keepForReplay(std::string_view piece);
    [[nodiscard]] std::optional<attempt_result> readFromCaller();
    /// Returns a result if the request, whose body is now known, must not be sent completely.
    [[nodiscard]] std::optional<attempt_result> endOfBody();
    [[nodiscard]] std::optional<attempt_result> sendUpload();
    [[nodiscard]] std::optional<attempt_result> requestFault(reason why);
    void appendToUpload(std::string_view piece);
    [[nodiscard]] std::optional<attempt_result> pumpUpload();
    [[nodiscard]] std::optional<attempt_result> pumpDownload();
    [[nodiscard]] std::optional<attempt_result> readTarget();
    [[nodiscard]] std::optional<attempt_result> readResponseHead();
    void recordFirstByte();
    [[nodiscard]] std::optional<attempt_result> beginResponse();
    [[nodiscard]] std::optional<attempt_result> checkResponseFraming();
    [[nodiscard]] std::optional<attempt_result> skipStaleResponse();
    void completeUnframedResponse();
    void sendInterim();
    [[nodiscard]] attempt_result completeNotRun(reason why);
    [[nodiscard]] attempt_result completeUnprovedRefusal();
    /// Discards the response's body. Its connection can be used again if the whole body has
    /// arrived.
    void discardBody();
    [[nodiscard]] std::optional<attempt_result> decodeResponseBody();
    void appendToDownload(std::string_view piece);
    /// Returns whether all bytes of the complete representation are delivered, as far as its length
    /// is known.
    [[nodiscard]] bool hasWholeLength() const;
    [[nodiscard]] std::optional<attempt_result> flushToCaller();
    /// Hands the rest of the whole response over, if there is memory for it.
    void deliverRest();
    /// Returns whether received bytes of the response may be sent to the caller now.
    [[nodiscard]] bool maySend() const;
    [[nodiscard]] bool awaitsTurn() const { return !m_download.empty() && !maySend(); }
    /// Returns whether the response can neither be sent nor read on.
    [[nodiscard]] bool isStuck() const;
    /// Returns whether more of the response may be read from the target.
    [[nodiscard]] bool hasRoom() const;
    [[nodiscard]] io_state sendToCaller();
    /// Notes that the caller has got a part of the final response.
    void markStarted();
    [[nodiscard]] std::optional<attempt_result> wait();
    [[nodiscard]] std::optional<attempt_result> checkTimeouts(instant now);
    [[nodiscard]] attempt_result failed(reason why);
    /// Returns whether the target's machine no longer acknowledges what was sent.
    [[nodiscard]] bool isTargetSilent(instant now) const;
    [[nodiscard]] std::optional<attempt_result> beginContinuation();
    [[nodiscard]] bool saveContinuation();
    void addCallerWait(instant before, instant now, bool waitsForCaller);
    /// Returns whether the next step depends on the caller's reading alone.
    [[nodiscard]] bool waitsForReader() const;
    [[nodiscard]] bool uploadComplete() const;
    [[nodiscard]] bool reusableTarget() const;
    /// Returns whether the head of the final response to this request has been received.
    [[nodiscard]] bool responseBegun() const;
    /// Returns whether a body is being transferred, so that pauses are limited, not the deadline.
    [[nodiscard]] bool transferActive() const;
    /// Time by which the response head must arrive: later by the time spent waiting for the
    /// caller's body.
    [[nodiscard]] instant answerDeadline() const;
    /// Time by which the response must have been received completely: later by the time spent
    /// waiting for the caller, of which the reading counts only if the response states its length.
    /// Without a length it might have no end.
    [[nodiscard]] instant bodyDeadline() const;
    [[nodiscard]] instant nextTimeout() const;
    [[nodiscard]] relay_result finish(const attempt_result& result);

    exchange& m_request;
    target_connection& m_target;
    const destination& m_to;
    const relay_context& m_context;

    std::string m_upload;
    std::size_t m_uploadOffset = 0;
    /// Part of the replay buffer, as it was at the start of the attempt, that was appended to
    /// m_upload.
    std::size_t m_replayed = 0;
    std::size_t m_replayEnd = 0;
    std::size_t m_requestBytesSent = 0;
    bool m_uploadFailed = false;
    /// The caller's input holds an incomplete chunk header or trailer.
    bool m_needsInput = false;
    std::optional<reason> m_fault;

    std::string m_targetInput;
    bool m_targetEnded = false;
    /// The last poll reported the target connection as readable.
    bool m_targetReady = false;
    std::unique_ptr<response_parser> m_response;
    response_state m_responseState = response_state::Awaited;
    /// The target refused without running the request, so it may not have read the request body.
    bool m_notRun = false;
    framing m_framing = framing::None;
    bool m_closesCaller = false;
    /// m_download holds a 100 for the caller.
    bool m_continueUnsent = false;
    /// Body bytes appended to m_download, including those of earlier attempts that this one
    /// continues.
    std::uint64_t m_delivered = 0;
    std::optional<std::uint64_t> m_total;
    std::string m_etag;
    load_field m_load;
    bool m_targetFailed = false;
    std::string m_download;
    bool m_isHeld = false;
    bool m_isDelivered = false;

    std::uint64_t m_bodyBytesReceived = 0;
    /// Time spent waiting for the caller's body.
    duration m_callerWait { 0 };
    /// Time spent waiting for the caller to read the response.
    duration m_readerWait { 0 };
    instant m_started;
    instant m_lastProgress;
    duration m_firstByte { 0 };
};

} // namespace pimentomast::proxy::detail
