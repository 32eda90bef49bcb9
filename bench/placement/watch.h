#pragma once

#include "pimentomast/ownership.h"
#include "shared/senders.h"

/// The keys of a measured installation, and counters for changes of their owners.
namespace pimentomast::bench {

constexpr std::size_t keyCount = 2000;
inline const std::string service = "weights";

/// Draws keys by Zipf popularity; moveHotKeys() changes the ranks of all keys.
class keyspace {
public:
    keyspace();

    static std::string name(std::size_t index) { return "k" + std::to_string(index); }
    void moveHotKeys() { m_shift += keyCount / 7; }
    /// Returns a request for a key. Thread-safe.
    [[nodiscard]] test::http_call draw(std::mt19937_64& random) const;

private:
    std::discrete_distribution<std::size_t> m_ranks;
    std::atomic<std::size_t> m_shift = 0;
};

/// Counts the slices and keys that change owner in the assignment stored in the platform.
class move_counter {
public:
    explicit move_counter(const cluster& system);

    /// Reads the assignment and counts the moves since the previous call.
    void poll();
    [[nodiscard]] bool owns(const std::string& target) const;

    unsigned slicesMoved = 0;
    unsigned keysMoved = 0;
    std::size_t slicesMax = 0;

private:
    void compare(const ownership::assignment& before, const ownership::assignment& after);

    const cluster& m_system;
    std::vector<key_hash> m_keys;
    std::optional<ownership::assignment> m_last;
};

/// Returns the time within the span during which no target served a key, in seconds, summed over
/// the keys.
double unavailableKeySeconds(const cluster& system, std::int64_t fromUs, std::int64_t toUs);

} // namespace pimentomast::bench
