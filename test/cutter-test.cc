#include "helper.h"

#include "stand-ins/cutter-sources.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;

/// The fault-injection proxy passes on what its connections meet: bytes that it injects reach the
/// open connections of a link even if the caller of another one has reset it, and a reset stays a
/// reset.
namespace {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

/// A link of the proxy with two silenced connections.
class silent_link {
public:
    silent_link()
        : m_server(SocketAddress(m_serverAddress.ip, m_serverAddress.port))
        , m_cutter(process::start("stand-in-cutter", { "--control", m_control.text() },
              scratchFolder() + "/cutter.log"))
    {
        const bool up = waitUntil([this] { return call(m_control, { "GET" }).status != 0; });
        cr_assert(up);
        put(m_control, "/links",
            R"({"name":"link","listen":")" + m_listen.text() + R"(","to":")"
                + m_serverAddress.text() + "\"}");
        m_connections.push_back(connect());
        m_connections.push_back(connect());
        put(m_control, "/control", R"({"link":"link","mode":"silence"})");
    }

    /// Resets the first connection. The proxy does not read from it, so it detects the reset only
    /// when it sends.
    void resetFirst()
    {
        m_connections.front().setLinger(true, 0);
        m_connections.front().close();
    }

    /// Sends bytes to the callers of the link and returns what the second connection received.
    std::string injectAndReceive(const std::string& bytes)
    {
        put(m_control, "/inject", R"({"link":"link","bytes":")" + bytes + "\"}");
        std::string got(bytes.size(), '\0');
        m_connections.back().receiveBytes(got.data(), static_cast<int>(got.size()));
        return got;
    }

    /// Connects once more and returns whether the caller, which sends all the time, sees a reset
    /// after the server has reset the connection. Precondition: the link passes bytes.
    bool passesReset()
    {
        StreamSocket caller = connect();
        auto accepted = m_accepted.back();
        std::thread server([&accepted] {
            std::this_thread::sleep_for(milliseconds(2));
            accepted.setLinger(true, 0);
            accepted.close();
        });
        const std::string piece(16384, 'u');
        bool isReset = false;
        try {
            while (!caller.poll({}, Poco::Net::Socket::SELECT_READ))
                caller.sendBytes(piece.data(), static_cast<int>(piece.size()));
            char byte = 0;
            isReset = caller.receiveBytes(&byte, 1) < 0;
        } catch (const Poco::Exception&) {
            isReset = true;
        }
        server.join();
        return isReset;
    }
    void pass() { put(m_control, "/control", R"({"link":"link","mode":"pass"})"); }

private:
    StreamSocket connect()
    {
        StreamSocket connection;
        const bool connected = waitUntil([&] {
            try {
                connection = StreamSocket(SocketAddress(m_listen.ip, m_listen.port));
                return true;
            } catch (const Poco::Exception&) {
                return false;
            }
        });
        cr_assert(connected);
        // Once a byte has reached the server, the proxy has registered the connection.
        connection.sendBytes("x", 1);
        auto accepted = m_server.acceptConnection();
        char byte = 0;
        accepted.receiveBytes(&byte, 1);
        m_accepted.push_back(accepted);
        return connection;
    }

    endpoint m_serverAddress = freeAddress();
    endpoint m_listen = freeAddress();
    endpoint m_control = freeAddress();
    Poco::Net::ServerSocket m_server;
    process m_cutter;
    std::vector<StreamSocket> m_connections;
    std::vector<StreamSocket> m_accepted;
};

} // namespace

Test(cutter, bytes_reach_open_connections_although_another_was_reset)
{
    silent_link link;
    link.resetFirst();
    cr_assert(link.injectAndReceive("stray") == "stray");
}

// The send of one direction took the reset, and the other direction passed on an orderly end.
Test(cutter, reset_of_a_server_is_passed_on_while_its_caller_sends)
{
    constexpr int rounds = 50;
    silent_link link;
    link.pass();
    for (int round = 0; round < rounds; ++round)
        cr_expect(link.passesReset(), "round %d", round);
}

namespace {

/// A connection to a loopback port; from an IPv6 socket as gRPC's are, or from an IPv4 socket.
int connectTo(std::uint16_t port, bool fromIpv6)
{
    const int caller = ::socket(fromIpv6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in v4 {};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(port);
    v4.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    sockaddr_in6 v6 {};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(port);
    cr_assert(inet_pton(AF_INET6, "::ffff:127.0.0.1", &v6.sin6_addr) == 1);
    const auto* address = fromIpv6 ? reinterpret_cast<const sockaddr*>(&v6)
                                   : reinterpret_cast<const sockaddr*>(&v4);
    cr_assert(::connect(caller, address, fromIpv6 ? sizeof v6 : sizeof v4) == 0);
    return caller;
}

} // namespace

Test(cutter, process_behind_a_connection_is_found)
{
    Poco::Net::ServerSocket server(SocketAddress("127.0.0.1", 0));
    stand_in::process_finder finder;
    for (const bool fromIpv6 : { false, true }) {
        const int caller = connectTo(server.address().port(), fromIpv6);
        const auto accepted = server.acceptConnection();
        finder.set({ getppid(), getpid() });
        cr_expect(finder.find(accepted) == getpid(), "from IPv6: %d", fromIpv6);
        finder.set({ getppid() });
        cr_expect(finder.find(accepted) == 0, "from IPv6: %d", fromIpv6);
        ::close(caller);
    }
}
