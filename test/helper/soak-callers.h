#pragma once

#include "../helper.h"

#include <random>

/// Callers that keep and reuse their connections, as a soak needs them.
namespace pimentomast::test {

/// How a request ended for its caller.
enum class soak_end {
    /// A whole answer or refusal arrived.
    Complete,
    /// The connection ended before the first byte of an answer.
    Unanswered,
    /// The connection ended within the answer.
    Truncated,
    /// Neither an answer nor the end of the connection came in time.
    Hung,
    /// The request could not be sent whole.
    NotSent,
};

struct soak_request {
    request_result result;
    soak_end end = soak_end::NotSent;
    std::string host;
    /// Sent behind another request, before that one's answer.
    bool isPipelined = false;
    /// Sent on a connection that had carried a request before.
    bool isOnKeptConnection = false;
};

/// One connection of a caller. Not thread-safe.
class soak_connection {
public:
    /// Returns a connection; nothing if it was refused.
    [[nodiscard]] static std::optional<soak_connection> open(const endpoint& server);

    soak_connection(soak_connection&& other) noexcept;
    soak_connection& operator=(soak_connection&& other) noexcept;
    soak_connection(const soak_connection&) = delete;
    soak_connection& operator=(const soak_connection&) = delete;
    ~soak_connection();

    /// Returns false if the connection ended before all bytes were taken.
    [[nodiscard]] bool send(const std::string& bytes) const;
    /// Reads one answer to a request other than HEAD.
    [[nodiscard]] soak_end receive(http_reply& reply);

private:
    explicit soak_connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    [[nodiscard]] std::optional<soak_end> fill();
    [[nodiscard]] std::optional<soak_end> fillTo(std::size_t bytes);
    [[nodiscard]] std::optional<soak_end> readLine(std::string& line);
    [[nodiscard]] std::optional<soak_end> readHead(http_reply& reply);
    [[nodiscard]] std::optional<soak_end> readBody(http_reply& reply);
    [[nodiscard]] std::optional<soak_end> readChunks(http_reply& reply);
    std::string take(std::size_t bytes);

    int m_descriptor = -1;
    std::string m_input;
    monotonic_clock::time_point m_limit;
};

/// Sends requests from several threads until it is stopped, each thread on connections of its own
/// that it keeps until the host closes them.
class soak_callers {
public:
    struct options {
        std::vector<std::string> services;
        unsigned seed = 1;
        unsigned threads = 16;
        unsigned keys = 8;
        /// Pauses near this time are frequent: the time after which hosts close idle connections.
        milliseconds idleTime { 400 };
    };

    soak_callers(const cluster& system, options chosen);
    ~soak_callers();
    soak_callers(const soak_callers&) = delete;
    soak_callers& operator=(const soak_callers&) = delete;

    /// Ends the threads after their current requests and returns all requests.
    std::vector<soak_request> stop();

private:
    struct caller;

    void run(unsigned thread);
    void connect(caller& self) const;
    void exchange(caller& self);
    [[nodiscard]] soak_request makeRequest(caller& self, bool isPost) const;
    [[nodiscard]] std::string bytesOf(caller& self, const soak_request& request) const;
    void pause(caller& self) const;

    options m_options;
    std::vector<std::pair<std::string, endpoint>> m_hosts;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::vector<soak_request> m_requests;
    std::vector<std::thread> m_threads;
};

/// Returns a message for each request that was lost: it ran, or was held for long, and its
/// connection ended without a whole answer; or it got no end at all. Pure.
[[nodiscard]] std::vector<std::string> findLost(
    const target_records& records, const std::vector<soak_request>& requests);

/// Returns the number of requests by their end or, where that is complete, by status and reason.
[[nodiscard]] std::map<std::string, unsigned> countEnds(const std::vector<soak_request>& requests);

} // namespace pimentomast::test
