/// Builds the syncs to workers from the state of the shard: leases, starts of durable claims,
/// stops, checkpoints, throttles and forgets.
#ifndef CROCUSWIND_BATCH_WORKER_SYNCS_H
#define CROCUSWIND_BATCH_WORKER_SYNCS_H

#include "shard_state.h"

namespace crocuswind {

/// Sends every sync that is due.
void sendSyncs(shard_state &state);

/// Returns when the next sync is due, or `instant::max()`.
instant nextSyncDue(const shard_state &state);

/// Handles a sync without a report.
void handleSyncError(shard_state &state, worker_session &session, const sync_error &error);

/// Asks for a sync of every worker for which a commit has made commands possible.
void requestSyncsAfterCommit(shard_state &state);

} // namespace crocuswind

#endif
