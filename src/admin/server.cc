#include "responses.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>
#include <array>
#include <istream>
#include <optional>

namespace pimentomast::admin {
namespace {

namespace net = Poco::Net;

constexpr std::size_t maxBodyBytes = 8388608;
constexpr int maxQueuedConnections = 64;
constexpr long ioTimeoutMs = 5000;

struct handler_context {
    node& host;
    std::string token;
};

/// Reads the complete body; returns nullopt if it exceeds maxBodyBytes.
std::optional<std::string> readBody(std::istream& in)
{
    std::string body;
    std::array<char, 16384> chunk {};
    while (in.read(chunk.data(), chunk.size()) || in.gcount() > 0) {
        body.append(chunk.data(), static_cast<std::size_t>(in.gcount()));
        if (body.size() > maxBodyBytes)
            return std::nullopt;
    }
    return body;
}

class handler : public net::HTTPRequestHandler {
public:
    explicit handler(const handler_context& context)
        : m_context(context)
    {
    }

    void handleRequest(net::HTTPServerRequest& in, net::HTTPServerResponse& out) override
    {
        const auto response = makeResponse(in);
        m_context.host.metrics()
            .counterFor(telemetry::metric::AdminRequests, std::to_string(response.status))
            .add();
        out.setStatus(net::HTTPResponse::HTTPStatus(response.status));
        out.setReason(net::HTTPResponse::getReasonForStatus(out.getStatus()));
        out.setContentType(response.contentType);
        if (response.status == 401)
            out.set("WWW-Authenticate", "Bearer");
        out.setContentLength64(static_cast<Poco::Int64>(response.body.size()));
        out.send() << response.body;
    }

private:
    detail::response makeResponse(net::HTTPServerRequest& in)
    {
        const auto uri = in.getURI();
        const auto queryStart = uri.find('?');
        detail::request request {
            in.getMethod(),
            uri.substr(0, queryStart),
            queryStart == uri.npos ? "" : uri.substr(queryStart + 1),
            in.get("Authorization", ""),
            "",
        };
        auto body = readBody(in.stream());
        if (!body)
            return { 413, R"({"reason":"the body is too long"})" };
        request.body = std::move(*body);
        return detail::respond(m_context.host, m_context.token, request);
    }

    const handler_context& m_context;
};

class factory : public net::HTTPRequestHandlerFactory {
public:
    explicit factory(const handler_context& context)
        : m_context(context)
    {
    }
    net::HTTPRequestHandler* createRequestHandler(const net::HTTPServerRequest&) override
    {
        return new handler(m_context);
    }

private:
    const handler_context& m_context;
};

net::HTTPServerParams::Ptr makeParameters(unsigned threads)
{
    net::HTTPServerParams::Ptr parameters(new net::HTTPServerParams);
    parameters->setMaxThreads(static_cast<int>(threads));
    parameters->setMaxQueued(maxQueuedConnections);
    parameters->setTimeout(Poco::Timespan(0, ioTimeoutMs * 1000));
    parameters->setKeepAlive(false);
    return parameters;
}

/// Listens without SO_REUSEPORT: by default, POCO lets another process listen on the same address.
net::ServerSocket listenOn(const endpoint& address)
{
    net::ServerSocket socket;
    socket.bind(net::SocketAddress(address.ip, address.port), true, false);
    socket.listen(maxQueuedConnections);
    return socket;
}

class http_server : public server {
public:
    http_server(const options& options, node& node)
        : m_context { node, options.token }
        , m_threads("admin", 1, static_cast<int>(options.threads))
        , m_socket(listenOn(options.address))
        , m_server(new factory(m_context), m_threads, m_socket, makeParameters(options.threads))
    {
        m_server.start();
    }

    ~http_server() override { m_server.stopAll(); }

    [[nodiscard]] endpoint address() const override
    {
        const auto bound = m_socket.address();
        return { bound.host().toString(), bound.port() };
    }

private:
    handler_context m_context;
    Poco::ThreadPool m_threads;
    net::ServerSocket m_socket;
    net::HTTPServer m_server;
};

} // namespace

result<std::unique_ptr<server>> server::start(const options& options, node& node)
{
    try {
        return std::unique_ptr<server>(new http_server(options, node));
    } catch (const Poco::Exception& caught) {
        return error { "start administration API", options.address.text(), caught.displayText() };
    }
}

} // namespace pimentomast::admin
