#include "helper/answer-parser.h"
#include "helper/proxy-fixture.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/NumberParser.h>
#include <criterion/criterion.h>
#include <functional>
#include <thread>

using namespace pimentomast;
using namespace pimentomast::test;

namespace {

/// A target with one thread for each connection, which answers a request as the test says. An empty
/// answer is none.
class concurrent_target {
public:
    using answer_maker = std::function<std::string(const std::string& head)>;

    explicit concurrent_target(answer_maker answer)
        : m_answer(std::move(answer))
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] { accept(); })
    {
    }
    concurrent_target(const concurrent_target&) = delete;
    concurrent_target& operator=(const concurrent_target&) = delete;
    ~concurrent_target()
    {
        m_stopped = true;
        m_thread.join();
        for (std::thread& connection : m_connections)
            connection.join();
    }

    [[nodiscard]] proxy::destination destination() const
    {
        const endpoint address { "127.0.0.1", m_listener.address().port() };
        return { target_id { "t1" }, address, std::nullopt, 64 };
    }
    [[nodiscard]] std::vector<std::string> heads()
    {
        const std::lock_guard lock(m_mutex);
        return m_heads;
    }
    /// Returns whether a request for the path has arrived.
    [[nodiscard]] bool hasReceived(const std::string& path)
    {
        const auto received = heads();
        return std::any_of(received.begin(), received.end(), [&](const std::string& head) {
            return head.find(" " + path + " ") != std::string::npos;
        });
    }
    [[nodiscard]] bool isStopped() const { return m_stopped; }

private:
    static constexpr long pollMicroseconds = 20000;

    void accept()
    {
        while (!m_stopped) {
            if (!m_listener.poll(
                    Poco::Timespan(0, pollMicroseconds), Poco::Net::Socket::SELECT_READ))
                continue;
            const Poco::Net::StreamSocket socket = m_listener.acceptConnection();
            m_connections.emplace_back([this, socket] {
                try {
                    serve(socket);
                } catch (const Poco::Exception&) {
                    // The proxy has closed the connection.
                }
            });
        }
    }

    void serve(Poco::Net::StreamSocket socket)
    {
        std::string input;
        std::array<char, 65536> piece {};
        while (!m_stopped) {
            if (!socket.poll(Poco::Timespan(0, pollMicroseconds), Poco::Net::Socket::SELECT_READ))
                continue;
            const int got = socket.receiveBytes(piece.data(), piece.size());
            if (got <= 0)
                return;
            input.append(piece.data(), static_cast<std::size_t>(got));
            if (input.find("\r\n\r\n") == std::string::npos)
                continue;
            {
                const std::lock_guard lock(m_mutex);
                m_heads.push_back(input);
            }
            const std::string answer = m_answer(input);
            input.clear();
            if (!answer.empty())
                socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
        }
    }

    answer_maker m_answer;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_stopped { false };
    std::mutex m_mutex;
    std::vector<std::string> m_heads;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

std::string requestFor(const std::string& path, const std::string& id, milliseconds allowed,
    const std::string& method = "GET")
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id
        + "\r\nX-Left: " + std::to_string(allowed.count()) + "\r\n\r\n";
}

std::string fieldOf(const std::string& head, const std::string& name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Returns a whole answer whose body is the request's path, filled up to a size.
std::string echoOf(const std::string& head, std::size_t bytes = 0)
{
    const std::size_t begin = head.find(' ') + 1;
    std::string path = head.substr(begin, head.find(' ', begin) - begin);
    path.resize(std::max(path.size(), bytes), ' ');
    return "HTTP/1.1 200 OK\r\nX-Id: " + fieldOf(head, "X-Id")
        + "\r\nContent-Length: " + std::to_string(path.size()) + "\r\n\r\n" + path;
}

/// Reads this many answers with JSON bodies.
std::vector<parsed_answer> readAnswers(raw_connection& caller, std::size_t count)
{
    std::string input;
    while (parseAnswers(input).size() < count) {
        input += caller.readUntil("}\n");
        caller.clearInput();
    }
    return parseAnswers(input);
}

/// Long enough to be told apart from a second one on a busy machine.
constexpr milliseconds allowedTime { 3000 };
constexpr milliseconds longTime { 9000 };
constexpr milliseconds shortTime { 200 };
/// Larger than the buffers of the proxy and of the sockets.
constexpr std::size_t largeBytes = 8000000;

} // namespace

Test(proxy_pipeline, request_behind_a_silent_one_is_ended_at_its_own_deadline)
{
    concurrent_target target([](const std::string&) { return std::string(); });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    raw_connection caller(host.address());
    const auto sent = std::chrono::steady_clock::now();
    caller.send(
        requestFor("/weights/a", "1", allowedTime) + requestFor("/weights/b", "2", allowedTime));
    cr_assert_eq(readAnswers(caller, 2).size(), 2);
    const auto waited = std::chrono::steady_clock::now() - sent;
    cr_assert_lt(waited, allowedTime + allowedTime * 2 / 3, "held for %ld ms",
        static_cast<long>(std::chrono::duration_cast<milliseconds>(waited).count()));
}

Test(proxy_pipeline, target_is_told_the_time_left_since_the_request_arrived)
{
    concurrent_target target([](const std::string& head) {
        if (head.find(" /ledger/slow ") != std::string::npos)
            std::this_thread::sleep_for(allowedTime);
        return echoOf(head);
    });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.send(
        requestFor("/ledger/slow", "1", longTime) + requestFor("/weights/b", "2", longTime));
    cr_assert(waitUntil([&] { return target.hasReceived("/weights/b"); }));
    const int left = Poco::NumberParser::parse(fieldOf(target.heads().back(), "X-Left"));
    cr_assert_leq(left, (longTime - allowedTime).count(), "told %d ms", left);
}

Test(proxy_pipeline, repeatable_requests_do_not_wait_for_earlier_answers)
{
    concurrent_target* self = nullptr;
    concurrent_target target([&](const std::string& head) {
        if (head.find(" /weights/first ") != std::string::npos)
            (void)waitUntil([&] { return self->hasReceived("/weights/second"); });
        return echoOf(head);
    });
    self = &target;
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.send(requestFor("/weights/first", "1", allowedTime)
        + requestFor("/weights/second", "2", allowedTime));
    const auto answers = parseAnswers(caller.readUntil("/weights/second"));
    cr_assert_eq(answers.size(), 2);
    cr_assert_eq(answers[0].body, "/weights/first");
    cr_assert_eq(answers[1].body, "/weights/second");
}

Test(proxy_pipeline, request_that_may_not_be_repeated_waits_for_the_answers_before_it)
{
    std::atomic<bool> answered { false };
    std::atomic<bool> overtook { false };
    concurrent_target target([&](const std::string& head) {
        if (head.find(" /weights/first ") != std::string::npos) {
            std::this_thread::sleep_for(milliseconds(300));
            answered = true;
        } else if (!answered) {
            overtook = true;
        }
        return echoOf(head);
    });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.send(requestFor("/weights/first", "1", longTime)
        + requestFor("/ledger/once", "2", longTime, "DELETE")
        + requestFor("/weights/third", "3", longTime));
    const auto answers = parseAnswers(caller.readUntil("/weights/third"));
    cr_assert_eq(answers.size(), 3);
    cr_assert_not(overtook);
    const auto heads = target.heads();
    cr_assert_neq(heads[1].find("/ledger/once"), std::string::npos);
    cr_assert_neq(heads[2].find("/weights/third"), std::string::npos);
}

// Its time is up behind a request that may not be repeated, so that it is ended before it is sent.
Test(proxy_pipeline, request_whose_time_is_up_does_not_close_the_connection)
{
    concurrent_target target([](const std::string& head) {
        return head.find(" /ledger/slow ") != std::string::npos ? std::string() : echoOf(head);
    });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.send(requestFor("/ledger/slow", "1", shortTime, "DELETE")
        + requestFor("/weights/late", "2", milliseconds(1))
        + requestFor("/weights/next", "3", longTime));
    const auto answers = parseAnswers(caller.readUntil("/weights/next"));
    cr_assert_eq(answers.size(), 3);
    cr_assert_eq(answers[1].status, 504);
    cr_assert_eq(answers[1].head.find("Connection: close"), std::string::npos);
    cr_assert_eq(answers[2].body, "/weights/next");
}

Test(proxy_pipeline, answer_to_head_whose_time_is_up_has_no_body)
{
    concurrent_target target([](const std::string& head) {
        return head.find(" /ledger/slow ") != std::string::npos ? std::string() : echoOf(head);
    });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.send(requestFor("/ledger/slow", "1", shortTime, "DELETE")
        + requestFor("/weights/late", "2", milliseconds(1), "HEAD")
        + requestFor("/weights/next", "3", longTime));
    const std::string input = caller.readUntil("/weights/next");
    const std::size_t refused = input.find("HTTP/1.1 504 ");
    cr_assert_neq(refused, std::string::npos);
    const std::string behind = input.substr(input.find("\r\n\r\n", refused) + 4);
    cr_assert(behind.starts_with("HTTP/1.1 200 "), "%s", behind.c_str());
}

// The later answers are larger than the buffer of a request, so that each keeps its worker until
// its turn; the first request needs a worker for its second attempt.
Test(proxy_pipeline, answers_that_wait_for_their_turn_leave_a_worker_to_the_first)
{
    std::atomic<unsigned> attempts { 0 };
    concurrent_target target([&](const std::string& head) {
        if (head.find(" /weights/first ") != std::string::npos)
            return attempts++ < 1 ? std::string() : echoOf(head);
        return echoOf(head, largeBytes);
    });
    proxy::options settings = callersChooseIds();
    settings.workers = 2;
    proxy_fixture host({ target.destination() }, 2, settings);
    raw_connection caller(host.address());
    const auto sent = std::chrono::steady_clock::now();
    caller.send(requestFor("/weights/first", "1", shortTime)
        + requestFor("/weights/second", "2", longTime)
        + requestFor("/weights/third", "3", longTime));
    (void)caller.readUntil("HTTP/1.1 ");
    const auto waited = std::chrono::steady_clock::now() - sent;
    cr_assert_lt(waited, longTime, "held for %ld ms",
        static_cast<long>(std::chrono::duration_cast<milliseconds>(waited).count()));
}
