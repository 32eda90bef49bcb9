#pragma once

#include "coordinator_state.h"
#include "row_writer.h"

namespace pimentomast::ownership {

class coordinator::impl {
public:
    using actions = detail::actions;

    explicit impl(const coordinator_options& options);

    void step(instant now, const event& received);
    actions takeActions() { return std::exchange(m_actions, {}); }

    role currentRole() const noexcept { return m_role; }
    bool hasAuthority(instant now) const noexcept;
    epoch currentEpoch() const noexcept;
    const assignment* current() const noexcept;
    std::vector<target_view> targets(instant now) const;
    std::size_t runningMoves() const noexcept { return m_moves.size(); }
    std::vector<wanted_slice> moving() const;

private:
    // Events.
    void on(instant now, const tick& received);
    void on(instant now, const row_read& received);
    void on(instant now, const row_read_failed& received);
    void on(instant now, const write_finished& received);
    void on(instant now, const target_acknowledged& received);
    void on(instant now, const target_refused& received);
    void on(instant now, const target_failed& received);
    void on(instant now, const witness_answered& received);
    void on(instant now, const witness_asked& received);
    void on(instant now, const hold_answered& received);
    void on(instant now, const route_acknowledged& received);
    void on(instant now, const table_changed& received);
    void on(instant now, const membership_changed& received);
    void on(instant now, const placement_wanted& received);
    void on(instant now, const store_restored& received);
    void on(instant now, const stop& received);
    bool hasNewTarget(const std::vector<table::target_row>& rows) const;

    // Standby (authority.cc).
    void tickStandby(instant now);
    void poll(instant now);
    void observe(instant now, const std::optional<store::row>& row);
    void forgetObservation() noexcept;
    std::optional<coordinator_row> recordRow(const std::optional<store::row>& row);
    void answerQueries();
    std::size_t challengeRank() const;
    bool hasSettled(instant now) const;
    /// Whether the run that holds the coordinator row has ended.
    bool observedHolderEnded() const;
    /// Whether the holder of the coordinator row asked this host to take over.
    bool isInvited() const;
    bool mayChallenge(instant now) const;
    void challenge(instant now);
    void changeRole(role next, const std::string& reason);
    void stepDown(instant now, const std::string& reason);

    // Eras of the store (eras.cc).
    void noteEra(instant now, const std::optional<store::row>& row);
    void noteEra(instant now, const store::write_outcome& outcome);
    /// Whether the epoch is of an era before the present one, so that later epochs may be lost.
    bool mayHaveLostSuccessors(epoch number) const noexcept;
    epoch nextEpoch() const;
    /// Whether no holder of a lost epoch can extend its authority any more.
    bool preventsLostQuorums() const;
    /// Whether grants must wait because targets may own slices by rows that are lost.
    bool withholdsGrants(instant now) const;

    // Authority (authority.cc).
    coordinator_row nextRow(instant now) const;
    std::vector<host_run> liveHosts() const;
    /// The live hosts, and those whose route lease is still valid.
    std::vector<host_run> namedWitnesses(instant now) const;
    void handleCoordinatorWrite(instant now, const detail::write_state& state);
    void onCoordinatorWritten(instant now, const detail::write_applied& done);
    void renew(instant now);
    void release(instant now);
    void tickStopping(instant now);

    // Witnesses (witness_rounds.cc).
    void tickWitnessRounds(instant now);
    void askWitnesses(instant now, const std::vector<std::vector<host_run>>& sets);
    std::vector<std::vector<host_run>> ownWitnessSets() const;
    bool hasOwnQuorums(const std::set<host_run>& agreed) const;
    /// Whether too few witnesses of each earlier holder do not know this epoch.
    bool preventsEarlierQuorums() const;
    /// Witnesses of earlier holders that are not known to have read this epoch.
    std::vector<host_run> uninformedWitnesses() const;
    void recordInformed(instant now, const host_id& witness);
    /// The host that is asked to take over because the store does not answer this one.
    std::optional<host_id> successorToAsk(instant now) const;
    void evaluateRound(const detail::witness_round& round);
    void endEarlierRenewals(instant now);
    bool authorityNearExpiry(instant now) const;
    /// When no grant of an earlier holder can still be in force.
    instant earlierLeasesEnd() const;

    // Takeover (takeover.cc).
    void beginTakeover(instant now);
    void tickTakeover(instant now);
    void readAssignment(instant now);
    void handleAssignmentRow(instant now, const std::optional<store::row>& row);
    void fence(instant now, const std::optional<store::row>& row);
    /// When the keys of a service without an assignment are dealt out.
    instant firstDealAt() const;
    /// Raises the tokens of undecided slices, or of all.
    void raiseTokens(bool all);
    void handleAssignmentWrite(instant now, const detail::write_state& state);
    void becomeHolder(instant now);

    // Grants (grants.cc).
    void tickTargets(instant now);
    void refreshTargets(instant now);
    detail::target_state& targetState(instant now, const target_id& id);
    /// Returns the request number of the message, or nothing if none could be sent.
    std::optional<request_number> sendGrant(instant now, detail::target_state& target);
    void fillSlices(const detail::target_state& target, grant_message& message) const;
    std::vector<granted_slice> slicesFor(const target_id& id) const;
    static std::vector<held_slice> heldSlices(
        const detail::target_state& target, const grant_reply& reply);
    std::vector<slice> withheldFrom(const target_id& id) const;
    std::optional<detail::sent_grant> removeOutstanding(
        detail::target_state& target, request_number request);
    /// Returns false if the answer to a later message has already been processed.
    bool applyReply(instant now, detail::target_state& target, request_number request,
        const grant_reply& reply);
    void markAdopted(instant now, detail::target_state& target);
    void restoreReturnedOwner(const target_id& owner);
    bool isReachable(const detail::target_state& target) const;
    bool isLost(instant now, const detail::target_state& target) const;
    instant leaseEnd(const detail::target_state& target) const;

    // Moves (moves.cc).
    void tickMoves(instant now);
    void handleLostOwners(instant now);
    void planWanted(instant now);
    void planMove(
        instant now, const slice& range, const target_id& from, const target_id& to, bool forced);
    bool mayPlanMoves(instant now) const;
    void planLeaving(instant now);
    void planLostSlices(instant now);
    bool isMoving(const slice& range) const;
    bool isMoving(const target_id& target) const;
    bool isPostponed(instant now, const slice& range) const;
    bool canOwn(const target_id& id) const;
    std::map<target_id, double> sharesPerWeight() const;
    std::optional<target_id> chooseNewOwner(
        const slice& range, const target_id& from, const std::map<target_id, double>& shares) const;
    void advance(instant now, detail::move& entry);
    static void startDrain(instant now, detail::move& entry);
    void sendDrains(instant now);
    bool isDrained(const detail::move& entry, request_number request) const;
    void noteDrained(instant now, const target_id& from, request_number request);
    static bool waitsForRow(const detail::move& entry);
    void cancelMove(instant now, detail::move& entry);
    /// Sends what was queued in this step: one message for each host and length of hold.
    void sendHolds();
    void sendMoveHolds();
    void queueHold(const slice& range, std::chrono::milliseconds hold);
    std::vector<request_number> askToHold(
        const std::vector<slice>& ranges, std::chrono::milliseconds hold);
    void eraseCancelled();

    // Handover (handover.cc).
    void inheritMoves(instant now);
    void adoptInherited(instant now, detail::move& entry);
    void resume(instant now, detail::move& entry);
    bool holds(const target_id& id, const slice& range) const;
    bool holdsNothingOf(const target_id& id, const slice& range) const;
    bool bothHoldNothing(const detail::move& entry) const;
    void chooseAnnouncedOwner(detail::move& entry) const;
    void promote(instant now);
    bool isAnnounced(const slice& range) const;
    bool withdrawStandbys();
    bool hasUndecidedSlices() const;
    sequence nextNumber() noexcept;

    // Commit (commit.cc).
    void commit(instant now);
    bool needsCommit(const std::vector<slice>& joins) const;
    void propose(instant now, const std::vector<slice>& joins);
    /// Whether most keys have lost their owners while targets are still joining, as after a restart
    /// of all targets: the first to return must not get them all.
    bool waitsForTargets(instant now) const;
    bool ownersChange() const;
    void onAssignmentWritten(instant now);
    void install(std::vector<owned_slice> slices);
    void grantAndPublish(instant now, const std::set<target_id>& gained);
    bool decideOwner(detail::move& entry, std::map<target_id, double>& shares) const;
    std::vector<slice> possibleJoins(instant now) const;
    void holdJoined();
    void revertProposedMoves(instant now);
    void noteGranted(const target_id& id, request_number request);
    void tickPublication(instant now);

    // Route leases (routes.cc).
    bool needsRouteLeases() const;
    void startRoutes(instant now);
    void tickRoutes(instant now);
    bool allRoutesConfirmed(instant now) const;
    void renewRoute(instant now, const host_run& host);

    coordinator_options m_options;
    detail::id_generator m_ids;
    /// Newest era of the store known here.
    std::uint64_t m_era = 0;
    /// Highest epoch that a target or a witness reported.
    epoch m_highestReported;
    /// What this host had granted when the store lost rows, if it knows that no other host has
    /// moved a slice. Used if it takes over again before any other host does.
    std::optional<assignment> m_remembered;
    /// The assignment in force continues m_remembered.
    bool m_continues = false;
    /// The hosts that were live when this host took over from a holder of a lost epoch.
    std::set<host_id> m_possibleWitnesses;
    witness m_witness;
    actions m_actions;
    role m_role = role::Standby;
    bool m_stopping = false;
    instant m_stopBegan {};
    std::vector<table::target_row> m_tableRows;
    /// When a target was last added to the table.
    instant m_targetsGrew {};
    /// When the first of the targets was added that followed each other without a pause.
    instant m_growthBegan {};
    std::vector<host_run> m_live;
    host_millicores m_millicores;
    /// Whether m_live contains every host that the platform lists.
    bool m_membershipComplete = true;
    std::optional<instant> m_firstTick;
    std::vector<wanted_slice> m_wanted;
    std::vector<slice> m_joins;

    // Observation of the coordinator row in the standby role.
    std::optional<request_number> m_pollRequest;
    instant m_pollSent {};
    instant m_nextPoll {};
    bool m_observing = false;
    instant m_observedSince {};
    instant m_lastRead {};
    row_version m_observedVersion;
    std::optional<coordinator_row> m_observedRow;
    std::vector<std::uint64_t> m_witnessQueries;
    /// The epoch whose holder asked this host to take over.
    std::optional<epoch> m_invitedBy;

    // The coordinator row as this host last wrote it, and as the pending write would change it.
    coordinator_row m_row;
    coordinator_row m_pendingRow;
    row_version m_rowVersion;
    detail::row_writer m_rowWriter;
    instant m_authorityUntil {};
    instant m_storeConfirmed {};
    instant m_nextRenewal {};
    bool m_releasing = false;

    // Earlier holders.
    instant m_takeoverTime {};
    /// Witnesses of every earlier holder that may still be active, as read when taking over.
    std::vector<std::vector<host_run>> m_earlierWitnesses;
    bool m_earlierRenewalsEnded = false;
    instant m_earlierAuthorityEnds {};
    /// Hosts of which a run has read this epoch and answered. That run never confirms a lower epoch
    /// again, and earlier runs of the host have ended, so the answers of all rounds count together.
    std::set<host_id> m_informed;
    /// The previous holder, if no other earlier holder may still be active.
    std::optional<host_id> m_onlyEarlierHolder;

    std::deque<detail::witness_round> m_rounds;
    instant m_nextRound {};

    // The assignment row.
    std::optional<request_number> m_assignmentRead;
    instant m_assignmentReadSent {};
    instant m_nextAssignmentRead {};
    detail::row_writer m_assignmentWriter;
    row_version m_assignmentVersion;
    std::optional<assignment> m_assignment;
    /// Slices of m_assignment by owner, to avoid a search over all slices for each target.
    std::map<target_id, std::vector<owned_slice>> m_ownedBy;
    assignment m_proposed;
    /// Highest number given to an assignment of this epoch, whether written or not.
    sequence m_lastNumber;
    /// Moves that were completed since the pending or the last write was started.
    std::vector<detail::move> m_unwrittenMoves;
    /// Whether the assignment must be published once the pending write has taken effect.
    bool m_publishAfterWrite = false;
    /// The row lacks completed moves or names standbys that were withdrawn.
    bool m_rowStale = false;
    /// Owners of slices that the pending write merges.
    std::set<target_id> m_joinedOwners;
    instant m_nextCommit {};

    std::map<target_id, detail::target_state> m_targets;
    sequence m_messageNumber;
    std::vector<detail::move> m_moves;
    std::vector<detail::postponed_move> m_postponed;
    /// Ranges to hold, by length of hold, that no message has been sent for yet.
    std::map<std::chrono::milliseconds, std::vector<slice>> m_queuedHolds;
    bool m_publicationDue = false;
    instant m_publishAt {};
    /// No publication before this time.
    instant m_nextPublication {};
    std::map<target_id, request_number> m_awaitedGrants;

    std::map<host_id, detail::route_state> m_routes;
    /// Hosts that an earlier holder may have given route leases.
    std::set<host_id> m_earlierRouteHosts;
    token m_leasableVersion;
};

} // namespace pimentomast::ownership
