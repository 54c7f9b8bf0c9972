/// Logs why jobs that could run have no run. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_WAITING_JOBS_H
#define CROCUSWIND_SCHEDULER_WAITING_JOBS_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Logs once a second, for the jobs that have waited longest without a run although a task of
/// theirs may start, why no worker takes the task. The number of lines is bounded.
void logWaitingJobs(scheduler_state &state);

} // namespace crocuswind::scheduler

#endif
