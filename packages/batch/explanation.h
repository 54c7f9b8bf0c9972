/// Explains to callers and operators why a job waits or where it runs.
#ifndef CROCUSWIND_BATCH_EXPLANATION_H
#define CROCUSWIND_BATCH_EXPLANATION_H

#include "placer.h"

#include <string>

namespace crocuswind {

/// Returns one or two sentences about the job's first task that has not ended.
std::string explain(const shard_state &state, const placer &placement, const job_entry &job);

/// Says which worker comes nearest to a size that no worker can hold; empty if one can.
std::string explainMisfit(const commitment_book &book, const resources &size);

} // namespace crocuswind

#endif
