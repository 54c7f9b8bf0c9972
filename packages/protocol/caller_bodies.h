/// Defines the JSON bodies that callers and operators exchange with an entry host (design section
/// 3): requests and their outcomes, jobs, and errors. The daemon and the command-line tool use the
/// same functions, so that each parses what the other formats.
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

constexpr std::size_t maxCallerBodyBytes = 1024 * 1024; ///< Largest body in bytes.
constexpr int maxCallerBodyDepth = 16; ///< Deepest nesting of objects and arrays.
constexpr std::size_t maxCallerListing = 100; ///< Most jobs in one answer to `GET /v1/jobs`.

/// The body of `POST /v1/requests`.
struct caller_request
{
    std::optional<request_id> id; ///< Required if the request is unrepeatable.
    service_id service;
    team_id team;
    bool repeatable = true;
    workload_urgency urgency = workload_urgency::normal; ///< `urgent` or `normal`.
    std::int64_t timeLeftMs = 0; ///< 1 to 600,000; sets the deadline on arrival.
    std::string payload; ///< Any bytes; sent as base64 unless they are UTF-8.

    friend bool operator==(const caller_request &a, const caller_request &b);
    friend bool operator!=(const caller_request &a, const caller_request &b) { return !(a == b); }
};

/// The outcome of a request as reported to its caller.
struct caller_outcome
{
    enum class kind { pending, answered, not_run, unknown };

    std::string id; ///< Text, since a query may contain an invalid identifier.
    kind what = kind::pending;
    std::string answer; ///< The complete answer of the service, if `answered`.
    std::string reason; ///< A code such as `queue_full`, if `not_run` or `unknown`.
    std::string ask; ///< Path to query the outcome again, if `unknown` or `pending`.

    friend bool operator==(const caller_outcome &a, const caller_outcome &b);
    friend bool operator!=(const caller_outcome &a, const caller_outcome &b) { return !(a == b); }
};

/// How a job runs.
enum class caller_job_kind { finite, continuous, service };

/// Priority of a job among jobs of the same kind.
enum class caller_job_urgency { low, normal, high };

/// The body of `POST /v1/jobs`.
struct caller_job
{
    job_id id;
    caller_job_kind kind = caller_job_kind::finite;
    caller_job_urgency urgency = caller_job_urgency::normal;
    workload_size size; ///< Resources of one replica.
    std::int64_t runMs = 0; ///< Expected run time in milliseconds, 0 if not known.
    int replicas = 1; ///< More than 1 only for a service.
    std::string payload; ///< UTF-8 text of at most 16 KB, passed to the worker unchanged.

    friend bool operator==(const caller_job &a, const caller_job &b);
    friend bool operator!=(const caller_job &a, const caller_job &b) { return !(a == b); }
};

/// The state of one replica of a job.
struct caller_task
{
    std::string state; ///< `waiting`, `claimed`, `done`, `failed` or `cancelled`.
    int attempts = 0; ///< Number of attempts claimed so far.
    int failures = 0; ///< Attempts whose task failed; interrupted attempts do not count.
    std::string worker; ///< Worker that the task is claimed for, or empty.
    std::int64_t checkpoint = 0; ///< Number of the last checkpoint, 0 if there is none.
    std::string result; ///< Result that the worker reported, or empty.

    friend bool operator==(const caller_task &a, const caller_task &b);
    friend bool operator!=(const caller_task &a, const caller_task &b) { return !(a == b); }
};

/// A job as reported to callers.
struct caller_job_view
{
    job_id id;
    caller_job_kind kind = caller_job_kind::finite;
    std::string state; ///< `waiting`, `running`, `cancelling`, `done`, `failed` or `cancelled`.
    std::string explanation; ///< Why the job waits or where it runs.
    std::vector<caller_task> tasks; ///< One for each replica.

    friend bool operator==(const caller_job_view &a, const caller_job_view &b);
    friend bool operator!=(const caller_job_view &a, const caller_job_view &b) { return !(a == b); }
};

/// The answer to `GET /v1/jobs`: jobs sorted by identifier.
struct caller_job_list
{
    std::vector<caller_job_view> jobs;
    std::string next; ///< If not empty, `?after=` with this value lists the following jobs.

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
    findings problems; ///< Each mistake with the field of the body that contains it.

    friend bool operator==(const caller_error &a, const caller_error &b)
    {
        return a.message == b.message && a.problems == b.problems;
    }
    friend bool operator!=(const caller_error &a, const caller_error &b) { return !(a == b); }
};

/// Parses a request. On failure returns all mistakes together, each with its field. An unknown
/// field is a mistake.
tl::expected<caller_request, findings> parseCallerRequest(std::string_view body);

/// Formats a request.
std::string toBody(const caller_request &request);

/// Parses an outcome. Unknown fields are ignored, as in all answers of an entry host.
tl::expected<caller_outcome, findings> parseCallerOutcome(std::string_view body);

/// Formats an outcome.
std::string toBody(const caller_outcome &outcome);

/// Returns the HTTP status of the answer to `POST /v1/requests` with \p outcome.
int statusOf(const caller_outcome &outcome);

/// Parses the answer to `POST /v1/request-ids`.
tl::expected<request_id, findings> parseCallerRequestId(std::string_view body);

/// Formats the answer to `POST /v1/request-ids`.
std::string toBody(const request_id &id);

/// Parses a job submission. On failure returns all mistakes together. An unknown field is a
/// mistake.
tl::expected<caller_job, findings> parseCallerJob(std::string_view body);

/// Formats a job submission.
std::string toBody(const caller_job &job);

/// Parses one job.
tl::expected<caller_job_view, findings> parseCallerJobView(std::string_view body);

/// Formats one job. The fields `attempts`, `worker` and `result` summarise the tasks for people and
/// simple clients: the sum of all attempts, the first worker and the first result.
std::string toBody(const caller_job_view &view);

/// Parses a list of jobs.
tl::expected<caller_job_list, findings> parseCallerJobList(std::string_view body);

/// Formats a list of jobs. Writes at most `maxCallerListing` jobs, and fewer if the body would
/// exceed `maxCallerBodyBytes`. Sets `next` if jobs are left out.
std::string toBody(const caller_job_list &list);

/// Parses an error. If the body has another form, its first 500 bytes become the error message.
caller_error parseCallerError(std::string_view body);

/// Formats an error.
std::string toBody(const caller_error &error);

/// Returns the word for a value as written in bodies.
std::string_view toString(caller_outcome::kind kind);
std::string_view toString(caller_job_kind kind);
std::string_view toString(caller_job_urgency urgency);

/// Parses a word as written in bodies. Returns nothing for any other text.
std::optional<caller_job_kind> parseCallerJobKind(std::string_view text);
std::optional<caller_job_urgency> parseCallerJobUrgency(std::string_view text);

} // namespace crocuswind

#endif
