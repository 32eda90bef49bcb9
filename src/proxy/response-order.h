#pragma once

#include "body-budget.h"
#include "io.h"
#include "pimentomast/dispatch.h"

#include <mutex>
#include <string>
#include <vector>

/// Order of the responses to requests that run at the same time on one caller connection.
namespace pimentomast::proxy::detail {

/// Position of a request among those of its connection.
using turn = strong<struct turn_tag, std::uint64_t>;

/// What becomes of a caller's connection after a response.
enum class connection_fate {
    KeptOpen,
    /// The response announced that the connection closes after it.
    Closes,
    /// The caller left, or the response ended early: nothing more can be sent.
    Broken,
};

/// Keeps the responses of a connection in the order of their requests. Only the request at the
/// front may send; the others hold back whole responses, which are sent when their turn comes.
/// Thread-safe.
class response_order {
public:
    /// State after a response has ended.
    struct progress {
        connection_fate fate = connection_fate::KeptOpen;
        /// No request is left.
        bool isEmpty = false;
        /// The caller's socket took only a part of the held response with this turn; its rest is
        /// sent with sendHeld().
        std::optional<turn> unsent;
        /// Reading has stopped until there is room for the next request.
        bool readerWaits = false;
    };

    /// Returns whether a request may run beside those that have not ended. If not, the next
    /// progress says that the reader waits.
    [[nodiscard]] bool admits(bool runsConcurrently);
    /// Adds a request behind the others. Precondition: admits() returned true.
    [[nodiscard]] turn add(request_id id, bool runsConcurrently);
    /// Sets a new number for the request, which continues under it.
    void rename(turn of, request_id id);

    /// Returns whether bytes of this response may be sent. A response that is not whole waits while
    /// others stand behind it, since they would be lost if it broke off; once one has begun to be
    /// sent, no request is admitted until it has ended.
    [[nodiscard]] bool maySend(turn of, bool isWhole);
    /// Closes the connection after this response if no other stands behind it. Returns whether it
    /// does; no request is admitted then.
    [[nodiscard]] bool closeAfter(turn of);
    /// Takes over a whole response whose turn has not come. Returns false if it has come: then the
    /// caller of this function sends it.
    /// The memory is only moved from if it is taken over.
    [[nodiscard]] bool hold(turn of, std::string_view response, body_reservation&& memory = {});
    /// Takes over the rest of a whole response whose turn has come and of which the caller's socket
    /// takes no more; sendHeld() sends it. Until it is sent, the connection ends with a reset, so
    /// that the caller does not take a part for the whole. The fate is as for end().
    void deliver(turn of, std::string_view rest, body_reservation memory, connection_fate fate,
        Poco::Net::StreamSocket caller);
    /// Returns the number of bytes of a held response that are left to be sent.
    [[nodiscard]] std::size_t unsentBytes(turn of) const;

    /// Removes the request, whose response was sent or will not be, and sends held responses whose
    /// turn has come. Shuts the connection down if it closes and nothing is left, or if it is
    /// broken and other requests have to notice.
    [[nodiscard]] progress end(
        turn of, connection_fate fate, const Poco::Net::StreamSocket& caller);
    /// Continues to send the held response at the front, and those behind it. Returns nothing while
    /// the socket takes no more of this one.
    [[nodiscard]] std::optional<progress> sendHeld(turn of, const Poco::Net::StreamSocket& caller);
    /// The caller left: nothing more is sent.
    void abandon();

    /// Returns the requests that have not ended.
    [[nodiscard]] std::vector<request_id> requests() const;
    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] connection_fate fate() const;
    /// Time at which the last response ended.
    [[nodiscard]] instant lastEnded() const;

private:
    struct entry {
        turn number;
        request_id request;
        bool runsConcurrently = false;
        bool isHeld = false;
        /// A part was sent already; the connection ends with a reset until all is sent.
        bool isDelivered = false;
        std::string held {};
        body_reservation memory {};
    };

    [[nodiscard]] entry& find(turn of);
    void sendDue(Poco::Net::StreamSocket& caller, progress& now);
    void setFate(connection_fate fate);
    [[nodiscard]] progress proceed(Poco::Net::StreamSocket caller);

    mutable std::mutex m_mutex;
    std::vector<entry> m_entries;
    std::uint64_t m_lastTurn = 0;
    connection_fate m_fate = connection_fate::KeptOpen;
    /// The response at the front is being sent before it is whole.
    bool m_isStreaming = false;
    bool m_readerWaits = false;
    instant m_lastEnded {};
};

} // namespace pimentomast::proxy::detail
