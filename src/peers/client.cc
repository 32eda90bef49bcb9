#include "pimentomast/peers.h"

#include "peers.grpc.pb.h"

#include <condition_variable>
#include <grpcpp/create_channel.h>
#include <mutex>
#include <optional>

namespace pimentomast::peers {
namespace {

constexpr int reconnectMinMs = 100;
constexpr int reconnectMaxMs = 1000;
/// Time that a peer has to accept a connection and to send its first frame.
constexpr int connectTimeoutMs = 1000;
/// Time after which a connection fails whose peer acknowledges nothing; gRPC sets it as
/// TCP_USER_TIMEOUT only if it may also send pings, which calls as short as these never need.
constexpr int silenceLimitMs = 2500;
constexpr int pingIntervalMs = 3600000;

/// Counts the calls whose handlers have not returned yet.
class running_calls {
public:
    void begin()
    {
        const std::lock_guard guard(m_lock);
        ++m_count;
    }
    void end()
    {
        const std::lock_guard guard(m_lock);
        --m_count;
        m_ended.notify_all();
    }
    void wait()
    {
        std::unique_lock guard(m_lock);
        m_ended.wait(guard, [this] { return m_count == 0; });
    }

private:
    std::mutex m_lock;
    std::condition_variable m_ended;
    unsigned m_count = 0;
};

/// Keeps the context and the reply of a call alive until gRPC has released them, which is after the
/// handler has returned. The channel must not be closed earlier.
template <class Reply>
struct pending_call {
    explicit pending_call(std::shared_ptr<running_calls> counted)
        : running(std::move(counted))
    {
        running->begin();
    }
    pending_call(const pending_call&) = delete;
    pending_call& operator=(const pending_call&) = delete;
    ~pending_call()
    {
        context.reset();
        running->end();
    }

    std::shared_ptr<running_calls> running;
    std::optional<grpc::ClientContext> context { std::in_place };
    Reply reply;
    reply_handler<Reply> done;
};

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnectMinMs);
    // gRPC bounds a connection attempt by this one, and waits for the initial one between attempts.
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connectTimeoutMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnectMaxMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, pingIntervalMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, silenceLimitMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return arguments;
}

} // namespace

struct client::state {
    /// Starts one call; invoke passes context, reply and the completion handler to the stub.
    template <class Reply, class Request, class Invoke>
    void call(call_kind kind, const Request& request, std::chrono::milliseconds timeout,
        reply_handler<Reply> done, const Invoke& invoke)
    {
        bytesOf(kind).sent += request.ByteSizeLong();
        auto pending = std::make_shared<pending_call<Reply>>(running);
        pending->context->set_deadline(std::chrono::system_clock::now() + timeout);
        pending->done = std::move(done);
        auto complete = [this, pending, kind](const grpc::Status& status) {
            if (!status.ok()) {
                pending->done(
                    error { std::string(name(kind)), address.text(), status.error_message() });
                return;
            }
            bytesOf(kind).received += pending->reply.ByteSizeLong();
            pending->done(std::move(pending->reply));
        };
        invoke(&*pending->context, &pending->reply, std::move(complete));
    }

    endpoint address;
    std::shared_ptr<running_calls> running = std::make_shared<running_calls>();
    std::unique_ptr<wire::Peer::Stub> stub;
};

std::shared_ptr<client> client::create(const endpoint& address)
{
    auto opened = std::make_unique<state>();
    opened->address = address;
    auto channel = grpc::CreateCustomChannel(
        address.text(), grpc::InsecureChannelCredentials(), channelArguments());
    opened->stub = wire::Peer::NewStub(channel);
    return std::shared_ptr<client>(new client(std::move(opened)));
}

client::client(std::unique_ptr<state> opened)
    : m_state(std::move(opened))
{
}

client::~client() { m_state->running->wait(); }

const endpoint& client::address() const noexcept { return m_state->address; }

void client::exchange(
    const wire::Digest& digest, std::chrono::milliseconds timeout, reply_handler<wire::Update> done)
{
    auto invoke = [&](auto* context, auto* reply, auto complete) {
        m_state->stub->async()->Exchange(context, &digest, reply, std::move(complete));
    };
    m_state->call<wire::Update>(call_kind::Exchange, digest, timeout, std::move(done), invoke);
}

void client::publish(const wire::Notice& notice, std::chrono::milliseconds timeout,
    reply_handler<wire::NoticeReply> done)
{
    auto invoke = [&](auto* context, auto* reply, auto complete) {
        m_state->stub->async()->Publish(context, &notice, reply, std::move(complete));
    };
    m_state->call<wire::NoticeReply>(call_kind::Publish, notice, timeout, std::move(done), invoke);
}

void client::witness(const wire::WitnessRequest& request, std::chrono::milliseconds timeout,
    reply_handler<wire::WitnessReply> done)
{
    auto invoke = [&](auto* context, auto* reply, auto complete) {
        m_state->stub->async()->Witness(context, &request, reply, std::move(complete));
    };
    m_state->call<wire::WitnessReply>(
        call_kind::Witness, request, timeout, std::move(done), invoke);
}

void client::hold(const wire::HoldRequest& request, std::chrono::milliseconds timeout,
    reply_handler<wire::HoldReply> done)
{
    auto invoke = [&](auto* context, auto* reply, auto complete) {
        m_state->stub->async()->Hold(context, &request, reply, std::move(complete));
    };
    m_state->call<wire::HoldReply>(call_kind::Hold, request, timeout, std::move(done), invoke);
}

void client::renewRoute(const wire::RouteRenewal& renewal, std::chrono::milliseconds timeout,
    reply_handler<wire::RouteRenewalReply> done)
{
    auto invoke = [&](auto* context, auto* reply, auto complete) {
        m_state->stub->async()->RenewRoute(context, &renewal, reply, std::move(complete));
    };
    m_state->call<wire::RouteRenewalReply>(
        call_kind::RenewRoute, renewal, timeout, std::move(done), invoke);
}

void client::reportLoad(const wire::LoadReport& report, std::chrono::milliseconds timeout,
    reply_handler<wire::LoadReply> done)
{
    auto invoke = [&](auto* context, auto* reply, auto complete) {
        m_state->stub->async()->ReportLoad(context, &report, reply, std::move(complete));
    };
    m_state->call<wire::LoadReply>(call_kind::ReportLoad, report, timeout, std::move(done), invoke);
}

void client::relayRow(const wire::RowRequest& request, std::chrono::milliseconds timeout,
    reply_handler<wire::RowReply> done)
{
    auto invoke = [&](auto* context, auto* reply, auto complete) {
        m_state->stub->async()->RelayRow(context, &request, reply, std::move(complete));
    };
    m_state->call<wire::RowReply>(call_kind::RelayRow, request, timeout, std::move(done), invoke);
}

} // namespace pimentomast::peers
