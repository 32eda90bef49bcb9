#include "../helper.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Path.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>
#include <arpa/inet.h>
#include <cstdlib>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace pimentomast::test {

namespace {

// Below the kernel's range of ephemeral ports.
constexpr std::uint16_t firstPort = 12000;
constexpr std::uint16_t lastPort = 31999;

constexpr std::size_t chunkBytes = 64U << 10U;

/// Binds the port without listening, so that a server may still listen on it but no other test
/// can reserve it.
bool reserve(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(descriptor);
        return false;
    }
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    return true;
}

void send(Poco::Net::HTTPClientSession& session, const http_call& request)
{
    Poco::Net::HTTPRequest head(request.method, request.path, "HTTP/1.1");
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    for (const auto& [name, value] : request.fields)
        head.add(name, value);
    auto& out = session.sendRequest(head);
    for (std::size_t at = 0; at < request.body.size(); at += chunkBytes) {
        out << request.body.substr(at, chunkBytes) << std::flush;
        std::this_thread::sleep_for(request.pause);
    }
}

void receive(Poco::Net::HTTPClientSession& session, http_reply& reply)
{
    Poco::Net::HTTPResponse head;
    auto& in = session.receiveResponse(head);
    reply.status = head.getStatus();
    for (const auto& [name, value] : head)
        reply.fields[name] = value;
    Poco::StreamCopier::copyToString(in, reply.body);
    if (const auto* networkError = session.networkException())
        networkError->rethrow();
    const auto declaredLength = head.hasContentLength() ? head.getContentLength64() : -1;
    reply.complete
        = declaredLength < 0 || static_cast<std::size_t>(declaredLength) == reply.body.size();
}

} // namespace

endpoint freeAddress()
{
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    static std::mt19937 random(static_cast<unsigned>(getpid()));
    std::uniform_int_distribution<unsigned> ports(firstPort, lastPort);
    for (;;) {
        const auto port = static_cast<std::uint16_t>(ports(random));
        if (reserve(port))
            return { "127.0.0.1", port };
    }
}

std::string http_reply::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

http_reply call(const endpoint& server, const http_call& request)
{
    http_reply reply;
    try {
        Poco::Net::HTTPClientSession session(server.ip, server.port);
        session.setTimeout(Poco::Timespan(milliseconds(request.timeout).count() * 1000));
        send(session, request);
        receive(session, reply);
    } catch (const Poco::Exception& cause) {
        reply.failure = cause.displayText();
    }
    return reply;
}

void put(const endpoint& server, const std::string& path, const std::string& json)
{
    const auto reply = call(server, { "PUT", path, json });
    if (reply.status / 100 != 2)
        throw failure({ "PUT " + path, server.text(),
            std::to_string(reply.status) + " " + reply.body + reply.failure });
}

Poco::JSON::Object::Ptr getJson(const endpoint& server, const std::string& path)
{
    const auto reply = call(server, { "GET", path });
    if (reply.status != 200 || !reply.complete)
        return nullptr;
    try {
        return Poco::JSON::Parser().parse(reply.body).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

std::string scratchFolder()
{
    // mkdtemp picks an unused name; a name made of the process id alone could be that of an
    // earlier process's folder.
    static const std::string path = [] {
        std::string name = Poco::Path::temp() + "pimentomast-" + std::string(6, 'X');
        if (!mkdtemp(name.data()))
            throw std::runtime_error("cannot create a folder for the test's files");
        if (!std::getenv("PIMENTOMAST_KEEP"))
            Poco::TemporaryFile::registerForDeletion(name);
        return name;
    }();
    return path;
}

} // namespace pimentomast::test
