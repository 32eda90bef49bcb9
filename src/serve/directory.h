#pragma once

#include "pimentomast/ownership.h"
#include "pimentomast/routing.h"
#include "pimentomast/table.h"
#include "version_history.h"
#include "wire.h"

#include <map>
#include <memory>
#include <shared_mutex>
#include <vector>

namespace pimentomast::serve::detail {

/// Versions of a service's assignment that a host reports when its route lease is renewed.
struct route_versions {
    token known;
    /// No request that was forwarded to an older owner can still be running.
    token confirmed;
};

/// The configuration and the assignments that are in force on this host. Thread-safe; its lock is
/// innermost: no other lock is taken while it is held.
class directory : public routing::owner_lookup {
public:
    /// A request whose connection was closed is assumed to run at its target for cancelLimit more.
    directory(incarnation self, duration cancelLimit)
        : m_self(self)
        , m_cancelLimit(cancelLimit)
    {
    }

    [[nodiscard]] routing::owner_answer find(
        instant now, const service_id& service, key_hash key) const override;

    /// Returns the table in force, or null before the first one.
    [[nodiscard]] std::shared_ptr<const table::table> currentTable() const;
    /// Puts a table in force. Precondition: its version is higher than the one in force.
    void putTable(std::shared_ptr<const table::table> table);

    /// Puts an assignment in force if it is newer; coordinator is the host that committed it.
    /// Returns whether it was put in force.
    bool putAssignment(instant now, const ownership::assignment& newer, const host_id& coordinator);
    /// Returns the version of a service's assignment, (0, 0) if there is none.
    [[nodiscard]] token version(const service_id& service) const;
    /// Returns the slice that holds the key, if the service has an assignment.
    [[nodiscard]] std::optional<slice> sliceOf(const service_id& service, key_hash key) const;
    /// Returns the part of that slice in which requests for the key are counted.
    [[nodiscard]] std::optional<slice> countedRange(const service_id& service, key_hash key) const;
    /// Returns the host that committed the newest assignment; empty if unknown.
    [[nodiscard]] host_id coordinator(const service_id& service) const;
    void hold(const service_id& service, slice range, token version, instant until);
    /// Renews the route lease and returns the versions to report.
    route_versions renewRoute(
        instant now, const service_id& service, const ownership::renew_route& renewal);

    /// Returns whether requests to the service are forwarded only under a route lease.
    [[nodiscard]] bool needsRouteLease(const service_id& service) const;
    /// Counts an attempt as in flight if its route is still valid; returns whether it is.
    [[nodiscard]] bool beginForward(instant now, const service_id& service, key_hash key,
        const ownership::attempt_id& attempt, const ownership::route& to);
    /// Records that the attempt was answered completely, or was certainly not executed.
    void endForward(const service_id& service, const ownership::attempt_id& attempt);
    /// Records that the attempt's connection was closed at now without a complete answer.
    void abandonForward(
        instant now, const service_id& service, const ownership::attempt_id& attempt);

    using wire_versions = google::protobuf::RepeatedPtrField<wire::AssignmentVersion>;

    /// Adds the versions of all assignments.
    void describe(wire_versions& versions) const;
    /// Returns the version that is stated for the service, (0, 0) if there is none.
    [[nodiscard]] static token versionIn(const wire_versions& versions, const service_id& service);
    /// Returns a copy of the service's newest assignment, if there is one.
    [[nodiscard]] std::optional<ownership::assignment> assignmentOf(
        const service_id& service) const;
    /// Adds to update the assignments that the digest's sender lacks, at most a few per update. A
    /// large one is left out as long as the sender may get what changed by its publication.
    void addNewer(instant now, const wire::Digest& digest, wire::Update& update) const;

private:
    struct entry {
        ownership::route_table routes;
        ownership::forwarded_requests forwarded;
        host_id coordinator;
        version_history versions;
    };

    [[nodiscard]] static bool lacks(const entry& known, instant now, token ofPeer);

    mutable std::shared_mutex m_lock;
    incarnation m_self;
    duration m_cancelLimit;
    std::shared_ptr<const table::table> m_table;
    std::map<service_id, entry> m_services;
};

} // namespace pimentomast::serve::detail
