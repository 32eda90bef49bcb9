#include "pimentomast/serve.h"

#include "node.h"

#include <csignal>

namespace pimentomast::serve {
namespace {

/// Signals that end the process; blocked in every thread and waited for in the main one.
sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void waitForTermination(const sigset_t& signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

telemetry::log_options logOptions(const settings::settings& values)
{
    telemetry::log_options options;
    options.lowest = static_cast<telemetry::severity>(values.log.level);
    options.file = values.log.sink == settings::log_sink::File ? values.log.file : "";
    options.json = values.log.format == settings::log_format::Json;
    options.secrets = { values.admin.token };
    return options;
}

} // namespace

int run(const settings::settings& values)
{
    const auto signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    telemetry::setUpLog(logOptions(values));
    detail::node host(values);
    telemetry::log(telemetry::severity::Info, "started",
        { { "host", values.host.id.value() }, { "callers", values.host.callers.text() } });
    waitForTermination(signals);
    host.drain();
    return 0;
}

} // namespace pimentomast::serve
