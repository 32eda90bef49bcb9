#include "proxy/poller.h"

#include "helper.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <criterion/criterion.h>
#include <random>

using namespace pimentomast;
using namespace pimentomast::test;
using proxy::detail::caller_connection;
using proxy::detail::caller_pointer;
using proxy::detail::io_state;
using proxy::detail::peekState;

namespace {

constexpr unsigned rounds = 1000;
constexpr unsigned spinMaxNs = 40000;
constexpr seconds inputLimit { 20 };

void spin(std::chrono::nanoseconds span)
{
    const auto end = std::chrono::steady_clock::now() + span;
    while (std::chrono::steady_clock::now() < end) { }
}

} // namespace

Test(proxy_poller, connection_that_turns_idle_while_its_event_is_handled_is_read)
{
    std::atomic<unsigned> inputs = 0;
    const proxy::detail::poller_events events { [&](const caller_pointer&) { ++inputs; },
        [](const caller_pointer&) {}, [](const caller_pointer&) {}, [] {}, [](instant) {} };
    proxy::detail::poller watcher(events, { waitTimeout, waitTimeout, waitTimeout, waitTimeout });
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::mt19937 random(20261204);
    for (unsigned i = 0; i < rounds; ++i) {
        Poco::Net::StreamSocket caller(listener.address());
        auto connection = std::make_shared<caller_connection>();
        connection->socket = listener.acceptConnection();
        caller.sendBytes("G", 1);
        cr_assert(waitUntil([&] { return peekState(connection->socket) == io_state::Ready; }));
        connection->state = caller_connection::phase::Waiting;
        watcher.watch(connection);
        spin(std::chrono::nanoseconds(random() % spinMaxNs));
        // A worker takes the connection, ends its exchange and returns it.
        (void)watcher.unwatch(connection);
        connection->state = caller_connection::phase::Idle;
        watcher.watch(connection);
        cr_assert(waitUntil([&] { return inputs == i + 1; }, inputLimit),
            "round %u: nobody watches the connection", i);
    }
}
