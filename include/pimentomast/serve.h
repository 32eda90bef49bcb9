#pragma once

#include "pimentomast/core.h"
#include "pimentomast/proxy.h"
#include "pimentomast/ranges.h"
#include "pimentomast/settings.h"
#include "pimentomast/store.h"
#include "pimentomast/table.h"

#include <functional>
#include <memory>

/// One entry host: forwards callers' requests and coordinates some of the services.
namespace pimentomast::serve {

/// What a host's tables have, and when the store was last known to have the same.
struct table_standing {
    /// Equal for equal tables; 0: nothing was read yet.
    std::uint64_t content = 0;
    instant confirmedAt {};
};

/// Supplies tables that do not come from the operators' CSV row. Thread-safe.
class table_source {
public:
    using receiver = std::function<void(std::shared_ptr<const table::table>)>;

    virtual ~table_source() = default;
    /// Calls receive for each new table, one call at a time, until stop(). Versions rise. Call
    /// once.
    virtual void start(receiver receive) = 0;
    [[nodiscard]] virtual table_standing standing() const = 0;
    /// Takes a peer's standing, by which this host may spare itself a look at the store.
    virtual void receivePeerStanding(const table_standing& peer) = 0;
    /// Whether this host looks at the store for the others.
    virtual void setDesignatedPoller(bool designated) = 0;
    /// Returns when no call of receive runs any more and none will come.
    virtual void stop() = 0;
};

/// A target of a keyed service, as calls about its keys address it.
struct range_recipient {
    service_id service;
    endpoint address;
    /// Name of its process; any other at the address must not take the call.
    std::string instance;
};

/// Calls to targets that take and give back one range of keys at a time. Each call blocks until it
/// is answered or has failed. Implementations are thread-safe.
class range_client {
public:
    virtual ~range_client() = default;

    [[nodiscard]] virtual ranges::call_result grant(
        const range_recipient& to, const ranges::grant_range& wanted, duration lease)
        = 0;
    [[nodiscard]] virtual ranges::call_result release(
        const range_recipient& to, const ranges::release_range& wanted)
        = 0;
    /// Returns how long after grant() was called the call may still arrive.
    [[nodiscard]] virtual duration maxDeliveryDelay() const = 0;
};

/// The installation that a host runs in. What it returns lives as long as it does.
class environment {
public:
    virtual ~environment() = default;

    [[nodiscard]] virtual store::services& storeServices() = 0;
    /// Null if operators edit the CSV row of the store.
    [[nodiscard]] virtual table_source* tableSource() = 0;
    /// Null if targets take whole lists of slices.
    [[nodiscard]] virtual range_client* rangeClient() = 0;
    [[nodiscard]] virtual proxy::contract contract() const = 0;
    /// Makes this host known to the others before it serves.
    virtual void announce(const store::listed_host& self) = 0;
    /// Withdraws it when it has stopped.
    virtual void withdraw(const host_id& self) = 0;
};

/// Runs an entry host until SIGTERM or SIGINT, then drains it: reports itself unhealthy, hands its
/// services over, goes on accepting for the stated time and finishes every request in flight.
/// Returns the process's exit code. Throws failure if the host cannot start. Call once, from the
/// main thread, before any other thread was started.
int run(const settings::settings& values, environment& env);

/// Returns the surroundings in which the product's own protocols are spoken (docs/DESIGN.md). Fails
/// if the store's address is incomplete.
[[nodiscard]] result<std::unique_ptr<environment>> defaultEnvironment(
    const settings::store_settings& values);

} // namespace pimentomast::serve
