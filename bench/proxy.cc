#include "../test/helper/fixed-dispatcher.h"
#include "proxy/clients.h"
#include "proxy/targets.h"

#include <Poco/NumberParser.h>
#include <algorithm>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sched.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

/// Measures requests per second, latency and CPU time per request through one proxy, compared with
/// direct requests to the same targets in the same run. Targets and proxy are separate processes.
///
/// The targets use one thread per connection and one read and one write per request, so that the
/// comparison is with the least work that a target can do. With --router the proxy uses the real
/// router, for an unkeyed service or for a keyed one whose owners are looked up in process.
namespace {

using namespace pimentomast;
using namespace bench;
using std::chrono::microseconds;

struct settings {
    std::string router = "none";
    unsigned targets = 6;
    load sent;
    unsigned rounds = 3;
    double rate = 7500;
    unsigned proxyCores = 4;
    unsigned workers = 128;
    unsigned pollers = 1;
};

/// Pins the calling thread, and the threads and processes that it starts, to these cores.
void pin(unsigned first, unsigned count)
{
    cpu_set_t cores;
    CPU_ZERO(&cores);
    for (unsigned core = first; core < first + count; ++core)
        CPU_SET(core, &cores);
    sched_setaffinity(0, sizeof cores, &cores);
}

target_id targetId(std::uint64_t number) { return target_id { "t" + std::to_string(number) }; }

/// Maps each key to a target by its hash modulo the number of targets.
class modulo_owners : public routing::owner_lookup {
public:
    explicit modulo_owners(std::size_t targets)
        : m_targets(targets)
    {
    }
    routing::owner_answer find(instant, const service_id&, key_hash key) const override
    {
        return routing::owned_by { targetId(key.value() % m_targets),
            token { epoch { 1 }, sequence { 1 } } };
    }

private:
    std::size_t m_targets;
};

std::shared_ptr<table::table> makeTable(const settings& chosen, const ports& targets)
{
    auto rows = std::make_shared<table::table>(*test::proxyTable());
    if (chosen.router == "unkeyed")
        rows->services.back().key = table::no_source {};
    for (std::size_t i = 0; i < targets.size(); ++i) {
        table::target_row row;
        row.id = targetId(i);
        row.service = service_id { "weights" };
        row.address = { "127.0.0.1", targets[i] };
        row.slots = 64;
        row.connections = 64;
        rows->targets.push_back(row);
    }
    return rows;
}

/// Dispatches through the real router, or round robin if there is none.
class dispatch_source {
public:
    dispatch_source(const settings& chosen, const ports& targets)
        : m_owners(targets.size())
        , m_rows(makeTable(chosen, targets))
        , m_fixed(destinations(targets))
    {
        m_fixed.recordsAttempts = false;
        routing::options options;
        options.workers = chosen.workers;
        if (chosen.router != "none")
            m_routed = proxy::routed_dispatcher::create(options, m_owners, {}).value();
    }

    proxy::dispatcher& get()
    {
        return m_routed ? static_cast<proxy::dispatcher&>(*m_routed) : m_fixed;
    }

    void start(proxy::server& server)
    {
        server.setTable(m_rows);
        if (!m_routed)
            return;
        m_routed->attach(server.sink());
        m_routed->setTable(*m_rows);
        m_routed->call(
            [](instant now, routing::router& router) { return router.applyLiveHosts(now, 1); });
    }

private:
    static std::vector<proxy::destination> destinations(const ports& targets)
    {
        std::vector<proxy::destination> all;
        for (std::size_t i = 0; i < targets.size(); ++i)
            all.push_back({ targetId(i), { "127.0.0.1", targets[i] },
                token { epoch { 1 }, sequence { 1 } }, 1000 });
        return all;
    }

    modulo_owners m_owners;
    std::shared_ptr<const table::table> m_rows;
    test::fixed_dispatcher m_fixed;
    std::unique_ptr<proxy::routed_dispatcher> m_routed;
};

[[noreturn]] void runProxy(const settings& chosen, const ports& targets, int portPipe)
{
    dispatch_source dispatching(chosen, targets);
    test::null_observer observer;
    proxy::options options;
    options.workers = chosen.workers;
    options.pollers = chosen.pollers;
    const auto server = proxy::server::start(options, dispatching.get(), observer).value();
    dispatching.start(*server);
    const std::uint16_t port = server->address().port;
    (void)write(portPipe, &port, sizeof port);
    while (true)
        pause();
}

/// A child process pinned to the given cores; killed on destruction.
class child_process {
public:
    template <class Body>
    child_process(unsigned firstCore, unsigned cores, const Body& body)
        : m_id(fork())
    {
        if (m_id != 0)
            return;
        pin(firstCore, cores);
        body();
        _exit(0);
    }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process()
    {
        kill(m_id, SIGKILL);
        waitpid(m_id, nullptr, 0);
    }

    /// Returns the CPU time that the process has used.
    [[nodiscard]] microseconds cpu() const
    {
        std::ifstream file("/proc/" + std::to_string(m_id) + "/stat");
        std::string text((std::istreambuf_iterator<char>(file)), {});
        std::istringstream fields(text.substr(text.rfind(')') + 2));
        std::string skipped;
        for (int i = 0; i < 11; ++i)
            fields >> skipped;
        long user = 0;
        long system = 0;
        fields >> user >> system;
        return microseconds((user + system) * 1000000 / sysconf(_SC_CLK_TCK));
    }

private:
    pid_t m_id;
};

void print(const std::string& what, const load_result& sum, double cpuUs)
{
    std::cout << what << "\t" << sum.perSecond << "\t" << sum.p50Us << "\t" << sum.p99Us << "\t"
              << sum.p999Us << "\t" << cpuUs << "\t" << sum.wrong << "\n"
              << std::flush;
}

void compare(const settings& chosen, const child_process& proxy, const ports& targets,
    std::uint16_t proxyPort, const std::string& what, double rate)
{
    load sent = chosen.sent;
    sent.rate = rate;
    print(what + " direct", measure(sent, targets), 0);
    const microseconds before = proxy.cpu();
    const load_result through = measure(sent, { proxyPort });
    const double cpuUs = static_cast<double>((proxy.cpu() - before).count())
        / static_cast<double>(std::max<std::uint64_t>(through.requests, 1));
    print(what + " proxy", through, cpuUs);
}

settings read(int count, char** arguments)
{
    namespace po = boost::program_options;
    settings chosen;
    po::options_description description("bench-proxy");
    description.add_options()("help", "print this");
    description.add_options()(
        "connections", po::value(&chosen.sent.connections), "callers' connections");
    description.add_options()(
        "client-threads", po::value(&chosen.sent.threads), "threads that call");
    description.add_options()(
        "seconds", po::value(&chosen.sent.seconds), "length of each measurement");
    description.add_options()("rounds", po::value(&chosen.rounds), "repetitions");
    description.add_options()("rate", po::value(&chosen.rate), "requests per second at half load");
    description.add_options()("proxy-cores", po::value(&chosen.proxyCores), "cores of the proxy");
    description.add_options()("workers", po::value(&chosen.workers), "workers of the proxy");
    description.add_options()("pollers", po::value(&chosen.pollers), "pollers of the proxy");
    description.add_options()("router", po::value(&chosen.router), "none, keyed or unkeyed");
    description.add_options()("targets", po::value(&chosen.targets), "targets");
    po::variables_map values;
    po::store(po::parse_command_line(count, arguments, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        std::exit(0);
    }
    return chosen;
}

void run(const settings& chosen)
{
    constexpr unsigned targetCore = 0;
    constexpr unsigned targetCores = 2;
    ports targetPorts(chosen.targets);
    std::vector<int> listeners;
    for (std::uint16_t& port : targetPorts)
        listeners.push_back(listenOnFreePort(port));
    const child_process target(targetCore, targetCores, [&] { runTargets(listeners); });
    std::array<int, 2> portPipe {};
    if (pipe(portPipe.data()) != 0)
        throw std::runtime_error("pipe failed");
    const child_process proxy(targetCore + targetCores, chosen.proxyCores,
        [&] { runProxy(chosen, targetPorts, portPipe[1]); });
    std::uint16_t proxyPort = 0;
    if (::read(portPipe[0], &proxyPort, sizeof proxyPort) != sizeof proxyPort)
        throw std::runtime_error("the proxy did not start");
    pin(targetCore + targetCores + chosen.proxyCores, chosen.sent.threads);
    std::cout << "what\trequests/s\tp50 us\tp99 us\tp99.9 us\tproxy CPU us/request\twrong\n";
    for (unsigned round = 0; round < chosen.rounds; ++round) {
        compare(chosen, proxy, targetPorts, proxyPort, "half load", chosen.rate);
        compare(chosen, proxy, targetPorts, proxyPort, "full load", 0);
    }
}

} // namespace

int main(int count, char** arguments)
{
    try {
        run(read(count, arguments));
    } catch (const std::exception& error) {
        std::cerr << "bench-proxy: " << error.what() << "\n";
        return 1;
    }
}
