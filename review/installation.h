#pragma once

#include "link.h"
#include "store.h"
#include "upstream.h"

#include <Poco/Base64Encoder.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <map>
#include <optional>
#include <random>
#include <set>

/// The users' side of a small installation on loopback addresses: store, upstreams and clients.
namespace review {

using Poco::Net::SocketAddress;

/// Replaces each placeholder {{name}} of a settings template.
inline std::string fill(std::string text, const std::map<std::string, std::string>& values)
{
    for (const auto& [name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }
    return text;
}

inline std::string textOfFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

inline std::string base64(const std::string& text)
{
    std::ostringstream encoded;
    Poco::Base64Encoder encoder(encoded);
    encoder.rdbuf()->setLineLength(0);
    encoder << text;
    encoder.close();
    return encoded.str();
}

inline Poco::Net::HTTPServerParams::Ptr serverParams()
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(Poco::Timespan(30, 0));
    params->setMaxThreads(128);
    params->setMaxQueued(1024);
    return params;
}

/// An HTTP server on a free loopback port.
class loopback_server {
public:
    explicit loopback_server(Poco::Net::HTTPRequestHandlerFactory::Ptr handlers)
        : m_socket(SocketAddress("127.0.0.1", 0), 1024)
        , m_pool(4, 128)
        , m_server(std::move(handlers), m_pool, m_socket, serverParams())
    {
        m_server.start();
    }

    [[nodiscard]] SocketAddress address() const { return m_socket.address(); }
    void stop() { m_server.stopAll(true); }

private:
    Poco::Net::ServerSocket m_socket;
    Poco::ThreadPool m_pool;
    Poco::Net::HTTPServer m_server;
};

/// Returns a loopback address with a port that is free now, and below those that the system gives
/// to outgoing connections.
inline std::string freeAddress()
{
    constexpr std::uint16_t lowest = 12000;
    constexpr std::uint16_t highest = 32000;
    static std::mt19937 random { std::random_device {}() };
    std::uniform_int_distribution<std::uint16_t> ports(lowest, highest);
    while (true) {
        const SocketAddress address("127.0.0.1", ports(random));
        try {
            const Poco::Net::ServerSocket probe(address);
            return address.toString();
        } catch (const Poco::Exception&) {
            continue;
        }
    }
}

/// Returns an upstream's entry in the store.
inline std::string registration(
    const std::string& service, const std::string& address, long born, unsigned long beat)
{
    return R"({"address":")" + address + R"(","born":)" + std::to_string(born)
        + R"(,"info":{"service":")" + service
        + R"(","version":"v1","zone":"kalimati","capacity":4},"status":{"state":"ready","seq":)"
        + std::to_string(beat) + R"(,"warmup_time":"0ms"}})";
}

/// Writes a settings file for each host, from the template of the deploy file, and then the file
/// "ready". Returns the hosts' addresses for clients.
inline std::vector<std::string> writeHostSettings(
    const std::string& folder, unsigned count, const std::string& store)
{
    const auto form = textOfFile("deploy/settings.ini");
    const std::string bounds = "stability=3000ms,drain=2000ms,grace=6s,configApply=2000ms,"
                               "holdMax=10000ms,thaw=300ms";
    std::vector<std::string> hosts;
    for (unsigned i = 1; i <= count; ++i) {
        const SocketAddress peers(freeAddress());
        hosts.push_back(freeAddress());
        std::ofstream(folder + "/host-" + std::to_string(i) + ".ini") << fill(form,
            { { "node", "front-" + std::to_string(i) }, { "zone", "kalimati" },
                { "listen.front", hosts.back() }, { "ip", "127.0.0.1" },
                { "portRange.0", std::to_string(peers.port()) }, { "listen.ready", freeAddress() },
                { "limits.cpuShare", "0.2" }, { "limits.maxFds", "4100" },
                { "limits.memoryMb", "160" }, { "provider.address", store },
                { "bounds", bounds } });
    }
    std::ofstream(folder + "/ready") << "ready\n";
    return hosts;
}

/// Remembers with which fences each upstream took each key, and what broke the rule OWNER: an
/// upstream takes a key with a fence that is not above all with which other upstreams had it.
/// Thread-safe.
class fence_check {
public:
    explicit fence_check(record& log)
        : m_log(log)
        , m_fences(keyCount)
    {
    }

    /// excused: the grant arrived within "thaw" after the link healed.
    void taken(const std::string& id, const granted_range& range, bool excused)
    {
        const std::lock_guard guard(m_lock);
        unsigned broken = 0;
        std::string other;
        unsigned long otherFence = 0;
        for (unsigned key = range.first; key <= range.last; ++key) {
            for (const auto& [holder, fence] : m_fences[key]) {
                if (holder == id || fence < range.fence)
                    continue;
                ++broken;
                other = holder;
                otherFence = std::max(otherFence, fence);
            }
            auto& own = m_fences[key][id];
            own = std::max(own, range.fence);
        }
        if (broken == 0)
            return;
        m_log.add(std::string(excused ? "(excused) " : "RULE BROKEN: ") + id + " took "
            + std::to_string(broken) + " keys with fence " + std::to_string(range.fence)
            + "; before, " + other + " had keys of them with fence " + std::to_string(otherFence));
        m_broken += excused ? 0 : 1;
    }

    [[nodiscard]] unsigned broken()
    {
        const std::lock_guard guard(m_lock);
        return m_broken;
    }

private:
    record& m_log;
    std::mutex m_lock;
    std::vector<std::map<std::string, unsigned long>> m_fences;
    unsigned m_broken = 0;
};

/// Sends one request to a host and returns the status of the answer; 0 if there was none.
inline int sendLookup(const std::string& host, const std::string& id, unsigned key, record& log)
{
    int status = 0;
    try {
        Poco::Net::HTTPClientSession session { SocketAddress(host) };
        session.setTimeout(Poco::Timespan(2, 0));
        Poco::Net::HTTPRequest request("GET", "/weights/" + std::to_string(key), "HTTP/1.1");
        request.setHost("weights.example");
        request.set("X-Request-Id", id);
        request.set("X-Request-Deadline", "1500");
        request.set("X-Shard-Key", std::to_string(key));
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        status = static_cast<int>(response.getStatus());
    } catch (const Poco::Exception&) {
        status = 0;
    }
    log.add("client: request " + id + ", key " + std::to_string(key) + " at " + host + ": "
        + (status == 0 ? "no answer" : "status " + std::to_string(status)));
    return status;
}

} // namespace review
