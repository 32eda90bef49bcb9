// Fault-injection TCP proxy, which delays, silences and resets connections.
// Usage: stand-in-cutter --control IP:PORT
//
// PUT /sources {"pids":[N...]}: processes that "from" can select below.
// PUT /links {"name":S,"listen":"IP:PORT","to":"IP:PORT"}: starts to forward.
// PUT /control {"link":S,"from":PID,"mode":M}; without "from", for all processes without a mode of
//   their own.
//   pass
//   drop-forward, drop-backward, drop-both: bytes are held back until the link passes again
//   refuse: connections are reset, new ones refused (with "from": accepted and reset)
//   silence: open connections never pass another byte, new ones pass
//   close: open connections are reset, new ones pass
// PUT /break {"link":S,"match":TEXT,"forward":N} or {...,"backward":N}: resets the next connection
//   that sends TEXT, once N bytes since its request's start have passed in that direction.
// PUT /inject {"link":S,"bytes":TEXT}: sends the text to the callers of all open connections.

#include "cutter-link.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace {

using namespace stand_in;
using Poco::JSON::Object;

class cutter {
public:
    void handle(const std::string& path, const Object& body)
    {
        if (path == "/sources")
            return setProcesses(body);
        if (path == "/links")
            return add(body);
        if (path == "/control")
            return setMode(body);
        if (path == "/break")
            return addResetRule(body);
        if (path == "/inject")
            return find(body)->inject(body.getValue<std::string>("bytes"));
        throw Poco::NotFoundException(path);
    }

private:
    void setProcesses(const Object& body)
    {
        std::vector<pid_t> processes;
        for (const auto& id : *body.getArray("pids"))
            processes.push_back(id.convert<pid_t>());
        m_processFinder.set(std::move(processes));
    }

    void add(const Object& body)
    {
        auto added
            = std::make_shared<stand_in::link>(SocketAddress(body.getValue<std::string>("listen")),
                SocketAddress(body.getValue<std::string>("to")), m_processFinder);
        const std::lock_guard lock(m_mutex);
        m_links[body.getValue<std::string>("name")] = added;
        std::thread([added] { added->run(); }).detach();
    }

    std::shared_ptr<stand_in::link> find(const Object& body)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_links.find(body.getValue<std::string>("link"));
        if (found == m_links.end())
            throw Poco::NotFoundException("link");
        return found->second;
    }

    void setMode(const Object& body)
    {
        static const std::map<std::string, mode> modes { { "pass", mode::Pass },
            { "drop-forward", mode::DropForward }, { "drop-backward", mode::DropBackward },
            { "drop-both", mode::DropBoth }, { "refuse", mode::Refuse } };
        const auto chosen = body.getValue<std::string>("mode");
        const auto source = body.optValue<pid_t>("from", 0);
        if (chosen == "silence")
            return find(body)->silence(source);
        if (chosen == "close")
            return find(body)->close(source);
        find(body)->setMode(source, modes.at(chosen));
    }

    void addResetRule(const Object& body)
    {
        const bool forward = body.has("forward");
        const auto* const field = forward ? "forward" : "backward";
        find(body)->resetNextConnection({ body.getValue<std::string>("match"),
            forward ? direction::Forward : direction::Backward,
            body.getValue<std::size_t>(field) });
    }

    process_finder m_processFinder;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<stand_in::link>> m_links;
};

class handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit handler(cutter& commanded)
        : m_cutter(commanded)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        try {
            m_cutter.handle(
                request.getURI(), *Poco::JSON::Parser().parse(body).extract<Object::Ptr>());
            response.sendBuffer("{}", 2);
        } catch (const std::exception& cause) {
            response.setStatus(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
            const std::string reason = cause.what();
            response.sendBuffer(reason.data(), reason.size());
        }
    }

private:
    cutter& m_cutter;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(cutter& commanded)
        : m_cutter(commanded)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(
        const Poco::Net::HTTPServerRequest&) override
    {
        return new handler(m_cutter);
    }

private:
    cutter& m_cutter;
};

[[noreturn]] void run(const std::string& address)
{
    cutter forwarding;
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    Poco::Net::HTTPServer server(
        new handler_factory(forwarding), ServerSocket(SocketAddress(address)), parameters);
    server.start();
    std::cout << "listening on " << address << std::endl;
    for (;;)
        std::this_thread::sleep_for(1h);
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    options::options_description described("stand-in-cutter");
    described.add_options()("control", options::value<std::string>()->required(), "ip:port");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
        std::signal(SIGPIPE, SIG_IGN);
        run(given["control"].as<std::string>());
    } catch (const std::exception& cause) {
        std::cerr << cause.what() << '\n';
        return 1;
    }
}
