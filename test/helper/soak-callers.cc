#include "soak-callers.h"

#include <algorithm>
#include <sstream>

namespace pimentomast::test {

namespace {

/// A request that a host held for longer than this before it closed the connection did not cross
/// the close. Longer than even a busy machine delays a caller that waits for the close.
constexpr std::int64_t crossingLimitUs = 1'500'000;
constexpr unsigned pauseMaxMs = 30;
constexpr unsigned serviceMaxMs = 60;
constexpr unsigned pipelineMax = 4;
constexpr std::size_t bodyMax = 6000;

std::int64_t nowUs() { return monotonic_clock::now().time_since_epoch().count(); }

std::string chunked(const std::string& body)
{
    std::ostringstream text;
    const std::size_t half = body.size() / 2;
    for (const auto& piece : { body.substr(0, half), body.substr(half) })
        if (!piece.empty())
            text << std::hex << piece.size() << "\r\n" << piece << "\r\n";
    text << "0\r\n\r\n";
    return text.str();
}

std::string nameOf(soak_end end)
{
    switch (end) {
    case soak_end::Complete:
        return "complete";
    case soak_end::Unanswered:
        return "unanswered";
    case soak_end::Truncated:
        return "truncated";
    case soak_end::Hung:
        return "hung";
    case soak_end::NotSent:
        return "not sent";
    }
    return {};
}

std::string text(const soak_request& request, const std::string& what)
{
    std::ostringstream out;
    out << what << ": " << request.result.method << " " << request.result.path << " at "
        << request.host << ", sent at " << request.result.startUs << ", "
        << (request.result.endUs - request.result.startUs) / 1000 << " ms, status "
        << request.result.reply.status << (request.isPipelined ? ", pipelined" : "")
        << (request.isOnKeptConnection ? ", kept connection" : ", new connection");
    return out.str();
}

} // namespace

struct soak_callers::caller {
    unsigned thread = 0;
    unsigned count = 0;
    std::mt19937 random;
    std::optional<soak_connection> connection {};
    std::string host {};
    unsigned exchanges = 0;

    unsigned pick(unsigned below) { return static_cast<unsigned>(random() % below); }
};

soak_callers::soak_callers(const cluster& system, options chosen)
    : m_options(std::move(chosen))
{
    for (const auto& host : system.hosts())
        m_hosts.emplace_back(host.id, host.callerAddress);
    for (unsigned i = 0; i < m_options.threads; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

soak_callers::~soak_callers() { (void)stop(); }

std::vector<soak_request> soak_callers::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    return std::move(m_requests);
}

void soak_callers::run(unsigned thread)
{
    caller self { thread, 0, std::mt19937(m_options.seed * 1000 + thread) };
    while (!m_stopping) {
        if (!self.connection)
            connect(self);
        if (self.connection)
            exchange(self);
        // Every fourth caller opens a connection for each exchange.
        if (thread % 4 == 0)
            self.connection.reset();
        pause(self);
    }
}

void soak_callers::connect(caller& self) const
{
    const auto& [id, address] = m_hosts[self.pick(static_cast<unsigned>(m_hosts.size()))];
    self.connection = soak_connection::open(address);
    self.host = id;
    self.exchanges = 0;
}

void soak_callers::pause(caller& self) const
{
    auto length = milliseconds(self.pick(pauseMaxMs));
    if (self.pick(12) == 0)
        length = m_options.idleTime - milliseconds(20) + milliseconds(self.pick(140));
    std::this_thread::sleep_for(length);
}

soak_request soak_callers::makeRequest(caller& self, bool isPost) const
{
    const auto& service
        = m_options.services[self.pick(static_cast<unsigned>(m_options.services.size()))];
    std::ostringstream path;
    path << "/" << service << "/k" << self.pick(m_options.keys) << "?request=" << m_options.seed
         << "-" << self.thread << "-" << self.count++ << "&service_ms=" << self.pick(serviceMaxMs);
    soak_request made;
    made.result.method = isPost ? "POST" : "GET";
    made.result.path = path.str();
    made.host = self.host;
    made.isOnKeptConnection = self.exchanges > 0;
    return made;
}

std::string soak_callers::bytesOf(caller& self, const soak_request& request) const
{
    std::string head = request.result.method + " " + request.result.path
        + " HTTP/1.1\r\nHost: soak\r\nX-Caller: caller" + std::to_string(self.thread) + "\r\n";
    if (request.result.method == "GET")
        return head + "\r\n";
    const std::string body(self.pick(bodyMax), 'g');
    if (self.pick(2) == 0)
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body);
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void soak_callers::exchange(caller& self)
{
    const bool isPost = self.pick(2) == 0;
    const unsigned depth = isPost || self.thread % 4 == 1 ? 1 : 1 + self.pick(pipelineMax);
    std::vector<soak_request> requests;
    std::string bytes;
    for (unsigned i = 0; i < depth; ++i) {
        requests.push_back(makeRequest(self, isPost));
        requests.back().isPipelined = i > 0;
        bytes += bytesOf(self, requests.back());
    }
    const std::size_t split = self.pick(4) == 0 ? self.pick(bytes.size()) : bytes.size();
    bool sent = self.connection->send(bytes.substr(0, split));
    if (sent && split < bytes.size()) {
        std::this_thread::sleep_for(milliseconds(self.pick(pauseMaxMs)));
        sent = self.connection->send(bytes.substr(split));
    }
    const auto sentUs = nowUs();
    bool open = sent;
    for (auto& each : requests) {
        each.result.startUs = sentUs;
        if (sent)
            each.end = open ? self.connection->receive(each.result.reply) : soak_end::Unanswered;
        each.result.endUs = nowUs();
        open = open && each.end == soak_end::Complete
            && each.result.reply.field("Connection") != "close";
    }
    ++self.exchanges;
    if (!open)
        self.connection.reset();
    const std::lock_guard lock(m_mutex);
    m_requests.insert(m_requests.end(), requests.begin(), requests.end());
}

std::vector<std::string> findLost(
    const target_records& records, const std::vector<soak_request>& requests)
{
    std::set<std::string> ran;
    for (const auto& run : records.runs)
        ran.insert(run.method + " " + run.path);
    std::vector<std::string> lost;
    for (const auto& each : requests) {
        if (each.end == soak_end::Truncated)
            lost.push_back(text(each, "answer cut"));
        if (each.end == soak_end::Hung)
            lost.push_back(text(each, "neither an answer nor an end"));
        if (each.end != soak_end::Unanswered)
            continue;
        if (ran.contains(each.result.method + " " + each.result.path))
            lost.push_back(text(each, "ran, and its connection ended without an answer"));
        else if (!each.isPipelined && each.result.endUs - each.result.startUs > crossingLimitUs)
            lost.push_back(text(each, "held, and its connection ended without an answer"));
    }
    return lost;
}

std::map<std::string, unsigned> countEnds(const std::vector<soak_request>& requests)
{
    std::map<std::string, unsigned> counts;
    for (const auto& each : requests) {
        const auto& reply = each.result.reply;
        if (each.end != soak_end::Complete)
            ++counts[nameOf(each.end)
                + (each.isPipelined               ? ", pipelined"
                        : each.isOnKeptConnection ? ", kept connection"
                                                  : ", new connection")];
        else
            ++counts[std::to_string(reply.status) + " " + jsonField(reply.body, "reason")];
    }
    return counts;
}

} // namespace pimentomast::test
