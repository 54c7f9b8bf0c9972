/// Handles calls that submit, query, cancel and count jobs. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_JOB_INTAKE_H
#define CROCUSWIND_SCHEDULER_JOB_INTAKE_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Handles one call. The reply is sent immediately or after the commit that makes the call's effect
/// durable.
void handleCall(scheduler_state &state, const job_call &call);

/// Refuses the new jobs that wait for a commit and are not in a batch in flight.
void refuseUnsentJobs(scheduler_state &state);

/// Answers all calls that wait for a commit with \p outcome, and clears the lists of waiters.
void answerWaiters(scheduler_state &state, job_outcome outcome);

} // namespace crocuswind::scheduler

#endif
