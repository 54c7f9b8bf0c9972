/// Defines the state that the owner keeps for a job and its tasks.
#ifndef CROCUSWIND_SCHEDULER_JOB_RECORD_H
#define CROCUSWIND_SCHEDULER_JOB_RECORD_H

#include "job_model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace crocuswind::scheduler {

/// The phase of a task in its life cycle.
enum class task_phase {
    blocked, ///< Waits for earlier steps.
    unlocated, ///< Inherited from another owner; a worker that has not reported yet may run it.
    waiting, ///< May start on any worker.
    starting, ///< A start command was sent and is not answered yet.
    uncertain, ///< A start command got no answer: the run may exist, or may begin later.
    running, ///< The worker confirmed the run.
    stopping, ///< A stop command was sent; the completion of the run is not reported yet.
    done, ///< Completed successfully.
    dropped, ///< Never runs again: its job was cancelled or has failed.
};

/// The pace of a run while it is not known: another owner started the run, or a pace command
/// failed.
constexpr int unknownPace = -1;

/// The owner's state of one task.
struct task_state
{
    task_phase phase = task_phase::blocked;
    int lastRun = 0; ///< The highest run number ever used, 0 if none.
    int countedRun = 0; ///< The highest run whose completion has been applied.
    /// A worker has shown, to this owner or an earlier one, that a run began.
    bool hasBegun = false;
    std::vector<int> failedRuns; ///< Numbers of failed runs; each counts as one attempt.
    worker_id worker; ///< Worker of the current run; set from `starting` to `stopping`.
    std::string checkpoint; ///< Reference of the last checkpoint; empty if there is none.
    /// How long its run took, if it is done by a whole run that this owner started; otherwise 0.
    std::int64_t runMs = 0;
    instant runSince; ///< When the start command of the current run was sent, or it was adopted.
    /// Since when no run of the task is known, if it waits for one: the end of its last run, the
    /// last sign of a run that was given up, or the takeover.
    instant interruptedAt;
    /// Number of the worker's latest poll when it answered the start or stop. The run's absence
    /// from the report of this poll or an earlier one does not prove that the run does not exist.
    std::uint64_t lastPollBeforeAnswer = 0;
    int progressPercent = 0; ///< As last reported.
    /// Last reported value: tail latency in ms of a serving task, otherwise the processor usage in
    /// thousandths of a core.
    std::int64_t measurement = 0;
    int pacePercent = 100; ///< Speed limit of the last pace command, or `unknownPace`.
    bool isStopAnswered = false; ///< The worker confirmed the stop: the run can never begin.
    instant resendStopAt; ///< When an unanswered stop command is sent again.
};

/// Returns true if a run of the task may exist on its worker.
bool mayHaveRun(const task_state &task);

/// Returns true if the task is available to its users: it runs, and its worker has reported that it
/// has started up.
bool isAvailable(const task_state &task);

/// Returns how many runs of the tasks may exist on each worker.
std::map<worker_id, int> countRuns(const std::vector<task_state> &tasks);

/// What is expected of an occurrence under the present load, see overload_control.h.
enum class job_prospect {
    in_time, ///< It can meet its objective, or nothing was decided.
    late, ///< It cannot, but can end while it is of use to its caller.
    useless, ///< It can end only when it is of no use any more.
};

/// One execution of the steps of a job.
struct occurrence_state
{
    int number = 0;
    instant dueAt;
    bool isReleased = false; ///< Its due time has come; steps without predecessors may start.
    bool hasStarted = false; ///< A worker has shown that a run of one of its tasks has begun.
    job_prospect prospect = job_prospect::in_time; ///< By the last decision under overload.
    std::optional<job_prospect> firstProspect; ///< By the first one.
    std::vector<std::vector<task_state>> steps;

    /// Returns true if all tasks of the step are done.
    bool isStepDone(int step) const;
    /// Returns true if all tasks are done.
    bool isDone() const;
};

/// The state of a job as its caller sees it.
enum class job_status { queued, running, completed, failed, cancelled };

/// One job.
struct job_record
{
    job_spec spec;
    queue_policy policy; ///< From the last configuration that contained its queue.
    /// Under which the job was accepted; absent in records of earlier builds.
    std::optional<queue_policy> acceptedPolicy;
    std::int64_t acceptedUnixMs = 0;
    instant acceptedAt;
    /// When its caller asked first, if that was refused for load; otherwise `acceptedAt`.
    /// Objectives count from then.
    instant requestedAt;
    std::vector<std::int64_t> criticalPathsMs; ///< For each step, see expectedCriticalPathsMs().
    std::int64_t number = 0; ///< Sequence number of acceptance within this ownership.
    bool isStored = false; ///< The specification is durable.
    bool isRecovered = false; ///< Accepted by an earlier owner.
    bool isCancelled = false;
    bool isFailed = false;
    std::int64_t finishedUnixMs = 0; ///< Unix time of its end; 0 while it has not ended.
    bool isFinishStored = false; ///< Its end is durable and may be shown to callers.
    /// Occurrences that have begun and are not done, by number. Later ones have no tasks yet.
    std::map<int, occurrence_state> occurrences;
    instant firstDueAt; ///< Due time of the first occurrence.
    int nextOccurrence = 0; ///< All occurrences below this number have been released or are done.
    bool isNextScheduled = false; ///< The release of `nextOccurrence` is scheduled.
    int boundRuns = 0; ///< Number of runs that may exist on workers.
    /// Since when no run is known, refused starts aside. Meaningful only while `boundRuns` is 0.
    instant idleSince;
    int occurrencesDone = 0; ///< All occurrences below this number are done, see `doneLater`.
    std::vector<int> doneLater; ///< Numbers of done occurrences beyond `occurrencesDone`.

    /// Returns the task, or null if no current occurrence has it.
    task_state *find(const task_name &name);
    /// Returns the total number of occurrences.
    int occurrenceCount() const
    {
        return spec.scheduledOccurrences > 0 ? spec.scheduledOccurrences : 1;
    }
    /// Returns the due time of an occurrence.
    instant dueTimeOf(int number) const
    {
        return firstDueAt + number * std::chrono::milliseconds(spec.periodMs);
    }
    /// Returns true if no task will ever start again.
    bool isOver() const { return isCancelled || isFailed || finishedUnixMs != 0; }
    /// Returns true if the occurrence is done.
    bool isOccurrenceDone(int number) const;
    /// Returns the number of occurrences that are released and not done.
    int releasedOccurrences() const;
    /// Marks an occurrence as done and deletes its tasks.
    void finishOccurrence(int number);
    /// Returns true if a run of any task of the job is known to have begun.
    bool hasStarted() const;
    /// Returns true if a run of the job may exist on some worker.
    bool mayHaveRun() const;
};

/// Returns the status to report to callers. The end of a job is reported only once it is durable.
job_status statusOf(const job_record &job);

/// The completion time that the policy of the queue aims at for an occurrence.
struct job_objective
{
    instant at; ///< An occurrence that completes after this time is late.
    /// A completion after this time is of no use to the caller. The job is finished nevertheless.
    instant lateUntil;
};

/// Returns the objective according to the queue's policy: a multiple of the job's critical path
/// plus a slack, counted from the due time of a scheduled occurrence, otherwise from the
/// acceptance.
job_objective objectiveOf(const job_record &job, const occurrence_state &occurrence);

/// Returns since when the released occurrence has waited for a run, if no run of the job exists:
/// the end of the job's last run, or the due time if it is later.
instant waitingSince(const job_record &job, const occurrence_state &occurrence);

/// Returns the name of the status as callers see it.
std::string toString(job_status status);

/// Creates the tasks of one occurrence, all blocked.
occurrence_state newOccurrence(const job_spec &spec, int number, instant dueAt);

} // namespace crocuswind::scheduler

#endif
