/// Learns and applies the run times of each queue's tasks. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_RUN_TIMES_H
#define CROCUSWIND_SCHEDULER_RUN_TIMES_H

#include "job_record.h"

#include <cstdint>
#include <vector>

namespace crocuswind::scheduler {

struct scheduler_state;

/// Records how long the task's run took that ends now and is done. Runs that continued from a
/// checkpoint, or that this owner did not start, do not count.
void noteRunTime(const scheduler_state &state, const job_record &job, task_state &task);

/// Learns from the run times of a step that is done.
void learnRunTimes(scheduler_state &state, const job_record &job,
                   const occurrence_state &occurrence, int step);

/// Returns the expected run time of a usual task of the step, in milliseconds.
double usualRunMs(const scheduler_state &state, const queue_id &queue, const step_spec &step);

/// Returns the remaining critical path of each step, as computeCriticalPathsMs() does, by what is
/// known of the run times.
std::vector<std::int64_t> expectedCriticalPathsMs(const scheduler_state &state,
                                                  const job_spec &spec);

/// Updates the critical paths of all jobs that are not over, once a second.
void updateCriticalPaths(scheduler_state &state);

} // namespace crocuswind::scheduler

#endif
