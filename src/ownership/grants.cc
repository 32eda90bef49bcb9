#include "coordinator_impl.h"

#include <algorithm>

namespace pimentomast::ownership {

namespace {
constexpr std::size_t keptMessages = 16;
constexpr unsigned lostAfterMessages = 3;
constexpr std::chrono::milliseconds lostAfterMs { 450 };
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
        state.listed = false;
    for (const auto& each : m_assignment->slices)
        targetState(now, each.owner);
    for (const auto& row : m_rows) {
        auto& state = targetState(now, row.id);
        if (state.row.address != row.address) {
            // What runs at the new address is not known to be the old process.
            const auto lease = m_options.times.targetLease + m_options.times.clockMargin;
            state.leaseEnds = std::max(state.leaseEnds, now + lease);
            state.run = {};
            state.adopted = false;
        }
        state.row = row;
        state.listed = true;
    }
    std::erase_if(m_targets, [&](const auto& each) {
        return !each.second.listed && !m_ownedBy.contains(each.first) && !isMoving(each.first);
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
    message.adopt = !target.adopted || now >= runsOut;
    if (message.adopt) {
        target.agreed = {};
    } else {
        message.echoUs = target.clockUs;
        listSlices(target, message);
        target.leaseEnds = std::max(target.leaseEnds, instant { runsOut + times.clockMargin });
    }
    const auto request = m_numbers.nextRequest();
    if (target.unanswered++ == 0)
        target.unansweredSince = now;
    target.lastSent = request;
    target.nextSend = now + times.targetRenewal;
    const bool repeats = message.repeats != sequence {};
    target.outstanding.push_back(
        { request, message.adopt, message.number, repeats, message.slices });
    if (target.outstanding.size() > keptMessages)
        target.outstanding.pop_front();
    m_todo.push_back(send_grant {
        request, target.row.id, target.row.address, std::move(message), target.row.instance });
    return request;
}

void coordinator::impl::listSlices(const detail::target_state& target, grant_message& message) const
{
    auto slices = slicesFor(target.row.id);
    if (target.agreed != sequence {} && slices == target.agreedSlices)
        message.repeats = target.agreed;
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

std::optional<detail::sent_grant> coordinator::impl::takeOutstanding(
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

bool coordinator::impl::takeReply(
    instant now, detail::target_state& target, request_number request, const grant_reply& reply)
{
    if (request <= target.answered || reply.target.value() == 0)
        return false;
    target.answered = request;
    target.unanswered = 0;
    const bool restarted = target.run != reply.target;
    if (restarted) {
        target.run = reply.target;
        target.adopted = false;
        target.agreed = {};
        // Answers to what was sent before may come from the old run.
        target.answered = target.lastSent;
    }
    if (restarted || target.clockUs < reply.clockUs) {
        target.clockUs = reply.clockUs;
        target.clockReceived = now;
    }
    target.held = heldBy(target, reply);
    target.heldComplete = reply.heldComplete;
    target.load = reply.load;
    return true;
}

std::vector<held_slice> coordinator::impl::heldBy(
    const detail::target_state& target, const grant_reply& reply)
{
    if (reply.repeats == sequence {})
        return reply.held;
    // An answer about a list that is no longer known here tells nothing new.
    if (reply.repeats != target.agreed)
        return target.held;
    std::vector<held_slice> held;
    for (const auto& each : target.agreedSlices)
        held.push_back({ each.range, each.grant, false });
    return held;
}

void coordinator::impl::adopted(instant now, detail::target_state& target)
{
    target.adopted = true;
    const auto lease = m_options.times.targetLease + m_options.times.clockMargin;
    target.leaseEnds = target.held.empty() ? now : now + lease;
}

// An owner that was taken for lost answers before anybody else was given its slices.
void coordinator::impl::keepReturned(const target_id& owner)
{
    for (auto& each : m_moves) {
        if (each.from != owner || !each.byLoss || each.phase != detail::move_phase::Cleared)
            continue;
        each.givenUp = true;
        m_staleStandbys = m_staleStandbys || each.announced;
    }
    eraseGivenUp();
}

void coordinator::impl::on(instant now, const target_acknowledged& happened)
{
    const auto found = m_targets.find(happened.target);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    const auto sent = takeOutstanding(target, happened.request);
    if (!sent || !takeReply(now, target, happened.request, happened.reply))
        return;
    if (!target.adopted)
        adopted(now, target);
    keepReturned(target.row.id);
    if (sent->adopt) {
        sendGrant(now, target);
        return;
    }
    if (!sent->repeats) {
        target.agreed = sent->number;
        target.agreedSlices = sent->slices;
    }
    noteDrained(now, happened.target, happened.request);
    noteGranted(happened.target, happened.request);
    tickPublication(now);
}

void coordinator::impl::on(instant now, const target_refused& happened)
{
    const auto found = m_targets.find(happened.target);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    const auto sent = takeOutstanding(target, happened.request);
    if (!sent)
        return;
    if (m_row.number < happened.reply.highest) {
        stepDown(now, "a target has a higher epoch");
        return;
    }
    const auto before = target.run;
    const bool fresh = takeReply(now, target, happened.request, happened.reply);
    target.agreed = {};
    if (fresh && (target.run != before || sent->repeats))
        sendGrant(now, target);
}

void coordinator::impl::on(instant, const target_failed& happened)
{
    const auto found = m_targets.find(happened.target);
    if (found != m_targets.end())
        takeOutstanding(found->second, happened.request);
}

bool coordinator::impl::isReachable(const detail::target_state& target) const
{
    return target.adopted && target.unanswered < lostAfterMessages;
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
    return target.unanswered >= lostAfterMessages && now - target.unansweredSince >= lostAfterMs;
}

} // namespace pimentomast::ownership
