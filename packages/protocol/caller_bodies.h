/// Defines the JSON bodies that callers and operators exchange with an entry host (design section
/// 3): requests and their outcomes, jobs, and errors. The daemon parses what the command line
/// formats, and the other way round.
#ifndef CROCUSWIND_PROTOCOL_CALLER_BODIES_H
#define CROCUSWIND_PROTOCOL_CALLER_BODIES_H

#include "workload_file.h"

#include "base/base.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace crocuswind {

constexpr std::size_t maxCallerBodyBytes = 1024 * 1024; ///< Bound on each body.
constexpr int maxCallerBodyDepth = 16; ///< Bound on nested objects and arrays.
constexpr std::size_t maxCallerListing = 100; ///< Jobs in one answer to `GET /v1/jobs`.

/// The body of `POST /v1/requests`.
struct caller_request
{
    std::optional<request_id> id; ///< Required if the request is unrepeatable.
    service_id service;
    team_id team;
    bool repeatable = true;
    workload_urgency urgency = workload_urgency::normal; ///< `urgent` or `normal`.
    std::int64_t timeLeftMs = 0; ///< From 1 to 600,000; a deadline is derived on arrival.
    std::string payload; ///< Any bytes; sent as base64 if they are not UTF-8.

    friend bool operator==(const caller_request &a, const caller_request &b);
    friend bool operator!=(const caller_request &a, const caller_request &b) { return !(a == b); }
};

/// The outcome of a request as a caller sees it.
struct caller_outcome
{
    enum class kind { pending, answered, not_run, unknown };

    std::string id; ///< As text, since a query may name an identifier of any form.
    kind what = kind::pending;
    std::string answer; ///< The complete answer, if `answered`.
    std::string reason; ///< A short word with underscores, if `not_run` or `unknown`.
    std::string ask; ///< The path at which to ask again, if `unknown` or `pending`.

    friend bool operator==(const caller_outcome &a, const caller_outcome &b);
    friend bool operator!=(const caller_outcome &a, const caller_outcome &b) { return !(a == b); }
};

/// How a job runs.
enum class caller_job_kind { finite, continuous, service };

/// The order among jobs of one kind.
enum class caller_job_urgency { low, normal, high };

/// The body of `POST /v1/jobs`. The size is that of one replica.
struct caller_job
{
    job_id id;
    caller_job_kind kind = caller_job_kind::finite;
    caller_job_urgency urgency = caller_job_urgency::normal;
    workload_size size;
    std::int64_t runMs = 0; ///< Expected run time, 0 if not known.
    int replicas = 1; ///< More than 1 only for a service.
    std::string payload; ///< UTF-8 text of at most 16 KB, passed to the worker unread.

    friend bool operator==(const caller_job &a, const caller_job &b);
    friend bool operator!=(const caller_job &a, const caller_job &b) { return !(a == b); }
};

/// What is known of one replica of a job.
struct caller_task
{
    std::string state; ///< `waiting`, `claimed`, `done`, `failed` or `cancelled`.
    int attempts = 0; ///< Attempts that were claimed so far.
    int failures = 0; ///< Attempts that failed by themselves; the others were interrupted.
    std::string worker; ///< Where it is claimed, or empty.
    std::int64_t checkpoint = 0; ///< Number of the last checkpoint, 0 if there is none.
    std::string result;

    friend bool operator==(const caller_task &a, const caller_task &b);
    friend bool operator!=(const caller_task &a, const caller_task &b) { return !(a == b); }
};

/// A job as a caller sees it.
struct caller_job_view
{
    job_id id;
    caller_job_kind kind = caller_job_kind::finite;
    std::string state; ///< `waiting`, `running`, `cancelling`, `done`, `failed` or `cancelled`.
    std::string explanation; ///< Why it waits or where it runs.
    std::vector<caller_task> tasks; ///< One for each replica.

    friend bool operator==(const caller_job_view &a, const caller_job_view &b);
    friend bool operator!=(const caller_job_view &a, const caller_job_view &b) { return !(a == b); }
};

/// The answer to `GET /v1/jobs`: jobs in the order of their identifiers.
struct caller_job_list
{
    std::vector<caller_job_view> jobs;
    std::string next; ///< If not empty, ask again with `?after=` this for the jobs that follow.

    friend bool operator==(const caller_job_list &a, const caller_job_list &b)
    {
        return a.jobs == b.jobs && a.next == b.next;
    }
    friend bool operator!=(const caller_job_list &a, const caller_job_list &b) { return !(a == b); }
};

/// The body of every answer that reports an error.
struct caller_error
{
    std::string message; ///< One sentence that says what is wrong and what to do.
    findings problems; ///< Each mistake with the field of the body that it is in.

    friend bool operator==(const caller_error &a, const caller_error &b)
    {
        return a.message == b.message && a.problems == b.problems;
    }
    friend bool operator!=(const caller_error &a, const caller_error &b) { return !(a == b); }
};

/// Parses a request. Returns all mistakes together, each with the field it is in; unknown fields
/// are mistakes.
tl::expected<caller_request, findings> parseCallerRequest(std::string_view body);

/// Formats a request.
std::string toBody(const caller_request &request);

/// Parses an outcome. Unknown fields are ignored, here and in all answers.
tl::expected<caller_outcome, findings> parseCallerOutcome(std::string_view body);

/// Formats an outcome.
std::string toBody(const caller_outcome &outcome);

/// Returns the HTTP status of the answer to `POST /v1/requests` with \p outcome.
int statusOf(const caller_outcome &outcome);

/// Parses the answer to `POST /v1/request-ids`.
tl::expected<request_id, findings> parseCallerRequestId(std::string_view body);

/// Formats the answer to `POST /v1/request-ids`.
std::string toBody(const request_id &id);

/// Parses a job submission. Returns all mistakes together; unknown fields are mistakes.
tl::expected<caller_job, findings> parseCallerJob(std::string_view body);

/// Formats a job submission.
std::string toBody(const caller_job &job);

/// Parses one job.
tl::expected<caller_job_view, findings> parseCallerJobView(std::string_view body);

/// Formats one job. The fields `attempts`, `worker` and `result` sum up the tasks for people and
/// simple clients: all attempts, the first worker and the first result.
std::string toBody(const caller_job_view &view);

/// Parses a list of jobs.
tl::expected<caller_job_list, findings> parseCallerJobList(std::string_view body);

/// Formats a list of jobs. At most `maxCallerListing` jobs, and only as many as keep the body under
/// `maxCallerBodyBytes`, are written; `next` is set if any were left out.
std::string toBody(const caller_job_list &list);

/// Parses an error. A body in another form gives an error with that text, cut to 500 bytes.
caller_error parseCallerError(std::string_view body);

/// Formats an error.
std::string toBody(const caller_error &error);

/// Returns the words used in bodies.
std::string_view toString(caller_outcome::kind kind);
std::string_view toString(caller_job_kind kind);
std::string_view toString(caller_job_urgency urgency);

/// Parses a word. Returns nothing for any other text.
std::optional<caller_job_kind> parseCallerJobKind(std::string_view text);
std::optional<caller_job_urgency> parseCallerJobUrgency(std::string_view text);

} // namespace crocuswind

#endif
