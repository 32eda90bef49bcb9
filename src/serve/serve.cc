#include "pimentomast/serve.h"

#include "node.h"

#include <csignal>
#include <malloc.h>

namespace pimentomast::serve {
namespace {

/// Signals that are blocked in every thread and waited for in the main thread.
sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

constexpr timespec watchInterval { 0, 500'000'000 };
/// Heaps that the threads share. Each keeps what its threads once needed at the same time, so one
/// for each thread would hold far more memory than is in use.
constexpr int maxArenas = 2;

/// Returns on SIGTERM or SIGINT. SIGHUP only logs that settings take effect at the next start.
/// Meanwhile looks at the rounds of the host, whose own thread cannot tell that one never ends.
void waitForTermination(const sigset_t& signals, detail::node& host)
{
    while (true) {
        const int received = sigtimedwait(&signals, nullptr, &watchInterval);
        if (received == SIGTERM || received == SIGINT)
            return;
        if (received == SIGHUP)
            telemetry::log(telemetry::severity::Info, "settings-kept",
                { { "reason", "settings take effect at the next start" } });
        host.logStuckRound(monotonic_clock::now());
    }
}

/// Environment with this project's own store and target protocols.
class default_environment final : public environment {
public:
    explicit default_environment(std::unique_ptr<store::services> services)
        : m_services(std::move(services))
    {
    }

    [[nodiscard]] store::services& storeServices() override { return *m_services; }
    [[nodiscard]] table_source* tableSource() override { return nullptr; }
    [[nodiscard]] range_client* rangeClient() override { return nullptr; }
    [[nodiscard]] proxy::contract contract() const override { return {}; }
    [[nodiscard]] duration stopGrace() const override { return {}; }
    /// Does nothing: the platform lists the hosts itself.
    void announce(const store::listed_host&) override { }
    void withdraw(const host_id&) override { }

private:
    std::unique_ptr<store::services> m_services;
};

telemetry::log_options logOptions(const settings::settings& values)
{
    telemetry::log_options options;
    options.minSeverity = static_cast<telemetry::severity>(values.log.level);
    options.file = values.log.sink == settings::log_sink::File ? values.log.file : "";
    options.json = values.log.format == settings::log_format::Json;
    options.secrets = { values.admin.token };
    options.linesPerSecond = values.log.lines;
    options.bytesPerSecond = values.log.bytes;
    return options;
}

} // namespace

result<std::unique_ptr<environment>> defaultEnvironment(const settings::store_settings& values)
{
    auto services = store::connect({ values.address, values.timeoutMs });
    if (!services)
        return services.error();
    return std::unique_ptr<environment>(
        std::make_unique<default_environment>(std::move(services).value()));
}

int run(const settings::settings& values,
    const std::function<result<std::unique_ptr<environment>>()>& connect)
{
    const auto signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_ARENA_MAX, maxArenas);
    telemetry::setUpLog(logOptions(values));
    const auto env = connect().value();
    detail::node host(values, *env);
    telemetry::log(telemetry::severity::Info, "started",
        { { "host", values.host.id.value() }, { "callers", values.host.callers.text() } });
    waitForTermination(signals, host);
    host.drain();
    env->withdraw(values.host.id);
    telemetry::log(telemetry::severity::Info, "stopped", {});
    return 0;
}

} // namespace pimentomast::serve
