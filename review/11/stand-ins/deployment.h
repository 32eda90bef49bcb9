#pragma once

#include "clients.h"
#include "host.h"
#include "store.h"
#include "upstream.h"

/// A small deployment on loopback: the store, hosts and the operator's configuration.
namespace review {

struct route_options {
    std::string prefix;
    std::string service;
    std::string kind = "idempotent";
    milliseconds timeout { 1500 };
};

struct service_options {
    std::string name;
    bool isKeyed = false;
};

/// Value of the Host header that the routes are for.
inline constexpr const char* authority = "records.example";

/// Returns the operator's configuration as it is written into the store.
[[nodiscard]] std::string configurationText(unsigned version,
    const std::vector<route_options>& routes, const std::vector<service_options>& services);

/// Creates an empty folder for files of this run below the system's folder for such; it is removed
/// with the object unless REVIEW_KEEP is set.
class scratch_folder {
public:
    scratch_folder();
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    ~scratch_folder();
    [[nodiscard]] const std::string& path() const noexcept { return m_path; }

private:
    std::string m_path;
};

class deployment {
public:
    /// The store and hosts that are not started yet.
    explicit deployment(unsigned hosts);

    void configure(unsigned version, const std::vector<route_options>& routes,
        const std::vector<service_options>& services);
    void startHosts();
    /// Notes hosts that ended by themselves and starts them again after a short delay. Returns how
    /// many ended.
    unsigned restartEnded();

    record seen;
    store_stand_in store;
    scratch_folder folder;
    std::vector<std::unique_ptr<host_process>> hosts;
};

/// Prints the broken rules, writes record.txt, and returns the exit code of a case.
[[nodiscard]] int conclude(
    const record& seen, const std::string& recordPath, const std::vector<std::string>& broken);

/// Whether the disruption is to be brought about: not with TROUBLE=0.
[[nodiscard]] bool hasTrouble();

} // namespace review
