/// Stores which tasks may be on workers that are about to leave, so that a later owner waits only
/// for these if such a worker is gone. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_LEAVING_RECORDS_H
#define CROCUSWIND_SCHEDULER_LEAVING_RECORDS_H

#include "scheduler_state.h"

#include <string>

namespace crocuswind::scheduler {

/// Returns the prefix of the keys of leaving records.
std::string leavingPrefix(const scheduler_state &state);

/// Returns true if the leaving record of any worker is to be written or removed by now.
bool isLeavingRecordDue(const scheduler_state &state);

/// Returns true if a write or removal of the worker's leaving record is scheduled or in flight, so
/// that an outdated leaving record may be in the store.
bool isLeavingRecordPending(const scheduler_state &state, const worker_id &id);

/// Adds the leaving records that are to be written or removed by now to the batch.
void addLeavingRecords(scheduler_state &state, commit_batch &batch);

/// Records that the batch in flight is durable.
void finishLeavingRecords(scheduler_state &state);

/// Has the leaving records of a batch that was refused written again.
void requeueLeavingRecords(scheduler_state &state);

/// Reads a leaving record. It limits the tasks that may be on the worker unless an owner after its
/// writer may have started tasks: that one may be of a build that keeps no such records.
void readLeavingRecord(scheduler_state &state, const worker_id &id, const std::string &text,
                       const earlier_authority &authority);

} // namespace crocuswind::scheduler

#endif
