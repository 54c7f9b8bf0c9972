/// Defines what callers declare: jobs of dependent steps, whose tasks run on workers.
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

/// The caller's name of a job, unique over all queues.
using job_name = name_of<struct job_name_tag>;

/// A queue takes in the jobs of one kind of work, with a policy of its own.
using queue_id = name_of<struct queue_tag>;

/// What the tasks of one step have in common.
struct step_spec
{
    int count = 0; ///< Number of tasks.
    resources size; ///< What one task reserves.
    std::int64_t expectedRunMs = 0; ///< Estimated run time of a task. It may be far off.
    std::vector<int> after; ///< Earlier steps, counted from 0, that must be done first.
    bool savesProgress = false; ///< Its tasks report checkpoints and can resume from them.
    bool isGang = false; ///< All tasks work only together and end together.
    bool wantsOneRack = false; ///< Runs slower when spread over several racks.
    std::string requiredLabel; ///< A label that the worker must have, or empty.
    rack_id dataRack; ///< Where the data is; runs slower elsewhere. Empty if it does not matter.
    int maxPerWorker = 0; ///< Bound of tasks of the step on one worker; 0 means no bound.
    bool allowsDuplicates = false; ///< Copies of a task may run at once; the first end counts.
    bool isLasting = false; ///< Runs until cancelled and is restarted however it ends.
    std::string image; ///< What the tasks run; tasks of one image behave alike.
    std::int64_t latencyTargetMs = 0; ///< Bound of its users' tail latency; 0 means none.
    bool fillsIdleRoom = false; ///< Its processors are not reserved; it takes what others leave.
    int maxUnavailable = 0; ///< Tasks that may be away at once by the scheduler's own doing.

    friend bool operator==(const step_spec &a, const step_spec &b)
    {
        const auto tied = [](const step_spec &s) {
            return std::tie(s.count, s.size, s.expectedRunMs, s.after, s.savesProgress, s.isGang,
                            s.wantsOneRack, s.requiredLabel, s.dataRack, s.maxPerWorker,
                            s.allowsDuplicates, s.isLasting, s.image, s.latencyTargetMs,
                            s.fillsIdleRoom, s.maxUnavailable);
        };
        return tied(a) == tied(b);
    }
    friend bool operator!=(const step_spec &a, const step_spec &b) { return !(a == b); }
};

/// A job as its caller declares it.
struct job_spec
{
    job_name name;
    queue_id queue;
    std::string payload; ///< Passed to the worker unread, at most `maxPayloadBytes`.
    std::vector<step_spec> steps;
    int scheduledOccurrences
        = 0; ///< Number of occurrences; 0 means that the steps run once, at once.
    std::int64_t firstDueUnixMs = 0; ///< Due time of the first occurrence.
    std::int64_t periodMs = 0; ///< Time from one occurrence's due time to the next one's.

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
/// Bounds the records of one job, which share one value of the store.
constexpr int maxTasksOfStep = 2000;
constexpr int maxSteps = 64;
constexpr int maxRepetitions = 1000;
/// Amounts and times stay so far below the range of their types that sums of all tasks fit.
constexpr std::int64_t maxAmountOfTask = 1'000'000'000; ///< Thousandths of a core, or megabytes.
constexpr std::int64_t maxSpanMs = 100'000'000'000; ///< Three years.
constexpr std::int64_t maxUnixMs = 100'000'000'000'000; ///< In the year 5138.

/// Returns the mistakes in \p spec, none if it may be submitted. \p source names the input in them.
findings checkJob(const job_spec &spec, const std::string &source);

/// Returns what the scheduler cannot do for \p spec, or nothing. Such a job is refused, never
/// accepted and ignored.
std::optional<std::string> unsupportedFeature(const job_spec &spec);

/// Names one task: an occurrence of a job, a step and an index in it.
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

/// Parses `job.occurrence.step.index`. Returns nothing for any other text.
std::optional<task_name> parseTaskName(std::string_view text);

/// How a queue treats its jobs, from the operators' configuration.
struct queue_policy
{
    queue_id queue;
    service_id service; ///< The workers that may run its tasks.
    int priority = 0; ///< 0 goes first.
    int attemptLimit = 1; ///< Failed runs of a task after which its job has failed.
    double stretch = 1; ///< The objective as a multiple of the longest chain of work.
    std::int64_t objectiveSlackMs = 0; ///< Added to the objective.
    bool needsAdvice = false; ///< Only an advisor outside knows which workers may run a step.

    /// The attempt limit of a queue that no configuration has told of yet.
    static constexpr int unknownAttemptLimit = std::numeric_limits<int>::max();

    friend bool operator==(const queue_policy &a, const queue_policy &b)
    {
        return std::tie(a.queue, a.service, a.priority, a.attemptLimit, a.stretch,
                        a.objectiveSlackMs, a.needsAdvice)
            == std::tie(b.queue, b.service, b.priority, b.attemptLimit, b.stretch,
                        b.objectiveSlackMs, b.needsAdvice);
    }
};

/// Returns for each step the length of the longest chain of dependent steps that begins with it, in
/// milliseconds, by the estimates.
std::vector<std::int64_t> chainsFromMs(const job_spec &spec);

} // namespace crocuswind::scheduler

#endif
