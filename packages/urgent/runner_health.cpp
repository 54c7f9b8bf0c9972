#include "runner_health.h"

#include <algorithm>

namespace crocuswind {

namespace {

/// Weight of a new sample. About ten samples decide; interference shifts within seconds.
constexpr double sampleWeight = 0.2;

/// Failures in a row, or their smoothed part, that make a runner a candidate for ejection.
constexpr int failuresInRow = 3;
constexpr double failingPart = 0.5;

constexpr duration firstPause = 1s;
constexpr duration longestPause = 30s;
/// A refused connection costs little, so that a restarted runner is found again soon.
constexpr duration longestUnreachablePause = 5s;

constexpr duration evidenceLife = 5s;
constexpr double forgottenPart = 0.25;

} // namespace

void runner_health::succeed(instant when, duration took)
{
    m_serviceTime += sampleWeight * (double(took.count()) - m_serviceTime);
    m_failureRate *= 1 - sampleWeight;
    m_consecutiveFailures = 0;
    m_ejections = 0;
    m_neverStarts = true;
    m_lastEvidence = when;
    if (m_standing != standing::healthy)
        m_failureRate = 0;
    m_standing = standing::healthy;
    m_isProbing = false;
}

void runner_health::fail(instant when, duration took, bool hasStarted)
{
    if (double(took.count()) > m_serviceTime)
        m_serviceTime += sampleWeight * (double(took.count()) - m_serviceTime);
    m_failureRate += sampleWeight * (1 - m_failureRate);
    ++m_consecutiveFailures;
    m_neverStarts = m_neverStarts && !hasStarted;
    m_lastEvidence = when;
}

bool runner_health::isFailing() const
{
    return m_consecutiveFailures >= failuresInRow || m_failureRate > failingPart;
}

instant runner_health::eject(instant when, standing why, random_source &random)
{
    m_standing = why;
    m_isProbing = false;
    const duration longest = why == standing::unreachable ? longestUnreachablePause : longestPause;
    const duration pause = std::min(firstPause * (1 << std::min(m_ejections, 10)), longest);
    ++m_ejections;
    m_probeAt
        = when + pause / 2 + duration(std::int64_t(random.below(std::uint64_t(pause.count()))));
    return m_probeAt;
}

void runner_health::forget(instant when, double serviceMean)
{
    if (when < m_lastEvidence + evidenceLife)
        return;
    m_serviceTime += forgottenPart * (serviceMean - m_serviceTime);
    m_failureRate *= 1 - forgottenPart;
}

} // namespace crocuswind
