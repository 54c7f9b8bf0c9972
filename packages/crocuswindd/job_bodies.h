/// Defines conversions between the callers' job bodies and the types of the batch core, and the
/// JSON encoding of job calls that are forwarded to the owner of a shard.
#ifndef CROCUSWIND_CROCUSWINDD_JOB_BODIES_H
#define CROCUSWIND_CROCUSWINDD_JOB_BODIES_H

#include "batch/batch.h"
#include "protocol/caller_bodies.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace crocuswind {

/// Lists jobs of one shard.
struct list_jobs
{
    std::optional<team_id> team;
    std::optional<job_id> after;
    std::size_t limit = maxCallerListing;
};

struct query_job
{
    job_id job;
};

struct cancel_job
{
    job_id job;
};

struct submit_job
{
    job_spec spec;
    trace_context trace;
};

/// A job call, handled by this host or forwarded to the owner of the shard.
using job_call = std::variant<submit_job, query_job, cancel_job, list_jobs>;

/// The answer to a job_call, ready for the caller: an HTTP status and a JSON body.
struct job_answer_body
{
    int status = 503;
    std::string body;
};

/// Converts a job that a caller submitted. \p job must have passed parseCallerJob().
job_spec toJobSpec(const caller_job &job);

/// Converts the state of a job in the core to the form shown to callers.
caller_job_view toCallerView(const job_view &view);

/// Formats the reply of a shard to \p call for the caller.
job_answer_body toAnswer(const job_call &call, const job_reply &reply);

/// Encodes a call as JSON for the peer message `forward_job`.
std::string encodeJobCall(const job_call &call);

/// Decodes a call of encodeJobCall(). Returns nothing if the text is not valid.
std::optional<job_call> decodeJobCall(std::string_view text);

/// Encodes an answer as JSON for the peer message `job_answer`.
std::string encodeJobAnswer(const job_answer_body &answer);

/// Decodes an answer of encodeJobAnswer(). Returns nothing if the text is not valid.
std::optional<job_answer_body> decodeJobAnswer(std::string_view text);

} // namespace crocuswind

#endif
