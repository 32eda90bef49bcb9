#include "warmup_quota.h"

#include <algorithm>
#include <cmath>

namespace pimentomast::routing {

namespace {

constexpr unsigned sendersMax = 5;
/// Hosts that may wrongly consider themselves senders, because their list of hosts differs.
constexpr unsigned senderMargin = 2;
constexpr double limitMax = 1e6;

std::uint64_t rank(const host_id& host, const target_id& target)
{
    return hashKey(host.value() + "\n" + target.value()).value();
}

} // namespace

warmup_share shareOf(double limit) noexcept
{
    if (!(limit >= senderMargin + 1))
        return {};
    const auto whole = static_cast<unsigned>(std::floor(std::min(limit, limitMax)));
    const unsigned senders = std::min(sendersMax, whole - senderMargin);
    return { senders, whole / (senders + senderMargin) };
}

void warmup_senders::setHosts(instant now, const host_id& self, std::vector<host_id> hosts)
{
    m_self = self;
    m_replaced.push_back({ now, std::move(m_hosts) });
    m_hosts = std::move(hosts);
}

bool warmup_senders::expire(instant now)
{
    const auto before = m_replaced.size();
    while (!m_replaced.empty() && m_replaced.front().until + hostListLag <= now)
        m_replaced.pop_front();
    return m_replaced.size() != before;
}

bool warmup_senders::isSender(const target_id& target, unsigned senders) const
{
    const auto own = rank(m_self, target);
    return ranksFirst(m_hosts, target, own, senders)
        && std::all_of(m_replaced.begin(), m_replaced.end(),
            [&](const auto& each) { return ranksFirst(each.hosts, target, own, senders); });
}

bool warmup_senders::ranksFirst(const std::vector<host_id>& hosts, const target_id& target,
    std::uint64_t own, unsigned senders) const
{
    if (!std::binary_search(hosts.begin(), hosts.end(), m_self))
        return false;
    unsigned ahead = 0;
    for (const auto& host : hosts) {
        const auto other = rank(host, target);
        if (other > own || (other == own && host < m_self))
            ++ahead;
        if (ahead >= senders)
            return false;
    }
    return true;
}

void warmup_quota::setLimit(double limit)
{
    m_limited = limit > 0;
    m_share = shareOf(limit);
    while (m_sent.size() > 2 * std::size_t { m_share.perSender })
        m_sent.pop_front();
}

bool warmup_quota::allows(instant now) const
{
    return now >= m_since + warmupWindow && taken(now) < m_share.perSender;
}

std::size_t warmup_quota::taken(instant now) const
{
    const auto oldest = std::upper_bound(m_sent.begin(), m_sent.end(), now - warmupWindow);
    return m_reserved + static_cast<std::size_t>(m_sent.end() - oldest);
}

instant warmup_quota::nextFree(instant now) const
{
    if (m_reserved >= m_share.perSender)
        return instant::max();
    const instant begin = std::max(now, m_since + warmupWindow);
    const std::size_t room = m_share.perSender - m_reserved;
    if (m_sent.size() < room)
        return begin;
    return std::max(begin, m_sent[m_sent.size() - room] + warmupWindow);
}

duration warmup_quota::waitBehind(instant now, std::size_t ahead) const
{
    if (m_share.perSender == 0)
        return duration::max();
    // What was dispatched is sent soon.
    const instant free = nextFree(now);
    const duration first = free == instant::max() ? warmupWindow : free - now;
    const std::size_t places = m_share.perSender;
    const auto used = taken(now);
    const std::size_t room = used < places ? places - used : 1;
    const auto windows = ahead < room ? 0 : 1 + (ahead - room) / places;
    return first + static_cast<duration::rep>(windows) * warmupWindow;
}

void warmup_quota::onSent(instant now)
{
    if (m_reserved > 0)
        --m_reserved;
    onSentAgain(now);
}

void warmup_quota::onSentAgain(instant now)
{
    if (m_share.perSender == 0)
        return;
    m_sent.push_back(now);
    if (m_sent.size() > 2 * std::size_t { m_share.perSender })
        m_sent.pop_front();
}

void warmup_quota::giveBack(instant sentAt)
{
    const auto found = std::find(m_sent.rbegin(), m_sent.rend(), sentAt);
    if (found != m_sent.rend())
        m_sent.erase(std::next(found).base());
}

} // namespace pimentomast::routing
