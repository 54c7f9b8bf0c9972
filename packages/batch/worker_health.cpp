#include "worker_health.h"

#include <algorithm>
#include <set>

namespace crocuswind {

namespace {

/// Failures of this many different jobs in a row point to the worker.
constexpr std::size_t suspectJobs = 3;
/// Two jobs suffice after this time, which leaves 2 s of the 10 s allowed for the reports.
constexpr duration suspectTime = 8s;
/// The number of starts after which a failing worker must be aside.
constexpr std::size_t suspectStarts = 5;
constexpr duration firstProbeInterval = 30s;
constexpr duration maxProbeInterval = 600s;
/// Starts in progress on a worker that has started something well, and on one that has not. Fewer
/// than `suspectStarts`, so that a worker that fails from the beginning is found within 5 starts.
constexpr std::size_t provenStarts = 8;
constexpr std::size_t unprovenStarts = 4;

} // namespace

void worker_health::noteFailure(instant now, const task_key &task)
{
    if (m_failures.empty())
        m_streakBegan = now;
    m_failures.push_back(task);
}

std::vector<task_key> worker_health::noteSuccess(instant startedAt)
{
    if (!m_failures.empty() && startedAt < m_streakBegan)
        return {};
    m_isProven = true;
    m_isAside = false;
    m_probeInterval = duration::zero();
    return takeFailures();
}

std::size_t worker_health::distinctJobs() const
{
    std::set<job_id> jobs;
    for (const task_key &task : m_failures)
        jobs.insert(task.job);
    return jobs.size();
}

bool worker_health::isFailing(instant now) const
{
    const std::size_t jobs = distinctJobs();
    if (m_isAside)
        return !m_failures.empty();
    return jobs >= suspectJobs || (jobs >= 2 && m_failures.size() >= suspectStarts)
        || now >= failingAt();
}

instant worker_health::failingAt() const
{
    return distinctJobs() >= 2 ? m_streakBegan + suspectTime : instant::max();
}

bool worker_health::isFaultOfOneJob(std::size_t count) const
{
    return m_failures.size() >= count && distinctJobs() == 1;
}

void worker_health::putAside(instant now)
{
    m_isAside = true;
    m_isProven = false;
    m_failures.clear();
    m_probeInterval = m_probeInterval == duration::zero()
        ? duration(firstProbeInterval)
        : std::min<duration>(m_probeInterval * 2, maxProbeInterval);
    m_probeAt = now + m_probeInterval;
}

std::vector<task_key> worker_health::takeFailures()
{
    std::vector<task_key> failures;
    failures.swap(m_failures);
    return failures;
}

std::size_t worker_health::maxUnprovenStarts(instant now) const
{
    if (m_isAside)
        return now >= m_probeAt ? 1 : 0;
    if (!m_failures.empty())
        return 1;
    return m_isProven ? provenStarts : unprovenStarts;
}

} // namespace crocuswind
