#include "../test/helper/fixed-dispatcher.h"

#include <Poco/NumberParser.h>
#include <algorithm>
#include <arpa/inet.h>
#include <boost/program_options.hpp>
#include <csignal>
#include <cstring>
#include <fstream>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sched.h>
#include <sstream>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

/// Requests per second, latency and CPU per request through one proxy, against going straight to
/// the same target in the same run. Target and proxy are processes of their own.
///
/// The targets answer from one thread per connection, each with one read and one write, so that
/// the comparison is with as little work as a target can do. With --router the proxy asks the real
/// router, of a service without keys or of one whose owners are answered in the same process.
namespace {

using namespace pimentomast;
using std::chrono::microseconds;
using std::chrono::seconds;

constexpr std::string_view answerText
    = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 33\r\n\r\n"
      "{\"key\":\"g17\",\"weight_kg\":\"41.50\"}";
constexpr std::string_view healthText
    = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 60\r\n\r\n"
      "{\"incarnation\":1,\"load\":{\"running\":1,\"queued\":0,\"slots\":64}}";

struct settings {
    std::string router = "none";
    unsigned targets = 6;
    unsigned connections = 64;
    unsigned clientThreads = 2;
    unsigned seconds = 5;
    unsigned rounds = 3;
    double rate = 7500;
    unsigned proxyCores = 4;
    unsigned workers = 128;
    unsigned pollers = 1;
};

/// Keeps the process, and the threads that it starts, on these cores.
void pin(unsigned first, unsigned count)
{
    cpu_set_t cores;
    CPU_ZERO(&cores);
    for (unsigned core = first; core < first + count; ++core)
        CPU_SET(core, &cores);
    sched_setaffinity(0, sizeof cores, &cores);
}

int listenOnFreePort(std::uint16_t& port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("bind failed");
    listen(listener, 1024);
    socklen_t length = sizeof address;
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    return listener;
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int connectTo(std::uint16_t port)
{
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("connect failed");
    setNoDelay(connection);
    return connection;
}

void answerForever(int connection)
{
    std::array<char, 8192> head {};
    while (recv(connection, head.data(), head.size(), 0) > 0) {
        const bool probed = std::string_view(head.data()).starts_with("GET /pimentomast");
        const std::string_view text = probed ? healthText : answerText;
        send(connection, text.data(), text.size(), MSG_NOSIGNAL);
        if (probed)
            break;
    }
    close(connection);
}

void runTarget(int listener)
{
    while (true) {
        const int connection = accept(listener, nullptr, nullptr);
        setNoDelay(connection);
        std::thread(answerForever, connection).detach();
    }
}

[[noreturn]] void runTargets(const std::vector<int>& listeners)
{
    for (const int listener : listeners)
        std::thread(runTarget, listener).detach();
    while (true)
        pause();
}

using ports = std::vector<std::uint16_t>;

target_id targetId(std::uint64_t number) { return target_id { "t" + std::to_string(number) }; }

/// Spreads the keys over the targets.
class spread_owners : public routing::owner_lookup {
public:
    explicit spread_owners(std::size_t targets)
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

std::shared_ptr<table::table> rowsOf(const settings& with, const ports& targets)
{
    auto rows = std::make_shared<table::table>(*test::proxyTable());
    if (with.router == "unkeyed")
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

/// Decides as an entry host does, or by turns if there is no router.
class decider {
public:
    decider(const settings& with, const ports& targets)
        : m_owners(targets.size())
        , m_rows(rowsOf(with, targets))
        , m_fixed(destinations(targets))
    {
        m_fixed.keepsResults = false;
        routing::options options;
        options.workers = with.workers;
        if (with.router != "none")
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

    spread_owners m_owners;
    std::shared_ptr<const table::table> m_rows;
    test::fixed_dispatcher m_fixed;
    std::unique_ptr<proxy::routed_dispatcher> m_routed;
};

[[noreturn]] void runProxy(const settings& with, const ports& targets, int portPipe)
{
    decider decisions(with, targets);
    test::silent_observer observer;
    proxy::options options;
    options.workers = with.workers;
    options.pollers = with.pollers;
    const auto server = proxy::server::start(options, decisions.get(), observer).value();
    decisions.start(*server);
    const std::uint16_t port = server->address().port;
    (void)write(portPipe, &port, sizeof port);
    while (true)
        pause();
}

/// A child process on given cores; killed on destruction.
class child {
public:
    template <class Body>
    child(unsigned firstCore, unsigned cores, const Body& body)
        : m_id(fork())
    {
        if (m_id != 0)
            return;
        pin(firstCore, cores);
        body();
        _exit(0);
    }
    child(const child&) = delete;
    child& operator=(const child&) = delete;
    ~child()
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

/// One connection of a client, which sends its next request at a set time or at once.
struct lane {
    int socket = -1;
    std::string request;
    std::string input;
    instant due;
    bool waiting = false;
};

struct outcome {
    std::vector<std::uint32_t> latenciesUs;
    std::uint64_t wrong = 0;
};

void sendDue(lane& each, instant now, instant end)
{
    if (each.waiting || each.due > now || now >= end)
        return;
    (void)send(each.socket, each.request.data(), each.request.size(), MSG_NOSIGNAL);
    each.waiting = true;
}

/// Latency counts from the time at which the request was due, so that a stall is not left out.
void receiveAnswer(lane& each, outcome& result, duration period)
{
    std::array<char, 4096> piece {};
    const ssize_t got = recv(each.socket, piece.data(), piece.size(), MSG_DONTWAIT);
    if (got == 0)
        throw std::runtime_error("connection closed");
    if (got < 0)
        return;
    each.input.append(piece.data(), static_cast<std::size_t>(got));
    if (!each.input.ends_with("\"41.50\"}"))
        return;
    result.wrong += each.input.starts_with("HTTP/1.1 200") ? 0 : 1;
    each.input.clear();
    each.waiting = false;
    const instant now = monotonic_clock::now();
    result.latenciesUs.push_back(static_cast<std::uint32_t>((now - each.due).count()));
    each.due = period == duration::zero() ? now : each.due + period;
}

int pollWaitMs(const std::vector<lane>& lanes, instant now)
{
    instant next = now + std::chrono::milliseconds(50);
    for (const lane& each : lanes) {
        if (!each.waiting)
            next = std::min(next, each.due);
    }
    return next - now > std::chrono::milliseconds(2)
        ? static_cast<int>((next - now).count() / 1000 - 1)
        : 0;
}

/// Runs the lanes until the end. period zero: each sends its next request at once.
outcome drive(std::vector<lane>& lanes, instant end, duration period)
{
    outcome result;
    std::vector<pollfd> watched;
    watched.reserve(lanes.size());
    for (const lane& each : lanes)
        watched.push_back({ each.socket, POLLIN, 0 });
    while (true) {
        const instant now = monotonic_clock::now();
        for (lane& each : lanes)
            sendDue(each, now, end);
        const bool pending = std::any_of(
            lanes.begin(), lanes.end(), [](const lane& each) { return each.waiting; });
        if (!pending && now >= end)
            return result;
        poll(watched.data(), watched.size(), pollWaitMs(lanes, now));
        for (std::size_t i = 0; i < lanes.size(); ++i) {
            if (watched[i].revents != 0)
                receiveAnswer(lanes[i], result, period);
        }
    }
}

struct figures {
    double perSecond = 0;
    double p50Us = 0;
    double p99Us = 0;
    double p999Us = 0;
    std::uint64_t requests = 0;
    std::uint64_t wrong = 0;
};

std::vector<lane> openLanes(const settings& with, const ports& servers, duration period)
{
    std::vector<lane> lanes(with.connections / with.clientThreads);
    const instant start = monotonic_clock::now();
    for (std::size_t i = 0; i < lanes.size(); ++i) {
        lanes[i].socket = connectTo(servers[i % servers.size()]);
        lanes[i].request
            = "GET /weights/g" + std::to_string(i) + " HTTP/1.1\r\nHost: bench\r\n\r\n";
        lanes[i].due = start + period * static_cast<long>(i) / static_cast<long>(lanes.size());
    }
    return lanes;
}

figures summarize(std::vector<outcome>& outcomes, double elapsedS)
{
    std::vector<std::uint32_t> all;
    figures sum;
    for (const outcome& each : outcomes) {
        all.insert(all.end(), each.latenciesUs.begin(), each.latenciesUs.end());
        sum.wrong += each.wrong;
    }
    std::sort(all.begin(), all.end());
    const auto at = [&all](double share) {
        return all.empty() ? 0.0 : all[static_cast<std::size_t>(share * double(all.size() - 1))];
    };
    sum.requests = all.size();
    sum.perSecond = static_cast<double>(all.size()) / elapsedS;
    sum.p50Us = at(0.5);
    sum.p99Us = at(0.99);
    sum.p999Us = at(0.999);
    return sum;
}

/// rate zero: as many requests as the connections can carry.
figures measure(const settings& with, const ports& servers, double rate)
{
    const duration period
        = rate > 0 ? duration(static_cast<long>(1e6 * with.connections / rate)) : duration::zero();
    std::vector<outcome> outcomes(with.clientThreads);
    std::vector<std::thread> threads;
    threads.reserve(outcomes.size());
    const instant start = monotonic_clock::now();
    const instant end = start + seconds(with.seconds);
    for (outcome& each : outcomes) {
        threads.emplace_back([&with, &each, &servers, period, end] {
            std::vector<lane> lanes = openLanes(with, servers, period);
            each = drive(lanes, end, period);
            for (const lane& open : lanes)
                close(open.socket);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    const std::chrono::duration<double> elapsed = monotonic_clock::now() - start;
    return summarize(outcomes, elapsed.count());
}

void print(const std::string& what, const figures& sum, double cpuUs)
{
    std::cout << what << "\t" << sum.perSecond << "\t" << sum.p50Us << "\t" << sum.p99Us << "\t"
              << sum.p999Us << "\t" << cpuUs << "\t" << sum.wrong << "\n"
              << std::flush;
}

void compare(const settings& with, const child& proxy, const ports& targets,
    std::uint16_t proxyPort, const std::string& what, double rate)
{
    print(what + " straight", measure(with, targets, rate), 0);
    const microseconds before = proxy.cpu();
    const figures through = measure(with, { proxyPort }, rate);
    const double cpuUs = static_cast<double>((proxy.cpu() - before).count())
        / static_cast<double>(std::max<std::uint64_t>(through.requests, 1));
    print(what + " proxy", through, cpuUs);
}

settings read(int count, char** arguments)
{
    namespace po = boost::program_options;
    settings with;
    po::options_description known("bench-proxy");
    known.add_options()("help", "print this");
    known.add_options()("connections", po::value(&with.connections), "callers' connections");
    known.add_options()("client-threads", po::value(&with.clientThreads), "threads that call");
    known.add_options()("seconds", po::value(&with.seconds), "length of each measurement");
    known.add_options()("rounds", po::value(&with.rounds), "repetitions");
    known.add_options()("rate", po::value(&with.rate), "requests per second at half load");
    known.add_options()("proxy-cores", po::value(&with.proxyCores), "cores of the proxy");
    known.add_options()("workers", po::value(&with.workers), "workers of the proxy");
    known.add_options()("pollers", po::value(&with.pollers), "pollers of the proxy");
    known.add_options()("router", po::value(&with.router), "none, keyed or unkeyed");
    known.add_options()("targets", po::value(&with.targets), "targets");
    po::variables_map values;
    po::store(po::parse_command_line(count, arguments, known), values);
    po::notify(values);
    if (values.count("help") > 0) {
        std::cout << known;
        std::exit(0);
    }
    return with;
}

void run(const settings& with)
{
    constexpr unsigned targetCore = 0;
    constexpr unsigned targetCores = 2;
    ports targetPorts(with.targets);
    std::vector<int> listeners;
    for (std::uint16_t& port : targetPorts)
        listeners.push_back(listenOnFreePort(port));
    const child target(targetCore, targetCores, [&] { runTargets(listeners); });
    std::array<int, 2> told {};
    if (pipe(told.data()) != 0)
        throw std::runtime_error("pipe failed");
    const child proxy(
        targetCore + targetCores, with.proxyCores, [&] { runProxy(with, targetPorts, told[1]); });
    std::uint16_t proxyPort = 0;
    if (::read(told[0], &proxyPort, sizeof proxyPort) != sizeof proxyPort)
        throw std::runtime_error("the proxy did not start");
    pin(targetCore + targetCores + with.proxyCores, with.clientThreads);
    std::cout << "what\trequests/s\tp50 us\tp99 us\tp99.9 us\tproxy CPU us/request\twrong\n";
    for (unsigned round = 0; round < with.rounds; ++round) {
        compare(with, proxy, targetPorts, proxyPort, "half load", with.rate);
        compare(with, proxy, targetPorts, proxyPort, "full load", 0);
    }
}

} // namespace

int main(int count, char** arguments)
{
    try {
        run(read(count, arguments));
    } catch (const std::exception& fault) {
        std::cerr << "bench-proxy: " << fault.what() << "\n";
        return 1;
    }
}
