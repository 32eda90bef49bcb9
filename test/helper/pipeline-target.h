#pragma once

#include "answer-parser.h"
#include "proxy-fixture.h"
#include "proxy/io.h"

#include <Poco/Net/ServerSocket.h>
#include <random>
#include <thread>

/// Targets of seeded random histories of pipelined requests.
namespace pimentomast::test {

/// What a target does with one arrival of a request.
struct target_plan {
    enum class ending { Whole, Cut, Twice, Refuse, Silent, Close } end = ending::Whole;
    enum class shape { Length, Chunked, Unframed } framing = shape::Length;
    milliseconds delay { 0 };
    std::size_t bytes = 0;
    /// The answer is sent before the request's body is read.
    bool isEarly = false;
};

/// Returns the plan for an arrival of a request. Pure.
inline target_plan planFor(unsigned seed, const std::string& id, unsigned arrival)
{
    constexpr std::size_t largeBytes = 300000;
    std::seed_seq mixed { seed, static_cast<unsigned>(std::hash<std::string>()(id)), arrival };
    std::mt19937 random(mixed);
    target_plan plan;
    const unsigned end = random() % 20;
    if (end < 6)
        plan.end = static_cast<target_plan::ending>(end);
    plan.framing = static_cast<target_plan::shape>(std::min(2U, unsigned(random() % 6) / 2));
    plan.delay = milliseconds(random() % 3 == 0 ? random() % 250 : random() % 15);
    plan.bytes = random() % 5 == 0 ? random() % largeBytes : random() % 300;
    // The end of its connection is the end of an answer without a length: nothing may follow it,
    // and unread bytes would reset it.
    const bool isUnframed = plan.framing == target_plan::shape::Unframed;
    if (isUnframed && plan.end == target_plan::ending::Twice)
        plan.end = target_plan::ending::Whole;
    plan.isEarly = random() % 10 == 0 && !isUnframed;
    return plan;
}

/// Returns a text of this size at least that names the request and the arrival.
inline std::string namedText(const std::string& id, unsigned arrival, std::size_t bytes)
{
    const std::string line = id + "#" + std::to_string(arrival) + ";";
    std::string text = line;
    while (text.size() < bytes)
        text += line;
    return text;
}

/// Returns the value of a field in a message head; empty if it is not there.
inline std::string fieldOf(const std::string& head, const std::string& name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Splits bytes into chunks of random size.
inline std::string chunked(const std::string& body, std::mt19937& random)
{
    constexpr std::size_t chunkBytes = 20000;
    std::ostringstream text;
    for (std::size_t at = 0; at < body.size();) {
        const auto piece = body.substr(at, 1 + random() % chunkBytes);
        text << std::hex << piece.size() << "\r\n" << piece << "\r\n";
        at += piece.size();
    }
    text << "0\r\n\r\n";
    return text.str();
}

/// One arrival of a request at a target. Positions count the events of all targets.
struct target_arrival {
    std::size_t position = 0;
    /// Position before the last bytes of the answer were sent; 0 if none were.
    std::size_t answered = 0;
    target_plan plan;
};

/// What all targets of a history saw. Thread-safe.
class target_log {
public:
    explicit target_log(unsigned seed)
        : m_seed(seed)
    {
    }

    /// Returns the number of this arrival, from 1.
    unsigned arrived(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        auto& all = m_arrivals[id];
        const auto number = static_cast<unsigned>(all.size()) + 1;
        all.push_back({ ++m_position, 0, planFor(m_seed, id, number) });
        return number;
    }
    void answers(const std::string& id, unsigned arrival)
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals[id][arrival - 1].answered = ++m_position;
    }
    void fault(const std::string& what)
    {
        const std::lock_guard lock(m_mutex);
        m_faults.push_back(what);
    }
    [[nodiscard]] target_plan plan(const std::string& id, unsigned arrival) const
    {
        return planFor(m_seed, id, arrival);
    }
    [[nodiscard]] std::vector<target_arrival> arrivals(const std::string& id) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_arrivals.find(id);
        return found == m_arrivals.end() ? std::vector<target_arrival>() : found->second;
    }
    [[nodiscard]] std::vector<std::string> faults() const
    {
        const std::lock_guard lock(m_mutex);
        return m_faults;
    }

private:
    unsigned m_seed;
    mutable std::mutex m_mutex;
    std::size_t m_position = 0;
    std::map<std::string, std::vector<target_arrival>> m_arrivals;
    std::vector<std::string> m_faults;
};

/// A target that does with each request as its plan says, with one thread for each connection.
class planned_target {
public:
    explicit planned_target(target_log& log)
        : m_log(log)
        , m_thread([this] { accept(); })
    {
    }
    planned_target(const planned_target&) = delete;
    planned_target& operator=(const planned_target&) = delete;
    ~planned_target()
    {
        m_stopped = true;
        m_thread.join();
        for (std::thread& each : m_connections)
            each.join();
    }

    [[nodiscard]] proxy::destination destination(unsigned connections) const
    {
        const endpoint address { "127.0.0.1", m_listener.address().port() };
        return { target_id { address.text() }, address, std::nullopt, connections };
    }

private:
    /// A connection, with the bytes that were received and not read.
    struct connection {
        Poco::Net::StreamSocket socket;
        std::string input {};
    };

    void accept()
    {
        const Poco::Timespan pollTime(0, 20000);
        while (!m_stopped) {
            if (!m_listener.poll(pollTime, Poco::Net::Socket::SELECT_READ))
                continue;
            m_connections.emplace_back([this, socket = m_listener.acceptConnection()] {
                connection self { socket };
                while (serveNext(self)) { }
            });
        }
    }

    bool receive(connection& self)
    {
        const Poco::Timespan pollTime(0, 20000);
        while (!m_stopped) {
            if (!self.socket.poll(pollTime, Poco::Net::Socket::SELECT_READ))
                continue;
            const auto got = proxy::detail::receiveInto(self.socket, self.input, 65536);
            if (got.state != proxy::detail::io_state::WouldBlock)
                return got.bytes > 0;
        }
        return false;
    }

    bool send(connection& self, std::string_view bytes)
    {
        while (!bytes.empty() && !m_stopped) {
            const auto sent = proxy::detail::sendSome(self.socket, bytes);
            if (sent.state == proxy::detail::io_state::Failed)
                return false;
            bytes.remove_prefix(sent.bytes);
            if (!bytes.empty())
                (void)self.socket.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_WRITE);
        }
        return bytes.empty();
    }

    bool serveNext(connection& self)
    {
        std::size_t end = 0;
        while ((end = self.input.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(self))
                return false;
        }
        const std::string head = self.input.substr(0, end + 4);
        self.input.erase(0, end + 4);
        const std::string id = fieldOf(head, "X-Id");
        if (head.find("/" + id + " HTTP/1.1\r\n") == std::string::npos)
            m_log.fault("request with another id or path: " + head);
        const unsigned arrival = m_log.arrived(id);
        const target_plan plan = m_log.plan(id, arrival);
        if (!plan.isEarly && !readBody(self, head, id))
            return false;
        std::this_thread::sleep_for(plan.delay);
        return answer(self, head, arrival) && (!plan.isEarly || readBody(self, head, id));
    }

    bool readBody(connection& self, const std::string& head, const std::string& id)
    {
        parsed_answer body;
        const std::string length = fieldOf(head, "Content-Length");
        const bool isChunked = !fieldOf(head, "Transfer-Encoding").empty();
        while (isChunked || !length.empty()) {
            std::string rest = self.input;
            body = {};
            if (isChunked)
                parseChunks(rest, body);
            else
                parseLength(rest, std::stoul(length), body);
            if (body.complete) {
                self.input = rest;
                break;
            }
            if (!receive(self))
                return false;
        }
        const std::string expected = fieldOf(head, "X-Bytes");
        if (body.body != (expected.empty() ? "" : namedText(id, 0, std::stoul(expected))))
            m_log.fault("body of " + id + " changed");
        return true;
    }

    bool answer(connection& self, const std::string& head, unsigned arrival)
    {
        using ending = target_plan::ending;
        const std::string id = fieldOf(head, "X-Id");
        const target_plan plan = m_log.plan(id, arrival);
        switch (plan.end) {
        case ending::Close:
            return false;
        case ending::Silent:
            while (receive(self)) { }
            return false;
        case ending::Refuse:
            return send(self,
                "HTTP/1.1 503 Busy\r\nX-Id: " + id
                    + "\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n");
        default:
            break;
        }
        const std::string text = answerText(head, arrival);
        const bool isCut = plan.end == ending::Cut;
        // All but the last byte: the answer can't be whole for the proxy before the next line.
        if (!send(
                self, std::string_view(text).substr(0, isCut ? text.size() / 2 : text.size() - 1)))
            return false;
        if (isCut) {
            // An orderly end would make an answer without a length whole.
            proxy::detail::resetOnClose(self.socket);
            return false;
        }
        m_log.answers(id, arrival);
        if (!send(self, std::string_view(text).substr(text.size() - 1)))
            return false;
        if (plan.end == ending::Twice && !send(self, text))
            return false;
        return text.find("Connection: close\r\n") == std::string::npos;
    }

    [[nodiscard]] std::string answerText(const std::string& head, unsigned arrival) const
    {
        const std::string id = fieldOf(head, "X-Id");
        const target_plan plan = m_log.plan(id, arrival);
        const std::string body = namedText(id, arrival, plan.bytes);
        std::string text = "HTTP/1.1 200 OK\r\nX-Id: " + id
            + "\r\nX-Arrival: " + std::to_string(arrival) + "\r\n";
        std::mt19937 random(arrival);
        const bool isHead = head.starts_with("HEAD ");
        switch (plan.framing) {
        case target_plan::shape::Length:
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            return isHead ? text : text + body;
        case target_plan::shape::Chunked:
            text += "Transfer-Encoding: chunked\r\n\r\n";
            return isHead ? text : text + chunked(body, random);
        case target_plan::shape::Unframed:
            text += "Connection: close\r\n\r\n";
            return isHead ? text : text + body;
        }
        return text;
    }

    target_log& m_log;
    Poco::Net::ServerSocket m_listener { Poco::Net::SocketAddress("127.0.0.1", 0) };
    std::atomic<bool> m_stopped { false };
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace pimentomast::test
