/// Defines what the owner of the jobs knows about one job while it runs.
#ifndef CROCUSWIND_SCHEDULER_JOB_RECORD_H
#define CROCUSWIND_SCHEDULER_JOB_RECORD_H

#include "job_model.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace crocuswind::scheduler {

/// Where one task stands.
enum class task_phase {
    blocked, ///< Waits for earlier steps.
    unlocated, ///< Taken over from another owner; a worker that has not reported yet may be running
               ///< it.
    waiting, ///< May start on any worker.
    starting, ///< A start was sent and not answered yet.
    uncertain, ///< A start got no answer: the run may exist, or may begin later.
    running, ///< The worker confirmed the run.
    stopping, ///< A stop was sent; the run's end has not been listed yet.
    done, ///< Ended with success.
    dropped, ///< Never runs again: its job was cancelled or has failed.
};

/// The pace of a run that another owner started, until it is set anew.
constexpr int unknownPace = -1;

/// What is known about one task.
struct task_state
{
    task_phase phase = task_phase::blocked;
    int lastRun = 0; ///< The highest run number ever used, 0 if none.
    int countedRun = 0; ///< The highest run whose end has been taken into account.
    std::vector<int> failedRuns; ///< Runs that failed; each counts as one attempt.
    worker_id worker; ///< Where the current run is, from `starting` to `stopping`.
    std::string saved; ///< The last checkpoint, empty if there is none.
    instant runSince; ///< When the current run was ordered.
    std::uint64_t settledPoll = 0; ///< Only later polls of the worker tell that the run is absent.
    int progressPercent = 0; ///< As last reported.
    std::int64_t figure = 0; ///< Tail latency in ms of a serving task, else thousandths of a core.
    int pacePercent = 100; ///< Share at which it was last told to work, or `unknownPace`.
    bool isStopAnswered = false; ///< The worker has taken the stop: the run cannot begin any more.
    instant stopAgainAt; ///< When a stop without an answer is sent again.
};

/// Returns true if a run of the task may exist on its worker.
bool mayRun(const task_state &task);

/// One execution of the steps of a job.
struct occurrence_state
{
    int number = 0;
    instant dueAt;
    bool isReleased = false; ///< Its time has come; first steps may start.
    bool hasBegun = false; ///< A task of it has started.
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
    queue_policy policy; ///< As of the last configuration that had its queue.
    std::int64_t acceptedUnixMs = 0;
    instant acceptedAt;
    std::vector<std::int64_t> chainsMs; ///< Of each step, see chainsFromMs().
    std::int64_t number = 0; ///< Order of acceptance within this ownership.
    bool isStored = false; ///< The specification is durable.
    bool isRecovered = false; ///< Accepted by an earlier owner.
    bool isCancelled = false;
    bool isFailed = false;
    std::int64_t finishedUnixMs = 0; ///< When it ended, 0 before.
    bool isFinishStored = false; ///< Its end is durable and may be shown.
    std::map<int, occurrence_state> occurrences; ///< Those that are due and not done.
    int occurrencesDone = 0; ///< All occurrences below this number are done, see `doneLater`.
    std::vector<int> doneLater; ///< Done occurrences beyond `occurrencesDone`.

    /// Returns the task, or null if there is none of this name now.
    task_state *find(const task_name &name);
    /// Returns the number of occurrences in all.
    int occurrenceCount() const
    {
        return spec.scheduledOccurrences > 0 ? spec.scheduledOccurrences : 1;
    }
    /// Returns true if no task will ever start again.
    bool isOver() const { return isCancelled || isFailed || finishedUnixMs != 0; }
    /// Returns true if the occurrence is done.
    bool isOccurrenceDone(int number) const;
    /// Notes that an occurrence is done and forgets its tasks.
    void finishOccurrence(int number);
    /// Returns true if a task of it has ever started.
    bool hasBegun() const;
    /// Returns true if a run of it may exist on some worker.
    bool mayRun() const;
};

/// Returns what callers are told. An end is told only once it is durable.
job_status statusOf(const job_record &job);

/// By when an occurrence is to end.
struct job_objective
{
    instant at; ///< Later ends are late.
    instant
        lateUntil; ///< Later ends are of no use to the caller; the job is finished all the same.
};

/// Returns the objective by the queue's policy: a multiple of the longest chain of work, counted
/// from the due time or the acceptance.
job_objective objectiveOf(const job_record &job, const occurrence_state &occurrence);

/// The words for callers.
std::string toString(job_status status);

/// Creates the tasks of one occurrence, all blocked.
occurrence_state newOccurrence(const job_spec &spec, int number, instant dueAt);

} // namespace crocuswind::scheduler

#endif
