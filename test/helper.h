#pragma once

#include "pimentomast/core.h"

#include <Poco/JSON/Object.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Processes, ports and HTTP for tests with real processes on the loopback interface.
namespace pimentomast::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bound on each wait for something that must happen; far above what a busy machine needs.
constexpr seconds waitTimeout { 60 };

/// Returns the path of a program of this build.
[[nodiscard]] std::string programPath(const std::string& name);

/// A started process. Killed with SIGKILL and reaped when the object goes.
/// Start it from the thread that outlives it: it also dies with that thread.
class process {
public:
    /// Starts a program of this build; its output goes to the file.
    [[nodiscard]] static process start(
        const std::string& name, const std::vector<std::string>& arguments, const std::string& log);

    /// Returns an object without a process.
    [[nodiscard]] static process none() { return process(-1); }

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Sends SIGSTOP; returns once the process has stopped.
    void freeze();
    /// Sends SIGCONT.
    void thaw();
    /// Sends SIGTERM.
    void terminate();
    /// Waits for the end; returns the exit status, 128 + signal, or -1 after the limit.
    int wait(milliseconds limit = waitTimeout);
    [[nodiscard]] bool running();
    [[nodiscard]] pid_t id() const noexcept { return m_id; }

private:
    explicit process(pid_t id)
        : m_id(id)
    {
    }

    pid_t m_id = -1;
    int m_status = -1;
};

/// Returns a loopback address whose port no other test gets while this process runs.
[[nodiscard]] endpoint freeAddress();

struct http_call {
    std::string method = "GET";
    std::string path = "/";
    std::string body {};
    std::vector<std::pair<std::string, std::string>> fields { { "X-Caller", "tester" } };
    milliseconds timeout = waitTimeout;
    /// Pause after each 64 KiB of the body.
    milliseconds pause { 0 };
};

struct http_reply {
    /// 0: no answer.
    int status = 0;
    std::string body;
    std::map<std::string, std::string> fields;
    /// The answer came to its end as its framing promises.
    bool complete = false;
    std::string failure;

    [[nodiscard]] std::string field(const std::string& name) const;
};

/// Sends one request on a connection of its own. Thread-safe.
[[nodiscard]] http_reply call(const endpoint& server, const http_call& request);

/// Sends a PUT with a JSON body, and fails the test unless it is answered 2xx.
void put(const endpoint& server, const std::string& path, const std::string& json);

/// Returns the JSON object that a GET answers; null if there is none.
[[nodiscard]] Poco::JSON::Object::Ptr getJson(const endpoint& server, const std::string& path);

/// Returns a member of a JSON object as text; empty if there is none.
[[nodiscard]] std::string jsonField(const std::string& json, const std::string& name);

/// Asks again and again until the condition holds; returns false after the limit.
[[nodiscard]] bool waitUntil(
    const std::function<bool()>& condition, milliseconds limit = waitTimeout);

/// Returns a folder for this process's files, removed at its end unless PIMENTOMAST_KEEP is set.
[[nodiscard]] std::string scratchFolder();

/// A target of a cluster; its id is also its name in records.
struct target_spec {
    std::string id;
    std::string service;
    bool checksTokens = true;
    unsigned slots = 4;
    /// Standard: the service is keyed by segment 1 of the path /SERVICE/KEY.
    bool keyed = true;
};

struct cluster_options {
    unsigned hosts = 3;
    std::vector<target_spec> targets;
    /// Services whose POST may run more than once, besides GET and HEAD of all services.
    std::set<std::string> repeatablePosts {};
    unsigned deadlineMs = 10000;
    /// Lines of the hosts' settings besides the required ones, for example "[drain]\n..."; lines
    /// before the first section belong to [store].
    std::string settings {};
    /// Puts the cutter between all parties; without it they are connected directly.
    bool useCutter = true;
};

/// What a target's record says of one request that it ran.
struct request_run {
    std::string target;
    std::string method;
    std::string path;
    std::string state;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
};

/// An interval in which a target took new requests for a slice.
struct ownership_interval {
    std::string target;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::int64_t fromUs = 0;
    std::int64_t toUs = 0;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// What the targets of an installation recorded.
struct target_records {
    std::vector<request_run> runs;
    std::vector<ownership_interval> ownedIntervals;
    /// Service of each target.
    std::map<std::string, std::string> services;
};

/// Processes of one installation: stand-in platform, cutter, targets and entry hosts.
/// Not thread-safe, except for send().
class cluster {
public:
    struct target_process {
        target_spec spec;
        endpoint listenAddress;
        endpoint advertisedAddress;
        std::string recordFile;
        process child;
        /// When each of its processes was killed, by which leases in records are cut short.
        std::vector<std::int64_t> killedUs {};
    };
    struct host_process {
        std::string id;
        endpoint callerAddress;
        endpoint peerAddress;
        endpoint advertisedPeerAddress;
        endpoint adminAddress;
        std::string settingsFile;
        process child;
    };

    /// Starts all processes, applies the table and waits until every service is served by all.
    explicit cluster(const cluster_options& options);

    std::vector<host_process>& hosts() noexcept { return m_hosts; }
    [[nodiscard]] const std::vector<host_process>& hosts() const noexcept { return m_hosts; }
    std::vector<target_process>& targets() noexcept { return m_targets; }
    [[nodiscard]] const std::vector<target_process>& targets() const noexcept { return m_targets; }
    [[nodiscard]] const endpoint& platform() const noexcept { return m_platformAddress; }
    target_process& target(const std::string& id);
    host_process& host(const std::string& id);

    /// Sends a request through a host, counted from 0. Thread-safe.
    [[nodiscard]] http_reply send(std::size_t host, const http_call& request) const;
    /// Returns the target that serves a key through any running host; empty after the limit.
    [[nodiscard]] std::string ownerOf(const std::string& service, const std::string& key);
    /// Returns the host that holds the service's coordinator row.
    [[nodiscard]] std::string coordinatorOf(const std::string& service) const;
    /// Waits until a service is served through all running hosts. Fails the test otherwise.
    void waitUntilServed(const std::string& service);
    /// Waits until all services are served through all running hosts.
    void waitUntilServed();

    /// Table of the cluster in CSV; targets in `leaving` are marked so.
    [[nodiscard]] std::string table(const std::set<std::string>& leaving = {}) const;
    /// Runs `pimentomast` with these arguments and the platform's address; returns its status.
    int runCommand(std::vector<std::string> arguments) const;
    /// Applies a table over the given version; returns the command's exit status.
    int applyTable(const std::string& csv, std::uint64_t base) const;

    void killTarget(const std::string& id);
    void startTarget(const std::string& id);
    void startHost(const std::string& id);
    /// Returns the version of the table that a host has in force; nothing if it does not answer.
    [[nodiscard]] std::optional<std::uint64_t> versionOf(const std::string& host);
    /// Waits until all hosts, or those named, have a table of at least this version in force.
    void waitForVersion(std::uint64_t version, std::vector<std::string> names = {});
    /// PUT /control of the platform.
    void platformFault(const std::string& json) const;
    /// PUT /control of a target.
    void targetFault(const std::string& id, const std::string& json);
    /// Sets the mode of a link: "platform/HOST", "target/ID" or "peers/HOST" (towards that host),
    /// for the connections of one process, or of all.
    void setLinkMode(const std::string& link, const std::string& mode, pid_t from = 0) const;
    /// Resets the next connection on the link that sends the text, after so many bytes.
    void resetNextConnection(const std::string& link, const std::string& match,
        const std::string& direction, std::size_t bytes) const;
    /// Sends bytes to the callers of all open connections of a link, as if from its server.
    void inject(const std::string& link, const std::string& bytes) const;
    /// Cuts a host off from the platform and its peers, both ways, or joins it again.
    void isolateHost(const std::string& id, const std::string& mode);

    [[nodiscard]] target_records records() const;
    [[nodiscard]] std::vector<request_run> runs() const;

private:
    void startPlatform();
    void startCutter();
    void publishHosts() const;
    void sendHostPids() const;
    endpoint addLink(const std::string& name, const endpoint& to) const;
    void writeSettings(const host_process& host, const endpoint& platform) const;

    cluster_options m_options;
    std::string m_folder;
    endpoint m_platformAddress;
    endpoint m_cutterAddress;
    std::unique_ptr<process> m_platform;
    std::unique_ptr<process> m_cutter;
    std::vector<target_process> m_targets;
    std::vector<host_process> m_hosts;
};

/// What a caller sent and was told.
struct request_result {
    std::string method;
    std::string path;
    http_reply reply;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;

    [[nodiscard]] bool answered() const { return reply.status == 200 && reply.complete; }
    [[nodiscard]] bool notRun() const { return reply.field("Pimentomast-Outcome") == "not-run"; }
};

/// Sends requests from several threads until it is stopped: to each service a GET and, to those
/// whose POST may not be repeated, a POST whose path is unique.
class load_generator {
public:
    struct options {
        std::vector<std::string> services;
        unsigned keys = 8;
        unsigned threads = 4;
        unsigned seed = 1;
        /// Hosts that requests go through; empty: all.
        std::vector<std::size_t> hosts {};
        milliseconds pause { 5 };
    };

    load_generator(const cluster& system, options chosen);
    ~load_generator();

    /// Ends the threads once their requests are answered and returns all that was told.
    std::vector<request_result> stop();

private:
    void send(unsigned thread);

    const cluster& m_system;
    options m_options;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::vector<request_result> m_results;
    std::vector<std::thread> m_threads;
};

/// An installation under load. Each test does its harm, then calls finish().
struct scenario {
    explicit scenario(const cluster_options& options, load_generator::options chosen);

    /// Waits until every service is served again, ends the load and fails the test with a text
    /// that names each breached promise.
    void finish();

    cluster system;
    load_generator callers;
    std::vector<request_result> answers {};
};

/// Keyed service "weights" on three targets that check tokens.
[[nodiscard]] cluster_options threeKeyedTargets();

/// Adds what the lines of a target's record say; a last line that a kill cut short is left out. A
/// killed process holds nothing after its end, whatever its last lease said.
void readRecord(
    std::istream& lines, const std::vector<std::int64_t>& killedUs, target_records& records);

/// Forgets who held what from this time on. Records of targets that go on are read one after the
/// other: without a common end, a slice that moves meanwhile seems to be held at both.
void truncateIntervals(target_records& records, std::int64_t limitUs);

/// Returns a text for each breach of: one holder of a key at a time; "not run" never ran; a POST
/// that may not be repeated ran at most once; an answer is whole and to its own request. Empty if
/// all hold. Pure.
[[nodiscard]] std::vector<std::string> findViolations(const target_records& records,
    const std::vector<request_result>& answers, const std::set<std::string>& repeatablePosts = {});

/// Returns a text for each request that the target started to run after this time. Pure.
[[nodiscard]] std::vector<std::string> runsStartedAfter(
    const target_records& records, const std::string& target, std::int64_t limitUs);

/// Reads the records of all targets and returns the breaches, one a line.
[[nodiscard]] std::string findViolations(const cluster& system,
    const std::vector<request_result>& answers, const std::set<std::string>& repeatablePosts = {});

/// Fails the test if there is a breach.
void expectNoViolations(const cluster& system, const std::vector<request_result>& answers,
    const std::set<std::string>& repeatablePosts = {});

/// Returns the longest time between two answers for a service, in microseconds.
[[nodiscard]] std::int64_t longestGapUs(
    const std::vector<request_result>& answers, const std::string& service);

} // namespace pimentomast::test
