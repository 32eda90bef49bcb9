#pragma once

#include "pimentomast/routing.h"
#include "pimentomast/table.h"

#include <map>
#include <optional>
#include <vector>

namespace pimentomast::serve::detail {

/// Identifies a target in messages about speed: the lower half of the hash of its id. Targets with
/// the same hash share a factor.
using target_hash = strong<struct target_hash_tag, std::uint32_t>;

[[nodiscard]] target_hash hashOf(const target_id& id) noexcept;

/// Speeds of targets relative to the usual one of their service; a target that is missing has the
/// usual speed.
using hashed_factors = std::map<target_hash, double>;

/// What a host saw of a target since its last report.
struct hashed_sample {
    target_hash target;
    std::uint64_t answers = 0;
    duration total {};
    std::uint64_t rejections = 0;
};

/// Lowest and highest factor.
inline constexpr double speedFactorMin = 0.25;
inline constexpr double speedFactorMax = 4;

/// Returns the factor as a byte of a message: 128 for 1, 64 more for each doubling.
[[nodiscard]] std::uint8_t encodeFactor(double factor) noexcept;
[[nodiscard]] double decodeFactor(std::uint8_t encoded) noexcept;

/// Estimates the speed of targets from the samples of all hosts. Does no I/O and reads no clock;
/// not thread-safe.
class speed_estimator {
public:
    /// Sets the targets; samples of others are ignored.
    void setTargets(const std::map<target_hash, service_id>& targets);
    /// Forgets all samples and starts from these factors, which count less and less.
    void restart(instant now, const hashed_factors& factors);
    void add(const std::vector<hashed_sample>& samples);
    /// Ends a round: moves each factor towards what the samples show.
    void update(instant now);
    [[nodiscard]] hashed_factors factors() const;

private:
    struct estimate {
        service_id service;
        /// Sums that halve in each half-life.
        double answers = 0;
        double seconds = 0;
        double rejections = 0;
        /// Logarithm of the factor at the restart, and the number of answers that it counts as.
        double earlier = 0;
        double earlierAnswers = 0;
        /// Logarithm of the factor.
        double factor = 0;
    };

    void decay(duration elapsed);
    /// Returns the median over the service's targets of the mean time in seconds.
    [[nodiscard]] std::map<service_id, double> typicalTimes() const;
    [[nodiscard]] static double shownBy(const estimate& one, double typicalTime);

    std::map<target_hash, estimate> m_estimates;
    instant m_updated {};
};

/// The factors of all targets, as one host sends them to the others.
struct speed_message {
    host_id host;
    incarnation run;
    /// Rises each time that another host begins to collect.
    std::uint64_t term = 0;
    /// Rises with each message of a term.
    std::uint64_t number = 0;
    hashed_factors factors;
};

/// One host's part in sharing the speed of targets: the host that collects computes and sends the
/// factors, the others take them. Does no I/O and reads no clock; not thread-safe.
class shared_speed {
public:
    shared_speed(host_id self, incarnation run);

    void applyTable(const table::table& rows);
    /// Sets the host that collects, as this host sees it. Returns whether it is another one.
    bool setCollector(instant now, const host_id& collector);
    /// Adds samples of any host; ignored unless this host collects.
    void add(const std::vector<hashed_sample>& samples);
    /// Ends a round if one is due. Returns a message for all other hosts if this host collects and
    /// the factors changed noticeably, or hosts may have missed the last message.
    [[nodiscard]] std::optional<speed_message> tick(instant now);
    /// Takes the factors if the sender is the host that collects or a newer one. Returns whether it
    /// did.
    bool receive(instant now, const speed_message& message);
    /// Returns the factors to use. Those that were not confirmed for long decay to 1.
    [[nodiscard]] hashed_factors factors(instant now) const;
    [[nodiscard]] routing::speed_factors factorsByTarget(instant now) const;

private:
    [[nodiscard]] bool collects() const { return m_collector == m_self; }
    [[nodiscard]] bool isWorthSending(instant now, const hashed_factors& current) const;

    host_id m_self;
    incarnation m_run;
    host_id m_collector;
    std::map<target_id, target_hash> m_targets;
    speed_estimator m_estimator;
    instant m_nextRound {};
    /// Highest term that this host has seen or begun.
    std::uint64_t m_term = 0;
    std::uint64_t m_number = 0;
    hashed_factors m_sent;
    instant m_sentAt {};
    /// The last message taken.
    speed_message m_received;
    instant m_receivedAt {};
};

/// Factors for placement, where each change moves keys: a factor follows the shared one only once
/// they differ clearly. Not thread-safe.
class placement_factors {
public:
    void update(const routing::speed_factors& shared);
    [[nodiscard]] double of(const target_id& target) const;

private:
    routing::speed_factors m_used;
};

} // namespace pimentomast::serve::detail
