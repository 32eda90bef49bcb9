#include "target-run.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <boost/program_options.hpp>
#include <iostream>

/// Stand-in for a server that owns keys. Prints "listening IP:PORT" and runs until it is killed.
namespace stand_in {
namespace {

constexpr int maxThreads = 1024;

class handler_factory : public net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(target_state& state)
        : m_state(state)
    {
    }

    net::HTTPRequestHandler* createRequestHandler(const net::HTTPServerRequest& request) override
    {
        // POCO sends 100 Continue by itself if the status is 200; here the handler decides.
        request.response().setStatus(net::HTTPResponse::HTTP_ACCEPTED);
        const std::string path = Poco::URI(request.getURI()).getPath();
        if (path == "/pimentomast/grants")
            return new grant_handler(m_state);
        if (path == "/pimentomast/health")
            return new health_handler(m_state);
        if (path == "/control")
            return new control_handler(m_state);
        if (path == "/record")
            return new record_handler(m_state);
        return new run_handler(m_state);
    }

private:
    target_state& m_state;
};

struct command_line {
    std::string listen = "127.0.0.1:0";
    target_settings target;
};

command_line read(int count, char** arguments)
{
    namespace po = boost::program_options;
    command_line line;
    behaviour& initial = line.target.initial;
    po::options_description known("stand-in-target");
    known.add_options()("listen", po::value(&line.listen), "ip:port; port 0 takes a free one");
    known.add_options()("id", po::value(&line.target.id), "name in answers and records");
    known.add_options()("record", po::value(&line.target.recordFile), "file of JSON lines");
    known.add_options()("slots", po::value(&initial.slots), "requests served at once");
    known.add_options()(
        "service-ms", po::value(&initial.serviceMs), "service time of each request");
    known.add_options()(
        "cold-ms", po::value(&initial.coldMs), "extra time of a key's first request");
    known.add_options()(
        "keyed", po::bool_switch(&line.target.keyed), "refuse requests without a key");
    bool unchecked = false;
    known.add_options()(
        "no-token-checks", po::bool_switch(&unchecked), "run requests without checking tokens");
    po::variables_map values;
    po::store(po::parse_command_line(count, arguments, known), values);
    po::notify(values);
    line.target.checksTokens = !unchecked;
    return line;
}

void serve(const command_line& line)
{
    target_state state(line.target);
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(line.listen), true);
    socket.listen(1024);
    auto* parameters = new net::HTTPServerParams;
    parameters->setKeepAlive(true);
    parameters->setMaxThreads(maxThreads);
    parameters->setMaxQueued(maxThreads);
    parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
    Poco::ThreadPool threads(2, maxThreads);
    net::HTTPServer server(new handler_factory(state), threads, socket, parameters);
    server.start();
    std::cout << "listening " << socket.address().toString() << std::endl;
    while (true)
        std::this_thread::sleep_for(std::chrono::hours(1));
}

} // namespace
} // namespace stand_in

int main(int count, char** arguments)
{
    try {
        stand_in::serve(stand_in::read(count, arguments));
    } catch (const std::exception& fault) {
        std::cerr << "stand-in-target: " << fault.what() << "\n";
        return 2;
    }
}
