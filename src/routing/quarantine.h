#pragma once

#include "pimentomast/routing.h"

#include <map>
#include <set>

namespace pimentomast::routing {

/// Identifies requests that crash targets.
///
/// Each ended run of a target is one crash; the fingerprints in flight at its end are its suspects.
/// A fingerprint is the culprit if it was in flight at limits::crashes crashes or more, one after
/// another, and at more of them than any other suspect of them; these crashes then count against no
/// other fingerprint. Crashes of targets at which it was in flight at the same time count as one:
/// they may have a common cause.
/// Suspects that share a crash and have equally many cannot be distinguished: none is the culprit
/// until one is in flight at another crash. If at least backgroundCrashes other crashes happened
/// within backgroundWindow without the fingerprint, targets also crash for other reasons, and one
/// more crash is required. A complete answer clears a suspect. Crashes are evaluated in the order
/// in which they happened, so later crashes do not revoke a refusal. The verdicts depend only on
/// the set of crashes: hosts that know the same crashes agree, regardless of order and repetition.
class quarantine {
public:
    struct limits {
        unsigned crashes = 2;
        unsigned backgroundCrashes = 2;
        duration backgroundWindow = std::chrono::seconds(60);
        duration expiry = std::chrono::minutes(10);
    };
    enum class verdict {
        Clear,
        Suspected,
        Refused,
    };

    explicit quarantine(const limits& bounds);

    /// Adds crashes and clearings; returns those that were neither known nor outdated.
    std::vector<crash> add(const std::vector<crash>& records);
    /// Clears a fingerprint of all crashes up to now. Returns the record of it, whose number is the
    /// given one or, so that other hosts prefer it to the last clearing, a higher one.
    crash clear(instant now, fingerprint requestFingerprint, clearing_id number);
    /// Adds the end of a run without naming a suspect.
    void addUnattributed(instant now, const target_id& target, incarnation run);
    /// Removes expired crashes and forgivenesses.
    void expire(instant now);
    [[nodiscard]] verdict verdictOf(fingerprint requestFingerprint) const;
    [[nodiscard]] bool empty() const noexcept { return m_verdicts.empty(); }
    /// All crashes and clearings that have not expired, without crashes that a clearing covers.
    [[nodiscard]] std::vector<crash> all() const;
    /// A hash of all(), without the times; 0 if there is nothing.
    [[nodiscard]] std::uint64_t hash() const noexcept { return m_hash; }
    /// All fingerprints with a verdict other than Clear, sorted.
    [[nodiscard]] std::vector<suspect> suspects() const;

private:
    struct run_id {
        target_id target;
        incarnation run;
        auto operator<=>(const run_id&) const = default;
    };
    using flight = std::optional<flight_time>;
    struct ended_run {
        instant at;
        std::map<fingerprint, flight> suspects;
    };
    struct cleared {
        instant at;
        clearing_id number;
    };
    using run_set = std::set<run_id>;
    using suspicion_map = std::map<fingerprint, run_set>;

    bool addCrash(const crash& record);
    bool addClearing(const crash& record);
    void setCleared(fingerprint requestFingerprint, const cleared& by);
    /// Whether the clearing takes the place of the one that is known, if any.
    [[nodiscard]] bool isNewer(const crash& clearing) const;
    [[nodiscard]] bool forgiven(fingerprint requestFingerprint, instant at) const;
    [[nodiscard]] std::vector<run_id> runsInOrder() const;
    void addSuspects(const run_id& id, suspicion_map& unattributed, run_set& attributed) const;
    void markCulprit(fingerprint culprit, suspicion_map& unattributed, run_set& attributed);
    [[nodiscard]] std::size_t backgroundOf(const run_set& own, const run_set& attributed) const;
    /// Returns at how many of the runs' ends the fingerprint was in flight one after another.
    [[nodiscard]] std::size_t successiveRuns(
        fingerprint requestFingerprint, const run_set& own) const;
    [[nodiscard]] bool isCulprit(
        fingerprint requestFingerprint, const run_set& own, const run_set& attributed) const;
    [[nodiscard]] bool hasEqualSuspect(const suspicion_map& unattributed,
        fingerprint requestFingerprint, const run_set& own) const;
    [[nodiscard]] bool isFoundCulprit(const suspicion_map& unattributed, const run_set& attributed,
        fingerprint requestFingerprint) const;
    [[nodiscard]] std::optional<fingerprint> findCulprit(
        const suspicion_map& unattributed, const run_set& attributed) const;
    [[nodiscard]] std::optional<fingerprint> findCulpritOf(
        const run_id& id, const suspicion_map& unattributed, const run_set& attributed) const;
    void recomputeVerdicts();
    void recomputeHash();

    limits m_limits;
    std::map<run_id, ended_run> m_runs;
    std::map<fingerprint, cleared> m_cleared;
    std::map<fingerprint, verdict> m_verdicts;
    std::uint64_t m_hash = 0;
};

} // namespace pimentomast::routing
