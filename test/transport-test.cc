#include "pimentomast/transport.h"

#include "helper.h"
#include "helper/cut-link.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <array>
#include <criterion/criterion.h>
#include <csignal>
#include <optional>
#include <sys/wait.h>
#include <unistd.h>

using namespace pimentomast;
using namespace std::chrono_literals;
using Poco::Net::StreamSocket;
using test::cut_link;

namespace {

/// Time for which a cut lasts; several retransmissions fall into it.
constexpr auto cutTime = 1000ms;
/// Longest time after the cut until the kernel would retransmit, as its pauses double.
constexpr auto retransmissionTime = 3000ms;

/// A prepared connection and its peer, both in this process.
struct connection_pair {
    connection_pair()
    {
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        own.connect(listener.address());
        peer = listener.acceptConnection();
        transport::prepare(own);
    }

    StreamSocket own;
    StreamSocket peer;
};

/// Returns what arrives within the time; nothing if nothing does, empty if the peer closed in
/// order.
std::optional<std::string> receive(StreamSocket& socket, std::chrono::milliseconds time)
{
    std::array<char, 4096> bytes {};
    socket.setReceiveTimeout(Poco::Timespan(std::chrono::microseconds(time).count()));
    try {
        const int count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        return std::string(bytes.data(), static_cast<std::size_t>(std::max(count, 0)));
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

void sendText(StreamSocket& socket, const std::string& text)
{
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

} // namespace

// A grant that was sent before its target was cut off arrived after the cut, though its call had
// been given up.
Test(transport, data_that_is_unacknowledged_at_the_close_never_arrives)
{
    connection_pair ends;
    {
        const cut_link cut(ends.peer);
        sendText(ends.own, "late");
        std::this_thread::sleep_for(cutTime / 2);
        transport::reset(ends.own);
        std::this_thread::sleep_for(cutTime / 2);
    }
    cr_assert_not(receive(ends.peer, retransmissionTime));
}

// The kernel closes the connections of a process that is killed.
Test(transport, data_that_is_unacknowledged_when_the_process_is_killed_never_arrives)
{
    connection_pair ends;
    {
        const cut_link cut(ends.peer);
        const pid_t child = ::fork();
        if (child == 0) {
            ::send(static_cast<int>(ends.own.impl()->sockfd()), "late", 4, 0);
            ::raise(SIGKILL);
        }
        ends.own = StreamSocket();
        ::waitpid(child, nullptr, 0);
        std::this_thread::sleep_for(cutTime);
    }
    cr_assert_not(receive(ends.peer, retransmissionTime));
}

// The sender's process may stand still while its kernel goes on.
Test(transport, data_never_arrives_after_the_limit_of_its_delivery)
{
    connection_pair ends;
    transport::limitDelivery(ends.own, cutTime / 4);
    {
        const cut_link cut(ends.peer);
        sendText(ends.own, "late");
        std::this_thread::sleep_for(cutTime);
    }
    cr_assert_not(receive(ends.peer, retransmissionTime));
}

Test(transport, idle_connection_is_closed_in_order)
{
    connection_pair ends;
    sendText(ends.own, "goats");
    cr_assert_eq(receive(ends.peer, test::waitTimeout).value_or(""), "goats");
    transport::closeIdle(ends.own);
    const auto last = receive(ends.peer, test::waitTimeout);
    cr_assert(last && last->empty());
}

// A proxy on the way may have acknowledged what the target has not received; it passes on an
// orderly end behind it.
Test(transport, connection_is_reset_also_if_everything_was_acknowledged)
{
    connection_pair ends;
    sendText(ends.own, "goats");
    cr_assert_eq(receive(ends.peer, test::waitTimeout).value_or(""), "goats");
    transport::reset(ends.own);
    cr_assert_not(receive(ends.peer, test::waitTimeout));
}

Test(transport, quiet_connection_to_a_peer_that_is_cut_off_fails)
{
    connection_pair ends;
    const cut_link cut(ends.peer);
    const auto started = monotonic_clock::now();
    cr_assert_not(receive(ends.own, 2 * test::waitTimeout));
    cr_assert_lt((monotonic_clock::now() - started).count(), duration(test::waitTimeout).count());
}

Test(transport, peer_that_acknowledges_nothing_is_silent)
{
    connection_pair ends;
    const cut_link cut(ends.peer);
    sendText(ends.own, "lost");
    cr_assert(test::waitUntil([&] { return transport::isSilent(ends.own); }));
}

// A peer may work for long, and may not read what is sent to it meanwhile.
Test(transport, peer_that_only_does_not_read_and_does_not_answer_is_not_silent)
{
    connection_pair ends;
    const std::string piece(65536, 'x');
    const int full = static_cast<int>(ends.own.impl()->sockfd());
    while (::send(full, piece.data(), piece.size(), MSG_DONTWAIT) > 0) { }
    connection_pair quiet;
    std::this_thread::sleep_for(2 * transport::silenceLimit);
    cr_assert_not(transport::isSilent(ends.own));
    cr_assert_not(transport::isSilent(quiet.own));
    sendText(quiet.peer, "done");
    cr_assert_eq(receive(quiet.own, test::waitTimeout).value_or(""), "done");
}

// Each of these reads returns 0. A broken answer without a length was taken for a whole one.
Test(transport, end_of_stream_shows_an_orderly_end_only_if_the_peer_finished)
{
    connection_pair finished;
    finished.peer.shutdownSend();
    cr_assert_eq(receive(finished.own, cutTime).value(), "");
    cr_expect(transport::hasPeerFinished(finished.own));

    connection_pair resetByPeer;
    resetByPeer.peer.setLinger(true, 0);
    resetByPeer.peer.close();
    cr_assert(resetByPeer.own.poll(Poco::Timespan(10, 0), Poco::Net::Socket::SELECT_READ));
    try {
        sendText(resetByPeer.own, "a");
        cr_assert_fail("the send did not meet the reset");
    } catch (const Poco::Exception&) {
        cr_assert_eq(receive(resetByPeer.own, cutTime).value(), "");
    }
    cr_expect_not(transport::hasPeerFinished(resetByPeer.own));

    connection_pair shutDownHere;
    shutDownHere.own.shutdownReceive();
    cr_assert_eq(receive(shutDownHere.own, cutTime).value(), "");
    cr_expect_not(transport::hasPeerFinished(shutDownHere.own));

    const connection_pair open;
    cr_expect_not(transport::hasPeerFinished(open.own));
}
