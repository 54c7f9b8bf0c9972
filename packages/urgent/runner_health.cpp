#include "runner_health.h"

#include <algorithm>

namespace crocuswind {

namespace {

/// Weight of a new sample. About the last ten samples determine the average, because interference
/// changes within seconds.
constexpr double sampleWeight = 0.2;

/// A runner that reaches this many consecutive failures, or exceeds this smoothed failure rate, is
/// a candidate for ejection.
constexpr int maxConsecutiveFailures = 3;
constexpr double failureRateLimit = 0.5;

constexpr duration initialProbeDelay = 1s;
constexpr duration maxProbeDelay = 30s;
/// Shorter than maxProbeDelay: a refused connection costs little, and frequent probes find a
/// restarted runner soon.
constexpr duration maxUnreachableProbeDelay = 5s;

constexpr duration evidenceLifetime = 5s;
constexpr double decayFactor = 0.25;

} // namespace

void runner_health::recordSuccess(instant when, duration took)
{
    m_serviceTime += sampleWeight * (double(took.count()) - m_serviceTime);
    m_failureRate *= 1 - sampleWeight;
    m_consecutiveFailures = 0;
    m_ejections = 0;
    m_failedOnlyBeforeStart = true;
    m_lastEvidence = when;
    if (m_status != status::healthy)
        m_failureRate = 0;
    m_status = status::healthy;
    m_isProbing = false;
}

void runner_health::recordFailure(instant when, duration took, bool hasStarted)
{
    if (double(took.count()) > m_serviceTime)
        m_serviceTime += sampleWeight * (double(took.count()) - m_serviceTime);
    m_failureRate += sampleWeight * (1 - m_failureRate);
    ++m_consecutiveFailures;
    m_failedOnlyBeforeStart = m_failedOnlyBeforeStart && !hasStarted;
    m_lastEvidence = when;
}

bool runner_health::isFailing() const
{
    return m_consecutiveFailures >= maxConsecutiveFailures || m_failureRate > failureRateLimit;
}

instant runner_health::eject(instant when, status newStatus, random_source &random)
{
    m_status = newStatus;
    m_isProbing = false;
    const duration maxDelay
        = newStatus == status::unreachable ? maxUnreachableProbeDelay : maxProbeDelay;
    const duration delay = std::min(initialProbeDelay * (1 << std::min(m_ejections, 10)), maxDelay);
    ++m_ejections;
    m_probeAt
        = when + delay / 2 + duration(std::int64_t(random.below(std::uint64_t(delay.count()))));
    return m_probeAt;
}

void runner_health::decay(instant when, double serviceMean)
{
    if (when < m_lastEvidence + evidenceLifetime)
        return;
    m_serviceTime += decayFactor * (serviceMean - m_serviceTime);
    m_failureRate *= 1 - decayFactor;
}

} // namespace crocuswind
