#pragma once

#include "pimentomast/balancing.h"
#include "shared/scenarios.h"

#include <map>
#include <random>

/// The simulated keys, and the policies that the planner is compared with.
namespace pimentomast::bench {

using namespace pimentomast::balancing;
using namespace std::chrono_literals;

constexpr std::size_t keyCount = 6000;
constexpr double requestsPerSecond = 2400;
constexpr double zipfExponent = 0.8;

struct key_load {
    key_hash hash;
    double rate = 0;
};

/// Keys with Zipf-distributed request rates; the hottest keys change over time.
class keyspace {
public:
    explicit keyspace(std::uint64_t seed)
        : m_random(seed)
    {
        double sum = 0;
        for (std::size_t i = 0; i < keyCount; ++i) {
            const double weight = 1 / std::pow(static_cast<double>(i + 1), zipfExponent);
            m_keys.push_back({ key_hash { m_random() }, weight });
            sum += weight;
        }
        for (key_load& each : m_keys)
            each.rate *= requestsPerSecond / sum;
    }

    /// Swaps the rates of the hottest keys with those of random colder keys.
    void moveHotKeys(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            std::swap(m_keys[i].hash, m_keys[count + m_random() % (keyCount - count)].hash);
    }
    [[nodiscard]] const std::vector<key_load>& keys() const { return m_keys; }

private:
    std::mt19937_64 m_random;
    std::vector<key_load> m_keys;
};

/// Returns the owner of a key by weighted rendezvous hashing; lost and leaving targets are skipped.
target_id rendezvousOwner(key_hash key, const std::vector<placement_target>& targets);
/// Returns up to 50 moves. Slices without a ready owner go to the least loaded target first. After
/// that, each move takes the hottest slice of the most loaded target whose load is below the gap
/// between the two targets.
std::vector<proposal> greedyMoves(
    const std::vector<placed_slice>& slices, const std::vector<placement_target>& targets);
/// Returns the highest load per weight among the ready targets, divided by their total load per
/// total weight.
double imbalanceOf(
    const std::map<target_id, double>& loads, const std::vector<placement_target>& targets);

} // namespace pimentomast::bench
