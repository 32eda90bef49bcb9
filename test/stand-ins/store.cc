// Stand-in for the platform: table service, object store and list of hosts, all in memory.
// docs/DESIGN.md defines its interface. Usage: stand-in-store --address IP:PORT
//
// PUT /control {"outage":"none"/"refuse"/"silent","slow_ms":N,"lose_replies":N}; absent fields
// keep their value.
//   lose_replies: the next N writes take effect and get no reply.
// PUT /control/hosts {"hosts":[...],"lag_ms":N}: the list takes effect after the lag.
// GET /control/counts {"reads":N,"writes":N}: calls served, whatever their status.

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace {

using namespace std::chrono_literals;
using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using steady = std::chrono::steady_clock;

struct stored_row {
    std::string value;
    Poco::UInt64 version = 0;
    std::string writer;
};

struct scheduled_host_list {
    steady::time_point from;
    Array::Ptr list;
};

enum class outage {
    None,
    Refuse,
    Silent,
};

struct reply {
    HTTPResponse::HTTPStatus status = HTTPResponse::HTTP_OK;
    std::string body;
    std::string type = "application/json";
    bool dropReply = false;
};

std::string text(const Object& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

Object::Ptr parseObject(const std::string& body)
{
    return Poco::JSON::Parser().parse(body).extract<Object::Ptr>();
}

reply json(HTTPResponse::HTTPStatus status, const Object& body) { return { status, text(body) }; }

Object rowObject(const std::string& key, const stored_row& row)
{
    Object object;
    object.set("key", key);
    object.set("value", row.value);
    object.set("version", row.version);
    object.set("writer", row.writer);
    return object;
}

class store {
public:
    outage currentOutage()
    {
        const std::lock_guard lock(m_mutex);
        return m_outage;
    }

    std::chrono::milliseconds latency()
    {
        const std::lock_guard lock(m_mutex);
        return m_latency;
    }

    reply serve(const std::string& method, const Poco::URI& uri, const std::string& body)
    {
        const std::lock_guard lock(m_mutex);
        const auto& path = uri.getPath();
        const bool writing = method == "PUT";
        ++(writing ? m_writes : m_reads);
        if (path.starts_with("/rows/"))
            return writing ? putRow(path.substr(6), *parseObject(body)) : getRow(path.substr(6));
        if (path == "/rows" && !writing)
            return listRows(uri);
        if (path.starts_with("/objects/"))
            return writing ? putObject(path.substr(9), body) : getObject(path.substr(9));
        if (path == "/hosts" && !writing)
            return listHosts();
        return { HTTPResponse::HTTP_NOT_FOUND, "{}" };
    }

    reply control(const std::string& method, const std::string& path, const std::string& body)
    {
        const std::lock_guard lock(m_mutex);
        if (method == "GET" && path == "/control/counts")
            return counts();
        if (method == "PUT" && path == "/control/hosts")
            return setHosts(*parseObject(body));
        if (method == "PUT" && path == "/control")
            return setFaults(*parseObject(body));
        return { HTTPResponse::HTTP_NOT_FOUND, "{}" };
    }

private:
    reply getRow(const std::string& key)
    {
        const auto found = m_rows.find(key);
        if (found == m_rows.end())
            return { HTTPResponse::HTTP_NOT_FOUND, "{}" };
        return json(HTTPResponse::HTTP_OK, rowObject(key, found->second));
    }

    reply putRow(const std::string& key, const Object& body)
    {
        const auto found = m_rows.find(key);
        const auto version = found == m_rows.end() ? 0 : found->second.version;
        if (body.getValue<Poco::UInt64>("expected") != version)
            return conflict(key);
        auto& row = m_rows[key];
        row.value = body.getValue<std::string>("value");
        row.writer = body.getValue<std::string>("writer");
        row.version = version + 1;
        Object answer;
        answer.set("version", row.version);
        return maybeLoseReply(json(HTTPResponse::HTTP_OK, answer));
    }

    reply conflict(const std::string& key)
    {
        const auto found = m_rows.find(key);
        Object current;
        if (found == m_rows.end())
            current.set("version", 0);
        else
            current = rowObject(key, found->second);
        return json(HTTPResponse::HTTP_CONFLICT, current);
    }

    reply listRows(const Poco::URI& uri)
    {
        std::string prefix;
        for (const auto& [name, value] : uri.getQueryParameters())
            if (name == "prefix")
                prefix = value;
        Array::Ptr rows = new Array;
        for (const auto& [key, row] : m_rows)
            if (key.starts_with(prefix))
                rows->add(Object::Ptr(new Object(rowObject(key, row))));
        Object answer;
        answer.set("rows", rows);
        return json(HTTPResponse::HTTP_OK, answer);
    }

    reply getObject(const std::string& name)
    {
        const auto found = m_objects.find(name);
        if (found == m_objects.end())
            return { HTTPResponse::HTTP_NOT_FOUND, "{}" };
        return { HTTPResponse::HTTP_OK, found->second, "application/octet-stream" };
    }

    reply putObject(const std::string& name, const std::string& bytes)
    {
        const auto [found, added] = m_objects.try_emplace(name, bytes);
        if (found->second != bytes)
            return { HTTPResponse::HTTP_CONFLICT, "{}" };
        return maybeLoseReply({ added ? HTTPResponse::HTTP_CREATED : HTTPResponse::HTTP_OK, "{}" });
    }

    reply maybeLoseReply(reply answer)
    {
        answer.dropReply = m_loseReplies > 0;
        if (answer.dropReply)
            --m_loseReplies;
        return answer;
    }

    reply listHosts()
    {
        while (m_hosts.size() > 1 && m_hosts[1].from <= steady::now())
            m_hosts.erase(m_hosts.begin());
        Object answer;
        answer.set("hosts", m_hosts.front().list);
        return json(HTTPResponse::HTTP_OK, answer);
    }

    reply setHosts(const Object& body)
    {
        const std::chrono::milliseconds lag(body.optValue<int>("lag_ms", 0));
        m_hosts.push_back({ steady::now() + lag, body.getArray("hosts") });
        return json(HTTPResponse::HTTP_OK, Object());
    }

    reply setFaults(const Object& body)
    {
        if (body.has("outage")) {
            const auto kind = body.getValue<std::string>("outage");
            m_outage = kind == "refuse" ? outage::Refuse
                : kind == "silent"      ? outage::Silent
                                        : outage::None;
        }
        m_latency = std::chrono::milliseconds(
            body.optValue<int>("slow_ms", static_cast<int>(m_latency.count())));
        m_loseReplies = body.optValue<int>("lose_replies", m_loseReplies);
        return json(HTTPResponse::HTTP_OK, Object());
    }

    reply counts()
    {
        Object answer;
        answer.set("reads", m_reads);
        answer.set("writes", m_writes);
        return json(HTTPResponse::HTTP_OK, answer);
    }

    std::mutex m_mutex;
    std::map<std::string, stored_row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::vector<scheduled_host_list> m_hosts { { {}, new Array } };
    outage m_outage = outage::None;
    std::chrono::milliseconds m_latency { 0 };
    int m_loseReplies = 0;
    Poco::UInt64 m_reads = 0;
    Poco::UInt64 m_writes = 0;
};

class handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit handler(store& platform)
        : m_store(platform)
    {
    }

    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        const auto answer = answerTo(request, body);
        if (answer)
            return send(response, *answer);
        response.setKeepAlive(false);
        socketOf(request).shutdown();
    }

private:
    static Poco::Net::StreamSocket& socketOf(HTTPServerRequest& request)
    {
        return dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
    }

    /// Returns nothing if the caller gets no answer.
    std::optional<reply> answerTo(HTTPServerRequest& request, const std::string& body)
    {
        try {
            const Poco::URI uri(request.getURI());
            if (uri.getPath().starts_with("/control"))
                return m_store.control(request.getMethod(), uri.getPath(), body);
            if (m_store.currentOutage() == outage::Refuse)
                return reply { HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "{}" };
            if (m_store.currentOutage() == outage::Silent) {
                waitSilently(request);
                return std::nullopt;
            }
            std::this_thread::sleep_for(m_store.latency());
            auto answer = m_store.serve(request.getMethod(), uri, body);
            if (answer.dropReply)
                return std::nullopt;
            return answer;
        } catch (const Poco::Exception&) {
            return reply { HTTPResponse::HTTP_BAD_REQUEST, "{}" };
        }
    }

    /// Sends nothing until the caller disconnects or the outage ends.
    void waitSilently(HTTPServerRequest& request)
    {
        auto& socket = socketOf(request);
        while (m_store.currentOutage() == outage::Silent)
            if (socket.poll(Poco::Timespan(0, 50'000), Poco::Net::Socket::SELECT_READ))
                return;
    }

    static void send(HTTPServerResponse& response, const reply& answer)
    {
        response.setStatusAndReason(answer.status);
        response.setContentType(answer.type);
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

    store& m_store;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(store& platform)
        : m_store(platform)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override
    {
        return new handler(m_store);
    }

private:
    store& m_store;
};

void waitForTerminationSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

void blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

[[noreturn]] void run(const std::string& address)
{
    store platform;
    Poco::ThreadPool threads(4, 512);
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(512);
    parameters->setMaxQueued(512);
    parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
    Poco::Net::ServerSocket listener;
    listener.bind(Poco::Net::SocketAddress(address), true);
    listener.listen(512);
    Poco::Net::HTTPServer server(new handler_factory(platform), threads, listener, parameters);
    server.start();
    std::cout << "listening on " << address << std::endl;
    waitForTerminationSignal();
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    options::options_description described("stand-in-store");
    described.add_options()("address", options::value<std::string>()->required(), "ip:port");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
        blockTerminationSignals();
        std::signal(SIGPIPE, SIG_IGN);
        run(given["address"].as<std::string>());
    } catch (const std::exception& cause) {
        std::cerr << cause.what() << '\n';
        return 1;
    }
}
