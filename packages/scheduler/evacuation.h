/// Moves continuous tasks away from workers that are about to leave. Private to the package.
///
/// Load pattern: a large part of the fleet drains at once, and the rest has few free places. A task
/// is stopped only once a place is kept for it elsewhere. The others go on where they are, until
/// there is a place for them or their worker leaves.
#ifndef CROCUSWIND_SCHEDULER_EVACUATION_H
#define CROCUSWIND_SCHEDULER_EVACUATION_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Claims places for continuous tasks on draining workers and stops those that got one, a few at a
/// time. Finite tasks keep running, because most end before the worker leaves. Call it once per
/// iteration of the event loop.
void evacuateWorkers(scheduler_state &state);

} // namespace crocuswind::scheduler

#endif
