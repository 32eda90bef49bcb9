#include "helper/body-target.h"

#include <criterion/criterion.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>

using namespace pimentomast;
using namespace pimentomast::test;

namespace {

/// Less than the proxy's buffer for a response, so that the rest of one of them is in it.
constexpr std::size_t stepBytes = 16384;
constexpr std::size_t largestBytes = std::size_t(1) << 21;
constexpr milliseconds shortTime { 300 };
constexpr milliseconds settleTime { 500 };
constexpr milliseconds stallTime { 2000 };
constexpr int smallBuffer = 16384;

class completion_log : public proxy::observer {
public:
    void completed(const proxy::completion& finished) override
    {
        const std::lock_guard lock(m_mutex);
        m_finished.push_back(finished);
    }
    void rejected(const proxy::rejection&) override { }
    [[nodiscard]] std::vector<proxy::completion> finished()
    {
        const std::lock_guard lock(m_mutex);
        return m_finished;
    }

private:
    std::mutex m_mutex;
    std::vector<proxy::completion> m_finished;
};

/// Returns the start of one text; making a new one takes longer than the tests wait for an attempt.
std::string bodyOf(std::size_t bytes)
{
    static const std::string all = uploadText(largestBytes);
    return all.substr(0, bytes);
}

/// Returns the body of the answer to a GET for /export/BYTES.
std::string bodyFor(const std::string& head)
{
    const std::size_t start = head.find("/export/") + 8;
    return bodyOf(std::stoul(head.substr(start)));
}

/// A proxy with one connection to a target that answers /export/BYTES with that many bytes.
class delivery_host {
public:
    explicit delivery_host(const proxy::options& settings = {}, bool isUnframed = false)
        : target([isUnframed](auto& socket, int) {
            for (std::string head = readRequest(socket); !head.empty();
                 head = readRequest(socket)) {
                const std::string body = bodyFor(head);
                write(socket,
                    isUnframed ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + chunkOf(body) + "0\r\n\r\n"
                               : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                            + "\r\n\r\n" + body);
            }
        })
        , dispatcher({ { target_id { "t1" }, target.address(), std::nullopt, 1 } })
        , server(proxy::server::start(settings, dispatcher, log).value())
    {
        (void)bodyOf(0);
        server->setTable(proxyTable());
    }

    scripted_server target;
    fixed_dispatcher dispatcher;
    completion_log log;
    std::unique_ptr<proxy::server> server;
};

/// A caller that does not read, whose response is whole on the host and not in the kernel.
struct stalled_caller {
    std::unique_ptr<raw_connection> connection;
    std::size_t bytes = 0;
};

/// What became of a response whose caller does not read.
enum class stall_end { TakenByKernel, Delivered, AttemptWaits };

stall_end watchStall(delivery_host& host, std::size_t completed)
{
    const auto isComplete = [&] { return host.log.finished().size() > completed; };
    const auto isDelivered = [&] { return host.server->state().deliveries > 0; };
    if (!waitUntil([&] { return isComplete() || isDelivered(); }, waitTimeout / 10))
        return stall_end::AttemptWaits;
    // The kernel may take a rest some time later, when it has moved bytes to the caller's side.
    return waitUntil(isComplete, isComplete() ? milliseconds(0) : settleTime)
        ? stall_end::TakenByKernel
        : stall_end::Delivered;
}

/// Limits what the kernel takes for a connection to the proxy, which is in this process. The limit
/// would otherwise grow by itself and differ from connection to connection.
bool limitSendBuffer(const Poco::Net::StreamSocket& caller)
{
    constexpr int descriptors = 1024;
    for (int each = 0; each < descriptors; ++each) {
        sockaddr_in peer {};
        socklen_t length = sizeof peer;
        const bool isConnected
            = ::getpeername(each, reinterpret_cast<sockaddr*>(&peer), &length) == 0;
        if (isConnected && ntohs(peer.sin_port) == caller.address().port())
            return ::setsockopt(each, SOL_SOCKET, SO_SNDBUF, &smallBuffer, sizeof smallBuffer) == 0;
    }
    return false;
}

/// Asks for longer and longer answers until the kernel takes one except for a rest, which fits into
/// the proxy's buffer. Such an attempt ends although its caller reads nothing.
stalled_caller stall(delivery_host& host, const std::string& version = "HTTP/1.1")
{
    stalled_caller caller;
    for (std::size_t bytes = stepBytes; bytes < largestBytes; bytes += stepBytes) {
        caller.bytes = bytes;
        caller.connection = std::make_unique<raw_connection>(host.server->address());
        caller.connection->socket().setReceiveBufferSize(smallBuffer);
        cr_assert(waitUntil([&] { return limitSendBuffer(caller.connection->socket()); }));
        const std::size_t completed = host.log.finished().size();
        caller.connection->send(
            "GET /export/" + std::to_string(bytes) + " " + version + "\r\nHost: h\r\n\r\n");
        const stall_end found = watchStall(host, completed);
        if (found == stall_end::Delivered)
            return caller;
        cr_assert(found == stall_end::TakenByKernel,
            "the attempt waits for its caller to read %zu bytes", bytes);
    }
    cr_assert_fail("the kernel takes all");
    return caller;
}

/// Returns whether the answer has all bytes of the body.
bool isWhole(const std::string& answer, std::size_t bytes)
{
    const std::size_t start = answer.find("\r\n\r\n");
    return start != std::string::npos && answer.substr(start + 4) == bodyOf(bytes);
}

} // namespace

Test(proxy_delivery, stalled_reader_holds_neither_target_nor_worker_and_gets_all_later)
{
    proxy::options settings;
    settings.workers = 1;
    delivery_host host(settings);
    const stalled_caller stalled = stall(host);
    cr_assert(
        std::holds_alternative<proxy::attempt_answered>(host.dispatcher.attempts().back().result));
    cr_assert_eq(host.server->state().running, 0);
    cr_assert_geq(host.server->state().delivered, 1);
    cr_assert_gt(host.server->state().bodyBytes, 0);
    const std::size_t completed = host.log.finished().size();
    const auto other = call(host.server->address(), { "GET", "/export/10" });
    cr_assert_eq(other.status, 200, "the only connection and worker are not free");
    cr_assert(waitUntil([&] { return host.log.finished().size() == completed + 1; }));
    const std::string last = bodyOf(stalled.bytes).substr(stalled.bytes - 20);
    cr_assert(isWhole(stalled.connection->readUntil(last), stalled.bytes));
    cr_assert(waitUntil([&] { return host.server->state().deliveries == 0; }));
    cr_assert_eq(host.server->state().bodyBytes, 0);
    cr_assert(waitUntil([&] { return host.log.finished().size() == completed + 2; }));
    cr_assert_eq(host.log.finished().back().status, 200);
    stalled.connection->clearInput();
    stalled.connection->send("GET /export/3 HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(isWhole(stalled.connection->readUntil("0;1"), 3));
}

Test(proxy_delivery, request_behind_a_delivery_is_answered_after_it)
{
    delivery_host host;
    const stalled_caller stalled = stall(host);
    stalled.connection->send("GET /export/3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(shortTime);
    const std::string all = stalled.connection->readAll();
    const std::size_t second = all.rfind("HTTP/1.1 200 OK");
    cr_assert(isWhole(all.substr(0, second), stalled.bytes));
    cr_assert(isWhole(all.substr(second), 3));
}

Test(proxy_delivery, reader_that_stalls_for_too_long_sees_an_incomplete_answer)
{
    for (const std::string version : { "HTTP/1.1", "HTTP/1.0" }) {
        proxy::options settings;
        settings.bodyTimeout = stallTime;
        delivery_host host(settings, version == "HTTP/1.0");
        const stalled_caller stalled = stall(host, version);
        cr_assert(waitUntil([&] { return host.server->state().connections == 0; }));
        cr_assert_eq(host.server->state().deliveries, 0);
        cr_assert_eq(host.server->state().bodyBytes, 0);
        const std::string answer = stalled.connection->readAll();
        cr_assert_not(isWhole(answer, stalled.bytes));
        cr_assert(stalled.connection->wasReset(),
            "%s: the end of the connection looks like the "
            "end of the answer",
            version.c_str());
        const auto last = host.log.finished().back();
        cr_assert_eq(last.status, 0);
        cr_assert_eq(last.reason, "body-timeout");
    }
}

Test(proxy_delivery, answer_without_a_length_is_whole_for_a_slow_reader)
{
    delivery_host host({}, true);
    const stalled_caller stalled = stall(host, "HTTP/1.0");
    std::this_thread::sleep_for(shortTime);
    cr_assert(isWhole(stalled.connection->readAll(), stalled.bytes));
    cr_assert_not(stalled.connection->wasReset());
}

Test(proxy_delivery, reader_that_leaves_ends_the_delivery)
{
    delivery_host host;
    const stalled_caller stalled = stall(host);
    stalled.connection->close();
    cr_assert(waitUntil([&] { return host.server->state().connections == 0; }));
    cr_assert_eq(host.server->state().deliveries, 0);
    cr_assert_eq(host.server->state().bodyBytes, 0);
    cr_assert_eq(host.log.finished().back().status, 0);
    cr_assert_eq(host.log.finished().back().reason, "caller-gone");
}

Test(proxy_delivery, delivery_is_finished_in_a_drain)
{
    delivery_host host;
    const stalled_caller stalled = stall(host);
    const auto end = monotonic_clock::now() + 10 * shortTime;
    auto drained
        = std::async(std::launch::async, [&] { host.server->drain(milliseconds(0), end); });
    std::this_thread::sleep_for(shortTime);
    cr_assert(isWhole(stalled.connection->readAll(), stalled.bytes));
    cr_assert_not(stalled.connection->wasReset());
    drained.get();
    cr_assert_eq(host.log.finished().back().status, 200);
}

Test(proxy_delivery, reader_that_stalls_in_a_drain_neither_delays_its_end_nor_gets_a_part_as_whole)
{
    delivery_host host({}, true);
    const stalled_caller stalled = stall(host, "HTTP/1.0");
    const auto started = monotonic_clock::now();
    host.server->drain(milliseconds(0), started + 2 * shortTime);
    cr_assert_lt(monotonic_clock::now() - started, 10 * shortTime);
    host.server.reset();
    cr_assert_not(isWhole(stalled.connection->readAll(), stalled.bytes));
    cr_assert(stalled.connection->wasReset());
    cr_assert_eq(host.log.finished().back().status, 0);
}

// Without memory for it, the rest of the response stays with its worker.
Test(proxy_delivery, response_without_memory_is_sent_by_its_worker)
{
    proxy::options settings;
    settings.bodyMemoryBytes = 8;
    delivery_host host(settings);
    raw_connection caller(host.server->address());
    caller.socket().setReceiveBufferSize(smallBuffer);
    caller.send("GET /export/2000000 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(shortTime);
    cr_assert(isWhole(caller.readAll(), 2000000));
    cr_assert_eq(host.server->state().delivered, 0);
}
