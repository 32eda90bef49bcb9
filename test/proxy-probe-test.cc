#include "proxy/probe.h"

#include "helper/scripted-server.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;
using namespace std::chrono_literals;

namespace {

constexpr auto timeout = 300ms;
/// Far above the timeout, so that a busy machine fails no test.
constexpr auto ample = 10s;
const std::string health = "HTTP/1.1 200 OK\r\nContent-Length: 59\r\n\r\n"
                           "{\"incarnation\":7,\"load\":{\"running\":0,\"queued\":0,\"slots\":9}}";

proxy::probe_report probe(
    const scripted_server& server, incarnation run, std::chrono::milliseconds limit)
{
    return proxy::detail::probeHealth(
        target_id { "t" }, { server.address(), "/health", run }, limit, {});
}

void sendWithoutEnd(Poco::Net::StreamSocket& socket, const std::string& start, std::string more)
{
    while (more.size() < 4096)
        more += more;
    readRequest(socket);
    write(socket, start);
    constexpr std::size_t most = std::size_t { 1 } << 32U;
    for (std::size_t sent = 0; sent < most; sent += more.size())
        write(socket, more);
}

} // namespace

Test(proxy_probe, answer_that_is_cut_at_any_byte_is_no_sign_of_health)
{
    for (const incarnation run : { incarnation {}, incarnation { 7 } }) {
        scripted_server server([](auto& socket, int number) {
            readRequest(socket);
            write(socket, health.substr(0, static_cast<std::size_t>(number)));
            socket.close();
        });
        for (std::size_t bytes = 0; bytes < health.size(); ++bytes)
            cr_expect_not(probe(server, run, ample).load.has_value(), "%zu bytes", bytes);
        const auto whole = probe(server, run, ample).load;
        cr_assert(whole.has_value());
        cr_assert_eq(whole->run.value(), 7);
    }
}

Test(proxy_probe, answer_with_an_invalid_status_or_field_name_is_no_sign_of_health)
{
    const std::string rest = health.substr(health.find("\r\n"));
    for (const std::string& start : { std::string("HTTP/1.1 000 OK"),
             std::string("HTTP/1.1 200 OK\r\nX Odd: 1"), std::string("HTTP/1.1 200 OK\r\nX\x01: 1"),
             std::string("HTTP/1.1 200 OK\r\nX: 1\r\n Y: 1") }) {
        scripted_server server([&](auto& socket, int) {
            readRequest(socket);
            write(socket, start + rest);
        });
        cr_expect_not(probe(server, {}, ample).load.has_value(), "%s", start.c_str());
    }
}

Test(proxy_probe, answer_without_end_is_given_up)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto& [start, more] :
        std::vector<std::pair<std::string, std::string>> {
            { "HTTP/1.1 200 OK\r\n\r\n{\"x\":\"", "y" },
            { chunked + "1\r\n[\r\n", "4\r\n1,1,\r\n" }, { "HTTP/1.1 200 OK\r\n", "X-More: y\r\n" },
            { "", "HTTP/1.1 100 Continue\r\n\r\n" } }) {
        scripted_server server([&start = start, &more = more](
                                   auto& socket, int) { sendWithoutEnd(socket, start, more); });
        const auto before = monotonic_clock::now();
        cr_expect_not(probe(server, {}, timeout).load.has_value(), "%s", start.c_str());
        cr_expect_lt((monotonic_clock::now() - before).count(), duration(ample).count(), "%s",
            start.c_str());
    }
}

Test(proxy_probe, refused_connection_is_told_apart)
{
    const auto report = proxy::detail::probeHealth(
        target_id { "t" }, { freeAddress(), "/health", {} }, ample, {});
    cr_assert(report.refused);
    cr_assert_not(report.load.has_value());
}

// What a target says about its warm-up is a hint: an unreadable one is no sign of bad health.
Test(proxy_probe, warmup_field_is_read_or_reported_as_malformed)
{
    proxy::contract fields;
    fields.warmup = "Cold-For";
    fields.decodeWarmup = [](std::string_view text) {
        return text == "700" ? std::optional<duration>(700ms) : std::nullopt;
    };
    for (const std::string text : { "", "700", "soon" }) {
        const auto field = text.empty() ? "" : "Cold-For: " + text + "\r\n";
        scripted_server server([&](auto& socket, int) {
            readRequest(socket);
            write(socket, "HTTP/1.1 200 OK\r\n" + field + "Content-Length: 0\r\n\r\n");
        });
        const auto report = proxy::detail::probeHealth(
            target_id { "t" }, { server.address(), "/health", incarnation { 7 } }, ample, fields);
        cr_assert(report.load.has_value());
        cr_assert(report.coldFor == (text == "700" ? duration(700ms) : duration {}));
        cr_assert_eq(report.isWarmupMalformed, text == "soon");
    }
}
