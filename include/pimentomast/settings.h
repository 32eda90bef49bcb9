#pragma once

#include "pimentomast/core.h"

#include <algorithm>
#include <span>
#include <variant>
#include <vector>

/// Process settings, read from an INI file and validated completely before startup.
namespace pimentomast::settings {

using milliseconds = std::chrono::milliseconds;

struct host_settings {
    host_id id;
    domain_id domain;
    /// Listening address for callers.
    endpoint callers;
    /// Listening address for the other entry hosts (gRPC).
    endpoint peers;
    /// Listening address for operators and the load balancer's health check (HTTP).
    endpoint admin;
    /// Address at which the other hosts reach `peers`; defaults to `peers`.
    endpoint advertise;
    /// Peers to contact until the platform's list of hosts has been read.
    std::vector<endpoint> seeds;
    /// Processor time that the host may use, in thousandths of a core.
    unsigned millicores = 1000;
};

enum class store_interface {
    /// The product's own protocol (docs/DESIGN.md).
    Own,
    /// The users' platform, through the adapter in platform/.
    Platform,
};

struct store_settings {
    endpoint address;
    store_interface interface = store_interface::Own;
    milliseconds timeoutMs { 500 };
    /// Interval between reads of the configuration version.
    milliseconds pollMs { 500 };
    /// What the users' platform tells about itself, in its own spelling; read by its adapter.
    std::string terms {};
    /// Whether rows are read and written through other hosts while the store does not answer this
    /// one.
    bool relay = false;
};

struct admin_settings {
    /// Bearer token of the administration API. Secret: never logged or shown. If empty, only the
    /// host's health and metrics are served.
    std::string token;
};

struct limit_settings {
    unsigned workers = 32;
    unsigned connections = 8192;
    /// Descriptors that the process may open; 0 if it is not known.
    unsigned descriptors = 0;

    /// Returns the number of callers' connections to accept: at most half of the descriptors, since
    /// requests need as many connections to targets.
    [[nodiscard]] unsigned callerConnections() const noexcept
    {
        return descriptors == 0 ? connections : std::min(connections, descriptors / 2);
    }

    /// Bytes of an upload that are received before it is submitted.
    unsigned uploadPrefetchBytes = 524288;
    /// Limit of the bodies in memory; 0: derived from memoryMb.
    unsigned bodyMemoryBytes = 0;
    /// Memory that the process may use, in MB; 0 if it is not known.
    unsigned memoryMb = 0;
    /// Take the machine's memory for it if it is not known.
    bool detectMemory = false;

    /// Returns the limit of the bodies in memory in bytes; 0: no limit. Of the process's memory, 48
    /// MB are left to everything else, and of the rest three quarters to buffers of connections in
    /// the process and in the kernel.
    [[nodiscard]] std::size_t bodyMemory() const noexcept
    {
        constexpr std::size_t megabyte = 1048576;
        constexpr std::size_t otherMb = 48;
        constexpr std::size_t share = 4;
        if (bodyMemoryBytes > 0 || memoryMb == 0)
            return bodyMemoryBytes;
        const std::size_t memory = std::max<std::size_t>(memoryMb, otherMb + share);
        return (memory - otherMb) * megabyte / share;
    }

    unsigned headBytes = 32768;
    milliseconds headTimeoutMs { 10000 };
    milliseconds bodyTimeoutMs { 30000 };
    milliseconds idleTimeoutMs { 60000 };
    milliseconds connectTimeoutMs { 1000 };
    /// Age at which an unused connection to a target is closed.
    milliseconds pooledIdleMs { 20000 };
};

struct retry_settings {
    /// Retry budget of a service over all hosts, in percent of its first attempts.
    unsigned percent = 9;
    /// Maximum number of unused retries that this host accumulates for each service.
    unsigned burst = 5;
    /// Whether a retryable request waits when the retry budget is exhausted.
    bool wait = true;
    /// Whether retries of requests that targets shed count against the budget.
    bool countShed = false;
};

struct target_settings {
    /// Whether targets report their load in responses to probes and grants.
    bool reportLoad = true;
    /// Whether hosts share what they see of the targets' speed, and give more load to faster ones.
    bool shareSpeed = false;
    /// How long a leaving target still receives requests for the keys that it owns.
    milliseconds leavingGraceMs { 3600000 };
};

struct probe_settings {
    /// Interval between probes of a target that is considered healthy.
    milliseconds backgroundMs { 2000 };
};

struct ownership_settings {
    milliseconds targetLeaseMs { 1500 };
    milliseconds renewMs { 150 };
    milliseconds authorityMs { 700 };
    milliseconds authorityRenewMs { 200 };
    milliseconds routeLeaseMs { 1500 };
    /// Interval at which the hosts that are first in line to succeed a coordinator read its row.
    milliseconds pollMs { 75 };
    /// How long a coordinator may continue while the platform's store is unavailable.
    milliseconds outageLimitMs { 600000 };
};

struct placement_settings {
    /// Interval between planning rounds.
    milliseconds intervalMs { 1000 };
    /// Maximum number of balancing moves per round.
    unsigned movesPerRound = 2;
    /// Minimum time between balancing moves of the same keys.
    milliseconds minimumStayMs { 10000 };
    /// Time in which a target that has just joined grows into its full share.
    milliseconds slowStartMs { 30000 };
    /// Load above a target's even share that triggers no move, in percent of that share.
    unsigned tolerancePercent = 15;
    /// Interval between load reports of a host.
    milliseconds reportMs { 1000 };
};

enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};
enum class log_sink {
    Console,
    File,
};
enum class log_format {
    Text,
    Json,
};

struct log_settings {
    log_level level = log_level::Info;
    log_sink sink = log_sink::Console;
    /// Path of the log file; required for the file sink.
    std::string file;
    log_format format = log_format::Text;
    /// Average number of per-request lines per second; lines beyond it are only counted.
    unsigned requestLines = 20;
    /// Average number of lines and bytes per second, of all events together.
    unsigned lines = 200;
    unsigned bytes = 65536;
};

struct drain_settings {
    /// How long a leaving host still accepts connections after it reports itself unhealthy.
    milliseconds acceptMs { 3000 };
    /// How long idle connections stay open after that.
    milliseconds idleMs { 2000 };
    /// Time from the request to stop until the process is killed; 0 if it is not known.
    milliseconds graceMs { 0 };
};

struct settings {
    host_settings host;
    store_settings store;
    admin_settings admin;
    limit_settings limits;
    retry_settings retries;
    target_settings targets;
    probe_settings probes;
    ownership_settings ownership;
    placement_settings placement;
    log_settings log;
    drain_settings drain;
};

/// A problem in a settings file. An empty key means the whole section.
struct problem {
    std::string section;
    std::string key;
    std::string reason;

    /// Returns "[section] key: reason".
    [[nodiscard]] std::string text() const;
    bool operator==(const problem&) const = default;
};

/// The settings, or all problems found.
using check_result = std::variant<settings, std::vector<problem>>;

/// Validates the text of an INI file and collects all problems. No problem contains the value of a
/// secret. Thread-safe.
[[nodiscard]] check_result check(const std::string& text);

/// Parses the text of an INI file; the reason of the error lists all problems, one per line.
/// Thread-safe.
[[nodiscard]] result<settings> parse(const std::string& text);

/// Reads and parses a file. The error names the file. Thread-safe.
[[nodiscard]] result<settings> load(const std::string& path);

/// Properties of a key, used by validation and by the documentation tests.
struct key_description {
    std::string section;
    std::string key;
    bool required = false;
    bool secret = false;
};

/// Returns all supported keys. Thread-safe.
[[nodiscard]] std::vector<key_description> describeKeys();

/// Parses "ip:port" with an IPv4 address and a port other than 0; resolves no names. Thread-safe.
[[nodiscard]] result<endpoint> parseEndpoint(const std::string& text);

/// A setting in printable form; the value of a secret is "(set)".
struct shown_value {
    std::string section;
    std::string key;
    std::string value;

    /// Returns "section.key".
    [[nodiscard]] std::string name() const;
};

/// Returns all settings that have a value, in the order of the file. Thread-safe.
[[nodiscard]] std::vector<shown_value> show(const settings& values);

/// Returns show() as an INI text. Thread-safe.
[[nodiscard]] std::string describe(const settings& values);

} // namespace pimentomast::settings
