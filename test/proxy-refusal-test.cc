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

namespace {

const std::vector<std::string> promisingStatuses { "408 Request Timeout", "421 Misdirected Request",
    "429 Too Many Requests", "503 Service Unavailable" };

/// Returns an answer with this status that does not state that the request has not run.
std::string bareAnswer(const std::string& status)
{
    return "HTTP/1.1 " + status + "\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nbusy";
}

} // namespace

// A target ran the request, failed and answered 503. The caller took it for the promise that the
// request has not run and sent it again, so it ran twice.
Test(proxy_refusal, status_that_promises_not_run_needs_the_target_to_state_it)
{
    for (const bool callersChoose : { false, true }) {
        for (const std::string& status : promisingStatuses) {
            // In the contract with a field, status 421 states it by itself.
            if (callersChoose && status.starts_with("421"))
                continue;
            scripted_target target({ { bareAnswer(status) }, { bareAnswer(status) } });
            proxy_fixture host({ target.destination() }, 2,
                callersChoose ? callersChooseIds() : proxy::options {});
            const auto answer = post(host);
            cr_expect(answer.starts_with("HTTP/1.1 502 "), "%s", answer.c_str());
            cr_expect(answer.find("Pimentomast-Outcome: unknown\r\n") != std::string::npos);
            cr_expect(answer.find("\"reason\":\"refusal-unproved\"") != std::string::npos);
            cr_expect_eq(target.heads().size(), 1, "%s: sent again", status.c_str());
        }
    }
}

Test(proxy_refusal, status_after_a_stated_refusal_needs_a_statement_of_its_own)
{
    scripted_target target(
        { { refusal("X-Id: mine\r\n") }, { bareAnswer("503 Service Unavailable") } });
    proxy_fixture host({ target.destination() }, 2, callersChooseIds());
    const auto answer = post(host);
    cr_assert(answer.starts_with("HTTP/1.1 502 "), "%s", answer.c_str());
    cr_assert(answer.find("Pimentomast-Outcome: unknown\r\n") != std::string::npos);
}

Test(proxy_refusal, stated_refusal_is_passed_on_as_a_promise)
{
    scripted_target target({ { refusal("X-Id: mine\r\n") }, { refusal("X-Id: mine\r\n") } });
    proxy_fixture host({ target.destination() }, 2, callersChooseIds());
    const auto answer = post(host);
    cr_assert(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
    cr_assert(answer.find("Pimentomast-Outcome: not-run\r\n") != std::string::npos);
}

// The other side: for a request that may run again the status is an answer like any other.
Test(proxy_refusal, repeatable_request_gets_the_status_of_its_target)
{
    for (const std::string& status : promisingStatuses) {
        if (status.starts_with("421"))
            continue;
        scripted_target target({ { bareAnswer(status) } });
        proxy_fixture host({ target.destination() }, 1, callersChooseIds());
        raw_connection caller(host.address());
        caller.send("GET /weights/g1 HTTP/1.1\r\nHost: h\r\nX-Id: mine\r\n"
                    "Connection: close\r\n\r\n");
        const auto answer = caller.readAll();
        cr_expect(answer.starts_with("HTTP/1.1 " + status), "%s", answer.c_str());
        cr_expect(answer.ends_with("busy"));
    }
}

Test(proxy_refusal, connection_is_used_again_after_an_unproved_refusal)
{
    scripted_target target(
        { { bareAnswer("503 Service Unavailable") }, { response("mine", "run") } });
    proxy_fixture host({ target.destination() }, 1, callersChooseIds());
    cr_assert(post(host).starts_with("HTTP/1.1 502 "));
    cr_assert(post(host).ends_with("\r\n\r\nrun"));
    cr_assert_eq(target.connections(), 1);
}
