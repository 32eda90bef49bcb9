#include "clients.h"

#include "pimentomast/core.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bench {
namespace {

using namespace pimentomast;

int connectTo(std::uint16_t port)
{
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("connect failed");
    setNoDelay(connection);
    return connection;
}

/// A client connection; it sends its next request when due, or as soon as the previous one is
/// answered.
struct client_connection {
    int socket = -1;
    std::string request;
    std::string input;
    instant due;
    bool waiting = false;
};

struct outcome {
    std::vector<std::uint32_t> latenciesUs;
    std::uint64_t wrong = 0;
};

void sendDue(client_connection& each, instant now, instant end)
{
    if (each.waiting || each.due > now || now >= end)
        return;
    (void)send(each.socket, each.request.data(), each.request.size(), MSG_NOSIGNAL);
    each.waiting = true;
}

/// Measures latency from the time at which the request was due. This includes the delay that a
/// stall causes for later requests and so avoids coordinated omission.
void receiveAnswer(client_connection& each, outcome& result, duration period)
{
    std::array<char, 4096> buffer {};
    const ssize_t length = recv(each.socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (length == 0)
        throw std::runtime_error("connection closed");
    if (length < 0)
        return;
    each.input.append(buffer.data(), static_cast<std::size_t>(length));
    if (!each.input.ends_with("\"41.50\"}"))
        return;
    result.wrong += each.input.starts_with("HTTP/1.1 200") ? 0 : 1;
    each.input.clear();
    each.waiting = false;
    const instant now = monotonic_clock::now();
    result.latenciesUs.push_back(static_cast<std::uint32_t>((now - each.due).count()));
    each.due = period == duration::zero() ? now : each.due + period;
}

int pollWaitMs(const std::vector<client_connection>& connections, instant now)
{
    instant next = now + std::chrono::milliseconds(50);
    for (const client_connection& each : connections) {
        if (!each.waiting)
            next = std::min(next, each.due);
    }
    return next - now > std::chrono::milliseconds(2)
        ? static_cast<int>((next - now).count() / 1000 - 1)
        : 0;
}

/// Runs the connections until the end. With a period of zero, each sends its next request as soon
/// as the previous one is answered.
outcome drive(std::vector<client_connection>& connections, instant end, duration period)
{
    outcome result;
    std::vector<pollfd> watched;
    watched.reserve(connections.size());
    for (const client_connection& each : connections)
        watched.push_back({ each.socket, POLLIN, 0 });
    while (true) {
        const instant now = monotonic_clock::now();
        for (client_connection& each : connections)
            sendDue(each, now, end);
        const bool pending = std::any_of(connections.begin(), connections.end(),
            [](const client_connection& each) { return each.waiting; });
        if (!pending && now >= end)
            return result;
        poll(watched.data(), watched.size(), pollWaitMs(connections, now));
        for (std::size_t i = 0; i < connections.size(); ++i) {
            if (watched[i].revents != 0)
                receiveAnswer(connections[i], result, period);
        }
    }
}

std::vector<client_connection> openConnections(
    const load& sent, const ports& servers, duration period)
{
    std::vector<client_connection> connections(sent.connections / sent.threads);
    const instant start = monotonic_clock::now();
    for (std::size_t i = 0; i < connections.size(); ++i) {
        connections[i].socket = connectTo(servers[i % servers.size()]);
        connections[i].request
            = "GET /weights/g" + std::to_string(i) + " HTTP/1.1\r\nHost: bench\r\n\r\n";
        connections[i].due
            = start + period * static_cast<long>(i) / static_cast<long>(connections.size());
    }
    return connections;
}

load_result summarize(std::vector<outcome>& outcomes, double elapsedS)
{
    std::vector<std::uint32_t> all;
    load_result sum;
    for (const outcome& each : outcomes) {
        all.insert(all.end(), each.latenciesUs.begin(), each.latenciesUs.end());
        sum.wrong += each.wrong;
    }
    std::sort(all.begin(), all.end());
    const auto at = [&all](double share) {
        return all.empty() ? 0.0 : all[static_cast<std::size_t>(share * double(all.size() - 1))];
    };
    sum.requests = all.size();
    sum.perSecond = static_cast<double>(all.size()) / elapsedS;
    sum.p50Us = at(0.5);
    sum.p99Us = at(0.99);
    sum.p999Us = at(0.999);
    return sum;
}

} // namespace

load_result measure(const load& sent, const ports& servers)
{
    const duration period = sent.rate > 0
        ? duration(static_cast<long>(1e6 * sent.connections / sent.rate))
        : duration::zero();
    std::vector<outcome> outcomes(sent.threads);
    std::vector<std::thread> threads;
    threads.reserve(outcomes.size());
    const instant start = monotonic_clock::now();
    const instant end = start + std::chrono::seconds(sent.seconds);
    for (outcome& each : outcomes) {
        threads.emplace_back([&sent, &each, &servers, period, end] {
            std::vector<client_connection> connections = openConnections(sent, servers, period);
            each = drive(connections, end, period);
            for (const client_connection& open : connections)
                close(open.socket);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    const std::chrono::duration<double> elapsed = monotonic_clock::now() - start;
    return summarize(outcomes, elapsed.count());
}

} // namespace bench
