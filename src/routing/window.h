#pragma once

#include "pimentomast/routing.h"

namespace pimentomast::routing {

/// Requests that this host may have in flight at one target, learned from shed answers.
///
/// An answer makes the window grow by a factor of 1 + growth, a shed answer shrinks it by decrease,
/// so it settles where the shed part of the attempts is growth / (growth + 1 - decrease), whatever
/// the number of hosts. A small constant growth pulls the windows of several hosts together (D.-M.
/// Chiu, R. Jain, "Analysis of the increase and decrease algorithms for congestion avoidance in
/// computer networks", 1989). A fraction f of a request is granted as one request per 1/f times the
/// usual latency.
class window {
public:
    struct limits {
        double growth = 0.6;
        double decrease = 0.85;
        double floodGrowth = 0.05;
        double floodDecrease = 0.5;
        double min = 0.1;
        double max = 4;
    };

    explicit window(const limits& bounds);

    /// Changes the bounds, for example with the target's slots or the number of hosts.
    void setBounds(double min, double max) noexcept;
    /// Tells whether one more request may start now. latency: the target's usual one.
    [[nodiscard]] bool allows(instant now, unsigned outstanding, duration latency) const noexcept;
    /// Returns when a fractional request may start if nothing else ends; instant::max() if none.
    [[nodiscard]] instant nextFraction(unsigned outstanding, duration latency) const noexcept;
    void onDispatch(instant now, unsigned outstanding) noexcept;
    /// flooding: the request's caller sends far more than others.
    void onAnswered(bool flooding) noexcept;
    void onShed(bool flooding) noexcept;
    /// In place of onAnswered() for targets that do not tell their load: grows while answers take
    /// about as long as they take at an idle target, and shrinks when they wait there (L. Brakmo,
    /// S. O'Malley, L. Peterson, "TCP Vegas", SIGCOMM 1994, uses the same sign of a queue).
    void onLatency(duration latency) noexcept;

    [[nodiscard]] double size() const noexcept { return m_size; }

private:
    limits m_limits;
    double m_size;
    /// Low quantile of the latency, and its mean; 0 while nothing is known.
    double m_lowQuantileUs = 0;
    double m_meanUs = 0;
    instant m_lastFraction {};
};

} // namespace pimentomast::routing
