/// Relates runs to the workers on which they may exist, and keeps what they take of a worker's
/// room. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_RUN_BINDING_H
#define CROCUSWIND_SCHEDULER_RUN_BINDING_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Notes that \p run of the task may exist on \p worker.
void bindRun(scheduler_state &state, worker_record &worker, const task_name &name, task_state &task,
             int run);

/// Notes that the current run of the task does not exist any more.
void unbindRun(scheduler_state &state, const task_name &name, task_state &task);

} // namespace crocuswind::scheduler

#endif
