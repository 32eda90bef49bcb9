#include "coordinator_impl.h"

#include <algorithm>

namespace pimentomast::ownership {

namespace {
constexpr std::size_t maxOutstanding = 16;
constexpr unsigned lostAfterUnanswered = 3;
constexpr std::chrono::milliseconds lostAfterMs { 450 };
/// Delay before slices that a target is about to be published for are granted to it again.
constexpr std::chrono::milliseconds grantRetryMs { 25 };
} // namespace

detail::target_state& coordinator::impl::targetState(instant now, const target_id& id)
{
    auto [place, added] = m_targets.try_emplace(id);
    if (added) {
        place->second.row.id = id;
        place->second.nextSend = now;
    }
    return place->second;
}

void coordinator::impl::refreshTargets(instant now)
{
    for (auto& [id, state] : m_targets)
        state.inTable = false;
    for (const auto& each : m_assignment->slices)
        targetState(now, each.owner);
    for (const auto& row : m_tableRows) {
        auto& state = targetState(now, row.id);
        if (state.row.address != row.address) {
            // The process at the new address may differ from the old one.
            const auto lease = m_options.times.targetLease + m_options.times.clockMargin;
            state.leaseEnds = std::max(state.leaseEnds, now + lease);
            state.run = {};
            state.adopted = false;
        }
        state.row = row;
        state.inTable = true;
    }
    std::erase_if(m_targets, [&](const auto& each) {
        return !each.second.inTable && !m_ownedBy.contains(each.first) && !isMoving(each.first);
    });
}

void coordinator::impl::tickTargets(instant now)
{
    for (auto& [id, state] : m_targets) {
        if (now >= state.nextSend)
            sendGrant(now, state);
    }
}

std::optional<request_number> coordinator::impl::sendGrant(
    instant now, detail::target_state& target)
{
    if (!hasAuthority(now) || target.row.address.port == 0)
        return {};
    const auto& times = m_options.times;
    m_messageNumber = sequence { m_messageNumber.value() + 1 };
    grant_message message;
    message.service = m_options.service;
    message.host = m_options.self.host;
    message.coordinator = m_row.number;
    message.number = m_messageNumber;
    message.target = target.run;
    message.run = target.row.run;
    message.version = m_assignment->version();
    message.lease = times.targetLease;
    const auto runsOut = target.clockReceived + times.targetLease;
    message.adopt = !target.adopted || now >= runsOut || withholdsGrants(now);
    if (message.adopt) {
        target.acknowledgedNumber = {};
    } else {
        message.echoUs = target.clockUs;
        fillSlices(target, message);
        target.leaseEnds = std::max(target.leaseEnds, instant { runsOut + times.clockMargin });
    }
    const auto request = m_ids.nextRequest();
    if (target.unanswered++ == 0)
        target.unansweredSince = now;
    target.lastSent = request;
    target.nextSend = now + times.targetRenewal;
    const bool repeats = message.repeats != sequence {};
    target.outstanding.push_back(
        { request, message.adopt, message.number, repeats, message.slices });
    if (target.outstanding.size() > maxOutstanding)
        target.outstanding.pop_front();
    m_actions.push_back(send_grant {
        request, target.row.id, target.row.address, std::move(message), target.row.instance });
    return request;
}

void coordinator::impl::fillSlices(const detail::target_state& target, grant_message& message) const
{
    auto slices = slicesFor(target.row.id);
    if (target.acknowledgedNumber != sequence {} && slices == target.acknowledgedSlices)
        message.repeats = target.acknowledgedNumber;
    else
        message.slices = std::move(slices);
}

std::vector<slice> coordinator::impl::withheldFrom(const target_id& id) const
{
    std::vector<slice> ranges;
    for (const auto& each : m_moves) {
        if (each.from == id && each.phase != detail::move_phase::Holding)
            ranges.push_back(each.range);
    }
    return ranges;
}

std::vector<granted_slice> coordinator::impl::slicesFor(const target_id& id) const
{
    std::vector<granted_slice> granted;
    const auto owned = m_ownedBy.find(id);
    if (owned == m_ownedBy.end())
        return granted;
    const auto withheld = withheldFrom(id);
    for (const auto& each : owned->second) {
        for (const auto& part : subtract(each.range, withheld))
            granted.push_back({ part, each.grant });
    }
    return granted;
}

std::optional<detail::sent_grant> coordinator::impl::removeOutstanding(
    detail::target_state& target, request_number request)
{
    const auto found = std::find_if(target.outstanding.begin(), target.outstanding.end(),
        [&](const auto& each) { return each.request == request; });
    if (found == target.outstanding.end())
        return {};
    const auto sent = *found;
    target.outstanding.erase(found);
    return sent;
}

bool coordinator::impl::applyReply(
    instant now, detail::target_state& target, request_number request, const grant_reply& reply)
{
    if (request <= target.lastAnswered || reply.target.value() == 0)
        return false;
    target.lastAnswered = request;
    target.unanswered = 0;
    const bool restarted = target.run != reply.target;
    if (restarted) {
        target.run = reply.target;
        target.adopted = false;
        target.acknowledgedNumber = {};
        // Answers to earlier messages may come from the old run.
        target.lastAnswered = target.lastSent;
    }
    if (restarted || target.clockUs < reply.clockUs) {
        target.clockUs = reply.clockUs;
        target.clockReceived = now;
    }
    target.held = heldSlices(target, reply);
    target.heldComplete = reply.heldComplete;
    target.load = reply.load;
    return true;
}

std::vector<held_slice> coordinator::impl::heldSlices(
    const detail::target_state& target, const grant_reply& reply)
{
    if (reply.repeats == sequence {})
        return reply.held;
    // An answer that refers to a list that is no longer known contains no new information.
    if (reply.repeats != target.acknowledgedNumber)
        return target.held;
    std::vector<held_slice> held;
    for (const auto& each : target.acknowledgedSlices)
        held.push_back({ each.range, each.grant, false });
    return held;
}

void coordinator::impl::markAdopted(instant now, detail::target_state& target)
{
    target.adopted = true;
    const auto lease = m_options.times.targetLease + m_options.times.clockMargin;
    target.leaseEnds = target.held.empty() ? now : now + lease;
}

// An owner that was considered lost keeps its slices if it answers before they are granted to
// another target.
void coordinator::impl::restoreReturnedOwner(const target_id& owner)
{
    for (auto& each : m_moves) {
        if (each.from != owner || !each.ownerLost || each.phase != detail::move_phase::Cleared)
            continue;
        each.cancelled = true;
        m_rowStale = m_rowStale || each.announced;
    }
    eraseCancelled();
}

void coordinator::impl::on(instant now, const target_acknowledged& received)
{
    const auto found = m_targets.find(received.target);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    const auto sent = removeOutstanding(target, received.request);
    if (!sent || !applyReply(now, target, received.request, received.reply))
        return;
    if (!target.adopted)
        markAdopted(now, target);
    restoreReturnedOwner(target.row.id);
    if (sent->adopt) {
        if (!withholdsGrants(now))
            sendGrant(now, target);
        return;
    }
    if (!sent->repeats) {
        target.acknowledgedNumber = sent->number;
        target.acknowledgedSlices = sent->slices;
    }
    noteDrained(now, received.target, received.request);
    noteGranted(received.target, received.request);
    tickPublication(now);
}

void coordinator::impl::on(instant now, const target_refused& received)
{
    const auto found = m_targets.find(received.target);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    const auto sent = removeOutstanding(target, received.request);
    if (!sent)
        return;
    if (m_row.number < received.reply.highest) {
        m_highestReported = std::max(m_highestReported, received.reply.highest);
        stepDown(now, "a target reported a higher epoch");
        return;
    }
    const auto before = target.run;
    const bool fresh = applyReply(now, target, received.request, received.reply);
    target.acknowledgedNumber = {};
    if (fresh && (target.run != before || sent->repeats))
        sendGrant(now, target);
}

void coordinator::impl::on(instant now, const target_failed& received)
{
    const auto found = m_targets.find(received.target);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    if (!removeOutstanding(target, received.request))
        return;
    if (!received.sent && target.unanswered > 0)
        --target.unanswered;
    if (m_awaitedGrants.contains(received.target))
        target.nextSend = std::min(target.nextSend, instant { now + grantRetryMs });
}

bool coordinator::impl::isReachable(const detail::target_state& target) const
{
    return target.adopted && target.unanswered < lostAfterUnanswered;
}

instant coordinator::impl::leaseEnd(const detail::target_state& target) const
{
    return std::max(target.leaseEnds, earlierLeasesEnd());
}

bool coordinator::impl::isLost(instant now, const detail::target_state& target) const
{
    if (now < leaseEnd(target))
        return false;
    if (target.row.address.port == 0)
        return true;
    return target.unanswered >= lostAfterUnanswered && now - target.unansweredSince >= lostAfterMs;
}

} // namespace pimentomast::ownership
