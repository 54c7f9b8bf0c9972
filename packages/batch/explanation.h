/// Explains to callers and operators why a job is waiting or where it runs.
#ifndef CROCUSWIND_BATCH_EXPLANATION_H
#define CROCUSWIND_BATCH_EXPLANATION_H

#include "placer.h"

#include <string>

namespace crocuswind {

/// Returns one or two sentences about the first unfinished task of the job; waiting tasks come
/// first.
std::string explain(const shard_state &state, const placer &placement, const job_entry &job);

/// Returns which worker comes nearest to \p size if no worker is large enough, or an empty string.
std::string explainMisfit(const resource_accounting &accounting, const resources &size);

} // namespace crocuswind

#endif
