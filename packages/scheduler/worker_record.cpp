#include "worker_record.h"

#include <algorithm>

namespace crocuswind::scheduler {

namespace {

// A clock reading that lags the expected one by more than this comes from a new incarnation.
// Smaller lags can be caused by reordered answers.
constexpr std::int64_t clockResetToleranceMs = 3000;

constexpr duration maxReadingAge = 1s;

std::int64_t toMs(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace

void worker_lease::recordClock(std::int64_t clockMs, instant now)
{
    // Among recent readings, the one that puts the worker's clock furthest ahead had the shortest
    // network delay. Old readings are replaced in any case because the two clocks drift apart.
    const bool isRecent = m_reading && now - m_reading->at < maxReadingAge;
    if (isRecent && clockMs < m_reading->clockMs + toMs(now - m_reading->at))
        return;
    m_reading = reading{clockMs, now};
}

std::int64_t worker_lease::grantUntil(instant deadline, instant now)
{
    CROCUSWIND_INVARIANT(m_reading.has_value(), "a lease needs the worker's clock");
    const std::int64_t until
        = m_reading->clockMs + toMs(now - m_reading->at) + toMs(deadline - now);
    m_grantedUntilMs = std::max(m_grantedUntilMs, until);
    return until;
}

bool worker_lease::hasLapsed(instant now) const
{
    if (m_inheritedUntil && now < *m_inheritedUntil)
        return false;
    if (!m_reading)
        return true;
    const double passed = double(toMs(now - m_reading->at)) * (1 - maxClockSlowness);
    return double(m_reading->clockMs) + passed > double(m_grantedUntilMs);
}

bool worker_lease::isClockReset(std::int64_t clockMs, instant now) const
{
    if (!m_reading)
        return false;
    const double passed = double(toMs(now - m_reading->at)) * (1 - maxClockSlowness);
    return double(clockMs + clockResetToleranceMs) < double(m_reading->clockMs) + passed;
}

bool completion_cursor::accept(std::int64_t number, const task_name &task)
{
    if (number <= m_highest)
        return false;
    m_highest = number;
    m_unsettled.emplace(number, task);
    return true;
}

std::int64_t completion_cursor::settledUpTo() const
{
    return m_unsettled.empty() ? m_highest : m_unsettled.begin()->first - 1;
}

} // namespace crocuswind::scheduler
