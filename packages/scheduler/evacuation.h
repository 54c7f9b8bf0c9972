/// Moves continuous tasks away from workers that are about to leave. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_EVACUATION_H
#define CROCUSWIND_SCHEDULER_EVACUATION_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Stops those continuous tasks of a draining worker that can restart on another worker. Finite
/// tasks keep running, because most end before the worker leaves.
void evacuateWorker(scheduler_state &state, worker_record &worker);

} // namespace crocuswind::scheduler

#endif
