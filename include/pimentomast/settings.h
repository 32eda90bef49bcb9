#pragma once

#include "pimentomast/core.h"

#include <span>
#include <variant>
#include <vector>

/// Settings of a process, read from an INI file and checked whole before anything starts.
namespace pimentomast::settings {

using milliseconds = std::chrono::milliseconds;

struct host_settings {
    host_id id;
    domain_id domain;
    /// Where callers connect.
    endpoint callers;
    /// Where the other entry hosts connect (gRPC).
    endpoint peers;
    /// Where operators and the balancer's health check connect (HTTP).
    endpoint admin;
    /// Address of `peers` as the other hosts see it; equals `peers` unless set.
    endpoint advertise;
    /// Peers that are asked while the platform's list of hosts has not been read.
    std::vector<endpoint> seeds;
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
    /// Time between two reads of the configuration's version.
    milliseconds pollMs { 500 };
};

struct admin_settings {
    /// Bearer token of the administration API. Secret: never logged or shown. Empty: only the
    /// host's health and metrics are served.
    std::string token;
};

struct limit_settings {
    unsigned workers = 32;
    unsigned connections = 8192;
    unsigned headBytes = 32768;
    milliseconds headTimeoutMs { 10000 };
    milliseconds bodyTimeoutMs { 30000 };
    milliseconds idleTimeoutMs { 60000 };
    milliseconds connectTimeoutMs { 1000 };
    /// Age at which an unused connection to a target is closed.
    milliseconds pooledIdleMs { 20000 };
};

struct retry_settings {
    /// Retries of all hosts together per first attempt of a service, in percent.
    unsigned percent = 9;
    /// Retries of this host that may be saved up for each service.
    unsigned burst = 5;
    /// What happens to a request that may be retried when no retries are left.
    bool wait = true;
    /// Requests that targets shed draw on the budget too.
    bool countShed = false;
};

struct target_settings {
    /// Targets report their load in answers to probes and grants.
    bool reportLoad = true;
    /// For how long a leaving target still gets requests for the keys that it owns.
    milliseconds leavingGraceMs { 3600000 };
};

struct probe_settings {
    /// Between probes of a target that seems healthy.
    milliseconds backgroundMs { 2000 };
};

struct ownership_settings {
    milliseconds targetLeaseMs { 1500 };
    milliseconds renewMs { 150 };
    milliseconds authorityMs { 700 };
    milliseconds authorityRenewMs { 200 };
    milliseconds routeLeaseMs { 1500 };
    /// Between two reads of a coordinator's row by the hosts that would follow it first.
    milliseconds pollMs { 75 };
    /// For how long a coordinator may go on while the platform's store is out.
    milliseconds outageLimitMs { 600000 };
};

struct placement_settings {
    /// Between two rounds of planning.
    milliseconds intervalMs { 1000 };
    /// Moves for the sake of balance in one round.
    unsigned movesPerRound = 2;
    /// Time that keys stay with their owner before they move for balance again.
    milliseconds minimumStayMs { 10000 };
    /// Load above a target's even share that is left alone, in percent of it.
    unsigned tolerancePercent = 15;
    /// Between two reports of a host's load.
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
    /// Lines about single requests in a second, on average; what is beyond is counted.
    unsigned requestLines = 20;
};

struct drain_settings {
    /// For how long a leaving host still accepts connections after it reports itself unhealthy.
    milliseconds acceptMs { 3000 };
    /// For how long idle connections stay open after that.
    milliseconds idleMs { 2000 };
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

/// One fault of a settings file. An empty key means the whole section.
struct problem {
    std::string section;
    std::string key;
    std::string reason;

    /// Returns "[section] key: reason".
    [[nodiscard]] std::string text() const;
    bool operator==(const problem&) const = default;
};

/// The settings, or every fault that was found.
using check_result = std::variant<settings, std::vector<problem>>;

/// Checks the text of an INI file whole. No fault text holds the value of a secret.
/// Thread-safe.
[[nodiscard]] check_result check(const std::string& text);

/// Returns the settings of the text; the error's reason lists every fault, one a line.
/// Thread-safe.
[[nodiscard]] result<settings> parse(const std::string& text);

/// Reads and parses a file. The error names the file. Thread-safe.
[[nodiscard]] result<settings> load(const std::string& path);

/// What is known of one key, for the checks and the documentation.
struct key_description {
    std::string section;
    std::string key;
    bool required = false;
    bool secret = false;
};

/// Returns every key that a settings file may have. Thread-safe.
[[nodiscard]] std::vector<key_description> describeKeys();

/// A setting as it may be shown; a secret's value is "(set)".
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
