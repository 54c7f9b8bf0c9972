/// Polls the workers, which renews their leases, and decides when each is polled next. Private to
/// the package.
#ifndef CROCUSWIND_SCHEDULER_WORKER_POLLS_H
#define CROCUSWIND_SCHEDULER_WORKER_POLLS_H

#include "scheduler_state.h"

#include <optional>

namespace crocuswind::scheduler {

/// Pause between two polls of a worker, so that completions in close succession share one poll and
/// one commit.
constexpr duration pollPause = 40ms;
/// Polls the workers that are due for a poll.
void pollWorkers(scheduler_state &state);

/// The poll in flight at the worker has a result.
void notePollEnded(scheduler_state &state, worker_record &worker);

/// Returns when pollWorkers() or reviewWorkers() is due next.
instant nextWorkerWake(const scheduler_state &state);

/// Schedules the next poll of a worker that has reported.
void scheduleNextPoll(scheduler_state &state, worker_record &worker);

/// Schedules the next poll of a worker that has not answered.
void scheduleFailedPoll(scheduler_state &state, worker_record &worker);

/// Schedules the next poll of a worker at whose address another one has answered.
void scheduleReplacedPoll(scheduler_state &state, worker_record &worker);

/// Returns the latest end of a lease that may be granted now, or nothing if too little of this
/// owner's authority is left.
std::optional<instant> leaseEnd(const scheduler_state &state);

} // namespace crocuswind::scheduler

#endif
