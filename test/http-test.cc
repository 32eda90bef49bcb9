#include "pimentomast/http.h"

#include "helper/scripted-server.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using test::readRequest;
using test::scripted_server;
using test::write;

namespace {

const http::request get { "GET", "/", "", "" };

bool isAnswer(const http::outcome& outcome, const std::string& body)
{
    const auto* answer = std::get_if<http::answer>(&outcome);
    return answer && answer->body == body;
}

} // namespace

Test(http, answer_beyond_the_awaited_one_is_not_taken_for_the_next)
{
    std::vector<Poco::Net::StreamSocket> keptOpen;
    scripted_server server([&](auto& socket, int number) {
        keptOpen.push_back(socket);
        readRequest(socket);
        const std::string own
            = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(number);
        write(socket, own + "HTTP/1.1 409 Conflict\r\nContent-Length: 1\r\n\r\nx");
    });
    http::client client({ server.address(), test::waitTimeout });
    cr_assert(isAnswer(client.sendOnce(get), "0"));
    cr_assert(isAnswer(client.sendOnce(get), "1"));
}
