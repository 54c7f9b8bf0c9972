/// Logs the continuous tasks that have not been running for seconds, each with what it waits for.
/// Private to the package.
#ifndef CROCUSWIND_SCHEDULER_ABSENT_TASKS_H
#define CROCUSWIND_SCHEDULER_ABSENT_TASKS_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Writes a line `task_absent` once a second for each continuous task without a known run for 3 s
/// or more, up to a fixed number of lines. Tasks that never began are left out.
void logAbsentTasks(scheduler_state &state);

} // namespace crocuswind::scheduler

#endif
