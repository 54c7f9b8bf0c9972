/// Decides whether the list of workers from service discovery is recent enough to start tasks.
/// Private to the package.
#ifndef CROCUSWIND_SCHEDULER_DISCOVERY_AGE_H
#define CROCUSWIND_SCHEDULER_DISCOVERY_AGE_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Returns true if the list of workers is too old: a worker may have announced, unknown to this
/// owner, that it leaves, and a task started now could begin there after its notice has run out.
/// While the store does not answer, workers cannot announce anything there either, and the list
/// counts as recent enough.
bool areWorkersOutdated(const scheduler_state &state);

/// Returns true if no task may be started because the list is outdated. Logs `starts_held` when
/// this begins.
bool holdsStarts(scheduler_state &state);

/// Records that all changes that service discovery accepted before \p asOf are known. Allows starts
/// again if \p asOf is recent enough.
void noteWorkersSynchronized(scheduler_state &state, instant asOf);

} // namespace crocuswind::scheduler

#endif
