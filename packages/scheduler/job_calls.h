/// Defines the calls from callers to the owner of the jobs, and the replies.
#ifndef CROCUSWIND_SCHEDULER_JOB_CALLS_H
#define CROCUSWIND_SCHEDULER_JOB_CALLS_H

#include "job_record.h"

#include <cstdint>
#include <optional>
#include <string>

namespace crocuswind::scheduler {

/// Identifies a call of one process of an entry host. All values of 64 bits are valid.
using call_token = std::uint64_t;

/// The kind of a call.
enum class job_call_kind { submit, query, cancel, count_waiting };

/// A call. Calls are idempotent: repeating one has no further effect.
struct job_call
{
    call_token token = 0;
    job_call_kind kind = job_call_kind::query;
    job_name name; ///< Not used if `kind` is `count_waiting`.
    queue_id queue;
    std::optional<job_spec> spec; ///< For `submit`.
    std::int64_t timeLeftMs = 0; ///< Time until the caller's deadline, measured when it was sent.
};

/// The outcome of a call.
enum class job_outcome {
    accepted, ///< The job is durable.
    refused, ///< The job is not stored and will never be stored by this call.
    found, ///< The query or count succeeded.
    cancelled, ///< The cancellation is durable, or the job had ended before.
    not_found, ///< There is no such job.
    not_owner, ///< The host that received the call does not own the jobs; the call had no effect.
    no_answer, ///< The outcome is unknown: the job may be stored.
};

/// The reply to a call.
struct job_reply
{
    call_token token = 0;
    job_outcome outcome = job_outcome::no_answer;
    job_status status = job_status::queued; ///< For a query.
    std::int64_t waitingJobs = 0; ///< For a count: accepted jobs without any started task.
    std::string reason; ///< For `refused`.
    std::int64_t retryAfterMs
        = 0; ///< For `refused`: delay before a retry; 0 if a retry is useless.
};

} // namespace crocuswind::scheduler

#endif
