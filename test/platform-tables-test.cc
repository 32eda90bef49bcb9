#include "tables.h"

#include "helper/scripted-server.h"

#include <Poco/Base64Encoder.h>
#include <criterion/criterion.h>
#include <sstream>

using namespace pimentomast;
using namespace pimentomast::platform::detail;
using namespace std::chrono_literals;

namespace {

std::string base64(const std::string& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string page(int version, const std::string& key, const std::string& value)
{
    return R"({"ver":)" + std::to_string(version) + R"(,"rows":[{"key":")" + key + R"(","ver":)"
        + std::to_string(version) + R"(,"value":")" + base64(value) + R"("}]})";
}

std::string answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string configurationText
    = R"({"version":"0000000c","resources":[)"
      R"({"type":"services","metadata":{"name":"weights"},"spec":)"
      R"({"healthPath":"/healthz","maxConns":130}},)"
      R"({"type":"routes","metadata":{"name":"r1"},"spec":{"host":"a.example","prefix":"/w/",)"
      R"("timeout":"0.8s","slo":"300ms","priority":2,"attempts":2,"kind":"idempotent",)"
      R"("service":"weights"}}]})";

std::string registrationText(const std::string& state)
{
    return R"({"address":"10.128.0.9:8080","born":1790000000000,"info":{"service":"weights",)"
           R"("zone":"k","capacity":4},"status":{"state":")"
        + state + R"("}})";
}

using answer_writer = std::function<void(Poco::Net::StreamSocket&)>;

/// Lists a configuration and a ready target; later the feed of configurations is answered by
/// answerFeed, and that of targets says that the target is leaving.
void serveStore(Poco::Net::StreamSocket& socket, const answer_writer& answerFeed)
{
    for (auto request = test::readRequest(socket); !request.empty();
         request = test::readRequest(socket)) {
        const bool isFeed = request.starts_with("GET /rows-feed");
        const bool isConfiguration = request.find("table=op&") != std::string::npos;
        if (isFeed && isConfiguration)
            answerFeed(socket);
        else if (isConfiguration)
            test::write(socket, answer(page(1, "config", configurationText)));
        else
            test::write(socket,
                answer(isFeed ? page(3, "i-1", registrationText("draining"))
                              : page(2, "i-1", registrationText("ready"))));
    }
}

/// Time within which a host must know that a target is leaving.
constexpr std::chrono::milliseconds drainBound { 2500 };

/// Returns whether a feed from a store that answers so sees in time that the target is leaving.
bool seesLeavingTarget(const answer_writer& answerFeed)
{
    test::scripted_server store([&](auto& socket, int) { serveStore(socket, answerFeed); });
    row_client client(store.address(), test::waitTimeout);
    std::atomic<bool> leaves { false };
    table_feed feed(client, { 10ms, 20ms });
    feed.start([&](const auto& table) {
        leaves = !table->targets.empty() && table->targets[0].state == table::mark::Leaving;
    });
    const bool seen = test::waitUntil([&] { return leaves.load(); }, drainBound);
    feed.stop();
    return seen;
}

} // namespace

Test(platform_tables, leaving_target_is_seen_while_the_configuration_cannot_be_read)
{
    cr_assert(seesLeavingTarget([](auto& socket) {
        test::write(socket, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
    }));
}

Test(platform_tables, leaving_target_is_seen_while_a_large_configuration_arrives)
{
    cr_assert(seesLeavingTarget([](auto& socket) {
        test::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{");
        for (int i = 0; i < 40; ++i) {
            std::this_thread::sleep_for(100ms);
            test::write(socket, " ");
        }
    }));
}
