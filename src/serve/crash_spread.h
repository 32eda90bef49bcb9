#pragma once

#include "pimentomast/routing.h"

#include <vector>

namespace pimentomast::serve::detail {

/// Decides which crash records this host sends to the others and when.
///
/// New records of this host go to each other host once, in batches. What a message did not bring,
/// or a host did not know when it started, is found by comparing hashes of all records: they travel
/// as a whole only if both hashes have settled and differ. Not thread-safe.
class crash_spread {
public:
    /// Adds a record that this host made.
    void add(const routing::crash& record);
    /// Returns the records to be sent to every other host now.
    [[nodiscard]] std::vector<routing::crash> takeBatch(instant now);

    /// Returns the hash to be sent to a peer, 0 until it has settled. `own` is the hash of all
    /// records of this host.
    [[nodiscard]] std::uint64_t settledHash(instant now, std::uint64_t own);
    /// Returns whether a peer that sent this hash is to be sent all records.
    [[nodiscard]] bool sendsAll(instant now, std::uint64_t own, std::uint64_t ofPeer);

private:
    std::vector<routing::crash> m_new;
    instant m_nextBatch {};
    std::uint64_t m_lastHash = 0;
    instant m_hashSince {};
    instant m_nextAll {};
};

} // namespace pimentomast::serve::detail
