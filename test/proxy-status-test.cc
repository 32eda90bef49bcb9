#include "helper/answer-parser.h"
#include "helper/scripted-server.h"
#include "helper/scripted-target.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;

/// No caller gets a response whose status is not one of HTTP's, whatever its target sends.
namespace {

const std::vector<std::string> invalidStatuses {
    "000",
    "001",
    "099",
    "101",
    "600",
    "999",
    "abc",
    "20",
    "2000",
    "-20",
    "",
};

std::string response(const std::string& status, const std::string& id, const std::string& body)
{
    return "HTTP/1.1 " + status + " Odd\r\nX-Id: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string get(const std::string& id, const std::string& fields = "")
{
    return "GET /weights/a HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n" + fields + "\r\n";
}

std::string post(const std::string& id)
{
    return "POST /ledger/a HTTP/1.1\r\nHost: h\r\nX-Id: " + id
        + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

const std::string closing = "Connection: close\r\n";

std::vector<parsed_answer> answersTo(const proxy_fixture& host, const std::string& requests)
{
    raw_connection caller(host.address());
    caller.send(requests);
    return parseAnswers(caller.readAll());
}

void expectBadGateway(const std::vector<parsed_answer>& answers, const std::string& status)
{
    cr_expect_eq(answers.size(), 1, "%s: %zu responses", status.c_str(), answers.size());
    cr_expect(
        !answers.empty() && answers[0].complete && answers[0].status == 502, "%s", status.c_str());
}

} // namespace

Test(proxy_status, first_attempt)
{
    for (const auto& status : invalidStatuses) {
        scripted_target target({ { response(status, "a", "odd") } });
        proxy_fixture host({ target.destination() }, 1, callersChooseIds());
        expectBadGateway(answersTo(host, get("a", closing)), status);
    }
}

Test(proxy_status, unrepeatable_request_is_not_sent_again)
{
    for (const auto& status : invalidStatuses) {
        scripted_target target({ { response(status, "a", "odd") }, { response("200", "a", "") } });
        proxy_fixture host({ target.destination() }, 2, callersChooseIds());
        expectBadGateway(answersTo(host, post("a")), status);
        cr_expect_eq(target.connections(), 1, "%s", status.c_str());
    }
}

Test(proxy_status, repeatable_request_is_retried)
{
    for (const auto& status : invalidStatuses) {
        scripted_target target(
            { { response(status, "a", "odd") }, { response("200", "a", "whole") } });
        proxy_fixture host({ target.destination() }, 2, callersChooseIds());
        const auto answers = answersTo(host, get("a", closing));
        cr_expect_eq(answers.size(), 1, "%s", status.c_str());
        cr_expect(!answers.empty() && answers[0].status == 200 && answers[0].body == "whole", "%s",
            status.c_str());
    }
}

Test(proxy_status, last_attempt)
{
    for (const auto& status : invalidStatuses) {
        scripted_target target(
            { { response(status, "a", "odd") }, { response(status, "a", "odd") } });
        proxy_fixture host({ target.destination() }, 2, callersChooseIds());
        expectBadGateway(answersTo(host, get("a", closing)), status);
    }
}

Test(proxy_status, interim_response_before_it)
{
    for (const auto& status : invalidStatuses) {
        scripted_target target(
            { { "HTTP/1.1 103 Early Hints\r\n\r\n" + response(status, "a", "odd") } });
        proxy_fixture host({ target.destination() }, 1, callersChooseIds());
        const auto answers = answersTo(host, get("a", closing));
        cr_expect(!answers.empty() && answers.back().status == 502, "%s", status.c_str());
        for (const auto& each : answers)
            cr_expect(each.status == 103 || each.status == 502, "%s", status.c_str());
    }
}

Test(proxy_status, stale_response_before_it)
{
    for (const auto& status : invalidStatuses) {
        scripted_target target(
            { { response("200", "old", "old") + response(status, "a", "odd") } });
        proxy_fixture host({ target.destination() }, 1, callersChooseIds());
        expectBadGateway(answersTo(host, get("a", closing)), status);
    }
}

Test(proxy_status, pipelined_requests_beside_it_get_their_own_responses)
{
    for (const auto& status : invalidStatuses) {
        scripted_server server([&](auto& socket, int) {
            for (auto head = readRequest(socket); !head.empty(); head = readRequest(socket)) {
                const bool isOdd = head.find("X-Id: odd") != std::string::npos;
                const auto at = head.find("X-Id: ") + 6;
                const auto id = head.substr(at, head.find("\r\n", at) - at);
                write(socket, response(isOdd ? status : "200", id, id));
                if (isOdd)
                    return socket.close();
            }
        });
        proxy_fixture host(
            { { target_id { "t" }, server.address(), std::nullopt, 8 } }, 1, callersChooseIds());
        const auto answers = answersTo(host, get("first") + get("odd") + get("last", closing));
        cr_assert_eq(answers.size(), 3, "%s: %zu", status.c_str(), answers.size());
        cr_expect_eq(answers[0].body, "first");
        cr_expect_eq(answers[1].status, 502, "%s", status.c_str());
        cr_expect_eq(answers[2].body, "last");
    }
}

Test(proxy_status, rest_of_an_interrupted_response)
{
    const std::string begun = "HTTP/1.1 200 OK\r\nETag: \"e\"\r\nContent-Length: 10\r\n\r\n01234";
    for (const auto& status : invalidStatuses) {
        const std::string rest = "HTTP/1.1 " + status
            + " Odd\r\nETag: \"e\"\r\nContent-Range: bytes 5-9/10\r\nContent-Length: "
              "5\r\n\r\n56789";
        scripted_target target({ { begun, scripted_response::ending::Close }, { rest } });
        proxy_fixture host({ target.destination() }, 2);
        raw_connection caller(host.address());
        caller.send("GET /weights/a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const auto received = caller.readAll();
        cr_expect(!received.ends_with("0123456789"), "%s: %s", status.c_str(), received.c_str());
    }
}

Test(proxy_status, refusal_promises_nothing)
{
    for (const auto& status : invalidStatuses) {
        const std::string refusal
            = "HTTP/1.1 " + status + " Odd\r\nX-Id: a\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n";
        scripted_target target({ { refusal } });
        proxy_fixture host({ target.destination() }, 1, callersChooseIds());
        expectBadGateway(answersTo(host, post("a")), status);
    }
}
