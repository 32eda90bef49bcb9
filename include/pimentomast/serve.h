#pragma once

#include "pimentomast/core.h"
#include "pimentomast/membership.h"
#include "pimentomast/proxy.h"
#include "pimentomast/ranges.h"
#include "pimentomast/settings.h"
#include "pimentomast/store.h"
#include "pimentomast/table.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

/// Runs an entry host, which forwards callers' requests and coordinates some of the services.
namespace pimentomast::serve {

/// What a host has of one of its tables, and when the store was last known to have the same.
struct followed_table {
    /// The content is 0 if the table has not been read yet.
    membership::row_state rows;
    /// `instant {}` if it is not known.
    instant confirmedAt {};
};

/// What a host has of its tables.
struct table_standing {
    followed_table targets;
    followed_table configuration;
};

/// A row of a table source that changed, in the source's own encoding.
struct changed_row {
    std::string table;
    std::string key;
    /// Empty if the row was removed.
    std::string value;
    row_version version;
    bool removed = false;
};

/// Versions of the store between which a list of changed rows is complete for the targets.
struct row_span {
    row_version after;
    row_version until;
};

struct row_changes {
    std::vector<changed_row> rows;
    /// Not set if changes of the targets may be missing.
    std::optional<row_span> complete {};
};

/// The latest changes of the targets, by which hosts that lack some of them are brought up to date.
/// Not thread-safe.
class change_log {
public:
    /// Records a change, in the order in which this host learned of them.
    void add(const changed_row& row);
    /// Records that changes up to this version may be missing from the log.
    void startAfter(row_version version);
    /// Returns the latest change of each target above the version, oldest first; a bounded number.
    /// own is the version of the store up to which this host knows all changes.
    [[nodiscard]] row_changes after(row_version version, row_version own) const;

private:
    std::deque<changed_row> m_rows;
    /// All changes above this version are in m_rows.
    row_version m_after;
};

/// Supplies tables that do not come from the operators' CSV row. Thread-safe.
class table_source {
public:
    using receiver = std::function<void(std::shared_ptr<const table::table>)>;

    virtual ~table_source() = default;
    /// Calls receive for each new table until stop(), one call at a time and with increasing
    /// versions. Must be called only once.
    virtual void start(receiver receive) = 0;
    [[nodiscard]] virtual table_standing standing() const = 0;
    /// Records a peer's standing, which may let this host skip a poll of the store.
    virtual void receivePeerStanding(const table_standing& peer) = 0;
    /// Returns the latest rows that a host with this standing may lack; a bounded number of them,
    /// and not all if it is far behind.
    [[nodiscard]] virtual row_changes changesAfter(const table_standing& known) const = 0;
    /// Puts rows in force that a peer has, unless this host has newer ones. If they are all that
    /// this host lacks up to a version, its standing has that version from then on, so that no
    /// other host sends them again.
    virtual void receivePeerRows(const row_changes& changes) = 0;
    /// Sets whether this host polls the store on behalf of all hosts.
    virtual void setDesignatedPoller(bool designated) = 0;
    /// Stops the source. When it returns, no call of receive is running and none will follow.
    virtual void stop() = 0;
};

/// A target of a keyed service, as the recipient of calls about ranges of its keys.
struct range_recipient {
    service_id service;
    endpoint address;
    /// Name of the target's process; any other process at the address must reject the call.
    std::string instance;
};

/// Client for targets that are granted, and release, one range of keys per call. Each call blocks
/// until it is answered or fails. Implementations are thread-safe.
class range_client {
public:
    virtual ~range_client() = default;

    /// A lease that is too short for the protocol of the target is not sent.
    [[nodiscard]] virtual ranges::call_result grant(
        const range_recipient& to, const ranges::grant_range& wanted, duration lease)
        = 0;
    [[nodiscard]] virtual ranges::call_result release(
        const range_recipient& to, const ranges::release_range& wanted)
        = 0;
    /// Returns the longest time after which a call of grant() may still arrive at the target.
    [[nodiscard]] virtual duration maxDeliveryDelay() const = 0;
};

/// The installation that a host runs in. Objects that it returns by reference or pointer live as
/// long as the environment.
class environment {
public:
    virtual ~environment() = default;

    [[nodiscard]] virtual store::services& storeServices() = 0;
    /// Returns null if operators edit the CSV row of the store instead.
    [[nodiscard]] virtual table_source* tableSource() = 0;
    /// Returns null if targets are granted whole lists of slices instead.
    [[nodiscard]] virtual range_client* rangeClient() = 0;
    [[nodiscard]] virtual proxy::contract contract() const = 0;
    /// Returns the time from the request to stop until the process is killed; 0 if it is not known.
    [[nodiscard]] virtual duration stopGrace() const = 0;
    /// Makes this host known to the other hosts. Called before it serves requests.
    virtual void announce(const store::listed_host& self) = 0;
    /// Reverts announce(). Called after the host has stopped.
    virtual void withdraw(const host_id& self) = 0;
};

/// Runs an entry host until SIGTERM or SIGINT, then drains it: the host reports itself unhealthy,
/// hands its services over, keeps accepting requests for the configured time and finishes every
/// request in flight. Returns the process's exit code. Throws failure if the host cannot start.
/// Signals are blocked before connect is called, so that threads of the environment do not receive
/// them. Must be called only once, from the main thread, before any other thread is started.
int run(const settings::settings& values,
    const std::function<result<std::unique_ptr<environment>>()>& connect);

/// Returns the environment that uses this project's own protocols (docs/DESIGN.md). Fails if the
/// store's address is incomplete.
[[nodiscard]] result<std::unique_ptr<environment>> defaultEnvironment(
    const settings::store_settings& values);

} // namespace pimentomast::serve
