#pragma once

#include "peers.pb.h"
#include "pimentomast/core.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

/// gRPC between entry hosts: one server and one client for each other host.
namespace pimentomast::peers {

enum class call_kind {
    Exchange,
    Publish,
    Witness,
    Hold,
    RenewRoute,
    ReportLoad,
    RelayRow,
};
inline constexpr std::size_t callKindCount = 7;

/// Returns the name as used in metrics and errors, such as "renew route". Thread-safe.
[[nodiscard]] std::string_view name(call_kind kind) noexcept;

/// Bytes of messages, without framing, since the start of the process. Thread-safe.
struct message_bytes {
    std::atomic<std::uint64_t> received { 0 };
    std::atomic<std::uint64_t> sent { 0 };
};

/// Returns the bytes of the requests and replies of a kind of call. Thread-safe.
[[nodiscard]] message_bytes& bytesOf(call_kind kind) noexcept;

/// Receives the reply or an error. Called once, from a gRPC thread; must not block.
template <class Reply>
using reply_handler = std::function<void(result<Reply>)>;

/// Sends the reply to a peer. Must be called once, on any thread.
template <class Reply>
using reply_sender = std::function<void(Reply)>;

/// Answers calls of peers.
/// Called concurrently from gRPC threads: implementations are thread-safe and do not block.
class handler {
public:
    virtual ~handler() = default;

    virtual wire::Update exchange(const wire::Digest& digest) = 0;
    virtual wire::NoticeReply publish(const wire::Notice& notice) = 0;
    virtual wire::WitnessReply witness(const wire::WitnessRequest& request) = 0;
    /// The reply may be sent after this returns.
    virtual void hold(const wire::HoldRequest& request, reply_sender<wire::HoldReply> reply) = 0;
    virtual wire::RouteRenewalReply renewRoute(const wire::RouteRenewal& renewal) = 0;
    virtual wire::LoadReply reportLoad(const wire::LoadReport& report) = 0;
    /// The reply may be sent after this returns.
    virtual void relayRow(const wire::RowRequest& request, reply_sender<wire::RowReply> reply) = 0;
};

/// Serves the peers' calls until it is destroyed.
class server {
public:
    /// Listens on address; fails if it cannot be bound. receiver must outlive the server.
    [[nodiscard]] static result<std::unique_ptr<server>> start(
        const endpoint& address, handler& receiver);

    server(const server&) = delete;
    server& operator=(const server&) = delete;
    /// Refuses new calls and waits for the running ones.
    ~server();

private:
    struct state;
    explicit server(std::unique_ptr<state> running);
    std::unique_ptr<state> m_state;
};

/// Calls one peer. Thread-safe; calls do not block and fail once timeout has passed.
class client {
public:
    /// Does not connect yet; calls connect on demand, also after a connection was lost.
    [[nodiscard]] static std::shared_ptr<client> create(const endpoint& address);

    client(const client&) = delete;
    client& operator=(const client&) = delete;
    /// Waits for running calls, each at most for its timeout. Must not be called from a reply
    /// handler.
    ~client();

    void exchange(const wire::Digest& digest, std::chrono::milliseconds timeout,
        reply_handler<wire::Update> done);
    void publish(const wire::Notice& notice, std::chrono::milliseconds timeout,
        reply_handler<wire::NoticeReply> done);
    void witness(const wire::WitnessRequest& request, std::chrono::milliseconds timeout,
        reply_handler<wire::WitnessReply> done);
    void hold(const wire::HoldRequest& request, std::chrono::milliseconds timeout,
        reply_handler<wire::HoldReply> done);
    void renewRoute(const wire::RouteRenewal& renewal, std::chrono::milliseconds timeout,
        reply_handler<wire::RouteRenewalReply> done);
    void reportLoad(const wire::LoadReport& report, std::chrono::milliseconds timeout,
        reply_handler<wire::LoadReply> done);
    void relayRow(const wire::RowRequest& request, std::chrono::milliseconds timeout,
        reply_handler<wire::RowReply> done);

    /// Returns the peer's address.
    [[nodiscard]] const endpoint& address() const noexcept;

private:
    struct state;
    explicit client(std::unique_ptr<state> opened);
    std::unique_ptr<state> m_state;
};

} // namespace pimentomast::peers
