#pragma once

#include "pimentomast/core.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Which target owns which keys, as stored in the assignment row and as used by a host for routing.
///
/// Performs no I/O and reads no clock. No object is thread-safe; the user must serialise calls to
/// one object.
namespace pimentomast::ownership {

// ---- The assignment of a service ----

/// A range of keys, the target that owns it and the token of that grant.
struct owned_slice {
    slice range;
    target_id owner;
    /// Increased whenever, and only when, the slice changes its owner.
    token grant;
    /// Target that takes over the slice in a planned move. A standby in the row may already own the
    /// slice: a new coordinator that reads it there grants the slice to no target until earlier
    /// leases have ended.
    std::optional<target_id> standby;

    bool operator==(const owned_slice&) const = default;
};

/// The owners of all keys of one service; value of the row assignment/<service>. The coordinator's
/// copy may be ahead of the row by planned moves, whose new owners the row names as standbys.
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
/// Parses and checks the JSON text of the row, also as earlier versions wrote it.
[[nodiscard]] result<assignment> parseAssignment(const std::string& text);
/// Returns the key of the row, assignment/<service>.
[[nodiscard]] std::string assignmentKey(const service_id& service);

// ---- Changes of an assignment ----

/// The slices that a newer assignment has in place of those of the base version.
struct assignment_change {
    service_id service;
    token base;
    token version;
    /// In order; they cover the changed ranges once.
    std::vector<owned_slice> slices;
};

/// Returns how to get from one assignment to a newer one of the same service.
[[nodiscard]] assignment_change difference(const assignment& from, const assignment& to);
/// Returns the newer assignment. Fails if from does not have the base version, or if the result
/// does not pass check().
[[nodiscard]] result<assignment> apply(const assignment& from, const assignment_change& change);

// ---- Routes of a host ----

/// Identifies an action that expects an answer; the answer contains the same number.
using request_number = strong<struct exchange_number_tag, std::uint64_t>;

/// Renew a host's route lease (possibly this host's), for services with targets that do not check
/// tokens; answered by route_acknowledged, or not at all. Hosts pass it to route_table::renew.
struct renew_route {
    request_number request;
    host_id host;
    /// 0 while the host's incarnation is not known.
    incarnation run;
    token version;
    /// Reading of the host's clock, in microseconds, at which the lease starts.
    std::uint64_t echoUs = 0;
    std::chrono::milliseconds lease { 0 };
};

/// Target to which a request for a key is forwarded, and the token of its grant.
struct route {
    target_id owner;
    token grant;
};
/// No assignment is known for the key.
struct no_route { };
/// The key is about to move; look it up again when the hold ends or a newer assignment arrives.
struct held_route {
    instant until;
};
/// The targets do not check tokens and this host's route lease has expired.
struct expired_route { };
using route_outcome = std::variant<route, no_route, held_route, expired_route>;

/// The newest assignment of one service on one host, with holds and the route lease.
class route_table {
public:
    /// Replaces the assignment if the given one has a higher version, and then ends the holds of
    /// keys that have got a higher token than the version of their hold, and those of older epochs.
    /// Returns whether it was replaced.
    bool replaceIfNewer(const assignment& newer);
    /// Returns the newest assignment, or null if there is none.
    [[nodiscard]] const assignment* current() const noexcept;
    /// Returns the version of the newest assignment, (0, 0) if there is none.
    [[nodiscard]] token version() const noexcept;

    /// Holds the keys of the slice until the given time or until they get a token above the given
    /// version, unless the table already has an assignment of a higher epoch. A time in the past
    /// releases the slice. Precondition: the time is less than a minute away.
    void hold(slice range, token version, instant until);

    /// Sets whether requests need a route lease. They do if a target of the service does not check
    /// tokens.
    void requireLease(bool required) noexcept { m_leaseRequired = required; }
    [[nodiscard]] bool leaseRequired() const noexcept { return m_leaseRequired; }
    /// Extends the route lease, which covers the slices whose token is not above its version.
    /// Ignores a message for another run of this host, an older epoch, or an assignment that this
    /// table does not have yet.
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

/// Requests of one service that this host forwarded and that may still be executing at their
/// targets, for services with targets that do not check tokens.
class forwarded_requests {
public:
    /// Records that the attempt is sent to the key's owner.
    void begin(attempt_id attempt, key_hash key, const target_id& owner);
    /// Records that the attempt was answered completely or was certainly not executed. Unknown
    /// attempts are ignored.
    void end(attempt_id attempt);
    /// Records that the attempt's connection was closed without a complete answer; the target may
    /// execute it until the given time at most. Unknown attempts are ignored.
    void giveUp(attempt_id attempt, instant until);
    /// Returns the version that this host may confirm: the version of the given assignment if it
    /// assigns the key of each request in flight to the target that received the request, otherwise
    /// the version returned last. Precondition: no assignment has a lower version than one passed
    /// before.
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
