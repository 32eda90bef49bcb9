#include "helper/body-target.h"
#include "proxy/body-budget.h"

#include <criterion/criterion.h>
#include <thread>

using namespace pimentomast;
using namespace pimentomast::test;
using proxy::detail::body_budget;
using proxy::detail::body_kind;
using proxy::detail::body_reservation;
using proxy::detail::connection_bytes;

namespace {

constexpr std::size_t limitBytes = 1048576;
constexpr std::size_t eighthBytes = limitBytes / 8;
constexpr std::size_t uploadBytes = 130000;
constexpr milliseconds settleTime { 300 };

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

proxy::options limited()
{
    proxy::options settings;
    settings.bodyMemoryBytes = limitBytes;
    return settings;
}

/// A proxy that holds all requests, and callers whose uploads of 130,000 bytes wait there.
class full_host {
public:
    explicit full_host(unsigned waiting)
        : fixture({ target.destination() }, 1, limited())
    {
        fixture.server->setTable(uploadTable());
        fixture.dispatcher.holdsRequests = true;
        for (unsigned i = 0; i < waiting; ++i) {
            callers.push_back(std::make_unique<raw_connection>(fixture.address()));
            callers.back()->send(uploadHead(uploadBytes) + uploadText(uploadBytes));
            const bool isSubmitted
                = waitUntil([&] { return fixture.dispatcher.waiting().size() == i + 1; });
            cr_assert(isSubmitted);
        }
    }

    void releaseAll()
    {
        fixture.dispatcher.holdsRequests = false;
        for (const auto& facts : fixture.dispatcher.waiting())
            (void)fixture.server->sink().forward(facts.id, target.destination());
        for (auto& caller : callers)
            cr_assert(contains(caller->readUntil("done"), "200 OK"));
    }

    [[nodiscard]] std::uint64_t refused() const
    {
        return fixture.server->counts().count(proxy::reason::BodyMemory);
    }

    body_target target;
    proxy_fixture fixture;
    std::vector<std::unique_ptr<raw_connection>> callers;
};

} // namespace

Test(proxy_budget, no_kind_can_use_all)
{
    body_budget budget(limitBytes);
    std::vector<connection_bytes> connections(8);
    std::vector<body_reservation> uploads;
    std::size_t taken = 0;
    for (auto& connection : connections) {
        uploads.emplace_back(budget, body_kind::Upload, connection);
        taken += uploads.back().growTo(eighthBytes) ? 1 : 0;
    }
    cr_assert_eq(taken, 5);
    connection_bytes other;
    body_reservation response(budget, body_kind::Response, other);
    cr_assert(response.growTo(eighthBytes));
    connection_bytes small;
    body_reservation replay(budget, body_kind::Replay, small);
    cr_assert(replay.growTo(eighthBytes));
    cr_assert_eq(budget.held(), 7 * eighthBytes);
}

Test(proxy_budget, one_connection_gets_its_share_once_half_is_used)
{
    body_budget budget(limitBytes);
    connection_bytes greedy;
    connection_bytes modest;
    body_reservation first(budget, body_kind::Upload, greedy);
    cr_assert(first.growTo(4 * eighthBytes));
    cr_assert_not(first.growTo(4 * eighthBytes + 1));
    body_reservation second(budget, body_kind::Upload, modest);
    cr_assert(second.growTo(eighthBytes));
    cr_assert_eq(budget.held(), 5 * eighthBytes);
}

Test(proxy_budget, bytes_are_given_back_once)
{
    body_budget budget(limitBytes);
    connection_bytes connection;
    {
        body_reservation first(budget, body_kind::Upload, connection);
        cr_assert(first.growTo(1000));
        body_reservation second = std::move(first);
        first = body_reservation(budget, body_kind::Upload, connection);
        cr_assert_eq(budget.held(), 1000);
        second.shrinkTo(400);
        cr_assert_eq(budget.held(), 400);
    }
    cr_assert_eq(budget.held(), 0);
    cr_assert_eq(connection.held, 0);
}

Test(proxy_budget, without_a_limit_bytes_are_counted_only)
{
    body_budget budget(0);
    connection_bytes connection;
    body_reservation all(budget, body_kind::Upload, connection);
    cr_assert(all.growTo(std::size_t(1) << 40));
    cr_assert_eq(budget.held(), std::size_t(1) << 40);
}

Test(proxy_budget, upload_that_does_not_fit_is_refused_as_not_run_and_served_later)
{
    full_host host(4);
    cr_assert_geq(host.fixture.server->state().bodyBytes, 4 * uploadBytes);
    cr_assert_eq(host.fixture.server->state().bodyBytesLimit, limitBytes);
    raw_connection late(host.fixture.address());
    late.send(uploadHead(2 * eighthBytes));
    const std::string answer = late.readAll();
    cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert(contains(answer, "Retry-After: 1\r\n"));
    cr_assert(contains(answer, "\"outcome\":\"not-run\",\"reason\":\"body-memory\""));
    cr_assert_eq(host.refused(), 1);
    cr_assert(host.target.received().empty());
    host.releaseAll();
    raw_connection again(host.fixture.address());
    again.send(uploadHead(2 * eighthBytes) + uploadText(2 * eighthBytes));
    cr_assert(contains(again.readUntil("done"), "200 OK"));
    cr_assert(waitUntil([&] { return host.fixture.server->state().bodyBytes == 0; }));
}

Test(proxy_budget, sender_that_is_refused_is_not_asked_for_its_body)
{
    full_host host(4);
    raw_connection late(host.fixture.address());
    late.send(uploadHead(2 * eighthBytes, "Expect: 100-continue\r\n"));
    cr_assert(late.readAll().starts_with("HTTP/1.1 503"));
}

Test(proxy_budget, small_bodies_are_served_while_uploads_use_all_they_may)
{
    full_host host(5);
    raw_connection upload(host.fixture.address());
    upload.send(uploadHead(uploadBytes));
    cr_assert(contains(upload.readAll(), "body-memory"));
    host.fixture.dispatcher.holdsRequests = false;
    raw_connection small(host.fixture.address());
    small.send("POST /other HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    cr_assert(contains(small.readUntil("done"), "200 OK"));
    host.releaseAll();
}

// Two bodies of unknown length, each waiting for what the other holds, would wait for ever.
Test(proxy_budget, of_two_half_read_bodies_the_later_one_is_refused)
{
    full_host host(3);
    const std::string body = uploadText(2 * eighthBytes);
    raw_connection first(host.fixture.address());
    first.send(chunkedUploadHead + chunkOf(body));
    std::this_thread::sleep_for(settleTime);
    raw_connection second(host.fixture.address());
    second.send(chunkedUploadHead + chunkOf(body));
    cr_assert(contains(second.readUntil("body-memory"), "body-memory"));
    cr_assert_eq(host.refused(), 1);
    cr_assert_eq(host.fixture.dispatcher.waiting().size(), 3, "the first one is paused");
    host.releaseAll();
    first.send("0\r\n\r\n");
    cr_assert(contains(first.readUntil("done"), "200 OK"));
    cr_assert(host.target.received().back().body == body);
    cr_assert(waitUntil([&] { return host.fixture.server->state().bodyBytes == 0; }));
}

Test(proxy_budget, paused_sender_that_leaves_is_forgotten)
{
    full_host host(3);
    {
        raw_connection paused(host.fixture.address());
        paused.send(chunkedUploadHead + chunkOf(uploadText(eighthBytes)) + "40000\r\n");
        paused.send(uploadText(1000));
        std::this_thread::sleep_for(settleTime);
        cr_assert_eq(host.fixture.dispatcher.waiting().size(), 3);
        paused.close();
    }
    cr_assert(waitUntil([&] { return host.fixture.server->state().connections == 3; }));
    cr_assert_leq(host.fixture.server->state().bodyBytes, 3 * uploadBytes);
    host.releaseAll();
}

Test(proxy_budget, paused_body_is_refused_at_its_deadline)
{
    full_host host(3);
    host.fixture.server->setTable(uploadTable(2 * settleTime));
    raw_connection paused(host.fixture.address());
    paused.send(chunkedUploadHead + chunkOf(uploadText(2 * eighthBytes)));
    cr_assert(contains(paused.readUntil("body-memory"), "not-run"));
    host.releaseAll();
}
