#include "parts-2.h"

#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <atomic>
#include <csignal>
#include <iostream>
#include <sstream>
#include <thread>
#include <vector>

/// Stand-in for an upstream of the platform.
/// Usage: key-server --address IP:PORT --id ID --service NAME --store IP:PORT --record FILE
///   [--capacity N] [--work-ms N] [--sharded 1] [--leave-ms N] [--zone NAME]
///   [--fault KIND] [--fault-percent N] [--kilobytes N]
///
/// Registers itself in the store and keeps its entry fresh. On SIGUSR1 it leaves: it reports
/// `draining`, says so in all its answers, and ends leave-ms after the store has accepted the
/// report. SIGKILL is a crash. SIGUSR2 begins and ends a fault of a share of the answers: `fails`
/// answers 503 to a request that it has run, `stalls` sends half of the body and keeps the
/// connection.
namespace review {
namespace {

namespace net = Poco::Net;
using Poco::JSON::Object;
using status_code = net::HTTPResponse::HTTPStatus;

std::atomic<bool> leaveRequested { false };
std::atomic<bool> isFaulty { false };

std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Keys that the upstream holds, with the highest fence seen for each.
class held_keys {
public:
    [[nodiscard]] bool holds(unsigned key) const
    {
        const std::lock_guard guard(m_mutex);
        return nowMs() < m_until.at(key);
    }

    /// Returns whether the fence is not below one that was seen for any of the keys.
    bool grant(unsigned from, unsigned to, std::uint64_t fence, std::int64_t holdMs)
    {
        const std::lock_guard guard(m_mutex);
        for (unsigned key = from; key <= to; ++key) {
            if (m_fences.at(key) > fence)
                return false;
        }
        for (unsigned key = from; key <= to; ++key) {
            m_fences.at(key) = fence;
            m_until.at(key) = nowMs() + holdMs;
        }
        return true;
    }

    void release(unsigned from, unsigned to)
    {
        const std::lock_guard guard(m_mutex);
        for (unsigned key = from; key <= to; ++key)
            m_until.at(key) = 0;
    }

private:
    static constexpr std::size_t keyCount = 65536;
    mutable std::mutex m_mutex;
    std::vector<std::int64_t> m_until = std::vector<std::int64_t>(keyCount, 0);
    std::vector<std::uint64_t> m_fences = std::vector<std::uint64_t>(keyCount, 0);
};

struct server_state {
    explicit server_state(const arguments& given)
        : id(given.text("id"))
        , service(given.text("service"))
        , address(given.text("address"))
        , zone(given.text("zone", "kalimati"))
        , store(given.text("store"))
        , capacity(given.number("capacity", 4))
        , workMs(given.number("work-ms", 100))
        , leaveMs(given.number("leave-ms", 4000))
        , fault(given.text("fault"))
        , kilobytes(static_cast<std::size_t>(given.number("kilobytes", 0)))
        , faultPercent(static_cast<unsigned>(given.number("fault-percent", 0)))
        , isSharded(given.number("sharded", 0) != 0)
        , events(given.text("record"))
    {
    }

    const std::string id;
    const std::string service;
    const std::string address;
    const std::string zone;
    const std::string store;
    const int capacity;
    const int workMs;
    const int leaveMs;
    const std::string fault;
    const std::size_t kilobytes;
    const unsigned faultPercent;
    const bool isSharded;
    const std::int64_t born = unixMs();
    record events;
    held_keys keys;
    std::atomic<int> running { 0 };
    std::atomic<unsigned> runs { 0 };
    std::atomic<bool> isLeaving { false };
};

/// Reads a time of the form `1500ms` or `2.5s`.
std::int64_t millisecondsOf(const std::string& text)
{
    constexpr double perSecond = 1000;
    const double value = std::stod(text);
    return static_cast<std::int64_t>(text.ends_with("ms") ? value : value * perSecond);
}

class server_handler : public net::HTTPRequestHandler {
public:
    explicit server_handler(server_state& state)
        : m_state(state)
    {
    }

    void handleRequest(net::HTTPServerRequest& request, net::HTTPServerResponse& response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        if (m_state.isLeaving)
            response.set("Server-Leaving", "1");
        response.set("X-Instance-Id", m_state.id);
        if (request.getURI() == "/healthz")
            return answer(response, m_state.isLeaving ? 503 : 200, "");
        if (request.get("X-Expect-Instance", m_state.id) != m_state.id)
            return answer(response, 421, "");
        if (request.getURI() == "/grant" || request.getURI() == "/release")
            return order(request.getURI(), body, response);
        serve(request, body, response);
    }

private:
    static constexpr unsigned percent = 100;
    static constexpr std::size_t kilobyte = 1024;

    static void answer(net::HTTPServerResponse& response, int status, const std::string& body)
    {
        response.setStatus(static_cast<status_code>(status));
        response.sendBuffer(body.data(), body.size());
    }

    void order(const std::string& path, const std::string& body, net::HTTPServerResponse& response)
    {
        const auto wanted = Poco::JSON::Parser().parse(body).extract<Object::Ptr>();
        const auto from = wanted->getValue<unsigned>("from");
        const auto to = wanted->getValue<unsigned>("to");
        const auto fence = wanted->getValue<Poco::UInt64>("fence");
        const std::string keys
            = std::to_string(from) + "-" + std::to_string(to) + " fence " + std::to_string(fence);
        if (path == "/release") {
            m_state.keys.release(from, to);
            m_state.events.add(m_state.id + " released " + keys);
            return answer(response, 200, "");
        }
        const auto hold = millisecondsOf(wanted->getValue<std::string>("hold_time"));
        const bool taken = m_state.keys.grant(from, to, fence, hold);
        m_state.events.add(m_state.id + (taken ? " granted " : " refuses ") + keys + " for "
            + std::to_string(hold) + "ms");
        answer(response, taken ? 200 : 409, "");
    }

    void serve(
        net::HTTPServerRequest& request, const std::string& body, net::HTTPServerResponse& response)
    {
        const std::string id = request.get("X-Request-Id", "");
        response.set("X-Request-Id", id);
        if (id.empty())
            return reject(response, 400);
        if (m_state.isSharded && !m_state.keys.holds(std::stoul(request.get("X-Shard-Key", "0"))))
            return reject(response, 421);
        if (m_state.running.fetch_add(1) >= m_state.capacity) {
            --m_state.running;
            return reject(response, 503);
        }
        m_state.events.add(m_state.id + " runs " + id + " " + body);
        std::this_thread::sleep_for(std::chrono::milliseconds(m_state.workMs));
        --m_state.running;
        response.set("X-Response-Signature", m_state.id + "." + id);
        const std::string done
            = "done " + id + " " + std::string(m_state.kilobytes * kilobyte, '.');
        if (isFaulty && m_state.runs++ % percent < m_state.faultPercent)
            return answerWrongly(request, response, id, done);
        answer(response, 200, done);
    }

    void answerWrongly(net::HTTPServerRequest& request, net::HTTPServerResponse& response,
        const std::string& id, const std::string& done)
    {
        m_state.events.add(m_state.id + " " + m_state.fault + " " + id);
        if (m_state.fault == "fails")
            return answer(response, 503, "");
        if (m_state.fault == "endless")
            return sendWithoutEnd(response);
        response.setContentLength64(static_cast<Poco::Int64>(done.size()));
        response.send() << done.substr(0, done.size() / 4 * 3) << std::flush;
        dynamic_cast<net::HTTPServerRequestImpl&>(request).socket().shutdown();
    }

    static void sendWithoutEnd(net::HTTPServerResponse& response)
    {
        constexpr std::chrono::milliseconds interval { 50 };
        response.setChunkedTransferEncoding(true);
        auto& out = response.send();
        while (out << std::string(kilobyte, '.') << std::flush)
            std::this_thread::sleep_for(interval);
    }

    static void reject(net::HTTPServerResponse& response, int status)
    {
        response.set("X-Not-Executed", "1");
        answer(response, status, "");
    }

    server_state& m_state;
};

class server_factory : public net::HTTPRequestHandlerFactory {
public:
    explicit server_factory(server_state& state)
        : m_state(state)
    {
    }

    net::HTTPRequestHandler* createRequestHandler(
        const net::HTTPServerRequest& /*request*/) override
    {
        return new server_handler(m_state);
    }

private:
    server_state& m_state;
};

std::string base64(const std::string& text)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << text;
    encoder.close();
    return out.str();
}

std::string entryOf(const server_state& state)
{
    std::ostringstream text;
    text << R"({"address":")" << state.address << R"(","born":)" << state.born
         << R"(,"info":{"service":")" << state.service << R"(","version":"v1","zone":")"
         << state.zone << R"(","capacity":)" << state.capacity << R"(},"status":{"state":")"
         << (state.isLeaving ? "draining" : "ready") << R"(","seq":1,"warmup_time":"0ms"}})";
    return text.str();
}

/// Returns whether the store has accepted the entry.
bool writeEntry(const server_state& state)
{
    try {
        constexpr int timeoutSeconds = 1;
        const net::SocketAddress address(state.store);
        net::HTTPClientSession session(address);
        session.setTimeout(Poco::Timespan(timeoutSeconds, 0));
        net::HTTPRequest request("PUT", "/row/servers/" + state.id, net::HTTPMessage::HTTP_1_1);
        const std::string body = base64(entryOf(state));
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        net::HTTPResponse response;
        auto& in = session.receiveResponse(response);
        Poco::NullOutputStream ignored;
        Poco::StreamCopier::copyStream(in, ignored);
        return response.getStatus() == net::HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception&) {
        return false;
    }
}

/// Keeps the entry fresh; returns once the upstream has left.
void beat(server_state& state)
{
    constexpr std::chrono::milliseconds interval { 100 };
    constexpr int beatsPerWrite = 8;
    std::int64_t leavesAt = 0;
    for (int i = 0; leavesAt == 0 || nowMs() < leavesAt; ++i) {
        const bool begins = leaveRequested && !state.isLeaving;
        if (begins) {
            state.isLeaving = true;
            state.events.add(state.id + " leaving");
        }
        const bool isUnreported = state.isLeaving && leavesAt == 0;
        const bool accepted = (i % beatsPerWrite == 0 || isUnreported) && writeEntry(state);
        if (accepted && isUnreported) {
            leavesAt = nowMs() + state.leaveMs;
            state.events.add(state.id + " reported draining");
        }
        std::this_thread::sleep_for(interval);
    }
    state.events.add(state.id + " exits");
}

int run(const arguments& given)
{
    constexpr int maxThreads = 256;
    std::signal(SIGUSR1, [](int) { leaveRequested = true; });
    std::signal(SIGUSR2, [](int) { isFaulty = !isFaulty; });
    server_state state(given);
    Poco::ThreadPool threads(2, maxThreads);
    net::HTTPServerParams::Ptr params = new net::HTTPServerParams;
    params->setMaxThreads(maxThreads);
    params->setMaxQueued(maxThreads);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    net::ServerSocket socket(net::SocketAddress(state.address));
    net::HTTPServer server(new server_factory(state), threads, socket, params);
    server.start();
    state.events.add(state.id + " starts");
    beat(state);
    std::_Exit(0);
}

} // namespace
} // namespace review

int main(int count, char** words) { return review::run(review::arguments(count, words)); }
