#include "helper/answer-parser.h"
#include "helper/body-target.h"
#include "helper/scripted-server.h"

#include <criterion/criterion.h>
#include <functional>
#include <thread>

using namespace pimentomast;
using namespace pimentomast::test;

/// The timeout of a route holds for the whole answer: one without end was passed on for as long as
/// its caller stayed, and one that paused was held for the body timeout of 30 s.
namespace {

using std::chrono::steady_clock;

constexpr milliseconds routeTimeout { 400 };
/// Far above the route's timeout and below the body timeout, so that a busy machine passes.
constexpr seconds endLimit { 15 };
constexpr milliseconds pause { 20 };
/// Ends targets whose peer never closes the connection.
constexpr seconds targetLimit { 25 };
constexpr std::size_t largeBytes = 8U << 20U;

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string unframedHead = "HTTP/1.1 200 OK\r\n\r\n";
const std::string lengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";

using script = std::function<void(Poco::Net::StreamSocket&)>;

/// Writes the start, then the piece again and again until the peer closes the connection.
script trickle(const std::string& start, const std::string& piece, milliseconds gap = pause)
{
    return [=](Poco::Net::StreamSocket& socket) {
        write(socket, start);
        const auto until = steady_clock::now() + targetLimit;
        while (steady_clock::now() < until) {
            write(socket, piece);
            std::this_thread::sleep_for(gap);
        }
    };
}

/// Writes the bytes and keeps the connection open until the peer closes it.
script stall(const std::string& bytes)
{
    return [=](Poco::Net::StreamSocket& socket) {
        write(socket, bytes);
        (void)socket.poll(Poco::Timespan(targetLimit.count(), 0), Poco::Net::Socket::SELECT_READ);
    };
}

/// A proxy in front of one target, with one route for all paths or, without a route, the services
/// of proxyTable().
class timed_host {
public:
    explicit timed_host(script serve, bool hasRoute = true)
        : m_server([serve = std::move(serve)](auto& socket, int) {
            while (!readRequest(socket).empty())
                serve(socket);
        })
        , fixture({ { target_id { "t" }, m_server.address(), std::nullopt, 64 } })
    {
        auto rows = std::make_shared<table::table>(*proxyTable());
        for (table::service_row& service : rows->services)
            service.deadline = routeTimeout;
        if (hasRoute)
            rows->routes = { route() };
        fixture.server->setTable(rows);
    }

private:
    static table::route_row route()
    {
        table::route_row row;
        row.id = "all";
        row.pathPrefix = "/";
        row.parts = { { service_id { "export" } } };
        row.repeatable = true;
        row.timeout = routeTimeout;
        return row;
    }

    scripted_server m_server;

public:
    proxy_fixture fixture;
};

struct ending {
    std::string received;
    bool wasReset = false;
    steady_clock::duration after {};
};

std::string get(const std::string& version = "1.1", const std::string& fields = {})
{
    return "GET /export/a HTTP/" + version + "\r\nHost: h\r\n" + fields + "\r\n";
}

std::string lastGet() { return get("1.1", "Connection: close\r\n"); }

/// Sends the requests and reads until the connection ends.
ending endingOf(const timed_host& host, const std::string& requests)
{
    raw_connection caller(host.fixture.address());
    const auto started = steady_clock::now();
    caller.send(requests);
    ending seen;
    seen.received = caller.readAll();
    seen.wasReset = caller.wasReset();
    seen.after = steady_clock::now() - started;
    return seen;
}

/// The answer ends after the timeout of the route, and visibly incomplete.
void expectCutAtTimeout(const char* name, const script& serve)
{
    const timed_host host(serve);
    const ending seen = endingOf(host, get());
    cr_expect(seen.after >= routeTimeout, "%s: ended too early", name);
    cr_expect(seen.after < endLimit, "%s: no end in time", name);
    const auto answers = parseAnswers(seen.received);
    cr_expect(answers.size() <= 1, "%s", name);
    for (const auto& answer : answers)
        cr_expect_not(answer.complete, "%s: looks complete", name);
}

} // namespace

Test(proxy_timeout, answer_without_end_is_cut_at_the_timeout)
{
    const std::string chunk = chunkOf(std::string(1000, 'g'));
    expectCutAtTimeout("chunks", trickle(chunkedHead, chunk));
    expectCutAtTimeout("no length", trickle(unframedHead, "goats"));
    expectCutAtTimeout("length", trickle(lengthHead, "g"));
    expectCutAtTimeout("chunk head", trickle(chunkedHead + "5;", "x"));
    expectCutAtTimeout("trailer", trickle(chunkedHead + "0\r\n", "X: y\r\n"));
    expectCutAtTimeout("chunks at full speed", trickle(chunkedHead, chunk, milliseconds(0)));
}

Test(proxy_timeout, answer_that_pauses_is_cut_at_the_timeout)
{
    expectCutAtTimeout("chunks", stall(chunkedHead + chunkOf("goats")));
    expectCutAtTimeout("no length", stall(unframedHead + "goats"));
    expectCutAtTimeout("length", stall(lengthHead + "goats"));
    expectCutAtTimeout("head alone", stall(lengthHead));
}

// A caller of HTTP/1.0 cannot tell a part from the whole answer unless the connection is reset.
Test(proxy_timeout, caller_of_http_1_0_sees_a_reset)
{
    const timed_host host(trickle(unframedHead, "goats"));
    const ending seen = endingOf(host, get("1.0"));
    cr_assert(seen.after < endLimit);
    cr_assert(seen.wasReset);
}

Test(proxy_timeout, answer_without_end_behind_another_ends_too)
{
    const timed_host host(trickle(chunkedHead, chunkOf("goats")));
    const ending seen = endingOf(host, get() + lastGet());
    cr_assert(seen.after < endLimit);
    for (const auto& answer : parseAnswers(seen.received))
        cr_assert(!answer.complete || answer.status >= 500, "%s", answer.head.c_str());
}

// The other side: only the target's part of the time counts if the answer states its length.
Test(proxy_timeout, slow_reader_gets_an_answer_with_a_length)
{
    const std::string body(largeBytes, 'g');
    const timed_host host([&](Poco::Net::StreamSocket& socket) {
        write(socket,
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body);
    });
    raw_connection caller(host.fixture.address());
    caller.socket().setReceiveBufferSize(65536);
    caller.send(lastGet());
    std::this_thread::sleep_for(3 * routeTimeout);
    const auto answers = parseAnswers(caller.readAll());
    cr_assert_eq(answers.size(), 1);
    cr_assert(answers[0].complete);
    cr_assert_eq(answers[0].body.size(), body.size());
}

// The other side: the deadline of a service without routes is for the head of the answer.
Test(proxy_timeout, long_answer_of_a_service_without_routes_goes_on)
{
    const timed_host host(
        [](Poco::Net::StreamSocket& socket) {
            write(socket, chunkedHead);
            for (int piece = 0; piece < 5; ++piece) {
                std::this_thread::sleep_for(routeTimeout / 2);
                write(socket, chunkOf("goats"));
            }
            write(socket, "0\r\n\r\n");
        },
        false);
    raw_connection caller(host.fixture.address());
    caller.send(lastGet());
    const auto answers = parseAnswers(caller.readAll());
    cr_assert_eq(answers.size(), 1);
    cr_assert(answers[0].complete);
}
