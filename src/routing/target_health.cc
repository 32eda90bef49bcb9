#include "target_health.h"

#include <algorithm>

namespace pimentomast::routing {

namespace {

constexpr duration probeGap = std::chrono::milliseconds(100);
constexpr double shareGain = 0.1;
constexpr double slowStartShareMin = 0.1;
constexpr unsigned failuresInRowMax = 3;
constexpr unsigned failedProbesInRowMax = 2;
constexpr unsigned doublingsMax = 8;
constexpr int firstServerError = 500;

double smoothed(double share, double sample) { return share + shareGain * (sample - share); }

} // namespace

target_health::target_health(const limits& bounds, instant added, instant slowStartBegin)
    : m_limits(bounds)
    , m_slowStartBegin(slowStartBegin)
    , m_nextProbe(added + bounds.firstProbeDelay)
{
}

void target_health::onAnswered(instant now, const answered& ended)
{
    const bool isError = ended.status >= firstServerError;
    m_latency.add(ended.total);
    m_firstByte.add(ended.firstByte);
    m_errorShare = smoothed(m_errorShare, isError ? 1 : 0);
    m_successShare = smoothed(m_successShare, 1);
    m_failuresInRow = 0;
    ++m_samples;
    if (isError || ejected())
        return;
    m_failedProbesInRow = 0;
    if (slowStartShare(now) >= 1)
        m_ejectionsInRow = 0;
}

void target_health::onFailure(instant now)
{
    m_successShare = smoothed(m_successShare, 0);
    ++m_failuresInRow;
    requestProbe(now);
}

void target_health::onProbeStarted(instant now, double jitter)
{
    m_probeStarted = now;
    m_jitter = jitter;
}

void target_health::endProbe(instant now)
{
    const bool isHealthy = m_failedProbesInRow == 0 && !ejected();
    const duration interval = isHealthy ? m_limits.backgroundProbeInterval : m_limits.probeInterval;
    m_probeStarted.reset();
    m_lastProbeEnd = now;
    m_nextProbe = now + std::chrono::duration_cast<duration>(interval * m_jitter);
}

void target_health::onProbeAnswered(instant now)
{
    m_failedProbesInRow = 0;
    endProbe(now);
    if (!ejected() || now < *m_ejectedUntil)
        return;
    m_ejectedUntil.reset();
    m_failuresInRow = 0;
    m_errorShare = 0;
    m_samples = 0;
    m_successShare = 1;
    m_slowStartBegin = now;
}

void target_health::onProbeFailed(instant now)
{
    ++m_failedProbesInRow;
    endProbe(now);
}

void target_health::requestProbe(instant now) noexcept
{
    const instant earliest = std::max(now, m_lastProbeEnd + probeGap);
    m_nextProbe = std::min(m_nextProbe, earliest);
}

instant target_health::probeDue() const noexcept
{
    return m_probeStarted ? *m_probeStarted + m_limits.probeTimeout : m_nextProbe;
}

void target_health::eject(instant now)
{
    const auto doublings = std::min(m_ejectionsInRow, doublingsMax);
    const duration wait = std::min(m_limits.ejectionMax, m_limits.ejectionMin * (1U << doublings));
    m_ejectedUntil = now + wait;
    ++m_ejectionsInRow;
}

bool target_health::failing() const noexcept
{
    return m_failuresInRow >= failuresInRowMax || m_failedProbesInRow >= failedProbesInRowMax
        || (m_failuresInRow > 0 && m_failedProbesInRow > 0);
}

double target_health::slowStartShare(instant now) const noexcept
{
    if (m_limits.slowStart <= duration::zero())
        return 1;
    const double passed = std::chrono::duration<double>(now - m_slowStartBegin)
        / std::chrono::duration<double>(m_limits.slowStart);
    return std::clamp(passed, slowStartShareMin, 1.0);
}

} // namespace pimentomast::routing
