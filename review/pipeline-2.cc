#include "parts-2.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StringTokenizer.h>
#include <memory>
#include <thread>
#include <vector>

/// Clients that send further idempotent requests before the first has been answered.
/// Usage: pipeline-2 --hosts IP:PORT[,IP:PORT] --name HOST --first PATH --rest PATH --record FILE
///   --seconds N [--clients N] [--behind N] [--pause-ms N]
///
/// On a connection that it keeps, a client sends one request to the first path and some to the
/// other path behind it, and reads the answers in this order. Requests without an answer when the
/// connection ends are recorded as `unanswered`.
namespace review {
namespace {

namespace net = Poco::Net;

constexpr int deadlineMs = 8000;
constexpr int timeoutSeconds = 10;

struct load {
    explicit load(const arguments& given)
        : hosts(given.text("hosts"), ",")
        , name(given.text("name"))
        , first(given.text("first"))
        , rest(given.text("rest"))
        , behind(given.number("behind", 7))
        , pauseMs(given.number("pause-ms", 0))
        , endsAt(nowMs() + given.number("seconds", 1) * std::int64_t { 1000 })
        , events(given.text("record"))
    {
    }

    const Poco::StringTokenizer hosts;
    const std::string name;
    const std::string first;
    const std::string rest;
    const int behind;
    const int pauseMs;
    const std::int64_t endsAt;
    record events;
};

/// Returns the value of a header field, or nothing.
std::string fieldOf(const std::string& head, const std::string& name)
{
    const auto found = head.find("\r\n" + name + ": ");
    if (found == std::string::npos)
        return {};
    const auto begin = found + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

class client {
public:
    client(load& shared, unsigned number)
        : m_load(shared)
        , m_number(number)
        , m_host(shared.hosts[number % shared.hosts.count()])
    {
    }

    void run()
    {
        while (nowMs() < m_load.endsAt) {
            sendBatch();
            std::this_thread::sleep_for(std::chrono::milliseconds(m_load.pauseMs));
        }
    }

private:
    std::string nextRequest(const std::string& path)
    {
        const std::string id = "p" + std::to_string(m_number) + "-" + std::to_string(++m_sent);
        m_waiting.push_back(id);
        m_load.events.add("client sends " + id + " to " + m_host + " " + path);
        return "GET " + path + " HTTP/1.1\r\nHost: " + m_load.name + "\r\nX-Request-Id: " + id
            + "\r\nX-Request-Deadline: " + std::to_string(deadlineMs) + "\r\n\r\n";
    }

    void sendBatch()
    {
        m_waiting.clear();
        std::string batch = nextRequest(m_load.first);
        for (int i = 0; i < m_load.behind; ++i)
            batch += nextRequest(m_load.rest);
        try {
            if (!m_socket) {
                m_input.clear();
                m_socket = std::make_unique<net::StreamSocket>(net::SocketAddress(m_host));
                m_socket->setReceiveTimeout(Poco::Timespan(timeoutSeconds, 0));
            }
            m_socket->sendBytes(batch.data(), static_cast<int>(batch.size()));
            while (!m_waiting.empty())
                readAnswer();
        } catch (const Poco::Exception& fault) {
            for (const auto& id : m_waiting)
                m_load.events.add("client " + id + " unanswered " + fault.message());
            m_socket.reset();
        }
    }

    void receive()
    {
        constexpr std::size_t bufferBytes = 65536;
        std::vector<char> buffer(bufferBytes);
        const int count = m_socket->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count <= 0)
            throw Poco::IOException("connection ended");
        m_input.append(buffer.data(), static_cast<std::size_t>(count));
    }

    void readAnswer()
    {
        constexpr std::size_t endBytes = 4;
        std::size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos)
            receive();
        const std::string head = m_input.substr(0, end + 2);
        m_input.erase(0, end + endBytes);
        const auto length = std::stoul(fieldOf(head, "Content-Length"));
        while (m_input.size() < length)
            receive();
        m_input.erase(0, length);
        const std::string id = m_waiting.front();
        m_waiting.erase(m_waiting.begin());
        const auto signature = fieldOf(head, "X-Response-Signature");
        m_load.events.add("client " + id + " gets " + head.substr(9, 3) + " signature "
            + (signature.empty() ? "none" : signature));
        if (fieldOf(head, "Connection") == "close")
            throw Poco::IOException("connection closed by the host");
    }

    load& m_load;
    const unsigned m_number;
    const std::string m_host;
    unsigned m_sent = 0;
    std::vector<std::string> m_waiting;
    std::unique_ptr<net::StreamSocket> m_socket;
    std::string m_input;
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
