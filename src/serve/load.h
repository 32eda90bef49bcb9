#pragma once

#include "pimentomast/balancing.h"
#include "wire.h"

#include <map>
#include <numbers>
#include <vector>

namespace pimentomast::serve::detail {

/// Time after which a report's rates count half as much as newer ones.
inline constexpr std::chrono::milliseconds rateHalfLife { 1600 };
/// Time over which a plain average of rates varies as much as the smoothed one.
inline constexpr duration rateWindow = std::chrono::duration_cast<duration>(
    std::chrono::duration<double, std::milli>(rateHalfLife) * 2 / std::numbers::ln2);

/// Counts the requests that this host forwards to keyed services, by slice and by key. Does no I/O
/// and reads no clock; not thread-safe.
class load_meter {
public:
    /// Counts a request for a key; range is the slice that contains it.
    void count(instant now, const service_id& service, slice range, key_hash key);
    /// Returns the rates of one service since its last report, and starts a new interval.
    [[nodiscard]] wire::ServiceLoad report(instant now, const service_id& service);
    /// Returns the services for which requests were counted.
    [[nodiscard]] std::vector<service_id> services() const;

private:
    struct entry {
        balancing::sketch keys;
        std::map<slice, std::uint64_t> slices;
        instant since;
    };

    entry& find(instant now, const service_id& service);

    std::map<service_id, entry> m_services;
};

/// Returns how long after a report of this size the next one is due, at least shortest, so that a
/// host's reports stay within their share of the bandwidth for control traffic, and those of all
/// hosts within what a coordinator can take.
[[nodiscard]] duration reportInterval(std::size_t bytes, unsigned hosts, duration shortest);

/// Distribution of the total load of all hosts over the hash space. Concurrent
/// reads are safe.
class load_profile {
public:
    /// A range and its requests per second, spread evenly over it.
    struct part {
        slice range;
        double rate = 0;
    };

    explicit load_profile(std::vector<part> parts);
    /// Returns the requests per second of the range.
    [[nodiscard]] double rate(const slice& range) const;

private:
    /// Sorted by first hash.
    std::vector<part> m_parts;
    /// Width of the widest part, which bounds how far back a search starts.
    std::uint64_t m_widest = 0;
};

/// Adds up the hosts' reports for one service, smoothed over time. Reports may refer to slices as
/// they were before a split or merge. Does no I/O and reads no clock; not thread-safe.
class load_aggregator {
public:
    /// Adds a host's next report; the weight of its earlier reports decays exponentially.
    void addReport(instant now, const host_id& host, const wire::ServiceLoad& load);
    /// Returns the requests per second of the keys in each range. Precondition: no two overlap.
    [[nodiscard]] std::vector<double> rates(instant now, const std::vector<slice>& ranges) const;
    [[nodiscard]] std::vector<balancing::hot_key> hotKeys(instant now) const;
    [[nodiscard]] load_profile profile(instant now) const;

private:
    struct report {
        instant at;
        /// Time since the previous report, 0 if that was outdated.
        duration interval {};
        std::map<slice, double> slices;
        std::vector<balancing::hot_key> keys;
    };

    [[nodiscard]] static bool isFresh(const report& taken, instant now);
    [[nodiscard]] static double rateWithin(
        const report& taken, const slice& counted, double rate, const slice& range);

    std::map<host_id, report> m_reports;
};

} // namespace pimentomast::serve::detail
