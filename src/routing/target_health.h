#pragma once

#include "latency.h"
#include "pimentomast/routing.h"

namespace pimentomast::routing {

/// Health of one target as observed by this host, and whether it is ejected.
class target_health {
public:
    struct limits {
        /// Time from when a target is added until its first probe.
        duration firstProbeDelay;
        duration probeInterval;
        duration backgroundProbeInterval;
        duration probeTimeout;
        duration ejectionMin;
        duration ejectionMax;
        duration slowStart;
    };

    target_health(const limits& bounds, instant added, instant slowStartBegin);

    void onAnswered(instant now, const answered& ended);
    /// An attempt failed in a way that a healthy target would not cause.
    void onFailure(instant now);

    /// jitter: factor of the time until the next probe.
    void onProbeStarted(instant now, double jitter);
    void onProbeAnswered(instant now);
    void onProbeFailed(instant now);
    /// Moves the next probe forward to now, or to the end of the minimum gap between probes.
    void requestProbe(instant now) noexcept;

    [[nodiscard]] bool probing() const noexcept { return m_probeStarted.has_value(); }
    [[nodiscard]] std::optional<instant> probeStarted() const noexcept { return m_probeStarted; }
    /// When the next probe, or the timeout of the running one, is due.
    [[nodiscard]] instant probeDue() const noexcept;

    void eject(instant now);
    [[nodiscard]] bool ejected() const noexcept { return m_ejectedUntil.has_value(); }
    /// Begins a slow start: the target's share grows from now on.
    void restart(instant now) noexcept { m_slowStartBegin = now; }
    /// Whether probes or requests indicate that the target does not serve.
    [[nodiscard]] bool failing() const noexcept;
    /// Smoothed share of answers that are server errors, from 0 to 1.
    [[nodiscard]] double errorShare() const noexcept { return m_errorShare; }
    [[nodiscard]] unsigned samples() const noexcept { return m_samples; }
    /// Smoothed share of attempts that did not fail, from 0 to 1.
    [[nodiscard]] double successShare() const noexcept { return m_successShare; }
    /// Share of the weight during slow start, from slowStartShareMin to 1.
    [[nodiscard]] double slowStartShare(instant now) const noexcept;
    [[nodiscard]] const latency_estimate& latency() const noexcept { return m_latency; }
    [[nodiscard]] const latency_estimate& firstByte() const noexcept { return m_firstByte; }

private:
    void endProbe(instant now);

    limits m_limits;
    instant m_slowStartBegin;
    latency_estimate m_latency;
    latency_estimate m_firstByte;
    double m_successShare = 1;
    double m_errorShare = 0;
    unsigned m_samples = 0;
    unsigned m_failuresInRow = 0;
    unsigned m_failedProbesInRow = 0;
    unsigned m_ejectionsInRow = 0;
    instant m_nextProbe;
    instant m_lastProbeEnd {};
    double m_jitter = 1;
    std::optional<instant> m_probeStarted;
    std::optional<instant> m_ejectedUntil;
};

} // namespace pimentomast::routing
