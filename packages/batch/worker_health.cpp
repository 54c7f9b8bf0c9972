#include "worker_health.h"

#include <algorithm>
#include <set>

namespace crocuswind {

namespace {

/// Consecutive failures of this many different jobs indicate a faulty worker.
constexpr std::size_t quarantineAfterJobs = 3;
/// Failures of two jobs suffice after this time. That leaves 2 s for the reports of the 10 s within
/// which a failing worker must be quarantined.
constexpr duration quarantineAfterTime = 8s;
/// After this many consecutive failures the worker is quarantined even if they are all of one job.
/// If the job was at fault, the first probe with another job ends the quarantine.
constexpr std::size_t quarantineAfterFailures = 5;
constexpr duration firstProbeInterval = 30s;
constexpr duration maxProbeInterval = 600s;
/// Limits on unconfirmed starts, for a worker with and without a confirmed start. The second is
/// below `quarantineAfterFailures`, so that a worker that fails from the beginning is detected
/// within 5 starts. The first lets a healthy worker take a burst of latency-critical tasks at once.
constexpr std::size_t maxStartsIfConfirmed = 32;
constexpr std::size_t maxStartsIfUnconfirmed = 4;

} // namespace

void worker_health::recordFailure(instant now, const task_key &task, instant startedAt)
{
    if (m_isQuarantined && startedAt < m_probeAt)
        return;
    if (m_failures.empty())
        m_streakBegan = now;
    m_failures.push_back(task);
}

std::vector<task_key> worker_health::recordSuccess(instant startedAt)
{
    if (!m_failures.empty() && startedAt < m_streakBegan)
        return {};
    m_hasConfirmedStart = true;
    m_isQuarantined = false;
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
    if (m_isQuarantined)
        return !m_failures.empty();
    return jobs >= quarantineAfterJobs || m_failures.size() >= quarantineAfterFailures
        || now >= failingAt();
}

instant worker_health::failingAt() const
{
    return distinctJobs() >= 2 ? m_streakBegan + quarantineAfterTime : instant::max();
}

std::size_t worker_health::failuresOf(const task_key &task) const
{
    return std::size_t(std::count(m_failures.begin(), m_failures.end(), task));
}

void worker_health::quarantine(instant now)
{
    m_isQuarantined = true;
    m_hasConfirmedStart = false;
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

std::size_t worker_health::maxUnconfirmedStarts(instant now) const
{
    if (m_isQuarantined)
        return now >= m_probeAt ? 1 : 0;
    if (!m_failures.empty())
        return 1;
    return m_hasConfirmedStart ? maxStartsIfConfirmed : maxStartsIfUnconfirmed;
}

} // namespace crocuswind
