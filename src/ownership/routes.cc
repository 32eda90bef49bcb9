#include "coordinator_impl.h"

#include <algorithm>

namespace pimentomast::ownership {

bool coordinator::impl::needsRouteLeases() const
{
    return std::any_of(m_targets.begin(), m_targets.end(),
        [](const auto& each) { return !each.second.row.checksTokens; });
}

void coordinator::impl::startRoutes(instant now)
{
    m_routes.clear();
    m_earlierRouteHosts.clear();
    m_leasableVersion = {};
    for (const auto& set : m_earlierWitnesses) {
        for (const auto& each : set)
            m_earlierRouteHosts.insert(each.host);
    }
    tickRoutes(now);
}

bool coordinator::impl::allRoutesConfirmed(instant now) const
{
    const auto& times = m_options.times;
    const auto own = std::all_of(m_routes.begin(), m_routes.end(), [&](const auto& each) {
        return each.second.confirmed >= m_assignment->version() || now >= each.second.leaseEnds;
    });
    const bool earlierLeasesEnded = m_earlierRenewalsEnded
        && now >= m_earlierAuthorityEnds + times.routeLease + times.clockMargin;
    if (!own || earlierLeasesEnded)
        return own;
    return std::all_of(
        m_earlierRouteHosts.begin(), m_earlierRouteHosts.end(), [&](const auto& host) {
            const auto found = m_routes.find(host);
            return found != m_routes.end() && found->second.confirmed >= m_assignment->version();
        });
}

void coordinator::impl::tickRoutes(instant now)
{
    if (!needsRouteLeases() || !hasAuthority(now))
        return;
    if (allRoutesConfirmed(now))
        m_leasableVersion = m_assignment->version();
    for (const auto& each : liveHosts())
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
    message.request = m_ids.nextRequest();
    state.lastSent = message.request;
    message.host = host.host;
    message.run = state.run;
    // A host that lacks the newest assignment gets no lease, so that its older lease expires. One
    // that has it keeps its lease of the previous version while requests to older owners are in
    // flight, since these would outlast the lease. A host that the row does not name gets no lease,
    // so that a new coordinator knows which hosts to ask.
    const bool isCurrent = state.known >= m_assignment->version();
    const bool named = std::any_of(m_row.witnesses.begin(), m_row.witnesses.end(),
        [&](const auto& each) { return each.host == host.host; });
    if (isCurrent && named && state.run != incarnation {}) {
        message.version = m_leasableVersion;
        message.echoUs = state.clockUs;
        message.lease = times.routeLease;
        const auto ends = state.clockReceived + times.routeLease + times.clockMargin;
        state.leaseEnds = std::max(state.leaseEnds, instant { ends });
    }
    m_actions.push_back(message);
}

void coordinator::impl::on(instant now, const route_acknowledged& received)
{
    const auto found = m_routes.find(received.host);
    if (found == m_routes.end() || received.request <= found->second.lastAnswered)
        return;
    auto& state = found->second;
    state.lastAnswered = received.request;
    if (state.run != received.run) {
        // A restarted host has no lease.
        state.run = received.run;
        state.lastAnswered = state.lastSent;
        state.leaseEnds = now;
    }
    state.clockUs = received.clockUs;
    state.clockReceived = now;
    state.confirmed = received.version;
    state.known = std::max(received.known, received.version);
}

} // namespace pimentomast::ownership
