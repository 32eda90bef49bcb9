#include "installation.h"

#include <iostream>
#include <semaphore>
#include <thread>

/// Case 4: a host is stopped as planned while some orders take longer than most. Prints whether the
/// rule LOST held, and exits with 1 if it was broken, 0 if it held, 2 if the case could not run.
namespace review {
namespace {

constexpr unsigned upstreamCount = 4;
constexpr unsigned hostCount = 2;
constexpr unsigned orderClients = 4;
/// Orders that an upstream works on at the same time, as its registration says.
constexpr unsigned capacity = 4;
constexpr long startLimitMs = 20000;
constexpr long warmUpMs = 6000;
constexpr long graceMs = 6000;
/// Orders that take longer are sent from this time before the stop to this time after it.
constexpr long beforeStopMs = 800;
constexpr long afterStopMs = 1000;
constexpr std::chrono::milliseconds slowInterval { 400 };
constexpr std::chrono::milliseconds usualWork { 100 };
constexpr std::chrono::milliseconds slowWork { 3500 };
constexpr long heartbeatMs = 870;

const std::string configuration
    = R"({"version":"00000007","resources":[)"
      R"({"type":"routes","metadata":{"name":"r1"},"spec":{"host":"orders.example",)"
      R"("prefix":"/orders/","kind":"non_idempotent","timeout":"10s","slo":"1500ms","priority":1,)"
      R"("service":"orders","attempts":2}},)"
      R"({"type":"services","metadata":{"name":"orders"},"spec":{"healthPath":"/healthz",)"
      R"("maxConns":470,"protocol":"h1","tls":false}},)"
      R"({"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
      R"("headerTimeout":"3000ms","idleTimeout":"15000ms"}}]})";

/// When the upstreams began and ended their work on each order. Thread-safe.
class work_log {
public:
    explicit work_log(record& log)
        : m_log(log)
    {
    }

    void begin(const std::string& id)
    {
        const std::lock_guard guard(m_lock);
        m_work[id] = { m_log.now(), 0 };
    }
    void end(const std::string& id)
    {
        const std::lock_guard guard(m_lock);
        m_work[id].second = m_log.now();
    }
    /// Returns when the work began and ended; nothing if it did not.
    [[nodiscard]] std::optional<std::pair<long, long>> of(const std::string& id)
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_work.find(id);
        if (found == m_work.end() || found->second.second == 0)
            return std::nullopt;
        return found->second;
    }

private:
    record& m_log;
    std::mutex m_lock;
    std::map<std::string, std::pair<long, long>> m_work;
};

/// One upstream. Orders and questions for its health wait for one of its slots.
struct order_state {
    order_state(std::string name, work_log& log)
        : id(std::move(name))
        , work(log)
    {
    }

    const std::string id;
    work_log& work;
    std::counting_semaphore<capacity> slots { capacity };
};

class order_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit order_handler(order_state& self)
        : m_self(self)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        std::ostringstream body;
        body << request.stream().rdbuf();
        const auto id = request.get("X-Request-Id", "");
        const std::string text = "of " + m_self.id;
        response.set("X-Instance-Id", m_self.id);
        response.set("X-Request-Id", id);
        m_self.slots.acquire();
        if (request.get("X-Expect-Instance", m_self.id) != m_self.id) {
            response.set("X-Not-Executed", "1");
            response.setStatus("421");
        } else if (request.getURI() != "/healthz") {
            m_self.work.begin(id);
            const bool isSlow = request.getURI().find("/slow") != std::string::npos;
            std::this_thread::sleep_for(isSlow ? slowWork : usualWork);
            m_self.work.end(id);
            response.set("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
        }
        m_self.slots.release();
        response.sendBuffer(text.data(), text.size());
    }

private:
    order_state& m_self;
};

/// An order that takes long, as its client saw it.
struct slow_order {
    std::string id;
    long sentMs = 0;
    long endedMs = 0;
    /// 0: the connection was closed without an answer.
    int status = 0;
    bool isSigned = false;
};

class silence_case {
public:
    silence_case(std::string folder, const std::string& recordFile, bool hasTrouble)
        : m_folder(std::move(folder))
        , m_log(recordFile)
        , m_work(m_log)
        , m_hasTrouble(hasTrouble)
        , m_store(new handler_factory<store_handler, row_store>(m_rows))
    {
        for (unsigned i = 0; i < upstreamCount; ++i) {
            m_states.push_back(std::make_unique<order_state>("i-" + std::to_string(i + 1), m_work));
            m_upstreams.push_back(std::make_unique<loopback_server>(
                new handler_factory<order_handler, order_state>(*m_states.back())));
        }
    }

    int run()
    {
        m_rows.put({ "op", "", "config" }, base64(configuration));
        beat();
        m_hosts = writeHostSettings(m_folder, hostCount, m_store.address().toString());
        if (!waitForHosts())
            return couldNotRun("the hosts did not answer in time");
        std::vector<std::thread> clients;
        for (unsigned i = 0; i < orderClients; ++i)
            clients.emplace_back([this, i] { sendOrders(i); });
        waitFor(warmUpMs);
        std::vector<std::thread> slow;
        for (long sent = 0; sent < beforeStopMs; sent += slowInterval.count())
            sendSlow(slow);
        const long stoppedMs = stopHost();
        if (stoppedMs < 0)
            return couldNotRun("the host was not stopped");
        while (m_log.now() < stoppedMs + afterStopMs)
            sendSlow(slow);
        waitFor(graceMs - afterStopMs);
        m_stopped = true;
        for (auto* threads : { &clients, &slow }) {
            for (auto& each : *threads)
                each.join();
        }
        return judge(stoppedMs);
    }

private:
    int couldNotRun(const std::string& why)
    {
        m_log.add("the case could not run: " + why);
        return 2;
    }

    void beat()
    {
        if (m_lastBeat && m_log.now() - *m_lastBeat < heartbeatMs)
            return;
        m_lastBeat = m_log.now();
        ++m_beats;
        for (unsigned i = 0; i < upstreamCount; ++i)
            m_rows.put({ "servers", "", m_states[i]->id },
                base64(registration(
                    "orders", m_upstreams[i]->address().toString(), 1790000000000, m_beats)));
    }

    void waitFor(long spanMs)
    {
        const long until = m_log.now() + spanMs;
        while (m_log.now() < until) {
            beat();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    bool waitForHosts()
    {
        unsigned ready = 0;
        while (m_log.now() < startLimitMs && ready < m_hosts.size()) {
            waitFor(100);
            ready = 0;
            for (const auto& host : m_hosts)
                ready += send(host, "w" + std::to_string(++m_sent), "").status == 200 ? 1 : 0;
        }
        return ready == m_hosts.size();
    }

    /// Asks run.sh to send SIGTERM to the first host. Returns when that was; -1 if it did not
    /// happen.
    long stopHost()
    {
        if (!m_hasTrouble) {
            m_log.add("no host is stopped");
            return m_log.now();
        }
        std::ofstream(m_folder + "/stop") << "stop\n";
        const long limit = m_log.now() + 2000;
        while (m_log.now() < limit) {
            if (std::ifstream(m_folder + "/stopped")) {
                m_log.add("host " + m_hosts.front() + " got SIGTERM");
                return m_log.now();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return -1;
    }

    /// Sends one order on a connection of its own.
    slow_order send(const std::string& host, const std::string& id, const std::string& path)
    {
        slow_order order { id, m_log.now(), 0, 0, false };
        try {
            Poco::Net::HTTPClientSession session { SocketAddress(host) };
            session.setTimeout(Poco::Timespan(9, 0));
            Poco::Net::HTTPRequest request("POST", "/orders/" + id + path, "HTTP/1.1");
            request.setHost("orders.example");
            request.setContentLength(5);
            request.set("X-Request-Id", id);
            request.set("X-Request-Deadline", "8000");
            session.sendRequest(request) << "order";
            Poco::Net::HTTPResponse response;
            std::string body;
            Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
            order.status = static_cast<int>(response.getStatus());
            order.isSigned = response.has("X-Response-Signature");
        } catch (const Poco::Exception&) {
            order.status = 0;
        }
        order.endedMs = m_log.now();
        return order;
    }

    void sendOrders(unsigned number)
    {
        for (unsigned turn = number; !m_stopped; ++turn) {
            const auto& host = m_hosts[turn % m_hosts.size()];
            const auto order = send(host, "q" + std::to_string(++m_sent), "");
            m_answered += order.isSigned ? 1 : 0;
            if (order.status == 0)
                std::this_thread::sleep_for(slowInterval);
        }
    }

    /// Sends an order that takes long to the first host.
    void sendSlow(std::vector<std::thread>& threads)
    {
        threads.emplace_back([this, id = "s" + std::to_string(++m_sent)] {
            const auto order = send(m_hosts.front(), id, "/slow");
            m_log.add("client: order " + id + ", sent at " + std::to_string(order.sentMs) + " ms: "
                + (order.status == 0 ? "no answer" : "status " + std::to_string(order.status))
                + (order.isSigned ? ", signed" : ", not by an upstream"));
            const std::lock_guard guard(m_lock);
            m_slow.push_back(order);
        });
        waitFor(slowInterval.count());
    }

    /// LOST: after a SIGTERM, the host breaks off an order at which its upstream is at work, before
    /// its deadline and timeout. Not counted: the upstream was at work in the last sixth of the
    /// grace.
    int judge(long stoppedMs)
    {
        const long lastSixth = stoppedMs + graceMs - graceMs / 6;
        unsigned lost = 0;
        for (const auto& each : m_slow) {
            const auto work = m_work.of(each.id);
            const bool brokenOff = work && !each.isSigned && each.endedMs < work->second;
            if (!m_hasTrouble || !brokenOff || each.endedMs < stoppedMs
                || work->second >= lastSixth)
                continue;
            ++lost;
            m_log.add("LOST: order " + each.id + " was broken off after "
                + std::to_string(each.endedMs - each.sentMs)
                + " ms of 8000; its upstream worked on " + "it from " + std::to_string(work->first)
                + " to " + std::to_string(work->second)
                + " ms, and the last sixth of the grace began at " + std::to_string(lastSixth));
        }
        m_log.add("answered " + std::to_string(m_answered) + " usual orders; of "
            + std::to_string(m_slow.size()) + " slow ones " + std::to_string(lost) + " lost");
        std::cout << "lost " << lost << " orders\n";
        return lost > 0 ? 1 : 0;
    }

    const std::string m_folder;
    record m_log;
    work_log m_work;
    const bool m_hasTrouble;
    row_store m_rows;
    loopback_server m_store;
    std::vector<std::unique_ptr<order_state>> m_states;
    std::vector<std::unique_ptr<loopback_server>> m_upstreams;
    std::vector<std::string> m_hosts;
    std::optional<long> m_lastBeat;
    unsigned long m_beats = 0;
    std::atomic<unsigned> m_sent { 0 };
    std::atomic<unsigned> m_answered { 0 };
    std::atomic<bool> m_stopped { false };
    std::mutex m_lock;
    std::vector<slow_order> m_slow;
};

} // namespace
} // namespace review

int main(int count, char** arguments)
{
    if (count != 4) {
        std::cerr << "usage: silence FOLDER RECORD 0|1\n";
        return 2;
    }
    try {
        review::silence_case running(arguments[1], arguments[2], std::string(arguments[3]) == "1");
        const int result = running.run();
        std::cout.flush();
        std::_Exit(result);
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n';
        return 2;
    }
}
