#pragma once

#include "pimentomast/core.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Who owns which keys, as the row tells it and as a host goes by it.
///
/// Everything here is pure. No object is thread-safe; calls to one object must be serialised by its
/// user.
namespace pimentomast::ownership {

// ---- The assignment of a service ----

/// A range of keys, the target that owns it and the token of that grant.
struct owned_slice {
    slice range;
    target_id owner;
    /// Raised whenever the slice changes its owner, and only then.
    token grant;
    /// Target that takes the slice over by a planned move. In the row it may own the slice already:
    /// a coordinator that finds it there grants the slice to nobody until earlier leases have
    /// ended.
    std::optional<target_id> standby;

    bool operator==(const owned_slice&) const = default;
};

/// The owners of all keys of one service; value of the row assignment/<service>. Its holder may be
/// ahead of the row by planned moves, whose new owners the row names as standbys.
struct assignment {
    service_id service;
    epoch coordinator;
    sequence number;
    /// Sorted, without gaps or overlaps, from hash 0 to the highest one.
    std::vector<owned_slice> slices;

    /// Returns epoch and sequence, by which assignments are ordered.
    [[nodiscard]] token version() const noexcept { return { coordinator, number }; }
    /// Returns the slice that contains the hash, or null if there is none (binary search).
    [[nodiscard]] const owned_slice* find(key_hash hash) const noexcept;
    bool operator==(const assignment&) const = default;
};

/// Checks that the slices cover the whole hash space once, in order, and that each has an owner and
/// a token no higher than the assignment's own version.
[[nodiscard]] result<void> check(const assignment& value);
/// Returns the JSON text of the row.
[[nodiscard]] std::string format(const assignment& value);
/// Parses and checks the JSON text of the row.
[[nodiscard]] result<assignment> parseAssignment(const std::string& text);
/// Returns the key of the row, assignment/<service>.
[[nodiscard]] std::string assignmentKey(const service_id& service);

// ---- Routes of a host ----

/// Identifies a request among the actions; its answer carries the same number.
using request_number = strong<struct request_number_tag, std::uint64_t>;

/// Renew a host's route lease (this host's too), for services with targets that do not check
/// tokens; answered by route_acknowledged, or not at all. Hosts pass it to route_table::renew.
struct renew_route {
    request_number request;
    host_id host;
    /// 0 while the host's incarnation is not known.
    incarnation run;
    token version;
    /// The host's clock reading, in microseconds, from which the lease runs.
    std::uint64_t echoUs = 0;
    std::chrono::milliseconds lease { 0 };
};

/// Where a request for a key goes.
struct route {
    target_id owner;
    token grant;
};
/// Nothing is known of the service's keys.
struct no_route { };
/// The key is about to move; ask again when the hold ends or a newer assignment arrives.
struct held_route {
    instant until;
};
/// The targets do not check tokens and this host's route lease has run out.
struct expired_route { };
using route_outcome = std::variant<route, no_route, held_route, expired_route>;

/// The newest assignment of one service on one host, with holds and the route lease.
class route_table {
public:
    /// Takes an assignment if its version is higher than the current one. A taken assignment ends
    /// the holds of lower versions.
    bool update(const assignment& newer);
    /// Returns the newest assignment, or null if there is none.
    [[nodiscard]] const assignment* current() const noexcept;
    /// Returns the version of the newest assignment, (0, 0) if there is none.
    [[nodiscard]] token version() const noexcept;

    /// Holds the slice until the given moment, unless an assignment of a version higher than the
    /// given one is already here. A moment that has passed releases the slice.
    void hold(slice range, token version, instant until);

    /// Whether requests need a route lease: some target of the service does not check tokens.
    void requireLease(bool required) noexcept { m_leaseRequired = required; }
    [[nodiscard]] bool leaseRequired() const noexcept { return m_leaseRequired; }
    /// Extends the route lease. It covers the slices whose token is not above its version. It is
    /// ignored if it is for another run of this host, an older epoch, or an assignment not yet
    /// here.
    void renew(const renew_route& message, incarnation self);

    /// Finds the owner of a key.
    [[nodiscard]] route_outcome find(key_hash hash, instant now) const;

private:
    struct held {
        slice range;
        token version;
        instant until;
    };

    std::optional<assignment> m_current;
    std::vector<held> m_holds;
    bool m_leaseRequired = false;
    token m_leaseVersion;
    instant m_leaseUntil {};
};

/// One attempt of one request of this host.
struct attempt_id {
    std::uint64_t request = 0;
    unsigned attempt = 0;

    auto operator<=>(const attempt_id&) const = default;
};

/// Requests of one service that this host forwarded and that may still run at their targets, for
/// services with targets that do not check tokens.
class forwarded_requests {
public:
    /// The attempt goes out to the key's owner.
    void begin(attempt_id attempt, key_hash key, const target_id& owner);
    /// The attempt was answered whole, or was certainly not run. Unknown ones are ignored.
    void end(attempt_id attempt);
    /// The attempt's connection was closed without a whole answer; the target may run it until then
    /// at most. Unknown ones are ignored.
    void giveUp(attempt_id attempt, instant until);
    /// Returns the version that this host may confirm: the assignment's own if it gives each key in
    /// flight to the target that was sent the request, otherwise the one that was returned last.
    /// Precondition: no assignment has a lower version than one passed before.
    [[nodiscard]] token confirm(instant now, const assignment& newest);

private:
    struct forwarded {
        key_hash key;
        target_id owner;
        instant until = instant::max();
    };

    std::map<attempt_id, forwarded> m_running;
    token m_confirmed;
};

} // namespace pimentomast::ownership
