#include "helper/proxy-fixture.h"
#include "helper/scripted-server.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;

Test(proxy_interim, continue_that_is_dropped_with_a_refusal_is_asked_for_again)
{
    scripted_server server([](auto& socket, int number) {
        const auto head = readRequest(socket);
        const std::string proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        if (number == 0)
            write(socket,
                proceed
                    + "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                      "Pimentomast-Outcome: not-run\r\n\r\n");
        else if (head.find("Expect: 100-continue") != std::string::npos)
            write(socket, proceed);
        std::array<char, 4> body {};
        if (number == 0 || socket.receiveBytes(body.data(), body.size()) <= 0)
            return;
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    proxy_fixture host({ { target_id { "t" }, server.address(), std::nullopt, 4 } }, 2);
    raw_connection caller(host.address());
    caller.socket().setReceiveTimeout(Poco::Timespan(5, 0));
    caller.send("PUT /weights/a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                "Content-Length: 4\r\nConnection: close\r\n\r\n");
    cr_assert(caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 100 "));
    caller.send("body");
    cr_assert(caller.readAll().find("HTTP/1.1 200 ") != std::string::npos);
}
