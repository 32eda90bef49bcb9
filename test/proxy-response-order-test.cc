#include "proxy/arrival-times.h"
#include "proxy/response-order.h"

#include "helper.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;
using proxy::request_id;
using proxy::detail::arrival_times;
using proxy::detail::connection_fate;
using proxy::detail::response_order;
using proxy::detail::turn;

namespace {

/// Both ends of a caller's connection.
struct connection {
    connection()
        : listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , caller(listener.address())
        , host(listener.acceptConnection())
    {
        host.setBlocking(false);
    }

    std::string received(std::size_t bytes)
    {
        std::string text(bytes, '\0');
        std::size_t got = 0;
        while (got < bytes) {
            const int piece = caller.receiveBytes(text.data() + got, static_cast<int>(bytes - got));
            if (piece <= 0)
                break;
            got += static_cast<std::size_t>(piece);
        }
        text.resize(got);
        return text;
    }

    Poco::Net::ServerSocket listener;
    Poco::Net::StreamSocket caller;
    Poco::Net::StreamSocket host;
};

turn join(response_order& order, std::uint64_t id, bool concurrent = true)
{
    cr_assert(order.admits(concurrent));
    return order.add(request_id { id }, concurrent);
}

} // namespace

Test(proxy_response_order, later_answer_is_held_and_sent_in_turn)
{
    connection both;
    response_order order;
    const turn first = join(order, 1);
    const turn second = join(order, 2);
    cr_assert_not(order.hold(first, "1"));
    cr_assert(order.hold(second, "two"));
    cr_assert_not(order.maySend(second, true));
    const auto now = order.end(first, connection_fate::KeptOpen, both.host);
    cr_assert(now.isEmpty);
    cr_assert_eq(both.received(3), "two");
}

Test(proxy_response_order, only_concurrent_requests_join_others)
{
    connection both;
    response_order order;
    const turn first = join(order, 1);
    cr_assert_not(order.admits(false));
    cr_assert(order.end(first, connection_fate::KeptOpen, both.host).readerWaits);
    const turn alone = join(order, 2, false);
    cr_assert_not(order.admits(true));
    cr_assert(order.end(alone, connection_fate::KeptOpen, both.host).readerWaits);
    cr_assert(order.admits(true));
}

Test(proxy_response_order, answer_that_may_break_off_is_not_begun_before_others)
{
    response_order order;
    const turn first = join(order, 1);
    const turn second = join(order, 2);
    cr_assert_not(order.maySend(first, false));
    cr_assert(order.maySend(first, true));
    (void)second;
}

Test(proxy_response_order, nothing_joins_an_answer_that_has_begun)
{
    response_order order;
    const turn first = join(order, 1);
    cr_assert(order.maySend(first, false));
    cr_assert_not(order.admits(true));
}

Test(proxy_response_order, only_the_last_answer_closes_the_connection)
{
    connection both;
    response_order order;
    const turn first = join(order, 1);
    const turn second = join(order, 2);
    cr_assert_not(order.closeAfter(first));
    cr_assert(order.closeAfter(second));
    cr_assert_not(order.admits(true));
    cr_assert_not(order.end(first, connection_fate::KeptOpen, both.host).isEmpty);
    const auto last = order.end(second, connection_fate::KeptOpen, both.host);
    cr_assert(last.isEmpty);
    cr_assert_eq(last.fate, connection_fate::Closes);
    cr_assert_eq(both.received(1), "");
}

Test(proxy_response_order, broken_connection_drops_held_answers)
{
    connection both;
    response_order order;
    const turn first = join(order, 1);
    const turn second = join(order, 2);
    cr_assert(order.hold(second, "two"));
    const auto now = order.end(first, connection_fate::Broken, both.host);
    cr_assert(now.isEmpty);
    cr_assert_eq(now.fate, connection_fate::Broken);
    both.host.close();
    cr_assert_eq(both.received(3), "");
}

Test(proxy_response_order, held_answer_of_any_length_is_sent_whole)
{
    constexpr std::size_t longAnswer = 16000000;
    connection both;
    response_order order;
    const turn first = join(order, 1);
    const turn second = join(order, 2);
    cr_assert(order.hold(second, std::string(longAnswer, 'x')));
    auto now = order.end(first, connection_fate::KeptOpen, both.host);
    cr_assert(now.unsent.has_value() && *now.unsent == second);
    std::thread reader([&] { cr_assert_eq(both.received(longAnswer).size(), longAnswer); });
    std::optional<response_order::progress> ended;
    while (!ended)
        ended = order.sendHeld(second, both.host);
    reader.join();
    cr_assert(ended->isEmpty);
    cr_assert_not(order.sendHeld(second, both.host)->isEmpty);
}

// The worker that sends a held answer may give it up just as another request breaks the connection.
Test(proxy_response_order, held_answer_that_was_dropped_can_be_given_up)
{
    constexpr std::size_t longAnswer = 16000000;
    connection both;
    response_order order;
    const turn first = join(order, 1);
    const turn second = join(order, 2);
    const turn third = join(order, 3);
    cr_assert(order.hold(second, std::string(longAnswer, 'x')));
    cr_assert(order.end(first, connection_fate::KeptOpen, both.host).unsent.has_value());
    cr_assert(order.end(third, connection_fate::Broken, both.host).isEmpty);
    (void)order.end(second, connection_fate::Broken, both.host);
    cr_assert(order.isEmpty());
}

Test(proxy_response_order, bytes_keep_the_time_of_their_arrival)
{
    const instant start = monotonic_clock::now();
    arrival_times arrivals;
    arrivals.received(10, start);
    arrivals.received(5, start + seconds(1));
    arrivals.received(5, start + seconds(2));
    cr_assert_eq(arrivals.consume(8), start);
    cr_assert_eq(arrivals.consume(4), start + seconds(1));
    cr_assert_eq(arrivals.consume(8), start + seconds(2));
}
