/// Defines the job types: the specification that a caller submits and the records that a shard
/// stores about the job and its tasks.
#ifndef CROCUSWIND_BATCH_JOB_H
#define CROCUSWIND_BATCH_JOB_H

#include "base/base.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace crocuswind {

/// Determines how long a job runs and whether it may run in two places at once.
enum class job_kind {
    /// Terminates by itself and must never run in two places (certificate build, yard batch).
    finite,
    continuous, ///< Runs until cancelled (comparison run, listing watch).
    service, ///< Latency-critical; has replicas and runs until cancelled.
};

/// Priority among jobs of one kind.
enum class job_urgency { low, normal, high };

/// The specification of a job as declared by the caller.
struct job_spec
{
    job_id id;
    job_kind kind = job_kind::finite;
    job_urgency urgency = job_urgency::normal;
    resources size; ///< Resources of one replica.
    std::int64_t runMs = 0; ///< Declared run time, 0 if unknown. It may be inaccurate.
    int replicas = 1; ///< Above 1 only for a service.
    /// Passed to the worker without interpretation, at most `maxPayloadBytes`.
    std::string payload;

    friend bool operator==(const job_spec &a, const job_spec &b)
    {
        return std::tie(a.id, a.kind, a.urgency, a.size, a.runMs, a.replicas, a.payload)
            == std::tie(b.id, b.kind, b.urgency, b.size, b.runMs, b.replicas, b.payload);
    }
    friend bool operator!=(const job_spec &a, const job_spec &b) { return !(a == b); }
};

/// Payload limit. A segment stores many jobs in one store value of at most 1 MB, so each payload
/// must be small.
constexpr std::size_t maxPayloadBytes = 16 * 1024;
/// Replica limit. The task records of a larger service would fill a segment.
constexpr int maxReplicas = 256;

/// Validates \p spec. Returns its errors, or an empty list if it may be submitted. \p source names
/// the input in the findings.
findings checkJobSpec(const job_spec &spec, const std::string &source);

/// The state of a task as saved by a worker. Numbers increase over all attempts of a task.
struct checkpoint
{
    std::int64_t number = 0; ///< 0 means no checkpoint: the task starts from the beginning.
    std::string reference; ///< Opaque to the scheduler, at most `maxReferenceBytes`.

    friend bool operator==(const checkpoint &a, const checkpoint &b)
    {
        return a.number == b.number && a.reference == b.reference;
    }
    friend bool operator!=(const checkpoint &a, const checkpoint &b) { return !(a == b); }
};

/// Limit of references and results. The parser truncates longer ones and reports a finding.
constexpr std::size_t maxReferenceBytes = 1024;

/// Identifies one attempt of one replica of a job. Finite and continuous jobs have only replica 0.
struct task_id
{
    job_id job;
    int replica = 0;
    int attempt = 0; ///< Starts at 1 and increases; 0 means never claimed.

    friend bool operator==(const task_id &a, const task_id &b)
    {
        return std::tie(a.job, a.replica, a.attempt) == std::tie(b.job, b.replica, b.attempt);
    }
    friend bool operator!=(const task_id &a, const task_id &b) { return !(a == b); }
    friend bool operator<(const task_id &a, const task_id &b)
    {
        return std::tie(a.job, a.replica, a.attempt) < std::tie(b.job, b.replica, b.attempt);
    }
};

/// Formats a task identifier as `team/name#replica:attempt`.
std::string toString(const task_id &id);

/// The state of one replica.
enum class task_state {
    waiting, ///< Not claimed.
    claimed, ///< The store records a worker; the task may be running there.
    done, ///< Completed successfully.
    failed, ///< Failed permanently; not retried.
    cancelled, ///< Terminated because the job was cancelled.
};

/// The record of one replica in the store.
struct task_record
{
    task_state state = task_state::waiting;
    int attempt = 0; ///< The highest attempt ever claimed.
    worker_id worker; ///< The worker on which the attempt is claimed, if `state` is `claimed`.
    checkpoint lastCheckpoint;
    int failures = 0; ///< Failed attempts that count against the job.
    std::string result; ///< The result returned by the worker, or the reason for the failure.

    friend bool operator==(const task_record &a, const task_record &b)
    {
        return std::tie(a.state, a.attempt, a.worker, a.lastCheckpoint, a.failures, a.result)
            == std::tie(b.state, b.attempt, b.worker, b.lastCheckpoint, b.failures, b.result);
    }
};

/// The record of a job in the store.
struct job_record
{
    job_spec spec;
    bool isCancelled = false; ///< A caller has cancelled the job; claimed tasks are being stopped.
    std::int64_t number = 0; ///< Submission number within the shard.
    std::vector<task_record> tasks; ///< One per replica.

    friend bool operator==(const job_record &a, const job_record &b)
    {
        return std::tie(a.spec, a.isCancelled, a.number, a.tasks)
            == std::tie(b.spec, b.isCancelled, b.number, b.tasks);
    }
};

/// The state of a whole job, derived from its tasks.
enum class job_state { waiting, running, cancelling, done, failed, cancelled };

/// Derives the state of \p job. A job with any claimed task is running, or cancelling if it was
/// cancelled.
job_state stateOf(const job_record &job);

/// Returns true if no task of \p job is waiting or claimed, so that none will run again.
bool isFinished(const job_record &job);

/// Convert enumerators to and from the words used in message bodies, logs and the store. The
/// parsers return nothing for an unknown word.
std::string toString(job_kind kind);
std::string toString(job_urgency urgency);
std::string toString(job_state state);
std::string toString(task_state state);
std::optional<job_kind> parseJobKind(std::string_view text);
std::optional<job_urgency> parseJobUrgency(std::string_view text);
std::optional<task_state> parseTaskState(std::string_view text);

} // namespace crocuswind

#endif
