#pragma once

#include "pimentomast/peers.h"
#include "speed.h"

#include <mutex>

namespace pimentomast::serve::detail {

namespace wire = peers::wire;

/// Shares the speed of targets with the other hosts. Thread-safe; its lock is innermost.
class speed_sharing {
public:
    speed_sharing(const host_id& self, incarnation run)
        : m_shared(self, run)
    {
    }

    void applyTable(const table::table& rows);
    /// Sets and logs the host that collects, as this host sees it.
    void setCollector(instant now, const host_id& collector);
    /// Adds the samples in a host's report.
    void add(const wire::LoadReport& report);
    /// Returns the message to publish now, if there is one.
    [[nodiscard]] std::optional<wire::SpeedFactors> tick(instant now);
    /// Takes the factors that a host sent.
    void receive(instant now, const host_id& sender, const wire::SpeedFactors& message);
    [[nodiscard]] routing::speed_factors factors(instant now) const;

private:
    mutable std::mutex m_lock;
    shared_speed m_shared;
};

void addSamples(const std::vector<routing::speed_sample>& samples, wire::LoadReport& to);

} // namespace pimentomast::serve::detail
