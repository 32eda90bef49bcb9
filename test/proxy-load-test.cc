#include "helper/routed-fixture.h"

#include <criterion/criterion.h>
#include <thread>

using namespace pimentomast;
using namespace pimentomast::test;

Test(proxy_load, concurrent_requests_each_get_their_own_response)
{
    target_process target("t1", { "--no-token-checks", "--slots", "100" });
    routed_fixture host({ target.address() });
    std::vector<std::thread> callers;
    callers.reserve(16);
    std::atomic<int> right { 0 };
    for (int caller = 0; caller < 16; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < 50; ++i) {
                const std::string path
                    = "/weights/g" + std::to_string(caller) + "-" + std::to_string(i);
                const auto reply = call(host.address(), { "GET", path });
                if (reply.status == 200
                    && reply.body.find("\"path\":\"" + path + "\"") != std::string::npos)
                    ++right;
            }
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    cr_assert_eq(right.load(), 800);
}
