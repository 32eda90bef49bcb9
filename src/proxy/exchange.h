#pragma once

#include "head.h"
#include "io.h"
#include "pimentomast/proxy.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pimentomast::proxy::detail {

/// A caller's connection. Owned by one party at a time: a poller, a waiting exchange or a worker.
struct caller_connection {
    enum class phase {
        /// Nothing of a next request has arrived.
        Idle,
        /// A part of a head has arrived.
        Head,
        /// A request waits for its dispatch.
        Waiting,
        /// The last answer was sent; what still arrives is discarded until the caller closes.
        Lingering,
    };

    Poco::Net::StreamSocket socket;
    std::string peerIp;
    std::string input;
    std::size_t scanned = 0;
    std::size_t discardedBytes = 0;
    std::atomic<phase> state = phase::Idle;
    /// Start of the present phase.
    instant phaseStarted;
    request_id waitingRequest;
    /// Bytes of a next request were left over and have not been looked at.
    bool hasUnparsedInput = false;
    /// A complete head whose body's first bytes are still awaited.
    std::optional<checked_head> pendingHead;
};

/// How the body of an answer is framed towards the caller.
enum class framing {
    None,
    Length,
    Chunked,
    /// Ends with the connection: for HTTP/1.0 callers of an answer of unknown length.
    Close,
};

/// What is needed to go on with an answer that broke off after its head had been sent.
struct continuation {
    /// Strong validator of the whole.
    std::string strongEtag;
    std::uint64_t delivered = 0;
    /// Length of the whole; empty until a target has said it.
    std::optional<std::uint64_t> total;
    framing body = framing::Length;
    bool closesCaller = false;
    /// Bytes for the caller that the kernel has not taken yet.
    std::string unsent;
    unsigned count = 0;
};

/// One request on its way, with what is needed to send it again.
struct exchange {
    request_facts facts;
    std::shared_ptr<caller_connection> caller;
    checked_head head;
    unsigned attempts = 0;
    /// Body bytes taken from the caller so far, while they are few enough to be held.
    std::string replayBuffer;
    bool replayable = true;
    bool bodyDone = false;
    bool continueSent = false;
    /// Set if the next attempt asks for the rest of an answer.
    std::optional<continuation> pendingContinuation;
    /// Set once a byte of an answer (not 1xx) was handed to the caller.
    bool responseStarted = false;
    duration waited { 0 };
    instant submitted;
    std::vector<attempt_summary> history {};
};

} // namespace pimentomast::proxy::detail
