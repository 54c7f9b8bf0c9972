/// Starts waiting tasks in order of priority. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_DISPATCHER_H
#define CROCUSWIND_SCHEDULER_DISPATCHER_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Starts waiting tasks for which there is a worker, up to a limit per call. Call it once per
/// iteration of the event loop: the remaining tasks follow in later iterations, so that input and
/// the renewal of the owner's lease are handled in between.
void dispatch(scheduler_state &state);

} // namespace crocuswind::scheduler

#endif
