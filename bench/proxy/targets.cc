#include "targets.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bench {
namespace {

constexpr std::string_view answerText
    = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 33\r\n\r\n"
      "{\"key\":\"g17\",\"weight_kg\":\"41.50\"}";
constexpr std::string_view healthText
    = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 60\r\n\r\n"
      "{\"incarnation\":1,\"load\":{\"running\":1,\"queued\":0,\"slots\":64}}";

void answerForever(int connection)
{
    std::array<char, 8192> head {};
    while (recv(connection, head.data(), head.size(), 0) > 0) {
        const bool probed = std::string_view(head.data()).starts_with("GET /pimentomast");
        const std::string_view text = probed ? healthText : answerText;
        send(connection, text.data(), text.size(), MSG_NOSIGNAL);
        if (probed)
            break;
    }
    close(connection);
}

void runTarget(int listener)
{
    while (true) {
        const int connection = accept(listener, nullptr, nullptr);
        setNoDelay(connection);
        std::thread(answerForever, connection).detach();
    }
}

} // namespace

int listenOnFreePort(std::uint16_t& port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("bind failed");
    listen(listener, 1024);
    socklen_t length = sizeof address;
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    return listener;
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void runTargets(const std::vector<int>& listeners)
{
    for (const int listener : listeners)
        std::thread(runTarget, listener).detach();
    while (true)
        pause();
}

} // namespace bench
