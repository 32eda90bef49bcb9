#include "serve/grant_client.h"

#include "helper/scripted-server.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t pieceBytes = 65536;
constexpr std::size_t mostBytes = std::size_t { 256 } << 20U;
/// What the buffers of both sockets may hold beyond what the client reads.
constexpr std::size_t socketBytes = 16U << 20U;

} // namespace

Test(serve_grants, answer_without_end_is_given_up_in_bounded_memory)
{
    for (const std::string head : { "HTTP/1.1 200 OK\r\n\r\n",
             "HTTP/1.1 409 Conflict\r\nContent-Length: 268435456\r\n\r\n" }) {
        std::atomic<std::size_t> sent { 0 };
        {
            scripted_server target([&](auto& socket, int) {
                readRequest(socket);
                write(socket, head);
                for (; sent < mostBytes; sent += pieceBytes)
                    write(socket, std::string(pieceBytes, 'x'));
            });
            serve::detail::grant_client client(60s);
            ownership::send_grant action {};
            action.address = target.address();
            const auto event = client.send(action);
            cr_expect(std::holds_alternative<ownership::target_failed>(event));
        }
        cr_expect_lt(sent.load(), socketBytes, "%s", head.c_str());
    }
}
