#pragma once

#include "pimentomast/assignment.h"
#include "pimentomast/store.h"
#include "pimentomast/table.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

/// Decides which target owns which keys: coordinator authority, grants, takeover and moves.
///
/// Everything here is pure: time and messages in, actions out. No object is thread-safe; calls to
/// one object must be serialised by its user.
namespace pimentomast::ownership {

// ---- Rows of the platform ----

/// One run of an entry host.
struct host_run {
    host_id host;
    incarnation run;

    auto operator<=>(const host_run&) const = default;
};

/// Who coordinates a service; value of the row coordinator/<service>.
struct coordinator_row {
    service_id service;
    epoch number;
    host_run holder;
    /// Raised by each renewal of the holder's authority.
    std::uint64_t renewals = 0;
    /// The holder gave its authority up; anyone may take over at once.
    bool released = false;
    /// Hosts that were live when the holder last wrote the row.
    std::vector<host_run> witnesses;
    /// Witnesses of earlier epochs whose holders may still go on without the store.
    std::vector<std::vector<host_run>> earlier;

    bool operator==(const coordinator_row&) const = default;
};

/// Returns the JSON text of the row.
[[nodiscard]] std::string format(const coordinator_row& value);
/// Parses the JSON text of the row.
[[nodiscard]] result<coordinator_row> parseCoordinatorRow(const std::string& text);
/// Returns the key of the row, coordinator/<service>.
[[nodiscard]] std::string coordinatorKey(const service_id& service);

// ---- Which host coordinates ----

/// Ranks the hosts for a service, the preferred one first, by rendezvous hashing: the score of a
/// host is the hash of service and host. Duplicates are dropped.
[[nodiscard]] std::vector<host_id> rankCoordinators(
    const service_id& service, std::span<const host_id> live);
/// Returns the first host of that ranking, or nothing if no host is live.
[[nodiscard]] std::optional<host_id> preferredCoordinator(
    const service_id& service, std::span<const host_id> live);

// ---- Witness ----

/// What a host answers when asked as a witness.
struct witness_answer {
    incarnation run;
    /// Highest epoch that this run itself read from the store; nothing if it has read none.
    std::optional<epoch> highest;
};

/// Remembers the highest coordinator epoch of one service that this run read from the store.
class witness {
public:
    explicit witness(incarnation run)
        : m_answer { run, {} }
    {
    }

    /// Records an epoch read from the store itself. Precondition: it was not heard from a peer.
    void recordRead(epoch seen) noexcept;
    [[nodiscard]] witness_answer answer() const noexcept { return m_answer; }

private:
    witness_answer m_answer;
};

// ---- Messages to targets ----

struct granted_slice {
    slice range;
    token grant;

    bool operator==(const granted_slice&) const = default;
};

/// What a target shall hold.
struct grant_message {
    service_id service;
    host_id host;
    epoch coordinator;
    sequence number;
    /// 0 while the target's incarnation is not known.
    incarnation target;
    /// Run that the table tells of the target; 0: it does not.
    incarnation run;
    /// Version of the assignment that the slices are from.
    token version;
    /// The target's clock reading, in microseconds, from which the lease runs.
    std::uint64_t echoUs = 0;
    std::chrono::milliseconds lease { 0 };
    /// Only installs the epoch; what the target holds stays as it is.
    bool adopt = false;
    /// Number of an earlier message of this epoch whose slices are granted again; 0: see slices.
    sequence repeats;
    std::vector<granted_slice> slices;
};

struct held_slice {
    slice range;
    token grant;
    bool draining = false;
};

struct target_load {
    unsigned running = 0;
    unsigned queued = 0;
    unsigned slots = 0;
};

/// A target's answer to a grant message.
struct grant_reply {
    incarnation target;
    std::uint64_t clockUs = 0;
    epoch highest;
    /// The target holds exactly the slices of the message with this number; 0: see held.
    sequence repeats;
    std::vector<held_slice> held;
    /// Whether held also has what the target was granted by earlier coordinators.
    bool heldComplete = true;
    target_load load;
};

// ---- Events ----

/// Time has passed. Send one at least every 50 ms.
struct tick { };
/// Answer to read_row.
struct row_read {
    request_number request;
    std::optional<store::row> row;
};
struct row_read_failed {
    request_number request;
};
/// Answer to write_row.
struct write_finished {
    request_number request;
    store::write_outcome outcome;
};
/// Answer to send_grant: the target took the message (200).
struct target_acknowledged {
    request_number request;
    target_id target;
    grant_reply reply;
};
/// Answer to send_grant: the target refused the message (409). A refusal because of a higher epoch
/// carries that epoch; fields that the answer lacked stay at 0.
struct target_refused {
    request_number request;
    target_id target;
    grant_reply reply;
};
/// Answer to send_grant: no connection, no answer in time, or an answer that makes no sense.
struct target_failed {
    request_number request;
    target_id target;
};
/// Answer to ask_witness.
struct witness_answered {
    request_number request;
    host_id host;
    witness_answer answer;
};
/// Another host asks this one; answered by answer_witness with the same query number.
struct witness_asked {
    std::uint64_t query = 0;
    epoch asked;
};
/// Answer to hold_slice. Send it too when the host could not be reached: holds are advisory.
struct hold_answered {
    request_number request;
    host_id host;
};
/// Answer to renew_route: the host's run, its own clock, and the version that it confirms.
/// Precondition: the host confirms a version only once no request that it forwarded to an older
/// owner of a slice is still in flight (see forwarded_requests); until then it names the version
/// before.
struct route_acknowledged {
    request_number request;
    host_id host;
    incarnation run;
    std::uint64_t clockUs = 0;
    token version;
    /// Newest assignment that the host has; lower than version: the same.
    token known;
};
/// The targets of the service, from the operators' table.
struct table_changed {
    std::vector<table::target_row> targets;
};
/// The entry hosts that are live as far as known.
struct membership_changed {
    std::vector<host_run> live;
    /// Whether each host that the platform lists is live. A host that has just started takes no
    /// service over before that or the settling time, so that its row names the others.
    bool complete = true;

    bool operator==(const membership_changed&) const = default;
};
struct wanted_slice {
    slice range;
    target_id owner;
};
/// Owners proposed by the balancing library, in place of what was proposed before. Ranges that are
/// not named stay as they are; a range that is a part of a slice is cut out of it.
struct placement_wanted {
    std::vector<wanted_slice> slices;
    /// Neighbouring slices of one owner within each range become one slice.
    std::vector<slice> joins;
};
/// This host shuts down: gives up authority and takes none again.
struct stop { };

using event = std::variant<tick, row_read, row_read_failed, write_finished, target_acknowledged,
    target_refused, target_failed, witness_answered, witness_asked, hold_answered,
    route_acknowledged, table_changed, membership_changed, placement_wanted, stop>;

// ---- Actions ----

/// Read a row of the platform; answered by row_read or row_read_failed.
struct read_row {
    request_number request;
    std::string key;
};
/// Write a row once, without retries; answered by write_finished.
struct write_row {
    request_number request;
    std::string key;
    row_version expected;
    std::string value;
    store::write_id writer;
};
/// Send a grant message; answered by target_acknowledged, target_refused or target_failed.
struct send_grant {
    request_number request;
    target_id target;
    endpoint address;
    grant_message message;
    /// Name of the target's process, where the table tells it: another one may have its address.
    std::string instance {};
};
/// Ask a host for the highest epoch that it read; answered by witness_answered, or not at all.
struct ask_witness {
    request_number request;
    host_id host;
    epoch asked;
};
struct answer_witness {
    std::uint64_t query = 0;
    witness_answer answer;
};
/// Give the assignment to this host's route table and to every other host.
struct publish_assignment {
    assignment value;
};
/// Ask a host (this one too) to hold new requests for a slice; answered by hold_answered. A hold of
/// 0 ms releases the slice again.
struct hold_slice {
    request_number request;
    host_id host;
    slice range;
    token version;
    std::chrono::milliseconds hold { 0 };
};
enum class role {
    Standby,
    /// Has written, or is about to write, a higher epoch.
    Challenger,
    /// Its epoch is in the row; the assignment is being taken over.
    TakingOver,
    Holder,
    Stopped,
};

/// The role changed; for logs and counters. Stopped: the hand-over is done, or given up.
struct role_changed {
    role now = role::Standby;
    epoch number;
    std::string reason;
};

using action = std::variant<read_row, write_row, send_grant, ask_witness, answer_witness,
    publish_assignment, hold_slice, renew_route, role_changed>;

// ---- Coordinator ----

/// Times of the protocol. All hosts of one installation must use the same values.
struct timings {
    /// A target's lease, from the echoed reading of its own clock.
    std::chrono::milliseconds targetLease { 1500 };
    std::chrono::milliseconds targetRenewal { 150 };
    /// Authority of a coordinator, from before its last successful write was sent.
    std::chrono::milliseconds authority { 700 };
    std::chrono::milliseconds authorityRenewal { 200 };
    /// How often the first challengers read the row; the others read it at slowPoll.
    std::chrono::milliseconds fastPoll { 75 };
    std::chrono::milliseconds slowPoll { 500 };
    /// Delay of each further challenger behind the one before it.
    std::chrono::milliseconds stagger { 200 };
    /// Between two rounds of questions to the witnesses.
    std::chrono::milliseconds witnessRound { 150 };
    /// How long a holder may go on without the store at most.
    std::chrono::milliseconds maxOutage { 600000 };
    /// Added to every wait for somebody else's lease: bounds the drift between two clocks.
    std::chrono::milliseconds clockMargin { 20 };
    /// A planned move waits this long for the hosts' answers, and for the old owner to drain.
    std::chrono::milliseconds holdAnswer { 50 };
    std::chrono::milliseconds drain { 1000 };
    /// After which keys that were given up go back to their old owner if the row is not written.
    std::chrono::milliseconds announce { 400 };
    std::chrono::milliseconds retryMove { 5000 };
    /// A host's route lease, from the echoed reading of its own clock.
    std::chrono::milliseconds routeLease { 1500 };
    /// Reads and writes of the store are given up after this.
    std::chrono::milliseconds storeTimeout { 1000 };
    /// How long a host that has just started waits at most until it has heard of all others.
    std::chrono::milliseconds settling { 1500 };
};

struct coordinator_options {
    service_id service;
    host_run self;
    /// Start of the counter that write ids are drawn from; differs for each run of a host.
    std::uint64_t seed = 0;
    timings times;
    /// Hashes that one key takes; slices are cut between keys only.
    std::uint64_t keyWidth = 1;
};

/// What the coordinator knows of a target.
struct target_view {
    target_id id;
    /// Acknowledged a message lately.
    bool reachable = false;
    /// No grant that it was given can still run.
    bool leaseExpired = true;
    incarnation run;
    target_load load;
};

/// One host's part in coordinating one service: standby, challenger or holder.
class coordinator {
public:
    /// Fails if a time is not positive or the times contradict each other.
    [[nodiscard]] static result<coordinator> create(const coordinator_options& options);

    coordinator(coordinator&&) noexcept;
    coordinator& operator=(coordinator&&) noexcept;
    ~coordinator();

    /// Takes an event and returns what is to be done, in this order. Precondition: now is read
    /// after the event arrived, and never goes back; actions are sent after the call returned.
    [[nodiscard]] std::vector<action> step(instant now, const event& received);

    [[nodiscard]] role currentRole() const noexcept;
    /// Whether grants may be sent at this moment.
    [[nodiscard]] bool hasAuthority(instant now) const noexcept;
    /// The epoch that this host holds, or the highest that it read.
    [[nodiscard]] epoch currentEpoch() const noexcept;
    /// The assignment in force, or null if this host does not hold the service.
    [[nodiscard]] const assignment* current() const noexcept;
    /// The targets as this holder sees them; empty in any other role.
    [[nodiscard]] std::vector<target_view> targets(instant now) const;
    [[nodiscard]] std::size_t runningMoves() const noexcept;
    /// The moves under way whose new owner is known.
    [[nodiscard]] std::vector<wanted_slice> moving() const;

private:
    class impl;
    explicit coordinator(std::unique_ptr<impl> state);
    std::unique_ptr<impl> m_impl;
};

} // namespace pimentomast::ownership
