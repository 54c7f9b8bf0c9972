/// Builds the syncs to workers from the state of the shard: lease renewals, starts of durable
/// claims, stops, checkpoints, throttles, and acknowledgements that let the worker forget ended
/// attempts.
#ifndef CROCUSWIND_BATCH_WORKER_SYNCS_H
#define CROCUSWIND_BATCH_WORKER_SYNCS_H

#include "shard_state.h"

namespace crocuswind {

/// Sends every sync that is due.
void sendSyncs(shard_state &state);

/// Returns when the next sync is due, or `instant::max()`.
instant nextSyncDue(const shard_state &state);

/// Handles a failed sync: backs off before the next one to this worker.
void handleSyncError(shard_state &state, worker_session &session, const sync_error &error);

/// Requests a sync of every worker that has new commands after a commit.
void requestSyncsAfterCommit(shard_state &state);

} // namespace crocuswind

#endif
