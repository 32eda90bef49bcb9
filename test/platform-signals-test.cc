#include "helper/scripted-server.h"

#include <criterion/criterion.h>
#include <csignal>
#include <fstream>

using namespace pimentomast;
using namespace pimentomast::test;

namespace {

/// Writes settings for a host on the users' platform and returns their path.
std::string writeSettings(const endpoint& store, const endpoint& admin)
{
    auto path = scratchFolder() + "/signals.ini";
    std::ofstream(path) << "[host]\nid = h1\ndomain = d1\ncallers = " << freeAddress().text()
                        << "\npeers = " << freeAddress().text() << "\nadmin = " << admin.text()
                        << "\n[store]\ninterface = platform\naddress = " << store.text()
                        << "\n[drain]\naccept_ms = 1500\n";
    return path;
}

void answerFailure(Poco::Net::StreamSocket& socket, int)
{
    while (!readRequest(socket).empty())
        write(socket, "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
}

} // namespace

Test(platform_signals, reload_signal_during_a_shutdown_does_not_end_the_host)
{
    const scripted_server store(&answerFailure);
    const auto admin = freeAddress();
    const auto log = scratchFolder() + "/signals.log";
    auto host = process::start(
        "pimentomast", { "serve", "--settings", writeSettings(store.address(), admin) }, log);
    cr_assert(waitUntil([&] { return call(admin, { "GET", "/health" }).status != 0; }));
    host.terminate();
    const auto isDraining = [&] { return call(admin, { "GET", "/health" }).body.find("stopping"); };
    cr_assert(waitUntil([&] { return isDraining() != std::string::npos; }));
    ::kill(host.id(), SIGHUP);
    cr_assert_eq(host.wait(), 0);
}
