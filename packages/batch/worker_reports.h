/// Turns the reports of workers into transitions of tasks.
#ifndef CROCUSWIND_BATCH_WORKER_REPORTS_H
#define CROCUSWIND_BATCH_WORKER_REPORTS_H

#include "shard_state.h"

namespace crocuswind {

/// Applies a report to the shard. Reports of another epoch, of an earlier life of the worker, or
/// older than one already applied have no effect.
void applyReport(shard_state &state, const sync_report &report);

} // namespace crocuswind

#endif
