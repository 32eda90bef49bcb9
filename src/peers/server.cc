#include "pimentomast/peers.h"

#include "peers.grpc.pb.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>

namespace pimentomast::peers {
namespace {

constexpr int maxThreads = 8;
constexpr std::chrono::milliseconds shutdownWaitMs { 500 };

/// Passes each call to the handler on the gRPC thread that received it.
class call_service final : public wire::Peer::CallbackService {
public:
    explicit call_service(handler& receiver)
        : m_receiver(receiver)
    {
    }

    grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
        const wire::Digest* request, wire::Update* reply) override
    {
        return answer(context, call_kind::Exchange, *request, *reply,
            [&] { *reply = m_receiver.exchange(*request); });
    }

    grpc::ServerUnaryReactor* Publish(grpc::CallbackServerContext* context,
        const wire::Notice* request, wire::NoticeReply* reply) override
    {
        return answer(context, call_kind::Publish, *request, *reply,
            [&] { *reply = m_receiver.publish(*request); });
    }

    grpc::ServerUnaryReactor* Witness(grpc::CallbackServerContext* context,
        const wire::WitnessRequest* request, wire::WitnessReply* reply) override
    {
        return answer(context, call_kind::Witness, *request, *reply,
            [&] { *reply = m_receiver.witness(*request); });
    }

    grpc::ServerUnaryReactor* Hold(grpc::CallbackServerContext* context,
        const wire::HoldRequest* request, wire::HoldReply* reply) override
    {
        grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
        bytesOf(call_kind::Hold).received += request->ByteSizeLong();
        m_receiver.hold(*request, [reactor, reply](wire::HoldReply made) {
            *reply = std::move(made);
            bytesOf(call_kind::Hold).sent += reply->ByteSizeLong();
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor* RenewRoute(grpc::CallbackServerContext* context,
        const wire::RouteRenewal* request, wire::RouteRenewalReply* reply) override
    {
        return answer(context, call_kind::RenewRoute, *request, *reply,
            [&] { *reply = m_receiver.renewRoute(*request); });
    }

    grpc::ServerUnaryReactor* ReportLoad(grpc::CallbackServerContext* context,
        const wire::LoadReport* request, wire::LoadReply* reply) override
    {
        return answer(context, call_kind::ReportLoad, *request, *reply,
            [&] { *reply = m_receiver.reportLoad(*request); });
    }

    grpc::ServerUnaryReactor* RelayRow(grpc::CallbackServerContext* context,
        const wire::RowRequest* request, wire::RowReply* reply) override
    {
        grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
        bytesOf(call_kind::RelayRow).received += request->ByteSizeLong();
        m_receiver.relayRow(*request, [reactor, reply](wire::RowReply made) {
            *reply = std::move(made);
            bytesOf(call_kind::RelayRow).sent += reply->ByteSizeLong();
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

private:
    template <class Request, class Reply, class Call>
    static grpc::ServerUnaryReactor* answer(grpc::CallbackServerContext* context, call_kind kind,
        const Request& request, const Reply& reply, const Call& call)
    {
        grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
        bytesOf(kind).received += request.ByteSizeLong();
        try {
            call();
            bytesOf(kind).sent += reply.ByteSizeLong();
            reactor->Finish(grpc::Status::OK);
        } catch (const std::exception& caught) {
            reactor->Finish(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, caught.what()));
        }
        return reactor;
    }

    handler& m_receiver;
};

} // namespace

struct server::state {
    explicit state(handler& receiver)
        : service(receiver)
    {
    }

    call_service service;
    std::unique_ptr<grpc::Server> listener;
};

result<std::unique_ptr<server>> server::start(const endpoint& address, handler& receiver)
{
    auto running = std::make_unique<state>(receiver);
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(maxThreads);
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(quota);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address.text(), grpc::InsecureServerCredentials());
    builder.RegisterService(&running->service);
    running->listener = builder.BuildAndStart();
    if (!running->listener)
        return error { "listen for peers", address.text(), "the address cannot be bound" };
    return std::unique_ptr<server>(new server(std::move(running)));
}

server::server(std::unique_ptr<state> running)
    : m_state(std::move(running))
{
}

server::~server()
{
    m_state->listener->Shutdown(std::chrono::system_clock::now() + shutdownWaitMs);
}

} // namespace pimentomast::peers
