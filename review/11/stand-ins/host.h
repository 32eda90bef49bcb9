#pragma once

#include "record.h"

#include <memory>
#include <optional>
#include <sys/types.h>

/// Host processes of the product, started as the deploy file says.
namespace review {

struct host_options {
    std::string id;
    std::string zone = "zone-a";
    /// Folder for the settings file and the log.
    std::string folder;
    /// Address of the platform's store.
    endpoint store;
};

/// How a process ended by itself.
struct process_end {
    int exitCode = 0;
    int signal = 0;

    [[nodiscard]] std::string text() const;
};

/// Runs target/pimentomast from the root of the repository, with the template of the deploy file
/// filled in for a small deployment.
class host_process {
public:
    /// Throws std::runtime_error if the program is not built.
    host_process(host_options options, record& seen);
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;
    /// Kills the process.
    ~host_process();

    void start();
    void send(int signal) const;
    /// Kills the process and waits for it.
    void kill();
    /// Returns how the process ended if it has, by itself or by a signal.
    [[nodiscard]] std::optional<process_end> ended();
    /// Asks for its health as the balancer does.
    [[nodiscard]] bool isReady() const;

    [[nodiscard]] const endpoint& callers() const noexcept { return m_callers; }
    [[nodiscard]] const std::string& id() const noexcept { return m_options.id; }

private:
    [[nodiscard]] std::string settings() const;

    host_options m_options;
    record& m_record;
    endpoint m_callers;
    endpoint m_peers;
    endpoint m_ready;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_process = -1;
};

/// Waits until all hosts are ready. Returns false if that takes longer than the limit.
[[nodiscard]] bool waitUntilReady(
    const std::vector<std::unique_ptr<host_process>>& hosts, milliseconds limit);

} // namespace review
