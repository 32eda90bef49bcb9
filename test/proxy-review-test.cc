#include "helper/answer-parser.h"
#include "helper/proxy-fixture.h"
#include "helper/scripted-server.h"

#include <Poco/NumberParser.h>
#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace pimentomast;
using namespace pimentomast::test;

/// Requests that run at the same time on one connection, and times that begin too late.
namespace {

/// Long enough to be told apart from none on a busy machine.
constexpr milliseconds waitedTime { 3000 };
constexpr milliseconds longTime { 9000 };
/// A target waits this long for a request that should not come.
constexpr milliseconds absenceTime { 1000 };
/// Exceeds the buffer of an answer that waits for its turn.
constexpr std::size_t largeBytes = 200000;

std::string requestFor(const std::string& method, const std::string& path, const std::string& id,
    milliseconds allowed, const std::string& more = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id
        + "\r\nX-Left: " + std::to_string(allowed.count()) + "\r\n" + more + "\r\n";
}

std::string get(const std::string& path, const std::string& id, const std::string& more = "")
{
    return requestFor("GET", path, id, longTime, more);
}

std::string fieldOf(const std::string& head, const std::string& name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string answerTo(const std::string& head, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + fieldOf(head, "X-Id")
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool isFor(const std::string& head, const std::string& path)
{
    return head.find(" " + path + " ") != std::string::npos;
}

/// A target with a thread for each connection. The test writes the answers; the connection ends
/// when it returns false.
class recording_target {
public:
    using handler
        = std::function<bool(recording_target&, Poco::Net::StreamSocket&, const std::string& head)>;

    explicit recording_target(handler answer)
        : m_answer(std::move(answer))
    {
    }

    [[nodiscard]] proxy::destination destination() const
    {
        return { target_id { "t1" }, m_server.address(), std::nullopt, 64 };
    }
    [[nodiscard]] std::string headFor(const std::string& path)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = std::find_if(m_heads.begin(), m_heads.end(),
            [&](const std::string& head) { return isFor(head, path); });
        return found == m_heads.end() ? std::string() : *found;
    }
    [[nodiscard]] bool hasReceived(const std::string& path) { return !headFor(path).empty(); }
    /// Returns the time in ms that the target was told to have for a request.
    [[nodiscard]] int leftFor(const std::string& path)
    {
        cr_assert(waitUntil([&] { return hasReceived(path); }));
        return Poco::NumberParser::parse(fieldOf(headFor(path), "X-Left"));
    }

private:
    void serve(Poco::Net::StreamSocket& socket)
    {
        for (auto head = readRequest(socket); !head.empty(); head = readRequest(socket)) {
            {
                const std::lock_guard lock(m_mutex);
                m_heads.push_back(head);
            }
            if (!m_answer(*this, socket, head))
                return socket.close();
        }
    }

    handler m_answer;
    std::mutex m_mutex;
    std::vector<std::string> m_heads;
    scripted_server m_server { [this](auto& socket, int) { serve(socket); } };
};

bool echo(recording_target&, Poco::Net::StreamSocket& socket, const std::string& head)
{
    write(socket, answerTo(head, "whole"));
    return true;
}

/// Blocks its first submission until the test releases it, as a lock that is held would.
class blocking_dispatcher : public fixed_dispatcher {
public:
    using fixed_dispatcher::fixed_dispatcher;

    void submit(const proxy::request_facts& facts, proxy::dispatch_sink& sink) override
    {
        if (!isBlocked.exchange(true))
            (void)waitUntil([this] { return isReleased.load(); });
        fixed_dispatcher::submit(facts, sink);
    }

    std::atomic<bool> isBlocked { false };
    std::atomic<bool> isReleased { false };
};

} // namespace

Test(proxy_review, request_behind_a_chunked_body_keeps_the_time_of_its_arrival)
{
    recording_target target(echo);
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    host.dispatcher.holdsRequests = true;
    raw_connection caller(host.address());
    caller.send(requestFor("PUT", "/weights/a", "1", longTime, "Transfer-Encoding: chunked\r\n")
        + "1\r\nv\r\n0\r\n\r\n" + get("/weights/b", "2"));
    cr_assert(waitUntil([&] { return host.dispatcher.waiting().size() == 1; }));
    std::this_thread::sleep_for(waitedTime);
    host.dispatcher.holdsRequests = false;
    const auto first = host.dispatcher.waiting().front().id;
    cr_assert(host.server->sink().forward(first, target.destination()));
    const int left = target.leftFor("/weights/b");
    cr_assert_leq(left, (longTime - waitedTime).count(), "told %d ms", left);
}

Test(proxy_review, only_the_last_answer_announces_that_the_connection_closes)
{
    constexpr milliseconds shortTime { 200 };
    recording_target target([&](auto&, auto& socket, const std::string& head) {
        if (isFor(head, "/weights/first"))
            std::this_thread::sleep_for(shortTime * 3);
        write(socket, answerTo(head, "whole"));
        return true;
    });
    auto settings = callersChooseIds();
    settings.workers = 1;
    proxy_fixture host({ target.destination() }, 1, settings);
    raw_connection caller(host.address());
    caller.send(get("/weights/first", "1") + requestFor("GET", "/weights/second", "2", shortTime)
        + get("/weights/third", "3") + get("/weights/last", "4", "Connection: close\r\n"));
    const auto answers = parseAnswers(caller.readAll());
    for (std::size_t i = 0; i + 1 < answers.size(); ++i)
        cr_expect_neq(fieldOf(answers[i].head, "Connection"), "close",
            "answer %zu of %zu, status %d", i + 1, answers.size(), answers[i].status);
}

Test(proxy_review, long_head_behind_a_running_request_is_read_to_its_end)
{
    std::atomic<bool> released { false };
    recording_target target([&](auto&, auto& socket, const std::string& head) {
        if (isFor(head, "/weights/first"))
            (void)waitUntil([&] { return released.load(); });
        write(socket, answerTo(head, isFor(head, "/weights/first") ? "first" : "second"));
        return true;
    });
    auto settings = callersChooseIds();
    settings.headBytes = 65536;
    proxy_fixture host({ target.destination() }, 1, settings);
    raw_connection caller(host.address());
    caller.socket().setReceiveTimeout(Poco::Timespan(10, 0));
    std::string fields;
    for (char name = 'a'; name < 'g'; ++name)
        fields += std::string("X-Long-") + name + ": " + std::string(7000, 'x') + "\r\n";
    const std::string second = get("/weights/second", "2", fields);
    caller.send(get("/weights/first", "1") + second.substr(0, second.size() - 2));
    cr_assert(waitUntil([&] { return target.hasReceived("/weights/first"); }));
    std::this_thread::sleep_for(absenceTime);
    released = true;
    caller.readUntil("first");
    caller.send("\r\n");
    cr_assert_neq(caller.readUntil("second").find("second"), std::string::npos);
}

Test(proxy_review, answer_that_waits_for_its_turn_leaves_a_worker_to_the_request_before_it)
{
    recording_target target([](auto&, auto& socket, const std::string& head) {
        write(socket, answerTo(head, std::string(largeBytes, 'x')));
        return true;
    });
    auto settings = callersChooseIds();
    settings.workers = 1;
    proxy_fixture host({ target.destination() }, 1, settings);
    host.dispatcher.holdsRequests = true;
    raw_connection caller(host.address());
    caller.send(get("/weights/first", "1") + get("/weights/second", "2"));
    cr_assert(waitUntil([&] { return host.dispatcher.waiting().size() == 2; }));
    const auto requests = host.dispatcher.waiting();
    cr_assert(host.server->sink().forward(requests[1].id, target.destination()));
    cr_assert(waitUntil([&] { return target.hasReceived("/weights/second"); }));
    cr_assert(host.server->sink().forward(requests[0].id, target.destination()));
    cr_assert(waitUntil([&] { return target.hasReceived("/weights/first"); }, longTime / 2));
}

Test(proxy_review, read_does_not_overtake_a_change_before_it)
{
    std::atomic<bool> overtook { false };
    recording_target target([&](auto& self, auto& socket, const std::string& head) {
        if (head.starts_with("PUT"))
            overtook = waitUntil([&] { return self.hasReceived("/weights/k?read"); }, absenceTime);
        write(socket, answerTo(head, "whole"));
        return true;
    });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.send(requestFor("PUT", "/weights/k?change", "1", longTime, "Content-Length: 1\r\n") + "v"
        + get("/weights/k?read", "2") + get("/weights/last", "3", "Connection: close\r\n"));
    cr_assert_eq(parseAnswers(caller.readAll()).size(), 3);
    cr_assert_not(overtook);
}

Test(proxy_review, request_passed_on_behind_a_large_answer_that_breaks_off_is_answered)
{
    recording_target target([](auto& self, auto& socket, const std::string& head) {
        if (!isFor(head, "/weights/first")) {
            write(socket, answerTo(head, "second"));
            return true;
        }
        (void)waitUntil([&] { return self.hasReceived("/weights/second"); }, absenceTime);
        const std::string whole = answerTo(head, std::string(largeBytes, 'x'));
        write(socket, whole.substr(0, whole.size() / 2));
        return false;
    });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.send(get("/weights/first", "1") + get("/weights/second", "2"));
    const bool isAnswered = caller.readUntil("second").find("second") != std::string::npos;
    cr_assert(isAnswered || !target.hasReceived("/weights/second"));
}

Test(proxy_review, large_answer_that_waits_for_its_turn_is_not_replaced_by_a_timeout)
{
    recording_target target([](auto&, auto& socket, const std::string& head) {
        const bool isFirst = isFor(head, "/weights/first");
        if (isFirst)
            std::this_thread::sleep_for(waitedTime);
        write(socket, answerTo(head, std::string(isFirst ? 1 : largeBytes, 'x')));
        return true;
    });
    auto settings = callersChooseIds();
    settings.bodyTimeout = waitedTime / 4;
    proxy_fixture host({ target.destination() }, 1, settings);
    raw_connection caller(host.address());
    caller.send(get("/weights/first", "1") + get("/weights/second", "2"));
    cr_assert(waitUntil([&] { return target.hasReceived("/weights/second"); }));
    caller.send(get("/weights/last", "3", "Connection: close\r\n"));
    const auto answers = parseAnswers(caller.readAll());
    cr_assert_geq(answers.size(), 2);
    cr_assert_eq(answers[1].status, 200, "status %d", answers[1].status);
    cr_assert_eq(answers[1].body.size(), largeBytes);
}

Test(proxy_review, request_that_comes_while_its_poller_is_busy_keeps_the_time_of_its_arrival)
{
    recording_target target(echo);
    blocking_dispatcher dispatcher({ target.destination() });
    null_observer observer;
    const auto server = proxy::server::start(callersChooseIds(), dispatcher, observer).value();
    server->setTable(proxyTable());
    raw_connection first(server->address());
    raw_connection second(server->address());
    first.send(get("/weights/a", "1"));
    cr_assert(waitUntil([&] { return dispatcher.isBlocked.load(); }));
    second.send(get("/weights/b", "2"));
    std::this_thread::sleep_for(waitedTime);
    dispatcher.isReleased = true;
    const int left = target.leftFor("/weights/b");
    cr_assert_leq(left, (longTime - waitedTime / 2).count(), "told %d ms", left);
}

Test(proxy_review, draining_host_closes_a_connection_that_always_has_a_next_request)
{
    constexpr int answersMax = 10;
    recording_target target([](auto& self, auto& socket, const std::string& head) {
        const int number = Poco::NumberParser::parse(fieldOf(head, "X-Id"));
        const std::string next = "/weights/" + std::to_string(number + 1);
        (void)waitUntil([&] { return self.hasReceived(next); }, absenceTime);
        write(socket, answerTo(head, "end" + std::to_string(number) + "."));
        return true;
    });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.send(get("/weights/1", "1") + get("/weights/2", "2"));
    cr_assert(waitUntil([&] { return target.hasReceived("/weights/2"); }));
    std::thread drain([&] { host.server->drain(waitedTime); });
    cr_assert(waitUntil([&] {
        return call(host.address(), { "GET", "/pimentomast/health" }).status == 503;
    }));
    int sent = 2;
    std::string received;
    for (int i = 1; i <= answersMax && received.find("Connection: close") == std::string::npos;
         ++i) {
        ++sent;
        try {
            caller.send(get("/weights/" + std::to_string(sent), std::to_string(sent)));
        } catch (const Poco::Exception&) {
            break;
        }
        received = caller.readUntil("end" + std::to_string(i) + ".");
    }
    caller.close();
    drain.join();
    cr_assert_neq(received.find("Connection: close"), std::string::npos);
}

Test(proxy_review, continued_download_is_told_the_time_that_its_caller_has_left)
{
    std::promise<int> told;
    recording_target target([&](auto&, auto& socket, const std::string& head) {
        if (!fieldOf(head, "Range").empty()) {
            told.set_value(Poco::NumberParser::parse(fieldOf(head, "X-Left")));
            write(socket,
                "HTTP/1.1 206 Partial Content\r\nX-Id: 1\r\nETag: \"e\"\r\nContent-Range: bytes "
                "5-9/10\r\nContent-Length: 5\r\n\r\n67890");
            return true;
        }
        write(
            socket, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nETag: \"e\"\r\nContent-Length: 10\r\n\r\n12345");
        std::this_thread::sleep_for(waitedTime);
        return false;
    });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.send(get("/export/x", "1"));
    cr_assert_neq(caller.readUntil("1234567890").find("1234567890"), std::string::npos);
    const int left = told.get_future().get();
    cr_assert_leq(left, (longTime - waitedTime).count(), "told %d ms", left);
}

Test(proxy_review, request_whose_target_stops_reading_ends_at_its_deadline)
{
    constexpr std::size_t bodyBytes = std::size_t { 64 } << 20U;
    std::atomic<bool> released { false };
    scripted_server target([&](auto&, int) { (void)waitUntil([&] { return released.load(); }); });
    proxy_fixture host(
        { { target_id { "t1" }, target.address(), std::nullopt, 64 } }, 1, callersChooseIds());
    raw_connection caller(host.address());
    caller.socket().setReceiveTimeout(Poco::Timespan(10, 0));
    std::thread upload([&] {
        try {
            caller.send(requestFor("POST", "/ledger/a", "1", waitedTime,
                "Content-Length: " + std::to_string(bodyBytes) + "\r\n"));
            caller.send(std::string(bodyBytes, 'x'));
        } catch (const Poco::Exception&) {
            // The host has closed the connection.
        }
    });
    std::string answer;
    try {
        answer = caller.readUntil("\r\n\r\n");
    } catch (const Poco::TimeoutException&) {
        answer = "none";
    }
    caller.socket().shutdown();
    upload.join();
    released = true;
    cr_assert(answer.starts_with("HTTP/1.1 50"), "%s", answer.c_str());
}
