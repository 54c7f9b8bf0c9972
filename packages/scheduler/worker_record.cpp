#include "worker_record.h"

#include <algorithm>
#include <cmath>

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

// Returns the highest reading of a clock that read \p clockMs at most \p passed ago. A reading is
// whole milliseconds, rounded down.
std::int64_t ceilingOf(std::int64_t clockMs, duration passed)
{
    const std::chrono::duration<double, std::milli> passedMs = passed;
    return clockMs + 1 + std::int64_t(std::ceil(passedMs.count() * (1 + maxClockRateDifference)));
}

} // namespace

const char *toWord(lease_source source)
{
    switch (source) {
    case lease_source::none:
        return "none";
    case lease_source::granted:
        return "granted";
    case lease_source::inherited:
        return "inherited";
    case lease_source::misdirected:
        return "misdirected";
    }
    return "unknown";
}

void worker_lease::recordClock(std::int64_t clockMs, instant now)
{
    // Among recent readings, the one that puts the worker's clock furthest ahead had the shortest
    // network delay. Old readings are replaced in any case because the two clocks drift apart.
    const bool isRecent = m_reading && now - m_reading->at < maxReadingAge;
    if (isRecent && clockMs < m_reading->clockMs + toMs(now - m_reading->at))
        return;
    m_reading = reading{clockMs, now};
}

instant worker_lease::timeOf(std::int64_t clockMs) const
{
    CROCUSWIND_INVARIANT(m_reading.has_value(), "a time needs the worker's clock");
    return m_reading->at + std::chrono::milliseconds(clockMs - m_reading->clockMs);
}

std::int64_t worker_lease::grantUntil(instant deadline, instant latest, instant now)
{
    CROCUSWIND_INVARIANT(m_reading.has_value(), "a lease needs the worker's clock");
    const std::int64_t wanted
        = m_reading->clockMs + toMs(now - m_reading->at) + toMs(deadline - now);
    const double slowestMs = double(toMs(latest - m_reading->at)) * (1 - maxClockSlowness);
    const std::int64_t until = std::min(wanted, m_reading->clockMs + std::int64_t(slowestMs));
    m_grantedUntilMs = std::max(m_grantedUntilMs, until);
    return until;
}

instant worker_lease::grantLapsesBy() const
{
    if (!m_reading)
        return instant();
    const double leftMs = double(m_grantedUntilMs - m_reading->clockMs) / (1 - maxClockSlowness);
    return m_reading->at + std::chrono::milliseconds(std::int64_t(std::ceil(leftMs)));
}

instant worker_lease::lapsesBy() const
{
    return std::max({grantLapsesBy(), m_inheritedUntil.value_or(instant()),
                     m_misdirectedUntil.value_or(instant())});
}

lease_source worker_lease::latestSource() const
{
    const instant latest = lapsesBy();
    if (m_misdirectedUntil && *m_misdirectedUntil == latest)
        return lease_source::misdirected;
    if (m_inheritedUntil && *m_inheritedUntil == latest)
        return lease_source::inherited;
    return isGranted() ? lease_source::granted : lease_source::none;
}

void worker_lease::dropLapsedMisdirected(instant now)
{
    if (m_misdirectedUntil && now > *m_misdirectedUntil)
        m_misdirectedUntil.reset();
}

void worker_lease::tightenLapse(instant latest)
{
    if (m_inheritedUntil)
        m_inheritedUntil = std::min(*m_inheritedUntil, latest);
}

void worker_lease::tightenMisdirectedLapse(instant latest)
{
    if (m_misdirectedUntil)
        m_misdirectedUntil = std::min(*m_misdirectedUntil, latest);
}

bool worker_lease::isClockReset(std::int64_t clockMs, instant now) const
{
    if (!m_reading)
        return false;
    const double passed = double(toMs(now - m_reading->at)) * (1 - maxClockSlowness);
    return double(clockMs + clockResetToleranceMs) < double(m_reading->clockMs) + passed;
}

void clock_ceiling::record(std::int64_t clockMs, instant sentAt, instant now)
{
    const auto known = at(now);
    const reading next{clockMs, sentAt};
    if (!known || ceilingOf(next.clockMs, now - next.sentAt) <= *known)
        m_reading = next;
}

std::optional<std::int64_t> clock_ceiling::at(instant now) const
{
    if (!m_reading)
        return std::nullopt;
    return ceilingOf(m_reading->clockMs, now - m_reading->sentAt);
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
