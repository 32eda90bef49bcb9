#include "helper/proxy-fixture.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <csignal>

using namespace pimentomast;
using namespace pimentomast::test;

/// A host that is asked to stop answers every request that it takes, and ends before its grace.
namespace {

/// Far beyond the grace, so that a busy machine ends no host too early.
constexpr seconds killAfter { 30 };
constexpr milliseconds grace { 3000 };
constexpr milliseconds betweenRequests { 250 };
constexpr const char* hangs = "service_ms=600000";

cluster_options oneHost()
{
    cluster_options options { 1,
        { { "a1", "archives", false, 200, false }, { "w1", "weights", true, 200 } } };
    options.settings = "[drain]\naccept_ms = 1200\nidle_ms = 1000\ngrace_ms = "
        + std::to_string(grace.count()) + "\n";
    options.deadlineMs = 600000;
    options.useCutter = false;
    return options;
}

std::string requestText(const std::string& method, const std::string& path)
{
    return method + " " + path
        + " HTTP/1.1\r\nHost: h\r\nX-Caller: tester\r\nContent-Length: 0\r\n\r\n";
}

/// Opens a connection whose first request has been answered.
std::unique_ptr<raw_connection> keptConnection(const endpoint& host)
{
    auto connection = std::make_unique<raw_connection>(host);
    connection->send(requestText("GET", "/archives/first"));
    connection->readUntil("}\n");
    connection->clearInput();
    return connection;
}

struct sent_request {
    /// Unique to the request.
    std::string path;
    std::unique_ptr<raw_connection> connection;
    /// The host may have closed the connection just before.
    bool mayCross = false;

    [[nodiscard]] bool isIn(const std::vector<request_run>& runs) const
    {
        return std::any_of(
            runs.begin(), runs.end(), [this](const auto& run) { return run.path == path; });
    }
};

/// Returns a connection, or null if the host takes none any more.
std::unique_ptr<raw_connection> newConnection(const endpoint& host)
{
    try {
        return std::make_unique<raw_connection>(host);
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

/// Sends requests that hang and requests that do not, to a service with and one without keys.
void sendOnNewConnections(const endpoint& host, std::vector<sent_request>& sent)
{
    for (const auto* method : { "GET", "POST" }) {
        for (const auto* service : { "archives", "weights" }) {
            for (const auto* query : { hangs, "service_ms=1" }) {
                auto connection = newConnection(host);
                if (!connection)
                    return;
                const auto path
                    = "/" + std::string(service) + "/k" + std::to_string(sent.size()) + "?" + query;
                connection->send(requestText(method, path));
                sent.push_back({ path, std::move(connection) });
            }
        }
    }
}

/// Sends a request on the last kept connection, unless the host has closed it.
void sendOnKeptConnection(
    std::vector<std::unique_ptr<raw_connection>>& kept, std::vector<sent_request>& sent)
{
    const bool open = !kept.empty()
        && !kept.back()->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    if (!open)
        return;
    const auto path = "/archives/kept" + std::to_string(sent.size()) + "?" + hangs;
    kept.back()->send(requestText("POST", path));
    sent.push_back({ path, std::move(kept.back()), true });
    kept.pop_back();
}

/// Asks the host to stop and sends requests until it ends or killAfter has passed; then kills it.
std::vector<sent_request> sendUntilStopped(
    cluster::host_process& host, std::vector<std::unique_ptr<raw_connection>> kept)
{
    std::vector<sent_request> sent;
    sendOnNewConnections(host.callerAddress, sent);
    host.child.terminate();
    const auto limit = monotonic_clock::now() + killAfter;
    while (host.child.running() && monotonic_clock::now() < limit) {
        sendOnNewConnections(host.callerAddress, sent);
        sendOnKeptConnection(kept, sent);
        std::this_thread::sleep_for(betweenRequests);
    }
    host.child.kill();
    return sent;
}

} // namespace

Test(failure_stop, requests_taken_late_in_the_grace_are_not_cut_without_an_answer)
{
    cluster system(oneHost());
    auto& host = system.hosts().front();
    std::vector<std::unique_ptr<raw_connection>> kept(20);
    for (auto& connection : kept)
        connection = keptConnection(host.callerAddress);
    auto sent = sendUntilStopped(host, std::move(kept));
    const auto runs = system.runs();
    cr_assert(std::any_of(
        sent.begin(), sent.end(), [&](const auto& request) { return request.isIn(runs); }));
    std::vector<std::string> lost;
    for (auto& each : sent) {
        const auto answer = each.connection->readAll();
        const bool ran = each.isIn(runs);
        const bool answered = answer.starts_with("HTTP/1.1 ");
        if ((!answered && (ran || !each.mayCross)) || (answer.starts_with("HTTP/1.1 503") && ran))
            lost.push_back(each.path + ": " + answer);
    }
    cr_assert(lost.empty(), "%zu of %zu, first %s", lost.size(), sent.size(), lost[0].c_str());
}

Test(failure_stop, further_signals_during_a_stop_cut_no_request)
{
    cluster system(oneHost());
    auto& host = system.hosts().front();
    raw_connection caller(host.callerAddress);
    caller.send(requestText("POST", "/archives/x?service_ms=800"));
    cr_assert(waitUntil([&] { return !system.runs().empty(); }));
    for (const int signal : { SIGTERM, SIGHUP, SIGTERM, SIGINT, SIGHUP })
        ::kill(host.child.id(), signal);
    cr_assert(caller.readAll().starts_with("HTTP/1.1 200"));
    cr_assert_eq(host.child.wait(), 0);
}
