#include "pimentomast/membership.h"

#include <algorithm>
#include <cmath>

namespace pimentomast::membership {

namespace {
/// Upper bound of the random start of the round-robin order, which differs by host so that they do
/// not all call the same peers.
constexpr std::size_t maxFirstPeer = 1024;
/// Number of hosts up to which the contact timeout is as the options say.
constexpr double hostsOfContactTimeout = 64;
} // namespace

result<host_view> host_view::create(const view_options& options)
{
    const auto wrong = [](const char* reason) { return error { "create host view", "", reason }; };
    if (options.self.value().empty())
        return wrong("the host's id is empty");
    if (options.fanout == 0)
        return wrong("the fanout is 0");
    if (options.contactTimeoutMs.count() <= 0 || options.departureTimeoutMs.count() <= 0)
        return wrong("a timeout is not positive");
    return host_view(options);
}

host_view::host_view(view_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_nextPeer(m_random() % maxFirstPeer)
{
}

void host_view::replaceList(instant now, const std::vector<store::listed_host>& hosts)
{
    m_listRead = true;
    m_selfListed = false;
    for (auto& [id, known] : m_hosts)
        known.listed = false;
    for (const auto& host : hosts) {
        if (host.id == m_options.self) {
            m_selfListed = true;
            continue;
        }
        auto& known = m_hosts[host.id];
        known.listed = true;
        known.listedAt = now;
        known.peers = host.peers;
        known.millicores = host.millicores;
        // A peer's own announcement that it leaves is newer than the list, so the list never
        // revokes it.
        known.leaving = known.leaving || host.state == store::host_state::Leaving;
    }
    removeDeparted(now);
}

void host_view::recordContact(instant now, const peer_contact& seen)
{
    if (seen.id == m_options.self || seen.id.value().empty())
        return;
    auto& known = m_hosts[seen.id];
    const bool restarted = known.run != seen.run;
    known.run = seen.run;
    noteHeard(known, now);
    known.leaving = restarted ? seen.leaving : known.leaving || seen.leaving;
    if (seen.peers.port != 0)
        known.peers = seen.peers;
}

void host_view::mergeHeard(instant now, const std::vector<heard_host>& heard)
{
    for (const auto& each : heard) {
        const bool isRecent = each.ageMs.count() >= 0 && each.ageMs <= contactTimeout();
        const bool mayAdd = isRecent && each.peers.port != 0 && each.id != m_options.self;
        const auto found = mayAdd ? m_hosts.try_emplace(each.id).first : m_hosts.find(each.id);
        if (found == m_hosts.end() || each.ageMs.count() < 0)
            continue;
        auto& known = found->second;
        if (known.heardAt && known.run != each.run)
            continue;
        if (known.peers.port == 0) {
            known.peers = each.peers;
            known.millicores = each.millicores;
        }
        known.run = each.run;
        noteHeard(known, now - each.ageMs);
    }
}

void host_view::noteHeard(entry& known, instant at)
{
    if (!known.firstHeardAt)
        known.firstHeardAt = at;
    known.heardAt = std::max(known.heardAt.value_or(at), at);
}

bool host_view::isNews(const entry& known, instant now) const
{
    return known.firstHeardAt && now - *known.firstHeardAt <= m_options.newsTimeMs
        && known.peers.port != 0;
}

std::vector<heard_host> host_view::sampleHeard(instant now)
{
    std::vector<heard_host> news;
    std::vector<heard_host> others;
    for (const auto& [id, known] : m_hosts) {
        if (!heardRecently(known, now) || known.leaving)
            continue;
        // Rounded up, so that the age does not shrink as it is passed from peer to peer.
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *known.heardAt);
        if (isNews(known, now))
            news.push_back({ id, known.run, age, known.peers, known.millicores });
        else
            others.push_back({ id, known.run, age });
    }
    std::shuffle(news.begin(), news.end(), m_random);
    std::shuffle(others.begin(), others.end(), m_random);
    const std::size_t most = m_options.heardPerMessage;
    const auto room = most - std::min(most, others.size());
    news.resize(std::min(news.size(), std::max(room, most / 2)));
    others.resize(std::min(others.size(), most - news.size()));
    news.insert(news.end(), others.begin(), others.end());
    return news;
}

// Reports of many hosts take longer to reach each of them, as a message names a bounded number.
duration host_view::contactTimeout() const
{
    const double many = static_cast<double>(m_hosts.size()) / hostsOfContactTimeout;
    return std::chrono::duration_cast<duration>(
        m_options.contactTimeoutMs * std::sqrt(std::max(1.0, many)));
}

bool host_view::heardRecently(const entry& known, instant now) const
{
    return known.heardAt && now - *known.heardAt <= contactTimeout();
}

bool host_view::mayBeConnected(const entry& known, instant now) const
{
    const auto recent = [&](const std::optional<instant>& at) {
        return at && now - *at <= m_options.departureTimeoutMs;
    };
    return known.listed || recent(known.listedAt) || recent(known.heardAt);
}

void host_view::removeDeparted(instant now)
{
    std::erase_if(m_hosts, [&](const auto& host) { return !mayBeConnected(host.second, now); });
}

std::vector<member> host_view::live(instant now) const
{
    std::vector<member> members;
    if (!m_leaving)
        members.push_back({ m_options.self, m_options.run, {}, m_options.millicores });
    for (const auto& [id, known] : m_hosts) {
        if (!heardRecently(known, now) || known.leaving)
            continue;
        // Ranked by what is known alone, each host would be the first by its own view.
        const auto millicores = known.millicores != 0 ? known.millicores : m_options.millicores;
        members.push_back({ id, known.run, known.peers, millicores });
    }
    std::sort(members.begin(), members.end());
    return members;
}

bool host_view::complete(instant now) const
{
    return m_listRead && std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto& host) {
        const auto& known = host.second;
        return !known.listed || known.leaving || heardRecently(known, now);
    });
}

std::vector<host_id> host_view::listed() const
{
    std::vector<host_id> hosts;
    if (m_selfListed)
        hosts.push_back(m_options.self);
    for (const auto& [id, known] : m_hosts) {
        if (known.listed)
            hosts.push_back(id);
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

unsigned host_view::connectionSharers(instant now) const
{
    const auto sharers = std::count_if(m_hosts.begin(), m_hosts.end(),
        [&](const auto& host) { return mayBeConnected(host.second, now); });
    return static_cast<unsigned>(sharers) + 1;
}

std::vector<endpoint> host_view::exchangePeers(instant now)
{
    const auto known = allPeers(now);
    if (known.empty())
        return m_options.seeds;
    const auto count = std::min<std::size_t>(m_options.fanout, known.size());
    std::vector<endpoint> called;
    for (std::size_t i = 0; i < count; ++i)
        called.push_back(known[m_nextPeer++ % known.size()]);
    return called;
}

std::vector<endpoint> host_view::allPeers(instant now) const
{
    std::vector<endpoint> peers;
    for (const auto& [id, known] : m_hosts) {
        const bool wanted = known.listed || heardRecently(known, now);
        if (wanted && known.peers.port != 0)
            peers.push_back(known.peers);
    }
    return peers;
}

std::vector<relay_group> host_view::relayGroups(instant now)
{
    std::vector<relay_candidate> receivers;
    for (const auto& [id, known] : m_hosts) {
        const bool isLive = heardRecently(known, now);
        if ((known.listed || isLive) && known.peers.port != 0)
            receivers.push_back({ known.peers, known.millicores, isLive && !known.leaving });
    }
    return groupByRelay(std::move(receivers), m_random());
}

std::optional<endpoint> host_view::find(const host_id& id) const
{
    const auto found = m_hosts.find(id);
    if (found == m_hosts.end() || found->second.peers.port == 0)
        return {};
    return found->second.peers;
}

} // namespace pimentomast::membership
