#include "coordinator_impl.h"

#include <algorithm>

namespace pimentomast::ownership {

namespace {
std::vector<std::chrono::milliseconds> allTimes(const timings& times)
{
    return { times.targetLease, times.targetRenewal, times.authority, times.authorityRenewal,
        times.fastPoll, times.slowPoll, times.stagger, times.witnessRound, times.maxOutage,
        times.clockMargin, times.holdAnswer, times.drain, times.announce, times.retryMove,
        times.routeLease, times.storeTimeout, times.successorWait, times.settling,
        times.targetsSettling, times.firstDealDelay };
}

result<void> checkTimes(const timings& times)
{
    const std::string step = "check timings";
    for (const auto each : allTimes(times)) {
        if (each.count() <= 0)
            return error { step, "", "all timings must be positive" };
    }
    if (times.authorityRenewal * 2 > times.authority)
        return error { step, "", "authority must last at least two renewals" };
    if (times.targetRenewal * 3 > times.targetLease)
        return error { step, "", "target lease must last at least three renewals" };
    if (times.targetLease <= times.authority)
        return error { step, "", "target lease must be longer than authority" };
    return boost::outcome_v2::success();
}
} // namespace

coordinator::coordinator(std::unique_ptr<impl> state)
    : m_impl(std::move(state))
{
}

coordinator::coordinator(coordinator&&) noexcept = default;
coordinator& coordinator::operator=(coordinator&&) noexcept = default;
coordinator::~coordinator() = default;

result<coordinator> coordinator::create(const coordinator_options& options)
{
    if (options.service.value().empty() || options.self.host.value().empty())
        return error { "create coordinator", options.service.value(), "service or host is empty" };
    if (const auto checked = checkTimes(options.times); !checked)
        return checked.error();
    return coordinator(std::make_unique<impl>(options));
}

std::vector<action> coordinator::step(instant now, const event& received)
{
    m_impl->step(now, received);
    return m_impl->takeActions();
}

role coordinator::currentRole() const noexcept { return m_impl->currentRole(); }
bool coordinator::hasAuthority(instant now) const noexcept { return m_impl->hasAuthority(now); }
epoch coordinator::currentEpoch() const noexcept { return m_impl->currentEpoch(); }
const assignment* coordinator::current() const noexcept { return m_impl->current(); }
std::size_t coordinator::runningMoves() const noexcept { return m_impl->runningMoves(); }

std::vector<wanted_slice> coordinator::moving() const { return m_impl->moving(); }

std::vector<target_view> coordinator::targets(instant now) const { return m_impl->targets(now); }

coordinator::impl::impl(const coordinator_options& options)
    : m_options(options)
    , m_ids(options.self, options.service, options.seed)
    , m_witness(options.self.run)
    , m_rowWriter(coordinatorKey(options.service))
    , m_assignmentWriter(assignmentKey(options.service))
{
}

void coordinator::impl::step(instant now, const event& received)
{
    std::visit([&](const auto& each) { on(now, each); }, received);
    sendHolds();
}

epoch coordinator::impl::currentEpoch() const noexcept
{
    const bool holds = m_role == role::Holder || m_role == role::TakingOver;
    return holds ? m_row.number : m_witness.answer().highest.value_or(epoch {});
}

const assignment* coordinator::impl::current() const noexcept
{
    return m_role == role::Holder && m_assignment ? &*m_assignment : nullptr;
}

std::vector<target_view> coordinator::impl::targets(instant now) const
{
    std::vector<target_view> views;
    for (const auto& [id, state] : m_targets)
        views.push_back({ id, isReachable(state), leaseEnd(state) <= now, state.run, state.load });
    return views;
}

void coordinator::impl::on(instant now, const tick&)
{
    m_rowWriter.tick(now, m_options.times.storeTimeout, m_ids, m_actions);
    m_assignmentWriter.tick(now, m_options.times.storeTimeout, m_ids, m_actions);
    switch (m_role) {
    case role::Standby:
        tickStandby(now);
        break;
    case role::Challenger:
    case role::Stopped:
        break;
    case role::TakingOver:
        renew(now);
        tickWitnessRounds(now);
        tickTakeover(now);
        break;
    case role::Holder:
        renew(now);
        tickWitnessRounds(now);
        tickTargets(now);
        tickMoves(now);
        tickPublication(now);
        tickRoutes(now);
        break;
    }
    if (m_stopping)
        tickStopping(now);
}

void coordinator::impl::on(instant now, const row_read& received)
{
    noteEra(now, received.row);
    if (m_pollRequest == received.request) {
        m_pollRequest.reset();
        observe(now, received.row);
    } else if (m_assignmentRead == received.request) {
        m_assignmentRead.reset();
        handleAssignmentRow(now, received.row);
    } else {
        handleCoordinatorWrite(now, m_rowWriter.handle(now, received));
        handleAssignmentWrite(now, m_assignmentWriter.handle(now, received));
    }
}

void coordinator::impl::on(instant now, const row_read_failed& received)
{
    if (m_pollRequest == received.request) {
        m_pollRequest.reset();
        forgetObservation();
        answerQueries();
    } else if (m_assignmentRead == received.request) {
        m_assignmentRead.reset();
    } else {
        m_rowWriter.handle(now, received);
        m_assignmentWriter.handle(now, received);
    }
}

void coordinator::impl::on(instant now, const write_finished& received)
{
    noteEra(now, received.outcome);
    handleCoordinatorWrite(now, m_rowWriter.handle(now, received));
    handleAssignmentWrite(now, m_assignmentWriter.handle(now, received));
}

void coordinator::impl::on(instant now, const table_changed& received)
{
    if (hasNewTarget(received.targets)) {
        if (now >= m_targetsGrew + m_options.times.targetsSettling)
            m_growthBegan = now;
        m_targetsGrew = now;
    }
    m_tableRows = received.targets;
    if (m_role == role::Holder)
        refreshTargets(now);
}

bool coordinator::impl::hasNewTarget(const std::vector<table::target_row>& rows) const
{
    std::set<target_id> known;
    for (const auto& each : m_tableRows)
        known.insert(each.id);
    return std::any_of(
        rows.begin(), rows.end(), [&](const auto& each) { return !known.contains(each.id); });
}

void coordinator::impl::on(instant now, const membership_changed& received)
{
    const bool grown = received.live.size() > m_live.size();
    m_live = received.live;
    m_millicores = received.millicores;
    m_membershipComplete = received.complete;
    // A new host is named in the row at once, since more named witnesses tolerate more failures.
    if (grown)
        m_nextRenewal = std::min(m_nextRenewal, now);
}

void coordinator::impl::on(instant, const placement_wanted& received)
{
    m_wanted = received.slices;
    m_joins = received.joins;
}

void coordinator::impl::on(instant now, const stop&)
{
    m_stopping = true;
    m_stopBegan = now;
    if (m_role == role::Standby)
        changeRole(role::Stopped, "stopped");
    else
        tickStopping(now);
}

} // namespace pimentomast::ownership
