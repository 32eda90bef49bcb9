#pragma once

#include "arrival-times.h"
#include "body-budget.h"
#include "fingerprint.h"
#include "head.h"
#include "io.h"
#include "link-budget.h"
#include "pimentomast/proxy.h"
#include "response-order.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pimentomast::proxy::detail {

/// A body that is received before its request is submitted.
struct body_collection {
    std::string bytes;
    body_reservation reservation;
    link_reservation link;
    /// Maximum number of bytes to receive before submission.
    std::size_t limit = 0;
    bool isWhole = false;
    /// The request cannot be answered after this time.
    instant deadline;
    instant started;
    instant lastProgress;
    /// Time in which reading was paused for lack of memory.
    duration paused { 0 };
    std::optional<instant> pausedSince {};

    [[nodiscard]] bool isComplete() const { return isWhole || bytes.size() >= limit; }
};

/// A caller's connection. Its poller reads requests, also while earlier ones run. Only a request
/// whose body has not been read takes the input over, until the body is read. Responses are sent
/// by whoever has the turn in `responses`.
struct caller_connection {
    enum class phase {
        /// No byte of a next request has arrived.
        Idle,
        /// Part of a request head has arrived.
        Head,
        /// Part of a request body that is received before submission has arrived.
        Body,
        /// A request that owns the input is waiting for dispatch.
        Waiting,
        /// The last response was sent; further input is discarded until the caller closes.
        Lingering,
    };

    Poco::Net::StreamSocket socket;
    std::string peerIp;
    /// Index of its poller.
    std::size_t poller = 0;
    /// Declared before the reservations that count in it.
    connection_bytes bodyBytes;
    std::string input;
    arrival_times arrivals;
    std::size_t scanned = 0;
    std::size_t discardedBytes = 0;
    std::atomic<phase> state = phase::Idle;
    /// Start of the current phase.
    instant phaseStarted;
    response_order responses;
    /// A request whose body has not been read owns the input.
    std::atomic<bool> inputTaken = false;
    std::atomic<bool> isClosed = false;
    /// Shut down while idle: no answer is on its way, and nothing more is read.
    bool closedIdle = false;
    /// The input holds bytes of a next request that have not been parsed.
    bool hasUnparsedInput = false;
    /// A complete head that is waiting for the first bytes of its body, or for earlier requests of
    /// the connection to end.
    std::optional<checked_head> pendingHead;
    instant pendingArrived;
    /// The body of pendingHead, if it is received before submission.
    std::optional<body_collection> collection;
};

/// Framing of the response body towards the caller.
enum class framing {
    None,
    Length,
    Chunked,
    /// Delimited by closing the connection: a response of unknown length to an HTTP/1.0 caller.
    Close,
};

/// State needed to continue a response that was interrupted after its head had been sent.
struct continuation {
    /// ETag of the complete representation.
    std::string strongEtag;
    std::uint64_t delivered = 0;
    /// Length of the complete representation; empty until a target has sent it.
    std::optional<std::uint64_t> total;
    framing body = framing::Length;
    bool closesCaller = false;
    /// Bytes for the caller that have not been passed to the kernel yet.
    std::string unsent;
    unsigned count = 0;
};

/// A request in progress, with the state needed to retry it.
struct exchange {
    request_facts facts;
    std::shared_ptr<caller_connection> caller;
    turn position;
    /// The body has not been read from the caller's connection yet.
    bool ownsInput = false;
    checked_head head;
    unsigned attempts = 0;
    /// Body bytes received so far; empty once they exceed maxReplayBytes and what was received
    /// before submission.
    std::string replayBuffer;
    std::size_t replayLimit = 0;
    /// Memory of replayBuffer.
    body_reservation bodyBytes {};
    link_reservation link {};
    /// Memory of the part of the response that is held in the process.
    body_reservation responseBytes {};
    bool replayable = true;
    bool bodyDone = false;
    /// Set until the whole body has been read, if it was not when the request was submitted.
    std::optional<fingerprint_builder> openFingerprint {};
    bool continueSent = false;
    /// Set if the next attempt requests the remaining bytes of an interrupted response.
    std::optional<continuation> pendingContinuation;
    /// Set once a byte of a final (not 1xx) response was sent to the caller.
    bool responseStarted = false;
    /// An earlier attempt may have been executed.
    bool mayHaveRun = false;
    /// From the arrival of the head until the request was submitted.
    duration readDelay { 0 };
    duration waited { 0 };
    instant submitted;
    std::vector<attempt_summary> history {};
    /// Targets that refused an attempt. A connection that was used then may carry the refusal
    /// again, where it would be taken for the answer to a later attempt, which has the same id.
    std::vector<endpoint> refusedBy {};
};

} // namespace pimentomast::proxy::detail
