/// Starts waiting tasks in order of urgency. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_DISPATCHER_H
#define CROCUSWIND_SCHEDULER_DISPATCHER_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Starts waiting tasks that find a worker, up to a bounded number. To be called once in a turn of
/// the event loop: the rest follows in later turns, so that input and the renewal of the owner's
/// lease come in between.
void dispatch(scheduler_state &state);

} // namespace crocuswind::scheduler

#endif
