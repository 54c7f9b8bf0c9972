/// Defines the jobs that callers submit: steps that depend on each other, whose tasks run on
/// workers.
#ifndef CROCUSWIND_SCHEDULER_JOB_MODEL_H
#define CROCUSWIND_SCHEDULER_JOB_MODEL_H

#include "base/base.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace crocuswind::scheduler {

/// The caller's name for a job, unique across all queues.
using job_name = name_of<struct job_name_tag>;

/// Identifies a queue, which holds the jobs of one kind of work and has its own policy.
using queue_id = name_of<struct queue_tag>;

/// The properties that all tasks of one step share.
struct step_spec
{
    int count = 0; ///< Number of tasks.
    resources size; ///< Resources that one task reserves.
    std::int64_t expectedRunMs = 0; ///< Estimated run time of a task. It may be far off.
    std::vector<int> after; ///< Indexes (from 0) of earlier steps that must be done first.
    bool savesProgress = false; ///< Its tasks report checkpoints and can resume from them.
    bool isGang = false; ///< All tasks must run at the same time and end together.
    bool wantsOneRack = false; ///< The tasks run slower when spread over several racks.
    std::string requiredLabel; ///< A label that the worker must have; empty if none.
    rack_id dataRack; ///< Rack of the input data; tasks run slower elsewhere. Empty if irrelevant.
    int maxPerWorker = 0; ///< Maximum number of the step's tasks on one worker; 0 means no limit.
    bool allowsDuplicates = false; ///< Copies of a task may run at once; the first to end counts.
    bool isContinuous = false; ///< Tasks run until cancelled and are restarted whenever they end.
    std::string image; ///< The software that the tasks run; tasks of one image behave alike.
    std::int64_t latencyTargetMs = 0; ///< Upper bound of the users' tail latency; 0 means none.
    bool isBestEffort = false; ///< Best effort: uses processors that no other task uses.
    int maxUnavailable = 0; ///< Maximum number of tasks unavailable at once by scheduler action.

    friend bool operator==(const step_spec &a, const step_spec &b)
    {
        const auto tied = [](const step_spec &s) {
            return std::tie(s.count, s.size, s.expectedRunMs, s.after, s.savesProgress, s.isGang,
                            s.wantsOneRack, s.requiredLabel, s.dataRack, s.maxPerWorker,
                            s.allowsDuplicates, s.isContinuous, s.image, s.latencyTargetMs,
                            s.isBestEffort, s.maxUnavailable);
        };
        return tied(a) == tied(b);
    }
    friend bool operator!=(const step_spec &a, const step_spec &b) { return !(a == b); }
};

/// Returns the resources that one task of the step reserves on a worker.
resources reservedBy(const step_spec &step);

/// A job as its caller declares it.
struct job_spec
{
    job_name name;
    queue_id queue;
    std::string payload; ///< Opaque data for the worker, at most `maxPayloadBytes`.
    std::vector<step_spec> steps;
    /// Number of scheduled occurrences; 0 means that the steps run once, immediately.
    int scheduledOccurrences = 0;
    std::int64_t firstDueUnixMs = 0; ///< Due time of the first occurrence.
    std::int64_t periodMs = 0; ///< Time between the due times of successive occurrences.

    friend bool operator==(const job_spec &a, const job_spec &b)
    {
        return std::tie(a.name, a.queue, a.payload, a.steps, a.scheduledOccurrences,
                        a.firstDueUnixMs, a.periodMs)
            == std::tie(b.name, b.queue, b.payload, b.steps, b.scheduledOccurrences,
                        b.firstDueUnixMs, b.periodMs);
    }
    friend bool operator!=(const job_spec &a, const job_spec &b) { return !(a == b); }
};

constexpr std::size_t maxPayloadBytes = 4000;
/// Limits the size of a job's progress record, which is stored as one value.
constexpr int maxTasksOfStep = 2000;
constexpr int maxSteps = 64;
constexpr int maxRepetitions = 1000;
/// Limits the memory that the tasks of one job take, about 160 bytes each.
constexpr std::int64_t maxTasksAtOnce = 20'000;
/// Further occurrences of a repeated job wait while those that have begun have this many tasks.
constexpr std::int64_t maxTasksOfOverlap = 4'000;
/// Limits of amounts and times, so far below the range of their types that sums over all tasks do
/// not overflow.
constexpr std::int64_t maxAmountOfTask = 1'000'000'000; ///< Thousandths of a core, or megabytes.
constexpr std::int64_t maxSpanMs = 100'000'000'000; ///< Three years.
constexpr std::int64_t maxUnixMs = 100'000'000'000'000; ///< In the year 5138.

/// Returns the errors in \p spec; the result is empty if it may be submitted. \p source names the
/// input in the messages.
findings checkJob(const job_spec &spec, const std::string &source);

/// Returns the errors in a new job: those of checkJob(), and one if the job is too large to be held
/// in memory. Jobs that were accepted before that limit exceed it.
findings checkNewJob(const job_spec &spec, const std::string &source);

/// Returns how many occurrences of the job may have begun and not be done, at least 1. Occurrences
/// with continuous tasks never end, so they do not wait for each other.
int maxOverlap(const job_spec &spec);

/// Returns a message if \p spec needs a feature that the scheduler does not support. Such a job is
/// refused; it is never accepted with the feature ignored.
std::optional<std::string> unsupportedFeature(const job_spec &spec);

/// Identifies a task by its job, occurrence, step, and index within the step.
struct task_name
{
    job_name job;
    int occurrence = 0; ///< From 0; 0 for a job without repetitions.
    int step = 0; ///< From 0.
    int index = 0; ///< From 0.

    friend bool operator==(const task_name &a, const task_name &b)
    {
        return std::tie(a.job, a.occurrence, a.step, a.index)
            == std::tie(b.job, b.occurrence, b.step, b.index);
    }
    friend bool operator!=(const task_name &a, const task_name &b) { return !(a == b); }
    friend bool operator<(const task_name &a, const task_name &b)
    {
        if (const int order = a.job.value.compare(b.job.value); order != 0)
            return order < 0;
        return std::tie(a.occurrence, a.step, a.index) < std::tie(b.occurrence, b.step, b.index);
    }
};

/// Formats a task's name as `job.occurrence.step.index`.
std::string toString(const task_name &name);

/// Parses `job.occurrence.step.index`. Returns std::nullopt for any other text.
std::optional<task_name> parseTaskName(std::string_view text);

/// The scheduling policy of a queue, from the operators' configuration.
struct queue_policy
{
    queue_id queue;
    service_id service; ///< The pool of workers that may run its tasks.
    int priority = 0; ///< 0 is the highest priority.
    int attemptLimit = 1; ///< The job fails when a task has had this many failed runs.
    double stretch = 1; ///< The objective as a multiple of the job's critical path.
    std::int64_t objectiveSlackMs = 0; ///< Added to the objective.
    bool needsAdvice = false; ///< Only an external advisor knows which workers may run a step.

    /// The attempt limit while the configuration of the queue is not known yet.
    static constexpr int unknownAttemptLimit = std::numeric_limits<int>::max();

    friend bool operator==(const queue_policy &a, const queue_policy &b)
    {
        return std::tie(a.queue, a.service, a.priority, a.attemptLimit, a.stretch,
                        a.objectiveSlackMs, a.needsAdvice)
            == std::tie(b.queue, b.service, b.priority, b.attemptLimit, b.stretch,
                        b.objectiveSlackMs, b.needsAdvice);
    }
};

/// Returns the remaining critical path of each step: the estimated length, in milliseconds, of the
/// longest chain of dependent steps that begins with it.
std::vector<std::int64_t> computeCriticalPathsMs(const job_spec &spec);

/// Returns the same for the given run time of each step, in milliseconds.
std::vector<std::int64_t> computeCriticalPathsMs(const job_spec &spec,
                                                 const std::vector<std::int64_t> &runMs);

} // namespace crocuswind::scheduler

#endif
