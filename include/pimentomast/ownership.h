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
/// Performs no I/O and reads no clock: events and the current time go in, actions come out. No
/// object is thread-safe; the user must serialise calls to one object.
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
    /// Incremented by each renewal of the holder's authority.
    std::uint64_t renewals = 0;
    /// The holder released its authority; any host may take over at once.
    bool released = false;
    /// Hosts that were live when the holder last wrote the row.
    std::vector<host_run> witnesses;
    /// Witnesses of earlier epochs whose holders may still extend their authority without the
    /// store.
    std::vector<std::vector<host_run>> earlier;
    /// The store lost rows, and the holder of a lost epoch, with witnesses that no row names, may
    /// still grant or have granted slices.
    bool lostEpochs = false;

    bool operator==(const coordinator_row&) const = default;
};

/// Returns the epoch below all that are given out while the store has this era, and above those of
/// earlier eras: rows with those may be lost, and none is given out twice. Leaves 65,536 epochs to
/// an era; a token of the platform (epoch x 2^24 + number) is below 2^53 up to the era 8,191.
[[nodiscard]] constexpr epoch epochFloor(std::uint64_t era) noexcept
{
    return epoch { era << 16U };
}

/// Returns the JSON text of the row.
[[nodiscard]] std::string format(const coordinator_row& value);
/// Parses the JSON text of the row.
[[nodiscard]] result<coordinator_row> parseCoordinatorRow(const std::string& text);
/// Returns the key of the row, coordinator/<service>.
[[nodiscard]] std::string coordinatorKey(const service_id& service);

// ---- Which host coordinates ----

/// Processor time that each host may use, in thousandths of a core; 0 for hosts that are missing.
using host_millicores = std::map<host_id, unsigned>;

/// Ranks the hosts for a service, the preferred one first: those with more processor time before
/// the others, since coordination costs grow with the targets, not with the host's own requests;
/// equal ones by rendezvous hashing, where the score is the hash of service and host. Duplicates
/// are dropped.
[[nodiscard]] std::vector<host_id> rankCoordinators(const service_id& service,
    std::span<const host_id> live, const host_millicores& millicores = {});
/// Returns the first host of that ranking, or nothing if no host is live.
[[nodiscard]] std::optional<host_id> preferredCoordinator(const service_id& service,
    std::span<const host_id> live, const host_millicores& millicores = {});

// ---- Witness ----

/// A host's answer to a witness query.
struct witness_answer {
    incarnation run;
    /// Highest epoch that this run itself read from the store; empty if it has read none.
    std::optional<epoch> highest;
};

/// Remembers the highest coordinator epoch of one service that this run read from the store.
class witness {
public:
    explicit witness(incarnation run)
        : m_answer { run, {} }
    {
    }

    /// Records an epoch. Precondition: it was read from the store, not received from a peer, or is
    /// the floor of an era that the store had.
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

/// Grants a target the slices that it may serve.
struct grant_message {
    service_id service;
    host_id host;
    epoch coordinator;
    sequence number;
    /// 0 while the target's incarnation is not known.
    incarnation target;
    /// Run of the target according to the table; 0 if the table does not state it.
    incarnation run;
    /// Version of the assignment that the slices were taken from.
    token version;
    /// Reading of the target's clock, in microseconds, at which the lease starts.
    std::uint64_t echoUs = 0;
    std::chrono::milliseconds lease { 0 };
    /// Installs the epoch only; the slices that the target holds stay unchanged.
    bool adopt = false;
    /// Number of an earlier message of this epoch whose slices are granted again; 0 if the slices
    /// are listed here.
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
    /// The target holds exactly the slices of the message with this number; 0 if held lists them.
    sequence repeats;
    std::vector<held_slice> held;
    /// Whether held includes the slices that earlier coordinators granted.
    bool heldComplete = true;
    target_load load;
};

// ---- Events ----

/// Timer event; must be sent at least every 50 ms.
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
/// Answer to send_grant: the target accepted the message (200).
struct target_acknowledged {
    request_number request;
    target_id target;
    grant_reply reply;
};
/// Answer to send_grant: the target refused the message (409). A refusal because of a higher epoch
/// contains that epoch; fields that are missing from the answer are 0.
struct target_refused {
    request_number request;
    target_id target;
    grant_reply reply;
};
/// Answer to send_grant: connection failure, timeout or malformed answer.
struct target_failed {
    request_number request;
    target_id target;
    /// False if nothing was sent, for example because an earlier message is still being carried
    /// out; then the failure says nothing of the target.
    bool sent = true;
};
/// Answer to ask_witness.
struct witness_answered {
    request_number request;
    host_id host;
    witness_answer answer;
};
/// Witness query of another host; answered by answer_witness with the same query number.
struct witness_asked {
    std::uint64_t query = 0;
    epoch asked;
    /// The holder of the epoch asks this host to take over, because the store does not answer it.
    bool takeOver = false;
};
/// Answer to hold_slices. Also sent if the host could not be reached, since holds are advisory.
struct hold_answered {
    request_number request;
    host_id host;
};
/// Answer to renew_route: the host's run, its own clock, and the version that it confirms.
/// Precondition: the host confirms a version only once no request that it forwarded to an older
/// owner of a slice is still in flight (see forwarded_requests); until then it confirms the
/// previous version.
struct route_acknowledged {
    request_number request;
    host_id host;
    incarnation run;
    std::uint64_t clockUs = 0;
    token version;
    /// Newest assignment that the host has; equal to version if a lower value is given.
    token known;
};
/// The targets of the service, from the operators' table.
struct table_changed {
    std::vector<table::target_row> targets;
};
/// The entry hosts that are known to be live.
struct membership_changed {
    std::vector<host_run> live;
    /// Whether live contains every host that the platform lists. A newly started host takes over
    /// no service until this is true or the settling time has passed, so that its coordinator row
    /// names the other hosts.
    bool complete = true;
    host_millicores millicores {};

    bool operator==(const membership_changed&) const = default;
};
struct wanted_slice {
    slice range;
    target_id owner;
};
/// Owners proposed by the balancing library; replaces the previous proposal. Ranges that are not
/// listed stay unchanged; a range that is part of a slice is split off.
struct placement_wanted {
    std::vector<wanted_slice> slices;
    /// Adjacent slices of one owner within each of these ranges are merged.
    std::vector<slice> joins;
};
/// The store has this era. A later one than the last: rows may be lost or older than they were.
struct store_restored {
    std::uint64_t era = 0;
};
/// This host shuts down: it releases its authority and never acquires it again.
struct stop { };

using event = std::variant<tick, row_read, row_read_failed, write_finished, target_acknowledged,
    target_refused, target_failed, witness_answered, witness_asked, hold_answered,
    route_acknowledged, table_changed, membership_changed, placement_wanted, store_restored, stop>;

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
    /// Name of the target's process, if the table states it: another process may now use the
    /// address.
    std::string instance {};
};
/// Ask a host for the highest epoch that it has read; answered by witness_answered, or not at all.
struct ask_witness {
    request_number request;
    host_id host;
    epoch asked;
    /// Also ask the host to take over.
    bool takeOver = false;
};
struct answer_witness {
    std::uint64_t query = 0;
    witness_answer answer;
};
/// Pass the assignment to this host's route table and send it to every other host.
struct publish_assignment {
    assignment value;
};
/// Ask a host (possibly this one) to hold new requests for the ranges; answered by hold_answered. A
/// hold of 0 ms releases them.
struct hold_slices {
    request_number request;
    host_id host;
    std::vector<slice> ranges;
    token version;
    std::chrono::milliseconds hold { 0 };
};
enum class role {
    Standby,
    /// Has written, or is about to write, a higher epoch.
    Challenger,
    /// Its epoch is in the coordinator row; it is taking over the assignment.
    TakingOver,
    Holder,
    Stopped,
};

/// Role change, for logs and counters. Stopped means that the handover has ended or timed out.
struct role_changed {
    role now = role::Standby;
    epoch number;
    std::string reason;
};

using action = std::variant<read_row, write_row, send_grant, ask_witness, answer_witness,
    publish_assignment, hold_slices, renew_route, role_changed>;

// ---- Coordinator ----

/// Timings of the protocol. All hosts of one installation must use the same values.
struct timings {
    /// Lease of a target, counted from the echoed reading of its clock.
    std::chrono::milliseconds targetLease { 1500 };
    std::chrono::milliseconds targetRenewal { 150 };
    /// Authority of a coordinator, counted from before its last successful write was sent.
    std::chrono::milliseconds authority { 700 };
    std::chrono::milliseconds authorityRenewal { 200 };
    /// Interval at which the first challengers read the coordinator row; the others use slowPoll.
    std::chrono::milliseconds fastPoll { 75 };
    std::chrono::milliseconds slowPoll { 500 };
    /// Additional delay of each challenger after the one ranked before it.
    std::chrono::milliseconds stagger { 200 };
    /// Interval between two rounds of witness queries.
    std::chrono::milliseconds witnessRound { 150 };
    /// Longest time for which a holder may extend its authority without the store.
    std::chrono::milliseconds maxOutage { 600000 };
    /// Added to every wait for the end of another process's lease; bounds the drift between clocks.
    std::chrono::milliseconds clockMargin { 20 };
    /// Time limits of a planned move: for the hosts' answers, and for the old owner to drain.
    std::chrono::milliseconds holdAnswer { 50 };
    std::chrono::milliseconds drain { 1000 };
    /// Time after which drained keys return to their old owner if the row has not been written.
    std::chrono::milliseconds announce { 400 };
    std::chrono::milliseconds retryMove { 5000 };
    /// Route lease of a host, counted from the echoed reading of its clock.
    std::chrono::milliseconds routeLease { 1500 };
    /// Timeout of reads and writes of the store.
    std::chrono::milliseconds storeTimeout { 1000 };
    /// For how long a holder without the store asks one host to take over, before it asks the next.
    std::chrono::milliseconds successorWait { 500 };
    /// Longest time for which a newly started host waits until it has heard of all listed hosts.
    std::chrono::milliseconds settling { 1500 };
    /// Time without a new target after which the keys of a new service are dealt out.
    std::chrono::milliseconds targetsSettling { 1000 };
    /// Longest time for which the first deal waits for that.
    std::chrono::milliseconds firstDealDelay { 4000 };
};

struct coordinator_options {
    service_id service;
    host_run self;
    /// Initial value of the counter for write ids; differs for each run of a host.
    std::uint64_t seed = 0;
    timings times;
    /// Number of hashes that one key covers; slices are split only between keys.
    std::uint64_t keyWidth = 1;
};

/// What the coordinator knows about a target.
struct target_view {
    target_id id;
    /// Has acknowledged a recent message.
    bool reachable = false;
    /// No grant that was given to the target can still be in force.
    bool leaseExpired = true;
    incarnation run;
    target_load load;
};

/// One host's state in the coordination of one service: standby, challenger or holder.
class coordinator {
public:
    /// Fails if a timing is not positive or the timings are inconsistent.
    [[nodiscard]] static result<coordinator> create(const coordinator_options& options);

    coordinator(coordinator&&) noexcept;
    coordinator& operator=(coordinator&&) noexcept;
    ~coordinator();

    /// Processes an event and returns the actions to perform, in order. Precondition: now is read
    /// after the event arrived and never decreases; actions are sent after the call has returned.
    [[nodiscard]] std::vector<action> step(instant now, const event& received);

    [[nodiscard]] role currentRole() const noexcept;
    /// Whether grants may be sent at the given time.
    [[nodiscard]] bool hasAuthority(instant now) const noexcept;
    /// The epoch that this host holds, or the highest that it has read.
    [[nodiscard]] epoch currentEpoch() const noexcept;
    /// The assignment in force, or null if this host does not hold the service.
    [[nodiscard]] const assignment* current() const noexcept;
    /// The targets as known to the holder; empty in any other role.
    [[nodiscard]] std::vector<target_view> targets(instant now) const;
    [[nodiscard]] std::size_t runningMoves() const noexcept;
    /// The moves in progress whose new owner is known.
    [[nodiscard]] std::vector<wanted_slice> moving() const;

private:
    class impl;
    explicit coordinator(std::unique_ptr<impl> state);
    std::unique_ptr<impl> m_impl;
};

} // namespace pimentomast::ownership
