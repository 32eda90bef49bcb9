#include "crash_spread.h"

#include <utility>

namespace pimentomast::serve::detail {
namespace {

constexpr std::chrono::milliseconds batchInterval { 250 };
/// A hash that is unchanged for this long differs from a peer's only if a record is missing.
constexpr std::chrono::seconds settleTime { 2 };
/// Interval between messages with all records, so that many peers don't ask for them at once.
constexpr std::chrono::seconds allInterval { 1 };
/// Stands for a hash of no records, since 0 means that a hash has not settled.
constexpr std::uint64_t emptyHash = 1;

} // namespace

void crash_spread::add(const routing::crash& record) { m_new.push_back(record); }

std::vector<routing::crash> crash_spread::takeBatch(instant now)
{
    if (m_new.empty() || now < m_nextBatch)
        return {};
    m_nextBatch = now + batchInterval;
    return std::exchange(m_new, {});
}

std::uint64_t crash_spread::settledHash(instant now, std::uint64_t own)
{
    if (own != m_lastHash) {
        m_lastHash = own;
        m_hashSince = now;
    }
    if (now < m_hashSince + settleTime)
        return 0;
    return own == 0 ? emptyHash : own;
}

bool crash_spread::sendsAll(instant now, std::uint64_t own, std::uint64_t ofPeer)
{
    const std::uint64_t settled = settledHash(now, own);
    if (own == 0 || settled == 0 || ofPeer == 0 || settled == ofPeer || now < m_nextAll)
        return false;
    m_nextAll = now + allInterval;
    return true;
}

} // namespace pimentomast::serve::detail
