/// Converts worker reports into state transitions of tasks.
#ifndef CROCUSWIND_BATCH_WORKER_REPORTS_H
#define CROCUSWIND_BATCH_WORKER_REPORTS_H

#include "shard_state.h"

namespace crocuswind {

/// Applies a report to the shard. A report of another epoch, of an earlier incarnation of the
/// worker, or older than one already applied has no effect.
void applyReport(shard_state &state, const sync_report &report);

} // namespace crocuswind

#endif
