#pragma once

#include "sockets.h"

#include <map>
#include <mutex>

/// What clients sent and got and what upstreams ran, and checks of it.
namespace review {

struct sent_request {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    std::string key;
    bool mayRepeat = true;
};

/// How a client's request ended.
struct ending {
    /// 0 if there was no whole response.
    int status = 0;
    /// "closed", "broken", "timeout", "no connection"; empty if there was a response.
    std::string failure;
    std::string signature;
    std::string answeredId;
    std::string body;
    std::string host;
    /// The connection had carried a response before.
    bool wasKept = false;
    /// At least one byte of the request was sent.
    bool wasSent = false;
    /// From the sending to the end of the response, or until the client gave up.
    milliseconds took {};
};

struct run_of_request {
    std::string id;
    std::string upstream;
    std::string method;
    std::string target;
    std::string body;
    std::string signature;
    std::string answer;
};

/// Thread-safe.
class record {
public:
    /// Notes an event for record.txt.
    void note(const std::string& text);
    void addSent(const sent_request& sent);
    void addEnding(const std::string& id, const ending& how);
    void addRun(const run_of_request& run);

    /// Counts the requests whose ids contain the text.
    [[nodiscard]] std::size_t sentCount(const std::string& part = {}) const;
    [[nodiscard]] std::size_t successCount(const std::string& part = {}) const;
    [[nodiscard]] std::size_t runCount() const;
    /// MIXED: a success without the signature and whole body of a run of this request.
    [[nodiscard]] std::vector<std::string> mixed() const;
    /// UNASKED: a run that no client sent, or that differs from what was sent.
    [[nodiscard]] std::vector<std::string> unasked() const;
    /// TWICE: more than one run of a request that must not be repeated.
    [[nodiscard]] std::vector<std::string> twice() const;
    /// REFUSED: a run of a request that must not be repeated and was answered 408, 421, 429 or 503.
    [[nodiscard]] std::vector<std::string> refusedButRan() const;
    /// LOST: a kept connection closed without an answer to a request that an upstream began to run.
    [[nodiscard]] std::vector<std::string> lost() const;

    /// Counts the requests that had no whole response this long after they were sent.
    [[nodiscard]] std::size_t unansweredAfter(milliseconds time) const;

    /// Writes everything to the file.
    void write(const std::string& path) const;

private:
    [[nodiscard]] double elapsed() const;

    mutable std::mutex m_lock;
    steady::time_point m_started = steady::now();
    std::vector<std::string> m_lines;
    std::map<std::string, sent_request> m_sent;
    std::map<std::string, ending> m_endings;
    std::multimap<std::string, run_of_request> m_runs;
};

} // namespace review
