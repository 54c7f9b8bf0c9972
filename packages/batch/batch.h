/// The public header of batch scheduling: jobs, the worker protocol's values, and the state machine
/// of one shard. It has no I/O.
#ifndef CROCUSWIND_BATCH_BATCH_H
#define CROCUSWIND_BATCH_BATCH_H

#include "job.h"
#include "shard_core.h"
#include "shard_events.h"
#include "worker_sync.h"

#endif
