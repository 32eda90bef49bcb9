#pragma once

#include "pimentomast/balancing.h"
#include "wire.h"

#include <map>
#include <vector>

namespace pimentomast::serve::detail {

/// Counts what this host forwards for its keyed services, by slice and by key.
/// Pure; not thread-safe.
class load_meter {
public:
    /// Counts a request for a key; range is the slice that holds it.
    void count(instant now, const service_id& service, slice range, key_hash key);
    /// Returns the rates of one service since its last report, and starts a new interval.
    [[nodiscard]] wire::ServiceLoad report(instant now, const service_id& service);
    /// Returns the services that were counted at all.
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

/// Returns how long after a report of this size the next one is due, at least the shortest time, so
/// that a host's reports stay within their share of the bytes for control.
[[nodiscard]] duration reportInterval(std::size_t bytes, duration shortest);

/// The load of all hosts together over the hash space. Pure; concurrent reads are safe.
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
    /// Width of the widest part, so that a search knows how far back to look.
    std::uint64_t m_widest = 0;
};

/// Adds up the hosts' reports for one service, smoothed over time. Reports may be about slices as
/// they were before a cut or a join. Pure; not thread-safe.
class load_aggregator {
public:
    /// Takes a host's next report; what it reported before fades.
    void addReport(instant now, const host_id& host, const wire::ServiceLoad& load);
    /// Returns the requests per second of the keys in each range. Precondition: no two overlap.
    [[nodiscard]] std::vector<double> rates(instant now, const std::vector<slice>& ranges) const;
    [[nodiscard]] std::vector<balancing::hot_key> hotKeys(instant now) const;
    [[nodiscard]] load_profile profile(instant now) const;

private:
    struct report {
        instant at;
        /// How long after the report before it came.
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
