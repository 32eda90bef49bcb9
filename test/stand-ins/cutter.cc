// TCP forwarder that cuts, silences and resets connections between two parties.
// Usage: stand-in-cutter --control IP:PORT
//
// PUT /sources {"pids":[N...]}: processes whose connections are told apart by rules below.
// PUT /links {"name":S,"listen":"IP:PORT","to":"IP:PORT"}: starts to forward.
// PUT /control {"link":S,"from":PID,"mode":M}; without "from", for all processes without a mode.
//   pass
//   drop-forward, drop-backward, drop-both: bytes wait, and arrive late once the link passes again
//   refuse: connections are reset, new ones refused (with "from": accepted and reset)
//   silence: open connections never pass another byte, new ones pass
//   close: open connections are reset, new ones pass
// PUT /break {"link":S,"match":TEXT,"forward":N} or {...,"backward":N}: resets the next connection
//   that sends TEXT, once N bytes since its request's start have passed in that direction.
// PUT /inject {"link":S,"bytes":TEXT}: sends the text to the callers of all open connections.

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/NumberFormatter.h>
#include <Poco/StreamCopier.h>
#include <atomic>
#include <boost/program_options.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Poco::JSON::Object;
using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

const Poco::Timespan pollInterval(0, 20'000);
constexpr int bufferBytes = 64 << 10;

enum class mode {
    Pass,
    DropForward,
    DropBackward,
    DropBoth,
    Refuse,
};

enum class direction {
    Forward,
    Backward,
};

struct break_rule {
    std::string match;
    direction at = direction::Forward;
    std::size_t bytes = 0;
};

struct connection {
    StreamSocket caller;
    StreamSocket server;
    /// Process of the caller; -1 until a rule needs it.
    std::atomic<pid_t> source = -1;
    std::atomic<bool> silenced = false;
    std::atomic<bool> ended = false;
    std::mutex breakMutex {};
    std::optional<break_rule> breaking {};

    /// Both sides see a reset once the threads of this connection have let go of it.
    void reset()
    {
        for (auto* socket : { &caller, &server })
            if (socket->impl()->initialized())
                socket->setLinger(true, 0);
        ended = true;
    }
};

/// Returns the inode of the socket whose local port this is, or an empty string.
std::string inodeOfPort(std::uint16_t port)
{
    std::ostringstream text;
    text << std::ifstream("/proc/net/tcp").rdbuf();
    const auto table = text.str();
    const auto entry = table.find(": 0100007F:" + Poco::NumberFormatter::formatHex(port, 4) + " ");
    if (entry == std::string::npos)
        return {};
    std::istringstream fields(table.substr(entry, table.find('\n', entry) - entry));
    std::string field;
    for (int i = 0; i < 10; ++i)
        fields >> field;
    return field;
}

bool holdsSocket(pid_t process, const std::string& inode)
{
    const auto wanted = "socket:[" + inode + "]";
    std::error_code failed;
    const std::filesystem::directory_iterator files(
        "/proc/" + std::to_string(process) + "/fd", failed);
    for (const auto& file : files)
        if (std::filesystem::read_symlink(file.path(), failed) == wanted)
            return true;
    return false;
}

class sources {
public:
    void set(std::vector<pid_t> processes)
    {
        const std::lock_guard lock(m_mutex);
        m_processes = std::move(processes);
    }

    /// Returns the process at the other end of a loopback connection, or 0.
    pid_t find(const StreamSocket& accepted)
    {
        const std::lock_guard lock(m_mutex);
        if (m_processes.empty())
            return 0;
        const auto inode = inodeOfPort(accepted.peerAddress().port());
        for (const auto process : m_processes)
            if (!inode.empty() && holdsSocket(process, inode))
                return process;
        return 0;
    }

private:
    std::mutex m_mutex;
    std::vector<pid_t> m_processes;
};

class link : public std::enable_shared_from_this<link> {
public:
    link(const SocketAddress& listen, const SocketAddress& to, sources& known)
        : m_listen(listen)
        , m_to(to)
        , m_sources(known)
    {
    }

    void run()
    {
        std::unique_ptr<ServerSocket> listener;
        for (;;) {
            if (modeOf(0) == mode::Refuse) {
                listener.reset();
                std::this_thread::sleep_for(10ms);
                continue;
            }
            if (!listener)
                listener = std::make_unique<ServerSocket>(m_listen, 256);
            if (listener->poll(pollInterval, Poco::Net::Socket::SELECT_READ))
                accept(*listener);
        }
    }

    void setMode(pid_t source, mode chosen)
    {
        const std::lock_guard lock(m_mutex);
        m_modes[source] = chosen;
        if (chosen == mode::Refuse)
            forEach(source, [](connection& open) { open.reset(); });
    }

    void silence(pid_t source)
    {
        const std::lock_guard lock(m_mutex);
        forEach(source, [](connection& open) { open.silenced = true; });
    }

    void close(pid_t source)
    {
        const std::lock_guard lock(m_mutex);
        forEach(source, [](connection& open) { open.reset(); });
    }

    void inject(const std::string& bytes)
    {
        const std::lock_guard lock(m_mutex);
        forEach(0, [&](connection& open) { sendAll(open, open.caller, bytes); });
    }

    void breakNext(break_rule rule)
    {
        const std::lock_guard lock(m_mutex);
        m_breaks.push_back(std::move(rule));
    }

private:
    /// Applies the change to the open connections of a process, or to all. Holds the lock.
    template <class Change>
    void forEach(pid_t source, Change change)
    {
        for (auto& known : m_connections)
            if (const auto open = known.lock(); open && (source == 0 || sourceOf(*open) == source))
                change(*open);
    }

    /// Looks the process up, which costs a reading of the kernel's whole table of connections.
    pid_t sourceOf(connection& open)
    {
        if (open.source == -1)
            open.source = m_sources.find(open.caller);
        return open.source;
    }

    mode modeOf(pid_t source)
    {
        const std::lock_guard lock(m_mutex);
        const auto own = m_modes.find(source);
        return own != m_modes.end() ? own->second : m_modes[0];
    }

    mode modeOf(connection& open)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_modes.size() == 1)
                return m_modes[0];
        }
        return modeOf(sourceOf(open));
    }

    bool held(connection& open, direction way)
    {
        if (open.silenced)
            return true;
        const auto current = modeOf(open);
        return current == mode::DropBoth
            || current == (way == direction::Forward ? mode::DropForward : mode::DropBackward);
    }

    void accept(ServerSocket& listener)
    {
        auto open = std::make_shared<connection>();
        open->caller = listener.acceptConnection();
        std::thread([self = shared_from_this(), open] { self->begin(open); }).detach();
    }

    void begin(const std::shared_ptr<connection>& open)
    {
        try {
            while (modeOf(*open) == mode::DropBoth)
                std::this_thread::sleep_for(10ms);
            open->server.connect(m_to);
            open->caller.setNoDelay(true);
            open->server.setNoDelay(true);
            open->caller.setSendTimeout(pollInterval);
            open->server.setSendTimeout(pollInterval);
        } catch (const Poco::Exception&) {
            return open->reset();
        }
        {
            const std::lock_guard lock(m_mutex);
            m_connections.remove_if([](const auto& known) { return known.expired(); });
            m_connections.push_back(open);
        }
        if (modeOf(*open) == mode::Refuse)
            return open->reset();
        std::thread([self = shared_from_this(), open] {
            self->pump(open, direction::Backward);
        }).detach();
        pump(open, direction::Forward);
    }

    void pump(const std::shared_ptr<connection>& open, direction way)
    {
        auto& from = way == direction::Forward ? open->caller : open->server;
        auto& to = way == direction::Forward ? open->server : open->caller;
        std::string buffer(bufferBytes, '\0');
        try {
            while (!open->ended && pass(*open, way, from, to, buffer)) { }
        } catch (const Poco::Exception&) {
            open->reset();
        }
    }

    /// Returns false once this direction has ended.
    bool pass(
        connection& open, direction way, StreamSocket& from, StreamSocket& to, std::string& buffer)
    {
        if (held(open, way)) {
            std::this_thread::sleep_for(5ms);
            return true;
        }
        if (!from.poll(pollInterval, Poco::Net::Socket::SELECT_READ) || held(open, way))
            return true;
        const int received = from.receiveBytes(buffer.data(), bufferBytes);
        if (received <= 0) {
            to.shutdownSend();
            return false;
        }
        return send(
            open, way, to, std::string_view(buffer.data(), static_cast<std::size_t>(received)));
    }

    bool send(connection& open, direction way, StreamSocket& to, std::string_view bytes)
    {
        if (way == direction::Forward)
            match(open, bytes);
        const auto allowed = allowedBytes(open, way, bytes.size());
        sendAll(open, to, bytes.substr(0, allowed));
        if (allowed == bytes.size() && !atBreak(open, way))
            return true;
        open.reset();
        return false;
    }

    static void sendAll(connection& open, StreamSocket& to, std::string_view bytes)
    {
        while (!bytes.empty() && !open.ended) {
            try {
                const int sent = to.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
                bytes.remove_prefix(static_cast<std::size_t>(sent));
            } catch (const Poco::TimeoutException&) {
                continue;
            }
        }
    }

    void match(connection& open, std::string_view bytes)
    {
        const std::lock_guard lock(m_mutex);
        for (auto rule = m_breaks.begin(); rule != m_breaks.end(); ++rule) {
            if (bytes.find(rule->match) == std::string_view::npos)
                continue;
            const std::lock_guard breakLock(open.breakMutex);
            open.breaking = *rule;
            m_breaks.erase(rule);
            return;
        }
    }

    static std::size_t allowedBytes(connection& open, direction way, std::size_t size)
    {
        const std::lock_guard lock(open.breakMutex);
        if (!open.breaking || open.breaking->at != way)
            return size;
        const auto allowed = std::min(size, open.breaking->bytes);
        open.breaking->bytes -= allowed;
        return allowed;
    }

    static bool atBreak(connection& open, direction way)
    {
        const std::lock_guard lock(open.breakMutex);
        return open.breaking && open.breaking->at == way && open.breaking->bytes == 0;
    }

    SocketAddress m_listen;
    SocketAddress m_to;
    sources& m_sources;
    std::mutex m_mutex;
    std::map<pid_t, mode> m_modes { { 0, mode::Pass } };
    std::list<std::weak_ptr<connection>> m_connections;
    std::list<break_rule> m_breaks;
};

class cutter {
public:
    void command(const std::string& path, const Object& body)
    {
        if (path == "/sources")
            return setSources(body);
        if (path == "/links")
            return add(body);
        if (path == "/control")
            return setMode(body);
        if (path == "/break")
            return addBreak(body);
        if (path == "/inject")
            return find(body)->inject(body.getValue<std::string>("bytes"));
        throw Poco::NotFoundException(path);
    }

private:
    void setSources(const Object& body)
    {
        std::vector<pid_t> processes;
        for (const auto& id : *body.getArray("pids"))
            processes.push_back(id.convert<pid_t>());
        m_sources.set(std::move(processes));
    }

    void add(const Object& body)
    {
        auto added = std::make_shared<link>(SocketAddress(body.getValue<std::string>("listen")),
            SocketAddress(body.getValue<std::string>("to")), m_sources);
        const std::lock_guard lock(m_mutex);
        m_links[body.getValue<std::string>("name")] = added;
        std::thread([added] { added->run(); }).detach();
    }

    std::shared_ptr<link> find(const Object& body)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_links.find(body.getValue<std::string>("link"));
        if (found == m_links.end())
            throw Poco::NotFoundException("link");
        return found->second;
    }

    void setMode(const Object& body)
    {
        static const std::map<std::string, mode> modes { { "pass", mode::Pass },
            { "drop-forward", mode::DropForward }, { "drop-backward", mode::DropBackward },
            { "drop-both", mode::DropBoth }, { "refuse", mode::Refuse } };
        const auto chosen = body.getValue<std::string>("mode");
        const auto source = body.optValue<pid_t>("from", 0);
        if (chosen == "silence")
            return find(body)->silence(source);
        if (chosen == "close")
            return find(body)->close(source);
        find(body)->setMode(source, modes.at(chosen));
    }

    void addBreak(const Object& body)
    {
        const bool forward = body.has("forward");
        const auto* const field = forward ? "forward" : "backward";
        find(body)->breakNext({ body.getValue<std::string>("match"),
            forward ? direction::Forward : direction::Backward,
            body.getValue<std::size_t>(field) });
    }

    sources m_sources;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<link>> m_links;
};

class handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit handler(cutter& commanded)
        : m_cutter(commanded)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        try {
            m_cutter.command(
                request.getURI(), *Poco::JSON::Parser().parse(body).extract<Object::Ptr>());
            response.sendBuffer("{}", 2);
        } catch (const std::exception& cause) {
            response.setStatus(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
            const std::string reason = cause.what();
            response.sendBuffer(reason.data(), reason.size());
        }
    }

private:
    cutter& m_cutter;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(cutter& commanded)
        : m_cutter(commanded)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(
        const Poco::Net::HTTPServerRequest&) override
    {
        return new handler(m_cutter);
    }

private:
    cutter& m_cutter;
};

[[noreturn]] void run(const std::string& address)
{
    cutter forwarding;
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    Poco::Net::HTTPServer server(
        new handler_factory(forwarding), ServerSocket(SocketAddress(address)), parameters);
    server.start();
    std::cout << "listening on " << address << std::endl;
    for (;;)
        std::this_thread::sleep_for(1h);
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    options::options_description described("stand-in-cutter");
    described.add_options()("control", options::value<std::string>()->required(), "ip:port");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
        std::signal(SIGPIPE, SIG_IGN);
        run(given["control"].as<std::string>());
    } catch (const std::exception& cause) {
        std::cerr << cause.what() << '\n';
        return 1;
    }
}
