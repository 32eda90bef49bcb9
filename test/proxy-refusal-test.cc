#include "helper/scripted-target.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;
using ending = scripted_response::ending;

namespace {

std::string refusal(const std::string& fields)
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + fields
        + "X-Refused: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string response(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// Sends one unrepeatable request and returns all bytes received until the connection ends.
std::string post(const proxy_fixture& host)
{
    raw_connection caller(host.address());
    caller.send("POST /ledger/g1 HTTP/1.1\r\nHost: h\r\nX-Id: mine\r\nContent-Length: 0\r\n"
                "Connection: close\r\n\r\n");
    return caller.readAll();
}

} // namespace

Test(proxy_refusal, refusal_written_again_is_not_taken_for_the_next_attempt)
{
    scripted_target target(
        { { refusal("X-Id: mine\r\n") }, { refusal("X-Id: mine\r\n") + response("mine", "run") } });
    proxy_fixture host({ target.destination() }, 2, callersChooseIds());
    const auto answer = post(host);
    // Whatever the target writes on the first connection, the second attempt uses another.
    cr_assert_eq(target.connections(), 2, "%s", answer.c_str());
}

Test(proxy_refusal, refusal_of_an_earlier_request_is_skipped)
{
    scripted_target target({ { refusal("X-Id: other\r\n") + response("mine", "run") } });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    cr_assert(post(host).ends_with("\r\n\r\nrun"));
}

Test(proxy_refusal, refusal_that_names_no_request_promises_nothing)
{
    scripted_target target({ { refusal("") + response("mine", "run") } });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    cr_assert(post(host).starts_with("HTTP/1.1 502 "));
}
