#pragma once

#include "pimentomast/core.h"

#include <Poco/JSON/Object.h>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

/// Processes, ports and HTTP for tests with real processes on the loopback interface.
namespace pimentomast::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bound on each wait for something that must happen; far above what a busy machine needs.
constexpr seconds patience { 60 };

/// Returns the path of a program of this build.
[[nodiscard]] std::string program(const std::string& name);

/// A started process. Killed with SIGKILL and reaped when the object goes.
/// Start it from the thread that outlives it: it also dies with that thread.
class process {
public:
    /// Starts a program of this build; its output goes to the file.
    [[nodiscard]] static process start(
        const std::string& name, const std::vector<std::string>& arguments, const std::string& log);

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
    int wait(milliseconds limit = patience);
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
    std::vector<std::pair<std::string, std::string>> fields {};
    milliseconds timeout = patience;
};

struct http_reply {
    /// 0: no answer.
    int status = 0;
    std::string body;
    std::map<std::string, std::string> fields;
    /// The answer came to its end as its framing promises.
    bool whole = false;
    std::string failure;

    [[nodiscard]] std::string field(const std::string& name) const;
};

/// Sends one request on a connection of its own. Thread-safe.
[[nodiscard]] http_reply call(const endpoint& server, const http_call& request);

/// Sends a PUT with a JSON body, and fails the test unless it is answered 2xx.
void put(const endpoint& server, const std::string& path, const std::string& json);

/// Returns the JSON object that a GET answers; null if there is none.
[[nodiscard]] Poco::JSON::Object::Ptr getJson(const endpoint& server, const std::string& path);

/// Asks again and again until the condition holds; returns false after the limit.
[[nodiscard]] bool waitUntil(const std::function<bool()>& condition, milliseconds limit = patience);

/// Returns a folder for this process's files, removed at its end.
[[nodiscard]] std::string scratchFolder();

} // namespace pimentomast::test
