/// Binds runs to the workers on which they may exist, and accounts for the resources that they
/// reserve there. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_RUN_BINDING_H
#define CROCUSWIND_SCHEDULER_RUN_BINDING_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Binds run number \p run of the task to \p worker, where it may exist from now on. Only a
/// best-effort run may yield.
void bindRun(scheduler_state &state, worker_record &worker, const task_name &name, task_state &task,
             int run, bool isYielding = false);

/// Lets a yielding run count like any other from now on.
void endYielding(scheduler_state &state, worker_record &worker, const task_name &name);

/// Unbinds the current run of the task from its worker, where it no longer exists.
void unbindRun(scheduler_state &state, const task_name &name, task_state &task);

} // namespace crocuswind::scheduler

#endif
