#include "helper/scripted-target.h"

#include <criterion/criterion.h>

using namespace pimentomast;
using namespace pimentomast::test;

/// An exception ends the request in whose work it was thrown, not the host.
namespace {

const std::string get = "GET /weights/g1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ngoats";

/// Throws once while a request is submitted, and once while its answer is read.
class throwing_dispatcher : public fixed_dispatcher {
public:
    using fixed_dispatcher::fixed_dispatcher;

    void submit(const proxy::request_facts& facts, proxy::dispatch_sink& sink) override
    {
        if (throwsOnSubmit.exchange(false))
            throw std::length_error("submit");
        fixed_dispatcher::submit(facts, sink);
    }
    void responded(proxy::request_id, unsigned, proxy::dispatch_sink&) override
    {
        if (throwsOnResponse.exchange(false))
            throw std::length_error("responded");
    }

    std::atomic<bool> throwsOnSubmit { false };
    std::atomic<bool> throwsOnResponse { false };
};

/// A host with this dispatcher and one target.
struct throwing_host {
    throwing_host()
        : server(proxy::server::start({}, dispatcher, observer).value())
    {
        server->setTable(proxyTable());
        server->setHealthy(true);
    }

    [[nodiscard]] std::string answerTo(const std::string& request) const
    {
        raw_connection caller(server->address());
        caller.send(request);
        return caller.readAll();
    }

    scripted_target target { { { answer }, { answer }, { answer } } };
    throwing_dispatcher dispatcher { { target.destination() } };
    null_observer observer;
    std::unique_ptr<proxy::server> server;
};

} // namespace

Test(proxy_exception, exception_while_a_request_is_read_ends_its_connection_only)
{
    throwing_host host;
    host.dispatcher.throwsOnSubmit = true;
    cr_assert_eq(host.answerTo(get).find("200 OK"), std::string::npos);
    cr_assert_neq(host.answerTo(get).find("goats"), std::string::npos);
}

Test(proxy_exception, exception_while_an_answer_is_read_ends_its_request_only)
{
    throwing_host host;
    host.dispatcher.throwsOnResponse = true;
    const auto failed = host.answerTo(get);
    cr_assert(failed.starts_with("HTTP/1.1 500"), "%s", failed.c_str());
    cr_assert_neq(
        failed.find("\"outcome\":\"unknown\",\"reason\":\"internal\""), std::string::npos);
    cr_assert_neq(host.answerTo(get).find("goats"), std::string::npos);
}
