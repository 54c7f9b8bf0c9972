/// Moves continuous tasks away from workers that are about to leave and out of evacuated data
/// centres. Private to the package.
///
/// Load pattern: a large part of the fleet drains at once, and the rest has few free places. A task
/// is stopped only once a place is kept for it elsewhere. The others go on where they are, until
/// there is a place for them or their worker leaves.
///
/// Load pattern: the operator evacuates a data centre with a quarter of the fleet. Its workers stay
/// and are sound, so that no task has to hurry: a step never has more tasks unavailable by such
/// moves than its `maxUnavailable` allows.
#ifndef CROCUSWIND_SCHEDULER_EVACUATION_H
#define CROCUSWIND_SCHEDULER_EVACUATION_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Claims places for continuous tasks on draining workers and on those of evacuated data centres,
/// and stops the tasks that got one, a few at a time. Finite tasks keep running, because most end
/// before the worker leaves. Call it once per iteration of the event loop.
void evacuateWorkers(scheduler_state &state);

} // namespace crocuswind::scheduler

#endif
