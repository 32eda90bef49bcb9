#pragma once

#include "pimentomast/balancing.h"
#include "shared/scenarios.h"

#include <map>
#include <random>

/// Keys and the policies that the planner is measured against.
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

/// Keys with Zipf popularity, of which the hottest ones change places over time.
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

    /// The hottest keys become cold and others take their rates.
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

/// Owner of a key by weighted rendezvous hashing.
target_id rendezvousOwner(key_hash key, const std::vector<placement_target>& targets);
/// Moves the hottest slice that fits from the most to the least loaded target, as long as it helps.
std::vector<proposal> greedyMoves(
    const std::vector<placed_slice>& slices, const std::vector<placement_target>& targets);
/// Highest load per weight of the ready targets over the mean.
double imbalanceOf(
    const std::map<target_id, double>& loads, const std::vector<placement_target>& targets);

} // namespace pimentomast::bench
