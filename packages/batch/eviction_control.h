/// Passes worker reports to the shard's interference policy and applies the steps that it returns.
#ifndef CROCUSWIND_BATCH_EVICTION_CONTROL_H
#define CROCUSWIND_BATCH_EVICTION_CONTROL_H

#include "shard_state.h"

namespace crocuswind {

/// Runs the interference policy for \p worker; called after its report has been applied.
void controlInterference(shard_state &state, const worker_id &worker);

} // namespace crocuswind

#endif
