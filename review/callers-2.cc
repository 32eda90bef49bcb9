#include "parts-2.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StringTokenizer.h>
#include <memory>
#include <random>
#include <thread>
#include <vector>

/// Clients of the platform, each with a connection of its own that it keeps open.
/// Usage: callers-2 --hosts IP:PORT[,IP:PORT] --name HOST --path PATH --record FILE --seconds N
///   [--clients N] [--method GET] [--chunked 1] [--keys N] [--deadline-ms N] [--pause-ms N]
///   [--retries N] [--jitter-ms N]
///
/// Each request has an id and an order of its own. After 429 or 503, which promise that the request
/// has not run, the order is sent again with a new id. A request without an answer is recorded as
/// `unanswered`.
namespace review {
namespace {

namespace net = Poco::Net;

struct load {
    explicit load(const arguments& given)
        : hosts(given.text("hosts"), ",")
        , name(given.text("name"))
        , path(given.text("path"))
        , method(given.text("method", "GET"))
        , isChunked(given.number("chunked", 0) != 0)
        , keys(given.number("keys", 0))
        , deadlineMs(given.number("deadline-ms", 2000))
        , pauseMs(given.number("pause-ms", 0))
        , jitterMs(static_cast<unsigned>(given.number("jitter-ms", 0)))
        , retries(given.number("retries", 0))
        , endsAt(nowMs() + given.number("seconds", 1) * std::int64_t { 1000 })
        , events(given.text("record"))
    {
    }

    const Poco::StringTokenizer hosts;
    const std::string name;
    const std::string path;
    const std::string method;
    const bool isChunked;
    const int keys;
    const int deadlineMs;
    const int pauseMs;
    const unsigned jitterMs;
    const int retries;
    const std::int64_t endsAt;
    record events;
};

/// One client. Sends its requests one after the other.
class client {
public:
    client(load& shared, unsigned number)
        : m_load(shared)
        , m_number(number)
        , m_host(shared.hosts[number % shared.hosts.count()])
        , m_random(number + 1)
    {
    }

    void run()
    {
        while (nowMs() < m_load.endsAt) {
            sendOrder();
            const auto jitter = m_random() % (m_load.jitterMs + 1);
            std::this_thread::sleep_for(std::chrono::milliseconds(m_load.pauseMs + jitter));
        }
    }

private:
    net::HTTPRequest nextRequest(const std::string& id)
    {
        net::HTTPRequest request(m_load.method, m_load.path, net::HTTPMessage::HTTP_1_1);
        request.setHost(m_load.name);
        request.setKeepAlive(true);
        request.set("X-Request-Id", id);
        request.set("X-Request-Deadline", std::to_string(m_load.deadlineMs));
        if (m_load.keys > 0) {
            constexpr int keyCount = 65536;
            const int key = static_cast<int>(m_random() % static_cast<unsigned>(m_load.keys));
            request.set("X-Shard-Key", std::to_string(key * (keyCount / m_load.keys)));
        }
        return request;
    }

    void sendBody(net::HTTPRequest& request, const std::string& body)
    {
        if (m_load.isChunked)
            request.setChunkedTransferEncoding(true);
        else
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        m_session->sendRequest(request) << body << std::flush;
    }

    void sendOrder()
    {
        const std::string order
            = "order-" + std::to_string(m_number) + "-" + std::to_string(++m_orders);
        for (int i = 0; i <= m_load.retries && sendAttempt(order); ++i)
            std::this_thread::sleep_for(retryPause);
    }

    /// Returns whether the client may send the order again.
    bool sendAttempt(const std::string& order)
    {
        const std::string id = "c" + std::to_string(m_number) + "-" + std::to_string(++m_sent);
        m_load.events.add("client sends " + id + " to " + m_host + " " + order);
        try {
            return exchange(id, order);
        } catch (const Poco::Exception& fault) {
            m_session.reset();
            m_load.events.add("client " + id + " unanswered " + fault.name());
            return false;
        }
    }

    bool exchange(const std::string& id, const std::string& order)
    {
        constexpr int spareMs = 500;
        constexpr int microsecondsPerMs = 1000;
        if (!m_session) {
            m_session = std::make_unique<net::HTTPClientSession>(net::SocketAddress(m_host));
            m_session->setKeepAlive(true);
            m_session->setTimeout(
                Poco::Timespan(std::int64_t { m_load.deadlineMs + spareMs } * microsecondsPerMs));
        }
        auto request = nextRequest(id);
        if (m_load.method == "POST")
            sendBody(request, order);
        else
            m_session->sendRequest(request);
        const auto leavesAt = nowMs() + m_load.deadlineMs;
        net::HTTPResponse response;
        auto& in = m_session->receiveResponse(response);
        std::string body;
        for (int next = in.get(); next != std::istream::traits_type::eof(); next = in.get()) {
            body += static_cast<char>(next);
            if (nowMs() > leavesAt)
                throw Poco::TimeoutException("no end of the answer");
        }
        const auto end = body.find_last_not_of("\r\n");
        m_load.events.add("client " + id + " gets " + std::to_string(response.getStatus())
            + " signature " + response.get("X-Response-Signature", "none") + " leaving "
            + response.get("Server-Leaving", "no") + " body " + body.substr(0, end + 1));
        if (!response.getKeepAlive())
            m_session.reset();
        return response.getStatus() == net::HTTPResponse::HTTP_TOO_MANY_REQUESTS
            || response.getStatus() == net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    }

    static constexpr std::chrono::milliseconds retryPause { 20 };

    load& m_load;
    const unsigned m_number;
    const std::string m_host;
    std::minstd_rand m_random;
    unsigned m_sent = 0;
    unsigned m_orders = 0;
    std::unique_ptr<net::HTTPClientSession> m_session;
};

int run(const arguments& given)
{
    load shared(given);
    std::vector<std::thread> threads;
    const auto count = static_cast<unsigned>(given.number("clients", 1));
    for (unsigned number = 0; number < count; ++number)
        threads.emplace_back([&shared, number] { client(shared, number).run(); });
    for (auto& each : threads)
        each.join();
    return 0;
}

} // namespace
} // namespace review

int main(int count, char** words) { return review::run(review::arguments(count, words)); }
