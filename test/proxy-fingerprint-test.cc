#include "helper/body-target.h"
#include "helper/proxy-fixture.h"

#include <criterion/criterion.h>
#include <optional>
#include <set>

using namespace pimentomast;
using namespace pimentomast::test;

/// A request that crashes targets is refused by its fingerprint, so different requests must not
/// share one: all orders in chunks on one path did, and all were refused after two crashes.
namespace {

/// More than is received before a request is submitted.
constexpr std::size_t longBytes = 50000;
const std::string order = "POST /ledger/k HTTP/1.1\r\nHost: h\r\n";

std::string withLength(const std::string& body)
{
    return order + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends the body in pieces of this size.
std::string inChunks(const std::string& body, std::size_t pieceBytes)
{
    std::string text = order + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += pieceBytes)
        text += chunkOf(body.substr(at, pieceBytes));
    return text + "0\r\n\r\n";
}

/// A proxy in front of a target that answers whole requests, with a table whose services name
/// callers.
class fingerprint_host {
public:
    fingerprint_host()
        : fixture({ m_target.destination() })
    {
        auto rows = std::make_shared<table::table>(*proxyTable());
        for (table::service_row& service : rows->services)
            service.caller = table::header_field { "X-Caller" };
        fixture.server->setTable(rows);
    }

    /// Returns the fingerprint of a request once its body is known.
    std::uint64_t fingerprintOf(const std::string& request)
    {
        fixture.dispatcher.holdsRequests = true;
        raw_connection caller(fixture.address());
        caller.send(request);
        cr_assert(waitUntil([&] { return fixture.dispatcher.waiting().size() == 1; }));
        const auto facts = fixture.dispatcher.waiting().front();
        provisional.insert(facts.fingerprint);
        const std::size_t known = fixture.dispatcher.identifiedRequests.size();
        (void)fixture.server->sink().forward(facts.id, m_target.destination());
        cr_assert(caller.readUntil("done").starts_with("HTTP/1.1 200 "));
        cr_assert(waitUntil([&] { return fixture.dispatcher.waiting().empty(); }));
        const auto& identified = fixture.dispatcher.identifiedRequests;
        return identified.size() > known ? identified.back() : facts.fingerprint;
    }

private:
    body_target m_target;

public:
    proxy_fixture fixture;
    /// Fingerprints with which the requests were submitted.
    std::set<std::uint64_t> provisional;
};

} // namespace

Test(proxy_fingerprint, orders_in_chunks_with_different_bodies_differ)
{
    fingerprint_host host;
    std::set<std::uint64_t> seen;
    for (int number = 0; number < 20; ++number)
        seen.insert(host.fingerprintOf(inChunks("order " + std::to_string(number), 4)));
    cr_assert_eq(seen.size(), 20);
    cr_assert_eq(host.provisional.size(), 20, "requests share a fingerprint before it is known");
}

Test(proxy_fingerprint, bodies_that_differ_behind_their_start_differ)
{
    fingerprint_host host;
    const std::string start = uploadText(longBytes);
    cr_assert_neq(
        host.fingerprintOf(withLength(start + "a")), host.fingerprintOf(withLength(start + "b")));
    cr_assert_neq(host.fingerprintOf(inChunks(start + "a", longBytes)),
        host.fingerprintOf(inChunks(start + "b", longBytes)));
}

// The other side: a request that comes again is recognized, whatever the pieces of its body.
Test(proxy_fingerprint, same_request_has_the_same_fingerprint)
{
    fingerprint_host host;
    fingerprint_host other;
    for (const std::string& body : { std::string("goats"), uploadText(longBytes) }) {
        const auto first = host.fingerprintOf(withLength(body));
        cr_assert_eq(first, host.fingerprintOf(withLength(body)));
        cr_assert_eq(first, other.fingerprintOf(inChunks(body, 7)));
        cr_assert_eq(first, other.fingerprintOf(inChunks(body, 1000)));
    }
}

Test(proxy_fingerprint, same_request_of_another_caller_differs)
{
    fingerprint_host host;
    std::set<std::uint64_t> seen;
    for (const char* name : { "a", "b" }) {
        const std::string caller = std::string("X-Caller: ") + name + "\r\n\r\n";
        seen.insert(host.fingerprintOf("GET /export/a HTTP/1.1\r\nHost: h\r\n" + caller));
    }
    cr_assert_eq(seen.size(), 2);
}

// A request that crashes targets is known as such only when its body ends; it was stopped by the
// start of its body before.
Test(proxy_fingerprint, refused_body_does_not_reach_the_target_whole)
{
    body_target target;
    proxy_fixture host({ target.destination() });
    host.dispatcher.whenIdentified = [](proxy::request_id id, proxy::dispatch_sink& sink) {
        sink.abandon(id, 1);
        proxy::refusal details;
        details.outcome = proxy::request_outcome::Unknown;
        details.status = 422;
        details.reason = "quarantined";
        sink.refuse(id, details);
        return false;
    };
    for (const std::string& request :
        { inChunks(uploadText(longBytes), 1000), withLength(uploadText(longBytes)) }) {
        raw_connection caller(host.address());
        caller.send(request);
        const auto answer = caller.readUntil("}\n");
        cr_expect(answer.starts_with("HTTP/1.1 422 "), "%s", answer.c_str());
        cr_expect(answer.find("\"reason\":\"quarantined\"") != std::string::npos);
    }
    for (const auto& received : target.received())
        cr_expect_not(received.isWhole);
}
