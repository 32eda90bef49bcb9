#include "helper/scripted-server.h"
#include "store.h"

#include <Poco/Base64Encoder.h>
#include <criterion/criterion.h>
#include <sstream>

using namespace pimentomast;

namespace {

std::string row(const std::string& key, const std::string& value)
{
    std::ostringstream encoded;
    Poco::Base64Encoder encoder(encoded);
    encoder.rdbuf()->setLineLength(0);
    encoder << value;
    encoder.close();
    return R"({"key":")" + key + R"(","ver":3,"value":")" + encoded.str() + R"("})";
}

std::string host(const std::string& peers, const std::string& rest = "")
{
    return R"({"domain":"d1","peers":")" + peers + '"' + rest + '}';
}

std::string nested(std::size_t depth)
{
    return host("10.0.0.9:7000", R"(,"x":)" + std::string(depth, '[') + std::string(depth, ']'));
}

/// Returns what is read of a list with these rows between two proper ones.
result<std::vector<store::listed_host>> hostsOf(const std::vector<std::string>& odd)
{
    std::string rows = row("a", host("10.0.0.1:7000"));
    for (const auto& each : odd)
        rows += "," + row("odd", each);
    rows += "," + row("z", host("10.0.0.2:7000"));
    const auto body = R"({"ver":3,"hasMore":false,"rows":[)" + rows + "]}";
    test::scripted_server server([body](auto& socket, int) {
        test::readRequest(socket);
        test::write(socket,
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body);
    });
    platform::detail::row_client client(server.address(), test::waitTimeout);
    return platform::detail::platform_store(client).hosts();
}

/// Receives a call of the store whose body is a transaction; empty if the client has left.
std::string readTransaction(Poco::Net::StreamSocket& socket)
{
    std::string received;
    std::array<char, 4096> buffer {};
    while (!received.ends_with("]}")) {
        const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count <= 0)
            return {};
        received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return received;
}

} // namespace

// A removal that the store carries out late would take away the row of the host's next run.
Test(platform_hosts, removal_names_the_version_of_the_row_that_was_written)
{
    std::vector<std::string> calls;
    test::scripted_server server([&](auto& socket, int) {
        for (auto call = readTransaction(socket); !call.empty(); call = readTransaction(socket)) {
            calls.push_back(call);
            test::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"ver\":7}");
        }
    });
    platform::detail::row_client client(server.address(), test::waitTimeout);
    platform::detail::platform_store rows(client);
    const host_id self { "h1" };
    cr_assert_not(rows.removeHost(self).has_value());
    cr_assert(rows.putHost({ self, domain_id { "d1" }, { "10.0.0.1", 7000 } }).has_value());
    cr_assert(rows.removeHost(self).has_value());
    cr_assert_eq(calls.size(), 2);
    cr_assert_neq(calls[1].find("\"ver\":7"), std::string::npos, "%s", calls[1].c_str());
}

Test(platform_hosts, odd_host_row_hides_no_other_host)
{
    for (const auto& odd : { std::string(), std::string("null"), std::string("[]"),
             std::string("\x01\x02"), std::string(R"({"peers":"10.0.0.9:7000"})"),
             host("10.0.0.9:70000"), host("10.0.0.9:-1"), host("10.0.0.9"), host("somewhere:7000"),
             host("10.0.0.9:7000", R"(,"millicores":1e999)"),
             host("10.0.0.9:7000", R"(,"millicores":99999999999999999999999)"), nested(1000),
             nested(1'000'000) }) {
        const auto hosts = hostsOf({ odd });
        cr_assert(hosts.has_value(), "%s", odd.substr(0, 200).c_str());
        cr_expect(hosts.value().front().id == host_id { "a" });
        cr_expect(hosts.value().back().id == host_id { "z" });
    }
}
