#pragma once

#include "pimentomast/routing.h"

namespace pimentomast::routing {

/// Limit on the requests that this host has in flight at one target, learned from shed answers.
///
/// An answer multiplies the window by 1 + growth, a shed answer by decrease, so it converges to a
/// size at which the shed share of the attempts is growth / (growth + 1 - decrease), regardless of
/// the number of hosts. A small additive growth makes the windows of several hosts converge (D.-M.
/// Chiu, R. Jain, "Analysis of the increase and decrease algorithms for congestion avoidance in
/// computer networks", 1989). A fraction f of a request is granted as one request per 1/f times the
/// target's smoothed latency.
class window {
public:
    struct limits {
        double growth = 0.6;
        double decrease = 0.85;
        double floodGrowth = 0.05;
        double floodDecrease = 0.5;
        double min = 0.1;
        double max = 4;
        /// Time in which the distance of a window below 1 from 1 halves while nothing is learned;
        /// 0: it stays. What a host that sends little to a target knows of its queue is soon
        /// outdated.
        duration halfLife {};
    };

    explicit window(const limits& bounds);

    /// Changes the bounds, for example when the target's slots or the number of hosts change.
    void setBounds(double min, double max) noexcept;
    /// Returns whether one more request may start now. latency: the target's smoothed latency.
    [[nodiscard]] bool allows(instant now, unsigned outstanding, duration latency) const noexcept;
    /// Returns when one more request may start if none ends before; instant::max() if only the end
    /// of a request makes room.
    [[nodiscard]] instant nextFraction(
        instant now, unsigned outstanding, duration latency) const noexcept;
    void onDispatch(instant now, unsigned outstanding) noexcept;
    /// flooding: the request's caller sends far more than others.
    void onAnswered(instant now, bool flooding) noexcept;
    void onShed(instant now, bool flooding) noexcept;
    /// Replaces onAnswered() for targets that do not report their load: the window grows while the
    /// latency is about that of an idle target and shrinks when requests queue there (L. Brakmo,
    /// S. O'Malley, L. Peterson, "TCP Vegas", SIGCOMM 1994, detects a queue in the same way).
    void onLatency(instant now, duration latency) noexcept;

    [[nodiscard]] double size(instant now) const noexcept;

private:
    /// Sets the size as learned now.
    void learn(instant now, double size) noexcept;

    limits m_limits;
    /// As of m_learnedAt.
    double m_size;
    instant m_learnedAt {};
    /// Low quantile of the latency, and its mean; 0 while nothing is known.
    double m_lowQuantileUs = 0;
    double m_meanUs = 0;
    instant m_lastFraction {};
};

} // namespace pimentomast::routing
