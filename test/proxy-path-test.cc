#include "helper/proxy-fixture.h"
#include "stand-ins/pattern.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;

Test(proxy_path, request_reaches_target_and_answer_returns)
{
    target_process target("t1", { "--no-token-checks" });
    proxy_fixture host({ target.destination() });
    const auto reply = call(host.address(), { "GET", "/weights/g17?unit=kg" });
    cr_assert_eq(
        reply.status, 200, "%d %s %s", reply.status, reply.failure.c_str(), reply.body.c_str());
    cr_assert(reply.whole);
    cr_assert(reply.body.find("\"path\":\"/weights/g17?unit=kg\"") != std::string::npos);
    cr_assert_eq(target.runs("/weights/g17?unit=kg"), 1);
}
