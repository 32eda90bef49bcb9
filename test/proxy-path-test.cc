#include "helper/proxy-fixture.h"
#include "stand-ins/pattern.h"

#include <Poco/NumberFormatter.h>
#include <criterion/criterion.h>
#include <iomanip>
#include <xxhash.h>

using namespace pimentomast;
using namespace pimentomast::test;

namespace {

std::string checksum(const std::string& bytes)
{
    std::ostringstream text;
    text << std::hex << std::uppercase << std::setw(16) << std::setfill('0')
         << XXH3_64bits(bytes.data(), bytes.size());
    return text.str();
}

/// Returns everything after the head. Precondition: the body is not chunked.
std::string bodyOf(const std::string& response)
{
    return response.substr(response.find("\r\n\r\n") + 4);
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(proxy_path, request_reaches_the_target_and_the_response_returns)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    const auto reply = call(host.address(), { "GET", "/weights/g17?unit=kg" });
    cr_assert_eq(reply.status, 200, "%s", reply.failure.c_str());
    cr_assert(reply.complete);
    cr_assert(contains(reply.body, "\"path\":\"/weights/g17?unit=kg\""));
    cr_assert_eq(target.runs("/weights/g17?unit=kg"), 1);
}

Test(proxy_path, upload_of_known_length_arrives_complete)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    const std::string body = stand_in::patternBytes(0, 3000001);
    const auto reply = call(host.address(), { "POST", "/ledger/k1", body });
    cr_assert_eq(reply.status, 200, "%s %s", reply.failure.c_str(), reply.body.c_str());
    cr_assert(contains(reply.body, checksum(body)));
    cr_assert(contains(reply.body, "\"bytes\":3000001"));
}

Test(proxy_path, chunked_upload_arrives_complete_for_any_chunk_size)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    const std::string body = stand_in::patternBytes(0, 200000);
    raw_connection caller(host.address());
    caller.send("POST /ledger/k1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t at = 0, length = 1; at < body.size(); at += length, length = length * 3 + 1) {
        const std::string piece = body.substr(at, length);
        std::ostringstream chunk;
        chunk << std::hex << piece.size() << ";note=1\r\n" << piece << "\r\n";
        caller.send(chunk.str());
    }
    caller.send("0\r\nTrailing: field\r\n\r\n");
    const std::string response = caller.readUntil("}\n");
    cr_assert(contains(response, "HTTP/1.1 200"), "%s", response.c_str());
    cr_assert(contains(response, checksum(body)));
    caller.clearInput();
    caller.send("GET /weights/g1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    cr_assert(contains(caller.readAll(), "\"path\":\"/weights/g1\""));
}

Test(proxy_path, downloads_arrive_complete)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    const std::string pattern = stand_in::patternBytes(0, 5000003);
    for (const char* path : { "/export?bytes=5000003", "/export?bytes=5000003&chunked=1" }) {
        const auto reply = call(host.address(), { "GET", path });
        cr_assert_eq(reply.status, 200, "%s", reply.failure.c_str());
        cr_assert(reply.complete);
        cr_assert(reply.body == pattern);
        cr_assert_eq(reply.field("ETag"), "\"pattern-5000003\"");
    }
}

Test(proxy_path, head_and_range_requests_are_forwarded)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    raw_connection caller(host.address());
    caller.send("HEAD /export?bytes=1000 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /export?bytes=1000 HTTP/1.1\r\nHost: h\r\nRange: bytes=990-\r\n"
                "Connection: close\r\n\r\n");
    const std::string responses = caller.readAll();
    const std::size_t second = responses.find("HTTP/1.1 206");
    cr_assert(contains(responses.substr(0, second), "Content-Length: 1000"));
    cr_assert(responses.substr(0, second).ends_with("\r\n\r\n"));
    cr_assert_neq(second, std::string::npos);
    cr_assert_eq(bodyOf(responses.substr(second)), stand_in::patternBytes(990, 10));
}

Test(proxy_path, pipelined_requests_are_answered_in_their_order)
{
    target_process target("t1", { "--no-token-checks", "--slots", "50" });
    proxy_fixture host({ target.destination() });
    raw_connection caller(host.address());
    std::string requests;
    for (int i = 0; i < 50; ++i)
        requests += "GET /weights/g" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n\r\n";
    requests += "GET /nowhere HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    caller.send(requests);
    const std::string responses = caller.readAll();
    std::size_t at = 0;
    for (int i = 0; i < 50; ++i) {
        const std::string path = "\"path\":\"/weights/g" + std::to_string(i) + "\"";
        at = responses.find(path, at);
        cr_assert_neq(at, std::string::npos, "%s in %s", path.c_str(), responses.c_str());
    }
    cr_assert(contains(responses.substr(at), "HTTP/1.1 404"));
}

Test(proxy_path, expectation_is_answered_by_the_target_before_the_body)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    raw_connection caller(host.address());
    caller.send("POST /ledger/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                "Expect: 100-continue\r\nConnection: close\r\n\r\n");
    cr_assert(contains(caller.readUntil("\r\n\r\n"), "HTTP/1.1 100"));
    caller.send("goats");
    const std::string response = caller.readAll();
    cr_assert(contains(response, "HTTP/1.1 200"), "%s", response.c_str());
    cr_assert(contains(response, checksum("goats")));
}

Test(proxy_path, refused_expectation_consumes_no_body)
{
    target_process target("t1", { "--no-token-checks", "--slots", "0" });
    proxy_fixture host({ target.destination() });
    raw_connection caller(host.address());
    caller.send("POST /ledger/k1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                "Expect: 100-continue\r\n\r\n");
    const std::string response = caller.readAll();
    cr_assert(contains(response, "HTTP/1.1 503"), "%s", response.c_str());
    cr_assert(contains(response, "Pimentomast-Outcome: not-run"));
    cr_assert_not(contains(response, "HTTP/1.1 100"));
}

Test(proxy_path, http10_caller_gets_a_body_without_chunks)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    raw_connection caller(host.address());
    caller.send("GET /export?bytes=70000&chunked=1 HTTP/1.0\r\n\r\n");
    const std::string response = caller.readAll();
    cr_assert_not(contains(response, "Transfer-Encoding"));
    cr_assert(bodyOf(response) == stand_in::patternBytes(0, 70000));
}

Test(proxy_path, contract_fields_reach_the_target_and_hop_by_hop_fields_do_not)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    const auto reply = call(host.address(), { "GET", "/weights/g%31" });
    const std::string hash
        = Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(hashKey("g1").value()), 16);
    cr_assert(contains(reply.body, "\"key_hash\":\"" + hash + "\""), "%s", reply.body.c_str());
    cr_assert(contains(reply.body, "\"request_id\":\"1\""));
}

Test(proxy_path, each_reason_is_documented)
{
    const char* source = std::getenv("PIMENTOMAST_SOURCE");
    std::ifstream file(std::string(source == nullptr ? "." : source) + "/docs/PROXY.md");
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    for (std::size_t i = 0; i <= static_cast<std::size_t>(proxy::reason::Last); ++i) {
        const std::string reason(proxy::name(static_cast<proxy::reason>(i)));
        cr_expect(contains(text, reason), "%s", reason.c_str());
    }
}
