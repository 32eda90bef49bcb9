#pragma once

namespace pimentomast::routing {

/// Token bucket that bounds retries to a share of the first attempts.
class retry_budget {
public:
    /// ratio: tokens per first attempt; burst: maximum and initial number of tokens.
    retry_budget(double ratio, double burst);

    void onFirstAttempt() noexcept;
    [[nodiscard]] bool allows() const noexcept { return m_tokens >= 1; }
    /// Spends a token; allows() must be true.
    void onRetry() noexcept { m_tokens -= 1; }

private:
    double m_ratio;
    double m_burst;
    double m_tokens;
};

} // namespace pimentomast::routing
