#pragma once

#include "pimentomast/routing.h"

namespace pimentomast::routing {

/// Requests that this host may have in flight at one target, learned from shed answers.
///
/// Additive increase, multiplicative decrease (D.-M. Chiu, R. Jain, "Analysis of the increase and
/// decrease algorithms for congestion avoidance in computer networks", 1989). A fraction f of a
/// request is granted as one request per 1/f times the usual latency.
class window {
public:
    struct limits {
        double increase = 0.2;
        double decrease = 0.7;
        double min = 0.05;
        double max = 4;
    };

    explicit window(const limits& bounds);

    /// Changes the highest size, for example with the target's slots or its slow start.
    void limitTo(double max) noexcept;
    /// Tells whether one more request may start now. latency: the target's usual one.
    [[nodiscard]] bool allows(instant now, unsigned outstanding, duration latency) const noexcept;
    /// Returns when a fractional request may start if nothing else ends; instant::max() if none.
    [[nodiscard]] instant nextFraction(unsigned outstanding, duration latency) const noexcept;
    void onDispatch(instant now, unsigned outstanding) noexcept;
    /// outstanding: with the one that ended.
    void onAnswered(unsigned outstanding) noexcept;
    /// Shrinks at most once for the requests that were in flight together.
    void onShed(instant now, instant dispatched) noexcept;

    [[nodiscard]] double size() const noexcept { return m_size; }

private:
    limits m_limits;
    double m_size;
    instant m_lastFraction {};
    instant m_lastDecrease {};
};

} // namespace pimentomast::routing
