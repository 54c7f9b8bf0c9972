#include "job_policy.h"

namespace crocuswind::scheduler {

void updatePolicy(const scheduler_state &state, job_record &job)
{
    const auto present = state.queues.find(job.spec.queue);
    if (present != state.queues.end()) {
        job.policy = present->second;
        return;
    }
    const bool isUnknown = job.policy.attemptLimit == queue_policy::unknownAttemptLimit;
    if (isUnknown && state.areQueuesKnown && job.acceptedPolicy)
        job.policy = *job.acceptedPolicy;
}

} // namespace crocuswind::scheduler
