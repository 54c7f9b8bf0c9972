// Builds the call that submits a job, for tests that drive the scheduler core directly.
#ifndef CROCUSWIND_TEST_JOB_SUBMISSION_H
#define CROCUSWIND_TEST_JOB_SUBMISSION_H

#include "scheduler/scheduler.h"

#include <utility>

namespace crocuswind::scheduler {

/// Returns a call that submits a job of one step to the queue `q`.
inline job_call submissionOf(const std::string &name, step_spec step)
{
    job_call call;
    call.kind = job_call_kind::submit;
    call.name.value = name;
    call.queue.value = "q";
    call.spec = job_spec();
    call.spec->name = call.name;
    call.spec->queue = call.queue;
    call.spec->steps = {std::move(step)};
    return call;
}

} // namespace crocuswind::scheduler

#endif
