#include "helper/pipeline-target.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>
#include <poll.h>

using namespace pimentomast;
using namespace pimentomast::test;
using proxy::detail::descriptor;
using proxy::detail::io_state;
using proxy::detail::receiveInto;
using proxy::detail::sendSome;

/// Random histories of callers that pipeline requests through one proxy.
/// PIMENTOMAST_PIPELINE_FIRST and PIMENTOMAST_PIPELINE_COUNT select the seeds.
namespace {

constexpr unsigned defaultFirstSeed = 13;
constexpr unsigned defaultSeeds = 3;
constexpr unsigned callerCount = 16;
constexpr unsigned requestsMax = 12;
constexpr unsigned shortestDeadlineMs = 200;
constexpr unsigned longestDeadlineMs = 1200;
/// Time past all deadlines after which a connection counts as hung; a busy machine needs less.
constexpr seconds hangTime { 10 };
constexpr seconds drainTime { 40 };
constexpr milliseconds readInterval { 5 };
constexpr std::size_t receiveBytes = 16384;
constexpr int slowReceiveBuffer = 4096;

unsigned fromEnvironment(const char* name, unsigned otherwise)
{
    const char* text = std::getenv(name);
    return text ? static_cast<unsigned>(std::atoi(text)) : otherwise;
}

/// A request of a caller; those without an id are answered by the proxy itself.
struct pipelined_request {
    std::string id;
    std::string method = "GET";
    std::string bytes;
    bool isRepeatable = true;
    int localStatus = 0;
};

/// What a caller does and what it saw.
struct caller_history {
    enum class leaving { Stays, Leaves, HalfCloses } end = leaving::Stays;
    std::vector<pipelined_request> requests;
    /// Bytes to be sent after a pause.
    std::vector<std::pair<milliseconds, std::string>> pieces;
    milliseconds leavesAfter { 0 };
    milliseconds readsAfter { 0 };
    std::vector<parsed_answer> answers;
    /// Bytes after the last whole answer.
    std::string rest;
    bool hasEnded = false;
    bool isHung = false;
};

/// Draws histories from a seed.
class history_maker {
public:
    explicit history_maker(unsigned seed)
        : m_random(seed)
    {
    }

    unsigned below(unsigned limit) { return static_cast<unsigned>(m_random() % limit); }
    bool oneIn(unsigned count) { return below(count) == 0; }

    caller_history make(unsigned caller)
    {
        caller_history made;
        const unsigned count = 1 + below(requestsMax);
        const bool lastCloses = oneIn(4);
        std::string bytes;
        for (unsigned i = 0; i < count; ++i) {
            const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(i);
            made.requests.push_back(makeRequest(id, lastCloses && i + 1 == count));
            bytes += made.requests.back().bytes;
        }
        split(bytes, made);
        if (oneIn(6))
            made.end
                = oneIn(3) ? caller_history::leaving::HalfCloses : caller_history::leaving::Leaves;
        made.leavesAfter = milliseconds(below(800));
        made.readsAfter = milliseconds(oneIn(5) ? below(600) : 0);
        return made;
    }

private:
    pipelined_request makeRequest(const std::string& id, bool closes)
    {
        pipelined_request made;
        made.id = id;
        std::string path = "/weights/" + id;
        std::string body;
        bool isChunked = false;
        switch (below(16)) {
        case 0:
            made = { {}, "GET", {}, true, 200 };
            path = "/pimentomast/health";
            break;
        case 1:
            made = { {}, "GET", {}, true, 404 };
            path = "/unknown";
            break;
        case 2:
        case 3:
            made.method = "HEAD";
            break;
        case 4:
        case 5:
            made.method = "PUT";
            body = namedText(id, 0, below(2000));
            break;
        case 6:
            made.method = "PUT";
            isChunked = true;
            body = namedText(id, 0, below(90000));
            break;
        case 7:
            made.method = "PUT";
            body = namedText(id, 0, below(90000));
            break;
        case 8:
            made.method = "POST";
            made.isRepeatable = false;
            body = namedText(id, 0, below(oneIn(3) ? 90000 : 500));
            isChunked = oneIn(3);
            break;
        case 9:
            made.method = "DELETE";
            made.isRepeatable = false;
            break;
        default:
            path = oneIn(3) ? "/export/" + id : path;
        }
        if (!made.isRepeatable)
            path = "/ledger/" + id;
        made.bytes = requestText(made, path, body, isChunked, closes);
        return made;
    }

    std::string requestText(const pipelined_request& request, const std::string& path,
        const std::string& body, bool isChunked, bool closes)
    {
        const unsigned leftMs = shortestDeadlineMs + below(longestDeadlineMs - shortestDeadlineMs);
        std::string text = request.method + " " + path
            + " HTTP/1.1\r\nHost: h\r\nX-Left: " + std::to_string(leftMs) + "\r\n";
        if (!request.id.empty())
            text += "X-Id: " + request.id + "\r\n";
        if (closes)
            text += "Connection: close\r\n";
        if (body.empty())
            return text + "\r\n";
        text += "X-Bytes: " + std::to_string(body.size()) + "\r\n";
        if (isChunked)
            return text + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, m_random);
        return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void split(const std::string& bytes, caller_history& made)
    {
        const unsigned largest = oneIn(2) ? 200000 : 1 + below(3000);
        for (std::size_t at = 0; at < bytes.size();) {
            const std::string piece = bytes.substr(at, 1 + below(largest));
            const milliseconds pause(oneIn(20) ? below(400) : below(4));
            made.pieces.emplace_back(pause, piece);
            at += piece.size();
        }
    }

    std::mt19937 m_random;
};

/// Removes the answer at the start of the input, if it is whole.
std::optional<parsed_answer> takeAnswer(std::string& input, bool isHead)
{
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    parsed_answer answer;
    answer.head = input.substr(0, end + 2);
    const auto digits = answer.head.substr(0, 12);
    if (!answer.head.starts_with("HTTP/1.1 ")
        || !Poco::NumberParser::tryParse(digits.substr(9), answer.status))
        return std::nullopt;
    std::string rest = input.substr(end + 4);
    if (isHead)
        answer.complete = true;
    else if (!fieldOf(answer.head, "Transfer-Encoding").empty())
        parseChunks(rest, answer);
    else
        parseLength(rest, std::stoul("0" + fieldOf(answer.head, "Content-Length")), answer);
    if (!answer.complete)
        return std::nullopt;
    input = rest;
    return answer;
}

/// Plays the part of a caller on a connection of its own.
class pipelining_caller {
public:
    pipelining_caller(const endpoint& server, caller_history& history)
        : m_history(history)
        , m_socket(Poco::Net::IPAddress::IPv4)
        , m_started(monotonic_clock::now())
    {
        if (history.readsAfter > milliseconds(0))
            m_socket.setReceiveBufferSize(slowReceiveBuffer);
        m_socket.connect(Poco::Net::SocketAddress(server.ip, server.port));
        m_lastSent = m_started;
    }

    void run()
    {
        using leaving = caller_history::leaving;
        while (!isOver()) {
            sendNext();
            if (m_history.end != leaving::Stays && isPast(m_started + m_history.leavesAfter)) {
                if (m_history.end == leaving::Leaves)
                    return;
                if (!m_isHalfClosed)
                    proxy::detail::shutdownSend(m_socket);
                m_isHalfClosed = true;
            }
            if (isPast(m_started + m_history.readsAfter))
                read();
            else
                std::this_thread::sleep_for(readInterval);
        }
    }

private:
    static bool isPast(instant time) { return monotonic_clock::now() >= time; }

    bool isOver()
    {
        const auto limit = milliseconds(longestDeadlineMs) + m_history.readsAfter + hangTime;
        m_history.isHung = isPast(m_lastSent + limit);
        return m_history.isHung || m_history.hasEnded
            || m_history.answers.size() == m_history.requests.size();
    }

    void sendNext()
    {
        if (m_isHalfClosed || m_nextPiece == m_history.pieces.size())
            return;
        auto& [pause, piece] = m_history.pieces[m_nextPiece];
        if (!isPast(m_lastSent + pause))
            return;
        const auto sent = sendSome(m_socket, piece);
        if (sent.bytes > 0)
            m_lastSent = monotonic_clock::now();
        piece.erase(0, sent.bytes);
        if (piece.empty() || sent.state == io_state::Failed)
            ++m_nextPiece;
    }

    void read()
    {
        pollfd watched { descriptor(m_socket), POLLIN, 0 };
        (void)::poll(&watched, 1, static_cast<int>(readInterval.count()));
        const auto got = receiveInto(m_socket, m_history.rest, receiveBytes);
        while (m_history.answers.size() < m_history.requests.size()) {
            const auto& request = m_history.requests[m_history.answers.size()];
            auto answer = takeAnswer(m_history.rest, request.method == "HEAD");
            if (!answer)
                break;
            m_history.answers.push_back(std::move(*answer));
        }
        m_history.hasEnded = got.state == io_state::EndOfStream || got.state == io_state::Failed;
    }

    caller_history& m_history;
    Poco::Net::StreamSocket m_socket;
    instant m_started;
    instant m_lastSent;
    std::size_t m_nextPiece = 0;
    bool m_isHalfClosed = false;
};

/// Finds what a connection's answers and its targets' log say against the rules.
class history_check {
public:
    history_check(const caller_history& history, const target_log& log, bool isDraining)
        : m_history(history)
        , m_log(log)
        , m_isDraining(isDraining)
    {
    }

    std::vector<std::string> run()
    {
        for (std::size_t i = 0; i < m_history.requests.size(); ++i) {
            if (i < m_history.answers.size())
                checkAnswer(i);
            else
                checkUnanswered(i);
            if (!m_history.requests[i].isRepeatable)
                checkSingleRun(i);
        }
        checkEnd();
        return m_faults;
    }

private:
    void expect(bool holds, std::size_t i, const std::string& what)
    {
        if (holds)
            return;
        const auto& request = m_history.requests[i];
        const std::string name = request.id.empty() ? "local request" : request.id;
        std::string text = name + " (" + request.method + "): " + what;
        if (i < m_history.answers.size())
            text += "\n  " + m_history.answers[i].head.substr(0, 300)
                + m_history.answers[i].body.substr(0, 200);
        m_faults.push_back(text);
    }

    [[nodiscard]] std::size_t runs(std::size_t i) const
    {
        const auto all = m_log.arrivals(m_history.requests[i].id);
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
            [](const auto& each) { return each.plan.end != target_plan::ending::Refuse; }));
    }

    [[nodiscard]] bool closes(std::size_t i) const
    {
        return fieldOf(m_history.answers[i].head, "Connection") == "close";
    }

    /// Returns the arrival that was answered with success, from 1; 0 if none was.
    [[nodiscard]] unsigned answeredArrival(std::size_t i) const
    {
        if (i >= m_history.answers.size() || m_history.answers[i].status != 200)
            return 0;
        return static_cast<unsigned>(
            std::stoul("0" + fieldOf(m_history.answers[i].head, "X-Arrival")));
    }

    void checkAnswer(std::size_t i)
    {
        const auto& request = m_history.requests[i];
        const auto& answer = m_history.answers[i];
        expect(i + 1 >= m_history.answers.size() || !closes(i), i,
            "announces the end of its connection, with answers behind it");
        if (request.id.empty())
            return checkLocalAnswer(i);
        if (answer.status != 200) {
            const std::set<int> own { 408, 502, 503, 504 };
            expect(own.contains(answer.status) && fieldOf(answer.head, "X-Id").empty(), i,
                "failure that is not the proxy's own");
            const bool promises = answer.status == 503 || answer.status == 408;
            expect(!promises || request.isRepeatable || runs(i) == 0, i, "refused and has run");
            return;
        }
        const unsigned arrival = answeredArrival(i);
        expect(fieldOf(answer.head, "X-Id") == request.id && arrival > 0, i, "answer of another");
        const auto bytes = m_log.plan(request.id, arrival).bytes;
        expect(request.method == "HEAD" || answer.body == namedText(request.id, arrival, bytes), i,
            "another body than its target's, of " + std::to_string(answer.body.size()) + " bytes");
    }

    void checkLocalAnswer(std::size_t i)
    {
        const auto& answer = m_history.answers[i];
        const int expected = m_history.requests[i].localStatus;
        const bool isStopping = m_isDraining && answer.status == 503;
        expect(answer.status == expected || isStopping, i, "local answer of another status");
        expect(expected != 200 || isStopping || answer.body == "healthy\n", i,
            "another body than that of the health check");
    }

    void checkUnanswered(std::size_t i)
    {
        if (m_history.end != caller_history::leaving::Stays || m_history.isHung)
            return;
        const bool isBrokenOff = !m_history.rest.empty();
        expect(isBrokenOff || runs(i) == 0, i, "has run and is not answered");
        const bool isAnnounced = !m_history.answers.empty() && closes(m_history.answers.size() - 1);
        expect(isBrokenOff || isAnnounced || m_isDraining, i, "is not answered");
    }

    void checkSingleRun(std::size_t i)
    {
        expect(runs(i) <= 1, i, "ran more than once");
        const auto own = m_log.arrivals(m_history.requests[i].id);
        if (own.empty())
            return;
        for (std::size_t j = 0; j < m_history.requests.size(); ++j) {
            const auto& other = m_history.requests[j];
            const auto arrivals = m_log.arrivals(other.id);
            const unsigned answered = answeredArrival(j);
            if (j < i && answered > 0)
                expect(arrivals.back().position < own.front().position
                        && arrivals[answered - 1].answered < own.front().position,
                    i, "runs before " + other.id + " is answered");
            if (j > i && !arrivals.empty() && answeredArrival(i) > 0)
                expect(arrivals.front().position > own[answeredArrival(i) - 1].answered, i,
                    other.id + " behind it runs before it is answered");
        }
    }

    void checkEnd()
    {
        const std::size_t next = m_history.answers.size();
        const std::size_t last = std::min(next, m_history.requests.size() - 1);
        expect(!m_history.isHung, last, "hangs");
        if (m_history.rest.empty() || m_history.end != caller_history::leaving::Stays)
            return;
        const std::string shown = m_history.rest.substr(0, 300);
        if (next == m_history.requests.size())
            return expect(false, last, "bytes after the last answer: " + shown);
        const auto arrivals = m_log.arrivals(m_history.requests[next].id);
        const bool isCut = std::any_of(arrivals.begin(), arrivals.end(),
            [](const auto& each) { return each.plan.end == target_plan::ending::Cut; });
        expect(isCut, next, "broken off though its target did not: " + shown);
        const std::string id = fieldOf(m_history.rest, "X-Id");
        expect(id.empty() || id == m_history.requests[next].id, next, "part of another answer");
    }

    const caller_history& m_history;
    const target_log& m_log;
    bool m_isDraining;
    std::vector<std::string> m_faults;
};

void play(proxy_fixture& host, std::vector<caller_history>& histories)
{
    std::vector<std::thread> threads;
    threads.reserve(histories.size());
    for (auto& history : histories)
        threads.emplace_back([&] {
            try {
                pipelining_caller(host.address(), history).run();
            } catch (const Poco::Exception&) {
                // The host has stopped accepting.
                history.hasEnded = true;
            }
        });
    for (auto& thread : threads)
        thread.join();
}

proxy::options drawOptions(history_maker& draw)
{
    proxy::options settings = callersChooseIds();
    settings.pollers = 1 + draw.below(2);
    settings.workers = 16 + draw.below(100);
    settings.drainIdleTimeout = milliseconds(100 + draw.below(400));
    return settings;
}

/// Drains and returns what is left afterwards.
std::vector<std::string> drainAndCheck(proxy_fixture& host, milliseconds accepting)
{
    host.server->drain(accepting, monotonic_clock::now() + drainTime);
    const auto isDone = [&] {
        const auto left = host.server->state();
        return left.connections + left.running + left.waiting + host.dispatcher.waiting().size()
            == 0;
    };
    if (waitUntil(isDone, hangTime))
        return {};
    const auto left = host.server->state();
    return { "left after the drain: " + std::to_string(left.connections) + " connections, "
        + std::to_string(left.running) + " running, " + std::to_string(left.waiting) + " waiting, "
        + std::to_string(host.dispatcher.waiting().size()) + " at the dispatcher" };
}

/// Returns how many requests were answered, and how many by a target.
std::string countsText(const std::vector<caller_history>& histories)
{
    std::size_t requests = 0;
    std::size_t answers = 0;
    std::size_t successes = 0;
    for (const auto& history : histories) {
        requests += history.requests.size();
        answers += history.answers.size();
        successes += static_cast<std::size_t>(
            std::count_if(history.answers.begin(), history.answers.end(),
                [](const auto& each) { return !fieldOf(each.head, "X-Arrival").empty(); }));
    }
    return std::to_string(answers) + " of " + std::to_string(requests) + " answered, "
        + std::to_string(successes) + " by targets";
}

/// Returns what a history has against the rules; empty if nothing.
std::vector<std::string> playSeed(unsigned seed)
{
    history_maker draw(seed);
    target_log log(seed);
    planned_target first(log);
    planned_target second(log);
    const unsigned connections = draw.oneIn(4) ? 8 : 64;
    const std::vector<proxy::destination> targets { first.destination(connections),
        second.destination(connections) };
    proxy_fixture host(targets, 1 + draw.below(3), drawOptions(draw));
    host.dispatcher.recordsAttempts = false;
    std::vector<caller_history> histories;
    for (unsigned caller = 0; caller < callerCount; ++caller)
        histories.push_back(draw.make(caller));
    const bool drainsMeanwhile = draw.oneIn(3);
    const milliseconds drainsAfter(draw.below(700));
    std::vector<std::string> faults;
    std::thread callers([&] { play(host, histories); });
    if (drainsMeanwhile) {
        std::this_thread::sleep_for(drainsAfter);
        faults = drainAndCheck(host, milliseconds(100));
    }
    callers.join();
    if (!drainsMeanwhile)
        faults = drainAndCheck(host, milliseconds(0));
    for (const auto& each : log.faults())
        faults.push_back(each);
    for (const auto& history : histories)
        for (const auto& each : history_check(history, log, drainsMeanwhile).run())
            faults.push_back(each);
    std::fprintf(
        stderr, "seed %u: %zu faults, %s\n", seed, faults.size(), countsText(histories).c_str());
    return faults;
}

} // namespace

Test(proxy_pipeline_random, answers_keep_their_order_and_belong_to_their_requests)
{
    const auto first = fromEnvironment("PIMENTOMAST_PIPELINE_FIRST", defaultFirstSeed);
    const auto count = fromEnvironment("PIMENTOMAST_PIPELINE_COUNT", defaultSeeds);
    for (unsigned seed = first; seed < first + count; ++seed) {
        const auto faults = playSeed(seed);
        std::string text;
        for (const auto& each : faults)
            text += each + "\n";
        cr_expect(faults.empty(), "seed %u:\n%s", seed, text.c_str());
    }
}
