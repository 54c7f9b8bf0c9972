/// Connects the shard with its interference policy: shows it what workers report and carries out
/// the steps that it asks for.
#ifndef CROCUSWIND_BATCH_EVICTION_CONTROL_H
#define CROCUSWIND_BATCH_EVICTION_CONTROL_H

#include "shard_state.h"

namespace crocuswind {

/// Lets the policy act on one worker after its report was applied.
void controlInterference(shard_state &state, const worker_id &worker);

} // namespace crocuswind

#endif
