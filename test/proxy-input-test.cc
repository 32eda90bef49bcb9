#include "helper/proxy-fixture.h"

#include <criterion/criterion.h>
#include <sys/resource.h>
#include <thread>

using namespace pimentomast;
using namespace pimentomast::test;
using proxy::reason;

namespace {

struct bad_input {
    reason why;
    int status;
    std::string bytes;
};

const std::string hostLine = "Host: h\r\n";

std::string get(const std::string& fields)
{
    return "GET /weights/g1 HTTP/1.1\r\n" + hostLine + fields + "\r\n";
}

std::string post(const std::string& fields, const std::string& body)
{
    return "POST /ledger/k1 HTTP/1.1\r\n" + hostLine + fields + "\r\n" + body;
}

std::string line(const std::string& requestLine)
{
    return requestLine + "\r\n" + hostLine + "\r\n";
}

std::vector<bad_input> badInputs()
{
    const std::string inner = "0\r\n\r\nGET /weights/inner HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    return {
        { reason::LengthAndEncoding, 400, post("Content-Length: 4\r\n" + chunked, inner) },
        { reason::LengthAndEncoding, 400, post(chunked + "Content-Length: 4\r\n", inner) },
        { reason::LengthAndEncoding, 400,
            post("content-length: 0\r\ntransfer-encoding: x\r\n", "") },
        { reason::RepeatedLength, 400,
            post("Content-Length: 5\r\nContent-Length: 5\r\n", "goats") },
        { reason::RepeatedLength, 400,
            post("Content-Length: 5\r\nContent-Length: 6\r\n", "goats") },
        { reason::RepeatedLength, 400, post("Content-Length: 5, 5\r\n", "goats") },
        { reason::BadLength, 400, post("Content-Length: +5\r\n", "goats") },
        { reason::BadLength, 400, post("Content-Length: -5\r\n", "goats") },
        { reason::BadLength, 400, post("Content-Length: 0x5\r\n", "goats") },
        { reason::BadLength, 400, post("Content-Length: 5 5\r\n", "goats") },
        { reason::BadLength, 400, post("Content-Length:\r\n", "goats") },
        { reason::BadLength, 400, post("Content-Length: 99999999999999999999\r\n", "goats") },
        { reason::UnsupportedEncoding, 501, post("Transfer-Encoding: gzip, chunked\r\n", inner) },
        { reason::UnsupportedEncoding, 501,
            post("Transfer-Encoding: chunked, chunked\r\n", inner) },
        { reason::UnsupportedEncoding, 501, post(chunked + chunked, inner) },
        { reason::UnsupportedEncoding, 501, post("Transfer-Encoding: identity\r\n", "") },
        { reason::UnsupportedEncoding, 501, post("Transfer-Encoding: \"chunked\"\r\n", inner) },
        { reason::UnsupportedEncoding, 501,
            "POST /ledger/k1 HTTP/1.0\r\n" + chunked + "\r\n" + inner },
        { reason::BareLineEnding, 400, "GET /weights/g1 HTTP/1.1\nHost: h\n\n" },
        { reason::BareLineEnding, 400, get("A: b\nC: d\r\n") },
        { reason::BareLineEnding, 400, get("A: b\rC: d\r\n") },
        { reason::BareLineEnding, 400, get("A: b\r\r\n") },
        { reason::FoldedField, 400, get("A: b\r\n c\r\n") },
        { reason::FoldedField, 400, get("A: b\r\n\tContent-Length: 7\r\n") },
        { reason::MalformedHead, 400, get("A : b\r\n") },
        { reason::MalformedHead, 400, get("Transfer-Encoding : chunked\r\n") },
        { reason::MalformedHead, 400, get("no colon\r\n") },
        { reason::MalformedHead, 400, get(": empty name\r\n") },
        { reason::MalformedHead, 400, get(std::string("A: b\0c\r\n", 8)) },
        { reason::MalformedHead, 400, get("A(b): c\r\n") },
        { reason::MalformedHead, 400, line("GET") },
        { reason::MalformedHead, 400, "\r\n\r\n\r\n\r\n" },
        { reason::BadVersion, 505, line("GET /weights/g1 HTTP/2.0") },
        { reason::BadVersion, 505, line("GET /weights/g1 HTTP/1.2") },
        { reason::UnknownMethod, 501, line("BREW /weights/g1 HTTP/1.1") },
        { reason::UnknownMethod, 501, line("get /weights/g1 HTTP/1.1") },
        { reason::UnknownMethod, 501, line("CONNECT h:80 HTTP/1.1") },
        { reason::UnknownMethod, 501, line("TRACE /weights/g1 HTTP/1.1") },
        { reason::BadTarget, 400, line("GET weights/g1 HTTP/1.1") },
        { reason::BadTarget, 400, line("OPTIONS * HTTP/1.1") },
        { reason::BadTarget, 400, line("GET ftp://h/weights/g1 HTTP/1.1") },
        { reason::BadTarget, 400, line("GET http:///weights/g1 HTTP/1.1") },
        { reason::BadTarget, 400, line("GET /weights/g1 g2 HTTP/1.1") },
        { reason::BadTarget, 400, line("GET /weights/g%1 HTTP/1.1") },
        { reason::BadTarget, 400, line("GET /weights/%00 HTTP/1.1") },
        { reason::BadTarget, 400, line("GET /weights/a%0d%0aX:y HTTP/1.1") },
        { reason::BadTarget, 400, line("GET /weights/../ledger/k1 HTTP/1.1") },
        { reason::BadTarget, 400, line("GET /weights/%2e%2e/ledger/k1 HTTP/1.1") },
        { reason::BadTarget, 400, line("GET /weights/g1#part HTTP/1.1") },
        { reason::BadTarget, 400, line("GET /weights\\g1 HTTP/1.1") },
        { reason::BadHost, 400, "GET /weights/g1 HTTP/1.1\r\n\r\n" },
        { reason::BadHost, 400, get("Host: h2\r\n") },
        { reason::BadHost, 400, "GET /weights/g1 HTTP/1.1\r\nHost: a b\r\n\r\n" },
        { reason::BadHost, 400, "GET /weights/g1 HTTP/1.1\r\nHost: a@b/c\r\n\r\n" },
        { reason::BadHost, 400, line("GET http://user@h/weights/g1 HTTP/1.1") },
        { reason::ReservedPath, 403, line("GET /pimentomast/grants HTTP/1.1") },
        { reason::ReservedPath, 403, line("GET /%70imentomast/grants HTTP/1.1") },
        { reason::ReservedPath, 403, line("GET //pimentomast//grants HTTP/1.1") },
        { reason::ReservedPath, 403, line("GET /Pimentomast HTTP/1.1") },
        { reason::ReservedField, 400, get("Pimentomast-Token: 9.9\r\n") },
        { reason::ReservedField, 400, get("pimentomast_token: 9.9\r\n") },
        { reason::ReservedField, 400, get("Pimentomast-Outcome: not-run\r\n") },
        { reason::BadConnectionField, 400, get("Connection: close, Host\r\n") },
        { reason::BadConnectionField, 400, get("Connection: content-length\r\n") },
        { reason::BadConnectionField, 400, get("Connection: Pimentomast-Token\r\n") },
        { reason::UnsupportedExpectation, 417, get("Expect: 200-maybe\r\n") },
        { reason::HeadTooLarge, 431,
            "GET /weights/g1 HTTP/1.1\r\n" + hostLine + "A: " + std::string(20000, 'a') },
        { reason::LineTooLong, 431, get("A: " + std::string(9000, 'a') + "\r\n") },
        { reason::LineTooLong, 431, line("GET /weights/" + std::string(9000, 'a') + " HTTP/1.1") },
        { reason::NoService, 404, line("GET /elsewhere HTTP/1.1") },
        { reason::NoKey, 400, line("GET /weights HTTP/1.1") },
        { reason::NoKey, 400, line("GET /weights/ HTTP/1.1") },
    };
}

std::string manyFields()
{
    std::string fields;
    for (int i = 0; i < 150; ++i)
        fields += "F" + std::to_string(i) + ": v\r\n";
    return fields;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

void expectRefusal(proxy_fixture& host, const bad_input& input)
{
    const auto before = host.server->counts().count(input.why);
    raw_connection caller(host.address());
    caller.send(input.bytes);
    const std::string response = caller.readAll();
    const std::string head = "HTTP/1.1 " + std::to_string(input.status) + " ";
    const std::string wanted = "\"reason\":\"" + std::string(name(input.why)) + "\"";
    cr_expect(response.starts_with(head), "%s gave %s", input.bytes.c_str(), response.c_str());
    cr_expect(contains(response, wanted), "%s gave %s", input.bytes.c_str(), response.c_str());
    cr_expect(contains(response, "Pimentomast-Outcome: not-run"));
    cr_expect_eq(host.server->counts().count(input.why), before + 1);
    cr_expect_eq(response.find("HTTP/1.1", 1), std::string::npos, "%s: a second response",
        input.bytes.c_str());
}

bool isServed(const proxy_fixture& host)
{
    const auto reply = call(host.address(), { "GET", "/weights/honest" });
    return reply.status == 200 && reply.complete;
}

} // namespace

Test(proxy_input, each_bad_input_is_refused_with_its_reason_and_reaches_no_target)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    auto inputs = badInputs();
    inputs.push_back({ reason::TooManyFields, 431, get(manyFields()) });
    for (const bad_input& input : inputs)
        expectRefusal(host, input);
    cr_assert(target.record("\"kind\":\"request\"").empty());
    cr_assert(isServed(host));
}

Test(proxy_input, bad_inputs_sent_byte_by_byte_are_refused)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    for (const bad_input& input : badInputs()) {
        if (input.bytes.size() > 200)
            continue;
        raw_connection caller(host.address());
        try {
            for (const char byte : input.bytes) {
                caller.send(std::string(1, byte));
                if (byte == '\r' || byte == '\n')
                    std::this_thread::sleep_for(milliseconds(1));
            }
        } catch (const Poco::Exception&) {
            // The proxy refused the request and closed the connection before its last byte.
        }
        const std::string response = caller.readAll();
        if (!caller.wasReset())
            cr_expect(contains(response, name(input.why).data()), "%s gave %s", input.bytes.c_str(),
                response.c_str());
    }
    cr_assert(target.record("\"kind\":\"request\"").empty());
}

Test(proxy_input, valid_requests_reach_the_target)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    const std::vector<std::string> accepted {
        line("GET http://other:81/weights/g1?a=%20b HTTP/1.1"),
        "\r\nGET /weights/g1?a=%20b HTTP/1.1\r\nhOST: h\r\n\r\n",
        "GET /weights/g1?a=%20b HTTP/1.0\r\n\r\n",
        get("Connection: X-Own, keep-alive\r\nX-Own: 1\r\nUpgrade: h2c\r\nTE: trailers\r\n"),
        get("Encoded: =?ISO-8859-1?Q?a=0D=0APimentomast-Token:_9.9?=\r\n"),
    };
    for (const std::string& bytes : accepted) {
        raw_connection caller(host.address());
        caller.send(bytes);
        const std::string response = caller.readUntil("}\n");
        cr_expect(
            response.starts_with("HTTP/1.1 200"), "%s gave %s", bytes.c_str(), response.c_str());
    }
    cr_assert_eq(target.runs("/weights/g1?a=%20b"), 3);
}

Test(proxy_input, bad_chunks_end_the_connection_without_a_second_request)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    for (const char* body : { "5x\r\ngoats\r\n0\r\n\r\n", "-5\r\ngoats\r\n0\r\n\r\n",
             "5\ngoats\n0\n\n", "5\r\ngoatsX\r\n0\r\n\r\n", "0x5\r\ngoats\r\n0\r\n\r\n",
             "fffffffffffffffff\r\ngoats", "\r\n0\r\n\r\n" }) {
        raw_connection caller(host.address());
        caller.send(post("Transfer-Encoding: chunked\r\n", body)
            + "GET /weights/inner HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string response = caller.readAll();
        cr_expect(contains(response, "malformed-body"), "%s gave %s", body, response.c_str());
    }
    cr_assert_eq(target.runs("/weights/inner"), 0);
    cr_assert(target.record("completed").empty());
}

Test(proxy_input, slow_heads_and_bodies_time_out)
{
    proxy::options settings;
    settings.headTimeout = milliseconds(300);
    settings.bodyTimeout = milliseconds(300);
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() }, 1, settings);
    const std::vector<std::pair<std::string, reason>> slow {
        { "GET /weights/g1 HTTP/1.1\r\nHost", reason::HeadTimeout },
        { post("Content-Length: 100\r\n", "goats"), reason::BodyTimeout },
        { post("Content-Length: 100000\r\n", std::string(50000, 'g')), reason::BodyTimeout },
        { post("Transfer-Encoding: chunked\r\n", "5\r\ngo"), reason::BodyTimeout },
    };
    for (const auto& [bytes, why] : slow) {
        raw_connection caller(host.address());
        caller.send(bytes);
        const std::string response = caller.readAll();
        cr_expect(contains(response, "HTTP/1.1 408"), "%s", response.c_str());
        cr_expect(contains(response, name(why).data()), "%s", response.c_str());
    }
    cr_assert(target.record("completed").empty());
    cr_assert(isServed(host));
}

Test(proxy_input, upload_below_the_minimum_rate_times_out)
{
    proxy::options settings;
    settings.bodyTimeout = milliseconds(500);
    settings.minBodyBytesPerSecond = 100000;
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() }, 1, settings);
    raw_connection caller(host.address());
    caller.send(post("Content-Length: 1000000\r\n", std::string(5000, 'g')));
    cr_assert(waitUntil([&] {
        caller.send("g");
        return caller.socket().poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ);
    }));
    cr_assert(contains(caller.readUntil("}\n"), "body-timeout"));
}

Test(proxy_input, thousands_of_idle_and_slow_callers_do_not_block_others)
{
    rlimit files {};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    constexpr std::size_t idleCallers = 3000;
    proxy::options settings;
    settings.maxCallerConnections = idleCallers + 10;
    settings.workers = 8;
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() }, 1, settings);
    std::vector<raw_connection> idle;
    idle.reserve(idleCallers);
    for (std::size_t i = 0; i < idleCallers; ++i) {
        idle.emplace_back(host.address());
        if (i % 3 == 1)
            idle.back().send("GET /weights/slow HTTP/1.1\r\nHo");
        if (i % 3 == 2)
            idle.back().send(post("Content-Length: 9\r\n", "half"));
    }
    cr_assert(waitUntil([&] { return host.server->state().connections == idleCallers; }));
    for (int i = 0; i < 100; ++i)
        cr_assert(isServed(host));
    for (std::size_t i = 1; i < idleCallers; i += 300) {
        idle[i].send(i % 3 == 1 ? "st: h\r\n\r\n" : "");
        if (i % 3 == 1)
            cr_assert(contains(idle[i].readUntil("}\n"), "HTTP/1.1 200"));
    }
    std::vector<raw_connection> excess;
    excess.reserve(11);
    for (int i = 0; i < 11; ++i)
        excess.emplace_back(host.address());
    cr_assert(contains(excess.back().readAll(), "too-many-connections"));
}
