/// Decides whether the list of workers is young enough to start work by it. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_DISCOVERY_AGE_H
#define CROCUSWIND_SCHEDULER_DISCOVERY_AGE_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Returns true if a worker may have announced its leave so long ago, unknown to this owner, that
/// what is started there now would begin after its notice. While the store does not answer, workers
/// cannot announce anything there either, and the list counts as young enough.
bool areWorkersOutdated(const scheduler_state &state);

/// Returns whether starts are held back because the list is outdated, and logs when that begins.
bool holdsStarts(scheduler_state &state);

/// All that service discovery had accepted before \p asOf is known. Ends the holding of starts if
/// that is late enough.
void noteWorkersCurrent(scheduler_state &state, instant asOf);

} // namespace crocuswind::scheduler

#endif
