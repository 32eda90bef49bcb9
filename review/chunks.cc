#include "installation.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Process.h>
#include <csignal>
#include <iostream>
#include <sys/prctl.h>
#include <thread>

/// Case 2: clients send requests with an empty body in chunks, in two writes, while an upstream
/// crashes. Prints whether the rule LOST held, and exits with 1 if it was broken, 0 if it held, 2
/// if the case could not run.
namespace review {
namespace {

constexpr unsigned upstreamCount = 7;
constexpr unsigned hostCount = 3;
constexpr unsigned lookupClients = 36;
constexpr unsigned updateClients = 36;
/// Upstreams that crash one after the other, or that break off answers at the same time.
constexpr unsigned faultyCount = 3;
/// One in so many answers of an upstream that breaks off answers is broken off.
constexpr unsigned brokenAnswerInterval = 50;
/// More requests than these may be lost on kept connections.
constexpr unsigned lostMax = 3;
constexpr long startLimitMs = 20000;
constexpr long calmMs = 3000;
constexpr long downMs = 4500;
constexpr long heartbeatMs = 870;
constexpr std::chrono::milliseconds workOfUpstreams { 60 };
/// Pause of a client between two parts of a body that it sends as it comes; as long as TCP holds
/// the second of two short writes back until the first is acknowledged.
constexpr std::chrono::milliseconds bodyPause { 40 };

const std::string configuration
    = R"({"version":"00000007","resources":[)"
      R"({"type":"routes","metadata":{"name":"r1"},"spec":{"host":"weights.example",)"
      R"("prefix":"/weights/","kind":"idempotent","timeout":"1500ms","slo":"800ms","priority":2,)"
      R"("service":"weights","attempts":2}},)"
      R"({"type":"services","metadata":{"name":"weights"},"spec":{"healthPath":"/healthz",)"
      R"("maxConns":130,"protocol":"h1","tls":false}},)"
      R"({"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
      R"("headerTimeout":"3000ms","idleTimeout":"15000ms"}}]})";

/// An upstream as a process of its own: appends "UPSTREAM REQUEST" to a file for each run.
class worker_state {
public:
    worker_state(std::string id, const std::string& runFile)
        : m_id(std::move(id))
        , m_runs(runFile, std::ios::app)
    {
    }

    /// Whether this upstream breaks off some of its answers now; set by signals.
    static std::atomic<bool> isFaulty;

    [[nodiscard]] bool breaksOffNext()
    {
        return isFaulty && ++m_answers % brokenAnswerInterval == 0;
    }

    [[nodiscard]] const std::string& id() const { return m_id; }
    void ran(const std::string& request)
    {
        const std::lock_guard guard(m_lock);
        m_runs << m_id + " " + request + "\n" << std::flush;
    }

private:
    const std::string m_id;
    std::mutex m_lock;
    std::ofstream m_runs;
    std::atomic<unsigned> m_answers { 0 };
};

std::atomic<bool> worker_state::isFaulty { false };

class worker_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit worker_handler(worker_state& self)
        : m_self(self)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        std::ostringstream body;
        body << request.stream().rdbuf();
        const auto id = request.get("X-Request-Id", "");
        response.set("X-Instance-Id", m_self.id());
        response.set("X-Request-Id", id);
        std::string text = "of " + m_self.id();
        if (request.get("X-Expect-Instance", m_self.id()) != m_self.id()) {
            response.set("X-Not-Executed", "1");
            response.setStatus("421");
        } else if (request.getURI() != "/healthz") {
            m_self.ran(id);
            std::this_thread::sleep_for(workOfUpstreams);
            response.set("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
        }
        if (request.getMethod() == "PUT")
            return answerInChunks(request, response);
        response.sendBuffer(text.data(), text.size());
    }

private:
    /// An empty body in chunks: the last chunk is the only one.
    void answerInChunks(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        response.setChunkedTransferEncoding(true);
        if (!m_self.breaksOffNext()) {
            response.send();
            return;
        }
        std::ostringstream begun;
        response.write(begun);
        begun << "0\r\n";
        const auto text = begun.str();
        auto& connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
        auto socket = connection.detachSocket();
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        socket.shutdown();
        socket.close();
    }

    worker_state& m_self;
};

int runUpstream(const std::string& address, const std::string& id, const std::string& runFile)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::signal(SIGUSR1, [](int) { worker_state::isFaulty = true; });
    std::signal(SIGUSR2, [](int) { worker_state::isFaulty = false; });
    worker_state self(id, runFile);
    Poco::Net::ServerSocket socket;
    socket.bind(SocketAddress(address), true);
    socket.listen(1024);
    Poco::ThreadPool pool(4, 256);
    auto params = serverParams();
    params->setMaxThreads(256);
    Poco::Net::HTTPServer server(
        new handler_factory<worker_handler, worker_state>(self), pool, socket, params);
    server.start();
    while (true)
        ::pause();
}

/// How a request ended for its client.
enum class ending { Answered, Refused, Closed };

/// Result of one client's request, for the check at the end.
struct sent_request {
    std::string id;
    std::string host;
    ending how = ending::Answered;
    bool onKept = false;
};

class chunks_case {
public:
    chunks_case(std::string self, std::string folder, const std::string& recordFile,
        bool breaksAnswers, bool hasTrouble)
        : m_self(std::move(self))
        , m_folder(std::move(folder))
        , m_log(recordFile)
        , m_breaksAnswers(breaksAnswers)
        , m_hasTrouble(hasTrouble)
        , m_store(new handler_factory<store_handler, row_store>(m_rows))
    {
    }

    int run()
    {
        m_rows.put({ "op", "", "config" }, base64(configuration));
        for (unsigned i = 0; i < upstreamCount; ++i)
            start("i-" + std::to_string(i + 1), freeAddress());
        m_hosts = writeHostSettings(m_folder, hostCount, m_store.address().toString());
        if (!waitForHosts()) {
            m_log.add("the case could not run: the hosts did not answer in time");
            return 2;
        }
        std::vector<std::thread> clients;
        for (unsigned i = 0; i < lookupClients; ++i)
            clients.emplace_back([this, i] { sendLookups(i); });
        for (unsigned i = 0; i < updateClients; ++i)
            clients.emplace_back([this, i] { sendUpdates(i); });
        beatFor(calmMs);
        if (m_breaksAnswers)
            breakAnswers();
        for (unsigned i = 0; !m_breaksAnswers && i < faultyCount; ++i)
            crashOne();
        m_stopped = true;
        for (auto& each : clients)
            each.join();
        return judge();
    }

    void endAll()
    {
        for (const auto& [id, each] : m_running)
            Poco::Process::kill(each.process);
    }

private:
    struct running_upstream {
        std::string address;
        Poco::Process::PID process = 0;
    };

    [[nodiscard]] std::string runFile() const { return m_folder + "/runs.txt"; }

    void start(const std::string& id, const std::string& address)
    {
        const auto started = Poco::Process::launch(m_self, { "upstream", address, id, runFile() });
        m_running[id] = { address, started.id() };
    }

    void beat()
    {
        if (m_lastBeat && m_log.now() - *m_lastBeat < heartbeatMs)
            return;
        m_lastBeat = m_log.now();
        ++m_beats;
        for (const auto& [id, each] : m_running)
            m_rows.put({ "servers", "", id },
                base64(registration("weights", each.address, 1790000000000, m_beats)));
    }

    void beatFor(long spanMs)
    {
        const long until = m_log.now() + spanMs;
        while (m_log.now() < until) {
            beat();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    /// Some upstreams break off some of their answers for a time.
    void breakAnswers()
    {
        auto chosen = m_running.begin();
        for (unsigned i = 0; m_hasTrouble && i < faultyCount; ++i, ++chosen) {
            ::kill(chosen->second.process, SIGUSR1);
            m_log.add("upstream " + chosen->first + " begins to break off answers");
            m_faulty.insert(chosen->first);
        }
        beatFor(downMs);
        for (const auto& id : m_faulty)
            ::kill(m_running.at(id).process, SIGUSR2);
        beatFor(calmMs);
    }

    /// One upstream ends at once; its entry is removed after three heartbeats; another comes in its
    /// place.
    void crashOne()
    {
        const auto [id, gone] = *m_running.begin();
        if (m_hasTrouble) {
            Poco::Process::kill(gone.process);
            m_log.add("upstream " + id + " crashes");
            m_faulty.insert(id);
            m_running.erase(id);
        }
        beatFor(3 * heartbeatMs);
        if (m_hasTrouble)
            m_rows.remove({ "servers", "", id });
        beatFor(downMs - 3 * heartbeatMs);
        if (m_hasTrouble)
            start("j-" + id, freeAddress());
        beatFor(calmMs);
    }

    bool waitForHosts()
    {
        unsigned ready = 0;
        while (m_log.now() < startLimitMs && ready < m_hosts.size()) {
            beat();
            ready = 0;
            for (const auto& host : m_hosts)
                ready += sendLookup(host, "w" + std::to_string(++m_sent), 1, m_log) == 200 ? 1 : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return ready == m_hosts.size();
    }

    void add(const sent_request& done)
    {
        if (done.how != ending::Answered)
            m_log.add("client: request " + done.id + " at " + done.host + ": "
                + (done.how == ending::Closed ? "connection closed without an answer" : "refused"));
        const std::lock_guard guard(m_lock);
        m_done.push_back(done);
    }

    std::string nextId(const std::string& prefix) { return prefix + std::to_string(++m_sent); }

    /// A client with a kept connection: one look-up after the other.
    void sendLookups(unsigned number)
    {
        for (unsigned turn = number; !m_stopped; ++turn) {
            sent_request one { "", m_hosts[turn % m_hosts.size()], ending::Answered, false };
            try {
                Poco::Net::HTTPClientSession session { SocketAddress(one.host) };
                session.setKeepAlive(true);
                session.setTimeout(Poco::Timespan(3, 0));
                for (; !m_stopped; one.onKept = true) {
                    one.id = nextId("q");
                    one.how = ending::Closed;
                    Poco::Net::HTTPRequest request("GET", "/weights/" + one.id, "HTTP/1.1");
                    request.setKeepAlive(true);
                    request.setHost("weights.example");
                    request.set("X-Request-Id", one.id);
                    request.set("X-Request-Deadline", "1500");
                    session.sendRequest(request);
                    Poco::Net::HTTPResponse response;
                    std::string body;
                    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
                    one.how = response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK
                        ? ending::Answered
                        : ending::Refused;
                    add(one);
                    if (!response.getKeepAlive())
                        break;
                }
            } catch (const Poco::Net::ConnectionRefusedException&) {
                std::this_thread::sleep_for(std::chrono::milliseconds(500));
            } catch (const Poco::Exception&) {
                if (one.how == ending::Closed && !one.id.empty())
                    add(one);
                std::this_thread::sleep_for(std::chrono::milliseconds(200));
            }
        }
    }

    /// A client with a connection for each request. In case 3 it sends its bodies as they come, in
    /// chunks; these are empty, so that the last chunk is the only one, and it sends the line of
    /// the chunk and the end of the body one after the other.
    void sendUpdates(unsigned number)
    {
        for (unsigned turn = number; !m_stopped; ++turn) {
            const auto id = nextId("c");
            const auto& host = m_hosts[turn % m_hosts.size()];
            try {
                Poco::Net::StreamSocket socket { SocketAddress(host) };
                socket.setNoDelay(true);
                socket.setReceiveTimeout(Poco::Timespan(3, 0));
                std::string head = "PUT /weights/" + id;
                head += " HTTP/1.1\r\nHost: weights.example\r\nX-Request-Id: " + id;
                head += "\r\nX-Request-Deadline: 1500\r\n";
                sendBody(socket, head);
                std::array<char, 4096> answer {};
                const int count = socket.receiveBytes(answer.data(), answer.size());
                const auto how = count <= 0 ? ending::Closed : ending::Answered;
                add({ id, host, how, false });
            } catch (const Poco::Net::ConnectionRefusedException&) {
                // The host's process has ended.
                std::this_thread::sleep_for(std::chrono::milliseconds(500));
            } catch (const Poco::Exception&) {
                add({ id, host, ending::Closed, false });
                std::this_thread::sleep_for(std::chrono::milliseconds(200));
            }
        }
    }

    void sendBody(Poco::Net::StreamSocket& socket, const std::string& head) const
    {
        const auto first = head
            + (m_breaksAnswers ? "Content-Length: 0\r\n\r\n"
                               : "Transfer-Encoding: chunked\r\n\r\n0\r\n");
        socket.sendBytes(first.data(), static_cast<int>(first.size()));
        if (m_breaksAnswers)
            return;
        std::this_thread::sleep_for(bodyPause);
        socket.sendBytes("\r\n", 2);
    }

    /// The rule LOST: requests from kept connections that were passed on to sound upstreams, and
    /// whose connections were closed without an answer.
    int judge()
    {
        std::map<std::string, std::string> ranAt;
        std::ifstream runs(runFile());
        for (std::string upstream, request; runs >> upstream >> request;)
            ranAt[request] = upstream;
        unsigned lost = 0;
        unsigned answered = 0;
        for (const auto& each : m_done) {
            answered += each.how == ending::Answered ? 1 : 0;
            const auto found = ranAt.find(each.id);
            const bool ranSound = found != ranAt.end() && !m_faulty.contains(found->second);
            if (each.how != ending::Closed || !each.onKept || !ranSound)
                continue;
            ++lost;
            m_log.add("LOST: request " + each.id + " from a kept connection at " + each.host
                + " was passed on to " + found->second + ", which is sound, and not answered");
        }
        m_log.add("answered " + std::to_string(answered) + " of " + std::to_string(m_done.size())
            + " requests; lost " + std::to_string(lost) + ", allowed " + std::to_string(lostMax));
        std::cout << "lost " << lost << " requests, allowed " << lostMax << '\n';
        return lost > lostMax ? 1 : 0;
    }

    const std::string m_self;
    const std::string m_folder;
    record m_log;
    const bool m_breaksAnswers;
    const bool m_hasTrouble;
    row_store m_rows;
    loopback_server m_store;
    std::map<std::string, running_upstream> m_running;
    std::set<std::string> m_faulty;
    std::vector<std::string> m_hosts;
    std::optional<long> m_lastBeat;
    unsigned long m_beats = 0;
    std::atomic<unsigned> m_sent { 0 };
    std::atomic<bool> m_stopped { false };
    std::mutex m_lock;
    std::vector<sent_request> m_done;
};

} // namespace
} // namespace review

int main(int count, char** arguments)
{
    const std::vector<std::string> words(arguments, arguments + count);
    try {
        if (count == 5 && words[1] == "upstream")
            return review::runUpstream(words[2], words[3], words[4]);
        if (count != 5 || (words[1] != "garble" && words[1] != "crash")) {
            std::cerr << "usage: chunks garble|crash FOLDER RECORD 0|1\n";
            return 2;
        }
        review::chunks_case running(
            words[0], words[2], words[3], words[1] == "garble", words[4] == "1");
        const int result = running.run();
        running.endAll();
        std::cout.flush();
        std::_Exit(result);
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n';
        return 2;
    }
}
