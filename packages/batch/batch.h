/// Public header of batch scheduling. Includes the job types, the types of the worker protocol, and
/// the state machine of one shard, which performs no I/O.
#ifndef CROCUSWIND_BATCH_BATCH_H
#define CROCUSWIND_BATCH_BATCH_H

#include "job.h"
#include "shard_core.h"
#include "shard_events.h"
#include "worker_sync.h"

#endif
