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

/// Timeout of each wait for an expected event; far longer than even a busy machine needs.
constexpr seconds waitTimeout { 60 };

/// Returns the path of a program of this build.
[[nodiscard]] std::string programPath(const std::string& name);

/// A child process, killed with SIGKILL and reaped by the destructor. The kernel also kills it when
/// the thread that started it ends, so that thread must outlive it.
class process {
public:
    /// Starts a program of this build; its output is appended to the file.
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
    /// 0 if there was no response.
    int status = 0;
    std::string body;
    std::map<std::string, std::string> fields;
    /// The body was received up to the end that its framing declares.
    bool complete = false;
    std::string failure;

    [[nodiscard]] std::string field(const std::string& name) const;
};

/// Sends one request on a new connection. Thread-safe.
[[nodiscard]] http_reply call(const endpoint& server, const http_call& request);

/// Sends a PUT with a JSON body, and fails the test unless the status is 2xx.
void put(const endpoint& server, const std::string& path, const std::string& json);

/// Returns the JSON object in the response to a GET; null if there is none.
[[nodiscard]] Poco::JSON::Object::Ptr getJson(const endpoint& server, const std::string& path);

/// Returns a member of a JSON object as text; empty if there is none.
[[nodiscard]] std::string jsonField(const std::string& json, const std::string& name);

/// Polls the condition until it holds; returns false after the limit.
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
    /// The service takes its key from segment 1 of the path /SERVICE/KEY.
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
    /// Routes all connections through the fault-injection proxy (stand-in-cutter).
    bool useCutter = true;
};

/// One request that a target ran, as its record shows it.
struct request_run {
    std::string target;
    std::string method;
    std::string path;
    std::string state;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
};

/// An interval in which a target accepted new requests for a slice.
struct ownership_interval {
    std::string target;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::int64_t fromUs = 0;
    std::int64_t toUs = 0;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// Contents of the records of all targets of an installation.
struct target_records {
    std::vector<request_run> runs;
    std::vector<ownership_interval> ownedIntervals;
    /// Service of each target.
    std::map<std::string, std::string> services;
};

/// Processes of one installation: stand-in platform, fault-injection proxy, targets and hosts.
/// Not thread-safe, except for send().
class cluster {
public:
    struct target_process {
        target_spec spec;
        endpoint listenAddress;
        endpoint advertisedAddress;
        std::string recordFile;
        process child;
        /// Times at which its processes were killed; recorded leases end there at the latest.
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

    /// Starts all processes, applies the table and waits until all hosts serve every service.
    explicit cluster(const cluster_options& options);

    std::vector<host_process>& hosts() noexcept { return m_hosts; }
    [[nodiscard]] const std::vector<host_process>& hosts() const noexcept { return m_hosts; }
    std::vector<target_process>& targets() noexcept { return m_targets; }
    [[nodiscard]] const std::vector<target_process>& targets() const noexcept { return m_targets; }
    [[nodiscard]] const endpoint& platform() const noexcept { return m_platformAddress; }
    target_process& target(const std::string& id);
    host_process& host(const std::string& id);

    /// Sends a request to the host with this index in hosts(). Thread-safe.
    [[nodiscard]] http_reply send(std::size_t host, const http_call& request) const;
    /// Returns the target that serves a key through any running host; empty after the limit.
    [[nodiscard]] std::string ownerOf(const std::string& service, const std::string& key);
    /// Returns the host that holds the service's coordinator row.
    [[nodiscard]] std::string coordinatorOf(const std::string& service) const;
    /// Waits until a service is served through all running hosts. Fails the test otherwise.
    void waitUntilServed(const std::string& service);
    /// Waits until all services are served through all running hosts.
    void waitUntilServed();

    /// Returns the table of the cluster in CSV; targets in `leaving` are marked as leaving.
    [[nodiscard]] std::string table(const std::set<std::string>& leaving = {}) const;
    /// Runs `pimentomast` with these arguments and the platform's address; returns its status.
    int runCommand(std::vector<std::string> arguments) const;
    /// Applies a table that is based on the given version; returns the command's exit status.
    int applyTable(const std::string& csv, std::uint64_t base) const;

    void killTarget(const std::string& id);
    void startTarget(const std::string& id);
    void startHost(const std::string& id);
    /// Returns the version of the table that a host has in force; nothing if it does not answer.
    [[nodiscard]] std::optional<std::uint64_t> versionOf(const std::string& host);
    /// Waits until all hosts, or those named, have a table of at least this version in force.
    void waitForVersion(std::uint64_t version, std::vector<std::string> names = {});
    /// Sets faults of the platform, by PUT /control.
    void platformFault(const std::string& json) const;
    /// Sets faults of a target, by PUT /control.
    void targetFault(const std::string& id, const std::string& json);
    /// Sets the mode of a link: "platform/HOST", "target/ID" or "peers/HOST" (towards that host),
    /// for the connections of one process, or of all.
    void setLinkMode(const std::string& link, const std::string& mode, pid_t from = 0) const;
    /// Resets the next connection on the link whose request contains the text, after this many
    /// bytes in a direction: "forward" to the server or "backward" to the caller.
    void resetNextConnection(const std::string& link, const std::string& match,
        const std::string& direction, std::size_t bytes) const;
    /// Sends bytes to the callers of all open connections of a link, as if from its server.
    void inject(const std::string& link, const std::string& bytes) const;
    /// Sets the mode of all links between a host, the platform and its peers, in both directions:
    /// for example "drop-both" to isolate it and "pass" to reconnect it.
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

/// A request and its response, as a caller saw them.
struct request_result {
    std::string method;
    std::string path;
    http_reply reply;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;

    [[nodiscard]] bool answered() const { return reply.status == 200 && reply.complete; }
    [[nodiscard]] bool notRun() const { return reply.field("Pimentomast-Outcome") == "not-run"; }
};

/// Sends requests from several threads until it is stopped: a GET or a POST to a random service,
/// key and host, with a path that is unique to the request.
class load_generator {
public:
    struct options {
        std::vector<std::string> services;
        unsigned keys = 8;
        unsigned threads = 4;
        unsigned seed = 1;
        /// Indexes of the hosts that get requests; empty: all.
        std::vector<std::size_t> hosts {};
        milliseconds pause { 5 };
    };

    load_generator(const cluster& system, options chosen);
    ~load_generator();

    /// Ends the threads after their current requests and returns all results.
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

/// An installation under load. Each test injects its faults, then calls finish().
struct scenario {
    explicit scenario(const cluster_options& options, load_generator::options chosen);

    /// Waits until every service is served again, ends the load and fails the test with a message
    /// for each violated guarantee.
    void finish();

    cluster system;
    load_generator callers;
    std::vector<request_result> answers {};
};

/// Keyed service "weights" on three targets that check tokens.
[[nodiscard]] cluster_options threeKeyedTargets();

/// Adds the lines of a target's record; a last line that a kill truncated is skipped. Intervals of
/// a killed process end at the kill, even if its last lease was to end later.
void readRecord(
    std::istream& lines, const std::vector<std::int64_t>& killedUs, target_records& records);

/// Removes ownership from this time on. The records of running targets are read one after another:
/// without a common end, a slice that moves meanwhile would seem to have two owners.
void truncateIntervals(target_records& records, std::int64_t limitUs);

/// Returns a message for each violation of these guarantees: a key has one owner at a time; a
/// request reported as not-run never ran; a POST that may not be repeated ran at most once; an
/// answer that was received as complete is not truncated and belongs to its request. Empty if all
/// hold. Pure.
[[nodiscard]] std::vector<std::string> findViolations(const target_records& records,
    const std::vector<request_result>& answers, const std::set<std::string>& repeatablePosts = {});

/// Returns a message for each request that the target started after this time. Pure.
[[nodiscard]] std::vector<std::string> runsStartedAfter(
    const target_records& records, const std::string& target, std::int64_t limitUs);

/// Reads the records of all targets and returns the violations, one per line.
[[nodiscard]] std::string findViolations(const cluster& system,
    const std::vector<request_result>& answers, const std::set<std::string>& repeatablePosts = {});

/// Fails the test if there is a violation.
void expectNoViolations(const cluster& system, const std::vector<request_result>& answers,
    const std::set<std::string>& repeatablePosts = {});

/// Returns the longest time between two successful answers of a service, in microseconds.
[[nodiscard]] std::int64_t longestGapUs(
    const std::vector<request_result>& answers, const std::string& service);

} // namespace pimentomast::test
