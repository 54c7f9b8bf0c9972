/// Detects workers that fail everything they start. Such a worker is quarantined: it gets no new
/// tasks except occasional probes, and its failures are not charged to the jobs.
#ifndef CROCUSWIND_BATCH_WORKER_HEALTH_H
#define CROCUSWIND_BATCH_WORKER_HEALTH_H

#include "resource_accounting.h"

#include <cstddef>
#include <vector>

namespace crocuswind {

/// The start of a task is confirmed once it has run for this time.
constexpr duration startConfirmedAfter = 5s;

/// At most one in this many workers of a shard is quarantined, so that a fault of the jobs or of a
/// common dependency of the workers does not remove the whole fleet.
constexpr std::size_t workersPerQuarantine = 3;

/// Successes and failures of one worker during one of its incarnations.
class worker_health
{
public:
    /// Records the failure of an attempt that was started at \p startedAt. While the worker is
    /// quarantined, only the failure of a probe counts.
    void recordFailure(instant now, const task_key &task, instant startedAt);

    /// Records that a task started at \p startedAt completed or has run for `startConfirmedAfter`.
    /// Ends the streak of failures if the task was started after the streak began.
    /// \return the failures of the ended streak, which are then attributed to the jobs.
    std::vector<task_key> recordSuccess(instant startedAt);

    /// Returns true if the streak of failures is sufficient to quarantine the worker.
    bool isFailing(instant now) const;

    /// Returns when `isFailing` becomes true without a further event, or `instant::max()`.
    instant failingAt() const;

    /// Returns how often the task failed in the current streak.
    std::size_t failuresOf(const task_key &task) const;

    /// Quarantines the worker and discards the failures of the streak. The interval to the next
    /// probe doubles with each failed probe.
    void quarantine(instant now);

    /// Returns the failures of the streak and ends it.
    std::vector<task_key> takeFailures();

    /// Returns true while the worker is quarantined, also during a probe.
    bool isQuarantined() const { return m_isQuarantined; }

    /// Returns when one task may be started to probe whether the worker has recovered.
    instant probeAt() const { return m_probeAt; }

    /// Returns how many tasks with an unconfirmed start the worker may have at a time.
    std::size_t maxUnconfirmedStarts(instant now) const;

private:
    std::size_t distinctJobs() const;

    std::vector<task_key> m_failures;
    instant m_streakBegan;
    bool m_hasConfirmedStart = false;
    bool m_isQuarantined = false;
    instant m_probeAt;
    duration m_probeInterval{};
};

} // namespace crocuswind

#endif
