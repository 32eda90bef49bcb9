#include "pimentomast/peers.h"

#include "helper/cut-link.h"
#include "helper/scripted-server.h"

#include <criterion/criterion.h>
#include <future>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <thread>

using namespace pimentomast;

namespace {

constexpr std::chrono::milliseconds replyTimeoutMs { 20000 };
constexpr std::chrono::milliseconds shortTimeoutMs { 200 };
/// The longest time that a host gives a call to a peer.
constexpr std::chrono::milliseconds longestCallMs { 800 };
/// Longest time until a silent connection is replaced.
constexpr std::chrono::seconds silentLimit { 10 };

class echo_handler : public peers::handler {
public:
    peers::wire::Update exchange(const peers::wire::Digest& digest) override
    {
        peers::wire::Update update;
        update.set_table_version(digest.table_version() + 1);
        return update;
    }
    peers::wire::NoticeReply publish(const peers::wire::Notice&) override
    {
        throw failure(error { "publish", "", "unknown service" });
    }
    peers::wire::WitnessReply witness(const peers::wire::WitnessRequest& request) override
    {
        peers::wire::WitnessReply reply;
        reply.set_epoch(request.epoch());
        return reply;
    }
    void hold(
        const peers::wire::HoldRequest&, peers::reply_sender<peers::wire::HoldReply> reply) override
    {
        const std::lock_guard guard(m_lock);
        m_held.push_back(std::move(reply));
    }
    void answerHolds(std::uint64_t run)
    {
        const std::lock_guard guard(m_lock);
        peers::wire::HoldReply held;
        held.set_incarnation(run);
        for (const auto& reply : m_held)
            reply(held);
        m_held.clear();
    }
    peers::wire::RouteRenewalReply renewRoute(const peers::wire::RouteRenewal&) override
    {
        return {};
    }
    void relayRow(
        const peers::wire::RowRequest&, peers::reply_sender<peers::wire::RowReply> reply) override
    {
        reply({});
    }
    peers::wire::LoadReply reportLoad(const peers::wire::LoadReport&) override { return {}; }

private:
    std::mutex m_lock;
    std::vector<peers::reply_sender<peers::wire::HoldReply>> m_held;
};

template <class Reply>
struct waiter {
    peers::reply_handler<Reply> handler()
    {
        return [this](result<Reply> reply) { m_promise.set_value(std::move(reply)); };
    }
    result<Reply> wait() { return m_promise.get_future().get(); }

private:
    std::promise<result<Reply>> m_promise;
};

/// Returns the descriptors of the connections that this process accepted at the port.
std::vector<int> acceptedConnections(std::uint16_t port)
{
    constexpr int maxDescriptor = 1024;
    std::vector<int> found;
    for (int descriptor = 0; descriptor < maxDescriptor; ++descriptor) {
        // The port stands at the same place for both families.
        sockaddr_in6 own {};
        sockaddr_in6 peer {};
        socklen_t size = sizeof own;
        socklen_t peerSize = sizeof peer;
        const bool isConnected
            = ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&own), &size) == 0
            && ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &peerSize) == 0;
        if (isConnected && ntohs(own.sin6_port) == port)
            found.push_back(descriptor);
    }
    return found;
}

} // namespace

Test(peers, call_is_answered)
{
    echo_handler receiver;
    const auto address = test::freeAddress();
    const auto listening = peers::server::start(address, receiver);
    cr_assert(listening.has_value());
    const auto client = peers::client::create(address);
    peers::wire::Digest digest;
    digest.set_table_version(41);
    waiter<peers::wire::Update> reply;
    client->exchange(digest, replyTimeoutMs, reply.handler());
    cr_assert_eq(reply.wait().value().table_version(), 42);
}

Test(peers, connection_to_a_slow_peer_is_awaited_as_long_as_a_call)
{
    test::scripted_server silent([](auto& socket, int) {
        std::array<char, 4096> ignored {};
        while (socket.receiveBytes(ignored.data(), ignored.size()) > 0) { }
    });
    const auto client = peers::client::create(silent.address());
    waiter<peers::wire::Update> reply;
    const auto started = monotonic_clock::now();
    client->exchange({}, replyTimeoutMs, reply.handler());
    const auto failed = reply.wait();
    const std::chrono::duration<double, std::milli> waited = monotonic_clock::now() - started;
    cr_expect(failed.has_error());
    cr_expect(waited >= longestCallMs, "given up after %.0f ms: %s", waited.count(),
        failed.error().text().c_str());
}

// Hosts speak HTTP/2 among each other: an answer of HTTP/1, whole or broken off, is none.
Test(peers, answer_of_another_protocol_is_an_error)
{
    for (const std::string status : { "200", "000" }) {
        for (const bool isReset : { false, true }) {
            test::scripted_server odd([&](auto& socket, int) {
                test::write(socket, "HTTP/1.1 " + status + " Odd\r\nX Odd: 1\r\n\r\n");
                socket.setLinger(isReset, 0);
                socket.close();
            });
            const auto client = peers::client::create(odd.address());
            waiter<peers::wire::Update> reply;
            client->exchange({}, replyTimeoutMs, reply.handler());
            cr_expect(reply.wait().has_error(), "status %s", status.c_str());
        }
    }
}

Test(peers, refusal_names_step_and_peer)
{
    echo_handler receiver;
    const auto address = test::freeAddress();
    const auto listening = peers::server::start(address, receiver);
    const auto client = peers::client::create(address);
    waiter<peers::wire::NoticeReply> reply;
    client->publish({}, replyTimeoutMs, reply.handler());
    const auto refused = reply.wait();
    cr_assert(refused.has_error());
    cr_assert(refused.error().step == "publish");
    cr_assert(refused.error().peer == address.text());
    cr_assert(refused.error().reason.find("unknown service") != std::string::npos);
}

Test(peers, reply_may_be_sent_after_the_call_was_handled)
{
    echo_handler receiver;
    const auto address = test::freeAddress();
    const auto listening = peers::server::start(address, receiver);
    const auto client = peers::client::create(address);
    waiter<peers::wire::Update> other;
    waiter<peers::wire::HoldReply> held;
    client->hold({}, replyTimeoutMs, held.handler());
    client->exchange({}, replyTimeoutMs, other.handler());
    cr_assert(other.wait().has_value());
    receiver.answerHolds(7);
    std::thread answers([&] {
        for (int i = 0; i < 100; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            receiver.answerHolds(7);
        }
    });
    cr_expect_eq(held.wait().value().incarnation(), 7);
    answers.join();
}

Test(peers, absent_peer_fails_the_call)
{
    const auto client = peers::client::create(test::freeAddress());
    waiter<peers::wire::WitnessReply> reply;
    client->witness({}, shortTimeoutMs, reply.handler());
    cr_assert(reply.wait().has_error());
}

Test(peers, address_in_use_is_an_error)
{
    echo_handler receiver;
    const auto address = test::freeAddress();
    const auto first = peers::server::start(address, receiver);
    cr_assert(first.has_value());
    cr_assert(peers::server::start(address, receiver).has_error());
}

// Calls to a host over a silent connection failed for more than 20 s.
Test(peers, silent_connection_is_replaced)
{
    echo_handler receiver;
    const auto address = test::freeAddress();
    const auto listening = peers::server::start(address, receiver);
    const auto client = peers::client::create(address);
    const auto isAnswered = [&] {
        waiter<peers::wire::Update> reply;
        client->exchange({}, longestCallMs, reply.handler());
        return reply.wait().has_value();
    };
    cr_assert(test::waitUntil(isAnswered));
    const auto connections = acceptedConnections(address.port);
    cr_assert_not(connections.empty());
    std::list<test::cut_link> cuts;
    for (const int each : connections)
        cuts.emplace_back(each);
    cr_assert_not(isAnswered());
    cr_assert(test::waitUntil(isAnswered, silentLimit));
}

// An exception of a receiver or of a caller ends its call, not the host.
Test(peers, exception_ends_its_call_only)
{
    class throwing_handler : public echo_handler {
        void hold(
            const peers::wire::HoldRequest&, peers::reply_sender<peers::wire::HoldReply>) override
        {
            throw std::length_error("hold");
        }
    };
    throwing_handler receiver;
    const auto address = test::freeAddress();
    const auto listening = peers::server::start(address, receiver);
    const auto client = peers::client::create(address);
    waiter<peers::wire::HoldReply> held;
    client->hold({}, replyTimeoutMs, held.handler());
    cr_assert_not(held.wait().has_value());
    std::promise<void> thrown;
    client->exchange({}, replyTimeoutMs, [&](const auto&) {
        thrown.set_value();
        throw std::length_error("exchange");
    });
    thrown.get_future().wait();
    waiter<peers::wire::Update> reply;
    client->exchange({}, replyTimeoutMs, reply.handler());
    cr_assert(reply.wait().has_value());
}
