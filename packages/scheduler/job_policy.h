/// Chooses the policy that applies to a job: that of its queue in the present configuration or, if
/// the queue was removed, the one under which the job was accepted. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_JOB_POLICY_H
#define CROCUSWIND_SCHEDULER_JOB_POLICY_H

#include "scheduler_state.h"

namespace crocuswind::scheduler {

/// Updates the policy of a job after a change of the configuration or of the owner. The policy
/// stays unknown while this host has not read any configuration, and for a job of a removed queue
/// whose record has no policy. A job with an unknown policy starts no task and cannot fail.
void updatePolicy(const scheduler_state &state, job_record &job);

} // namespace crocuswind::scheduler

#endif
