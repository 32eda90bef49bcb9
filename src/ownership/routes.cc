#include "coordinator_impl.h"

#include <algorithm>

namespace pimentomast::ownership {

bool coordinator::impl::needsRoutes() const
{
    return std::any_of(m_targets.begin(), m_targets.end(),
        [](const auto& each) { return !each.second.row.checksTokens; });
}

void coordinator::impl::startRoutes(instant now)
{
    m_routes.clear();
    m_earlierRoutes.clear();
    m_leasable = {};
    for (const auto& set : m_earlierWitnesses) {
        for (const auto& each : set)
            m_earlierRoutes.insert(each.host);
    }
    tickRoutes(now);
}

bool coordinator::impl::allRoutesConfirmed(instant now) const
{
    const auto& times = m_options.times;
    const auto own = std::all_of(m_routes.begin(), m_routes.end(), [&](const auto& each) {
        return each.second.confirmed >= m_assignment->version() || now >= each.second.leaseEnds;
    });
    const bool earlierEnded
        = m_earlierSeen && now >= m_earlierAuthorityEnds + times.routeLease + times.clockMargin;
    if (!own || earlierEnded)
        return own;
    return std::all_of(m_earlierRoutes.begin(), m_earlierRoutes.end(), [&](const auto& host) {
        const auto found = m_routes.find(host);
        return found != m_routes.end() && found->second.confirmed >= m_assignment->version();
    });
}

void coordinator::impl::tickRoutes(instant now)
{
    if (!needsRoutes() || !hasAuthority(now))
        return;
    if (allRoutesConfirmed(now))
        m_leasable = m_assignment->version();
    for (const auto& each : liveWitnesses())
        renewRoute(now, each);
}

void coordinator::impl::renewRoute(instant now, const host_run& host)
{
    auto& state = m_routes[host.host];
    if (now < state.nextSend)
        return;
    const auto& times = m_options.times;
    state.nextSend = now + times.targetRenewal;
    renew_route message;
    message.request = m_numbers.nextRequest();
    state.lastSent = message.request;
    message.host = host.host;
    message.run = state.run;
    // A host that lacks the newest assignment gets no lease, so that its older one runs out. One
    // that has it keeps its lease of the version before while requests to older owners run, since
    // these would outlast the lease. One that the row does not name gets none, so that a new
    // coordinator knows whom to ask.
    const bool isCurrent = state.known >= m_assignment->version();
    const bool named = std::any_of(m_row.witnesses.begin(), m_row.witnesses.end(),
        [&](const auto& each) { return each.host == host.host; });
    if (isCurrent && named && state.run != incarnation {}) {
        message.version = m_leasable;
        message.echoUs = state.clockUs;
        message.lease = times.routeLease;
        const auto ends = state.clockReceived + times.routeLease + times.clockMargin;
        state.leaseEnds = std::max(state.leaseEnds, instant { ends });
    }
    m_todo.push_back(message);
}

void coordinator::impl::on(instant now, const route_acknowledged& happened)
{
    const auto found = m_routes.find(happened.host);
    if (found == m_routes.end() || happened.request <= found->second.answered)
        return;
    auto& state = found->second;
    state.answered = happened.request;
    if (state.run != happened.run) {
        // A restarted host has no lease.
        state.run = happened.run;
        state.answered = state.lastSent;
        state.leaseEnds = now;
    }
    state.clockUs = happened.clockUs;
    state.clockReceived = now;
    state.confirmed = happened.version;
    state.known = std::max(happened.known, happened.version);
}

} // namespace pimentomast::ownership
