/// Judges whether a worker fails everything that it starts. Such a worker is put aside: it gets no
/// new tasks but one probe from time to time, and its failures are not charged to the jobs.
#ifndef CROCUSWIND_BATCH_WORKER_HEALTH_H
#define CROCUSWIND_BATCH_WORKER_HEALTH_H

#include "commitments.h"

#include <cstddef>
#include <vector>

namespace crocuswind {

/// A task that has run this long after its start counts as started well.
constexpr duration startedWellAfter = 5s;

/// At most one in this many workers of a shard is put aside, so that a fault of the jobs or of
/// something that all workers need does not take away the whole fleet.
constexpr std::size_t asideFraction = 3;

/// The evidence about one worker during one of its lives.
class worker_health
{
public:
    /// Notes that an attempt failed on the worker.
    void noteFailure(instant now, const task_key &task);

    /// Notes that a task started at \p startedAt ended well or has run for `startedWellAfter`.
    /// Ends the streak of failures if the task was started after the streak began.
    /// \return the failures of the streak, which are thereby the jobs' own.
    std::vector<task_key> noteSuccess(instant startedAt);

    /// Returns true if the streak of failures suffices to put the worker aside.
    bool isFailing(instant now) const;

    /// Returns when `isFailing` becomes true without a further event, or `instant::max()`.
    instant failingAt() const;

    /// Returns true if only tasks of one job have failed, and at least \p count times.
    bool isFaultOfOneJob(std::size_t count) const;

    /// Puts the worker aside; the failures of the streak are dropped. The interval to the next
    /// probe doubles each time that a probe fails.
    void putAside(instant now);

    /// Takes the failures of the streak and ends it.
    std::vector<task_key> takeFailures();

    /// Returns true while the worker is aside, probes included.
    bool isAside() const { return m_isAside; }

    /// Returns when one task may be started to see whether the worker has recovered.
    instant probeAt() const { return m_probeAt; }

    /// Returns how many tasks may be started that have not yet been seen to start well.
    std::size_t maxUnprovenStarts(instant now) const;

private:
    std::size_t distinctJobs() const;

    std::vector<task_key> m_failures;
    instant m_streakBegan;
    bool m_isProven = false;
    bool m_isAside = false;
    instant m_probeAt;
    duration m_probeInterval{};
};

} // namespace crocuswind

#endif
