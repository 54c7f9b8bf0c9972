#include "task_lifecycle.h"

#include "commit_log.h"
#include "occurrences.h"
#include "run_binding.h"
#include "run_times.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace crocuswind::scheduler {

namespace {

// After this many consecutive failed runs on a worker, no task is started there for
// `failingWorkerBackoff`.
constexpr int maxConsecutiveFailures = 3;
constexpr duration failingWorkerBackoff = 3s;

constexpr duration stopRetryInterval = 300ms;

const step_spec &specOf(const job_record &job, const task_name &name)
{
    return job.spec.steps[std::size_t(name.step)];
}

void finishJob(scheduler_state &state, job_record &job)
{
    job.finishedUnixMs = unixTimeMs(state);
    markDirty(state, job);
    state.logDetail("job_end", [&] {
        return fmt::format(
            "job={} outcome={} since_accept_ms={}", job.spec.name.value,
            job.isCancelled ? "cancelled" : (job.isFailed ? "failed" : "completed"),
            std::chrono::duration_cast<std::chrono::milliseconds>(state.now - job.acceptedAt)
                .count());
    });
}

void onTaskDone(scheduler_state &state, job_record &job, const task_name &name)
{
    const auto found = job.occurrences.find(name.occurrence);
    if (!found->second.isStepDone(name.step))
        return;
    learnRunTimes(state, job, found->second, name.step);
    if (!found->second.isDone()) {
        unblockSteps(state, job, found->second);
        return;
    }
    noteOccurrenceDone(state, job, found->second);
    job.finishOccurrence(name.occurrence);
    if (job.occurrencesDone == job.occurrenceCount())
        finishJob(state, job);
    else
        scheduleNextOccurrence(state, job);
}

void recordWorkerFailure(scheduler_state &state, worker_record &worker)
{
    if (++worker.consecutiveFailures < maxConsecutiveFailures)
        return;
    worker.avoidedUntil = state.now + failingWorkerBackoff;
    state.ports.log("worker_avoided",
                    fmt::format("worker={} failures_in_row={}", worker.info.id.value,
                                worker.consecutiveFailures));
}

void failJob(scheduler_state &state, job_record &job, const task_name &name, int failures)
{
    job.isFailed = true;
    state.ports.log("job_failed",
                    fmt::format("job={} task={} failures={} limit={}", job.spec.name.value,
                                toString(name), failures, job.policy.attemptLimit));
    finishJob(state, job);
    dropTasks(state, job);
}

// Returns true if the completion ends the current run of the task, or a run that an earlier owner
// started and that this owner has not located.
bool endsTrackedRun(const worker_record &worker, const task_state &task,
                    const completion_report &completion)
{
    if (mayHaveRun(task))
        return task.worker == worker.info.id && task.lastRun == completion.run;
    return task.phase == task_phase::unlocated && completion.run > task.countedRun;
}

bool isExhausted(const job_record &job, const task_state &task)
{
    return int(task.failedRuns.size()) >= job.policy.attemptLimit;
}

bool hasFailedRun(const task_state &task, int run)
{
    return std::find(task.failedRuns.begin(), task.failedRuns.end(), run) != task.failedRuns.end();
}

void recordFailedRun(scheduler_state &state, job_record &job, task_state &task,
                     const completion_report &completion, const pending_completion &pending)
{
    if (!hasFailedRun(task, completion.run))
        task.failedRuns.push_back(completion.run);
    markDirty(state, job).completions.push_back(pending);
    if (isExhausted(job, task))
        failJob(state, job, completion.task, int(task.failedRuns.size()));
}

void applyCompletion(scheduler_state &state, worker_record &worker, job_record &job,
                     task_state &task, const completion_report &completion)
{
    const pending_completion pending{worker.info.id, worker.incarnationStartUnixMs,
                                     completion.number};
    const bool isContinuous = specOf(job, completion.task).isContinuous;
    if (mayHaveRun(task)) {
        if (completion.reason == completion_reason::done && !isContinuous)
            noteRunTime(state, job, task);
        noteRunEnded(state, job, completion.task, task,
                     completion.reason == completion_reason::done);
        unbindRun(state, completion.task, task);
    }
    task.countedRun = std::max(task.countedRun, completion.run);
    task.lastRun = std::max(task.lastRun, completion.run);
    if (!completion.checkpoint.empty())
        task.checkpoint = completion.checkpoint;
    if (job.isOver()) {
        settleWhenDurable(state, completion.task.job, pending);
        task.phase = task_phase::dropped;
        return;
    }
    noteRunBegan(state, job, completion.task);
    if (completion.reason == completion_reason::done && !isContinuous) {
        ++state.counters.completionsDone;
        worker.consecutiveFailures = 0;
        task.phase = task_phase::done;
        task.checkpoint.clear();
        markDirty(state, job).completions.push_back(pending);
        onTaskDone(state, job, completion.task);
        return;
    }
    if (completion.reason == completion_reason::failed) {
        ++state.counters.completionsFailed;
        recordWorkerFailure(state, worker);
    }
    if (completion.reason != completion_reason::failed || isContinuous) {
        worker.completions.settle(completion.number);
        requeue(state, completion.task, task);
        return;
    }
    requeue(state, completion.task, task);
    recordFailedRun(state, job, task, completion, pending);
}

// Handles the success of a run that had been given up. The task is done, so its current run, if
// any, is stopped.
void applyLateSuccess(scheduler_state &state, job_record &job, task_state &task,
                      const completion_report &completion, const pending_completion &pending)
{
    if (mayHaveRun(task)) {
        worker_record &other = *state.findWorker(task.worker);
        ++state.counters.stops;
        state.ports.stop({task.worker, completion.task, task.lastRun, state.epoch});
        // A start command without an answer may still be carried out. The worker is avoided so that
        // resources remain for that run.
        if (task.phase != task_phase::running)
            other.avoidedUntil = std::max(other.avoidedUntil, state.now + lateCommandLimit);
        unbindRun(state, completion.task, task);
        // The flag holds until a report shows that the run is gone. The report of a poll that is
        // already in flight may predate the run and does not count.
        other.hasStrayRuns = true;
        other.strayPoll = other.lastPoll;
        state.noteRunsChanged(other);
    }
    task.countedRun = std::max(task.countedRun, completion.run);
    task.phase = task_phase::done;
    task.checkpoint.clear();
    noteRunBegan(state, job, completion.task);
    ++state.counters.completionsDone;
    markDirty(state, job).completions.push_back(pending);
    onTaskDone(state, job, completion.task);
}

// Handles the completion of a run that is no longer the current one. A success still counts,
// because the worker is about to forget it for good. A failure counts too: an earlier owner may
// have started the later run before the failure was durable.
void applyLateCompletion(scheduler_state &state, worker_record &worker, job_record &job,
                         task_state &task, const completion_report &completion)
{
    const pending_completion pending{worker.info.id, worker.incarnationStartUnixMs,
                                     completion.number};
    const bool mayCount = !job.isOver() && task.phase != task_phase::done
        && !specOf(job, completion.task).isContinuous;
    if (mayCount && completion.reason == completion_reason::done)
        applyLateSuccess(state, job, task, completion, pending);
    else if (mayCount && completion.reason == completion_reason::failed
             && !hasFailedRun(task, completion.run))
        recordFailedRun(state, job, task, completion, pending);
    else
        settleWhenDurable(state, completion.task.job, pending);
}

const char *toWord(completion_reason reason)
{
    switch (reason) {
    case completion_reason::done:
        return "done";
    case completion_reason::failed:
        return "failed";
    case completion_reason::stopped:
        return "stopped";
    case completion_reason::lapsed:
        return "lapsed";
    case completion_reason::gang_member_ended:
        return "broken";
    case completion_reason::gang_incomplete:
        return "alone";
    }
    return "unknown";
}

} // namespace

bool noteReported(scheduler_state &state, const worker_id &worker)
{
    if (!state.unreportedWorkers.erase(worker))
        return false;
    state.noteRunsChanged(*state.findWorker(worker));
    return !state.unreportedWorkers.mayHaveAny(possible_incarnation::known);
}

void markReported(scheduler_state &state, const worker_id &worker)
{
    if (noteReported(state, worker))
        releaseUnlocatedTasks(state);
}

void requeue(scheduler_state &state, const task_name &name, task_state &task)
{
    job_record &job = *state.findJob(name.job);
    if (job.isOver()) {
        task.phase = task_phase::dropped;
        return;
    }
    task.interruptedAt = state.now;
    // An earlier owner may have started a later run on a worker that has not reported yet, or may
    // have released the occurrence before it is due by the clock of this owner.
    const bool isHeld
        = state.unreportedWorkers.mayHave(name, possibleIncarnationOf(specOf(job, name)))
        || !job.occurrences.at(name.occurrence).isReleased;
    if (job.isRecovered && isHeld) {
        task.phase = task_phase::unlocated;
        return;
    }
    task.phase = task_phase::waiting;
    state.ready.push_back({&job, name.occurrence, name.step});
    state.isDispatchWanted = true;
}

void noteRunBegan(scheduler_state &state, job_record &job, const task_name &name)
{
    job.occurrences.at(name.occurrence).hasStarted = true;
    task_state &task = *job.find(name);
    if (!std::exchange(task.hasBegun, true) && specOf(job, name).isContinuous && !job.isOver())
        markDirty(state, job);
}

void handleCompletion(scheduler_state &state, worker_record &worker,
                      const completion_report &completion)
{
    if (!worker.completions.accept(completion.number, completion.task))
        return;
    task_state *task = findReportedTask(state, completion.task);
    const bool counts = task != nullptr && endsTrackedRun(worker, *task, completion);
    state.logDetail("task_end", [&] {
        return fmt::format("job={} task={} run={} worker={} end={} reason={} counted={}",
                           completion.task.job.value, toString(completion.task), completion.run,
                           worker.info.id.value, completion.number, toWord(completion.reason),
                           counts);
    });
    if (counts)
        applyCompletion(state, worker, *state.findJob(completion.task.job), *task, completion);
    else if (task != nullptr)
        applyLateCompletion(state, worker, *state.findJob(completion.task.job), *task, completion);
    else
        settleWhenDurable(state, completion.task.job,
                          {worker.info.id, worker.incarnationStartUnixMs, completion.number});
}

void handleLostRuns(scheduler_state &state, worker_record &worker, const char *reason,
                    const std::function<bool(const bound_run &)> &isLost)
{
    std::vector<task_name> lost;
    for (const auto &[name, run] : worker.runs) {
        if (isLost(run))
            lost.push_back(name);
    }
    if (lost.empty())
        return;
    state.ports.log("runs_lost",
                    fmt::format("worker={} runs={} reason={} born={} bound={}",
                                worker.info.id.value, lost.size(), reason,
                                worker.incarnationStartUnixMs,
                                toWord(worker.lease.latestSource())));
    for (const task_name &name : lost) {
        const bound_run &run = worker.runs.at(name);
        state.logDetail("run_given_up", [&] {
            return fmt::format("job={} task={} run={} worker={} reason={} confirmed={}",
                               name.job.value, toString(name), run.run, worker.info.id.value,
                               reason, run.isConfirmed);
        });
        task_state &task = *run.task;
        noteRunEnded(state, *run.job, name, task, false);
        unbindRun(state, name, task);
        requeue(state, name, task);
        // The run may have ended when the worker fell silent, long before its lease lapsed.
        task.interruptedAt = std::max(worker.lastReportAt, task.runSince);
        ++state.counters.runsLost;
    }
}

void sendStop(scheduler_state &state, const task_name &name, task_state &task)
{
    task.phase = task_phase::stopping;
    task.isStopAnswered = false;
    task.resendStopAt = state.now + stopRetryInterval;
    state.stopsToResend.emplace_back(task.resendStopAt, name);
    ++state.counters.stops;
    state.ports.stop({task.worker, name, task.lastRun, state.epoch});
}

void resendStops(scheduler_state &state)
{
    while (!state.stopsToResend.empty() && state.stopsToResend.front().first <= state.now) {
        const task_name name = state.stopsToResend.front().second;
        state.stopsToResend.pop_front();
        task_state *task = state.findTask(name);
        const bool isOverdue = task != nullptr && task->phase == task_phase::stopping
            && !task->isStopAnswered && task->resendStopAt <= state.now;
        if (isOverdue)
            sendStop(state, name, *task);
    }
}

void failIfExhausted(scheduler_state &state, job_record &job)
{
    if (job.isOver())
        return;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (int step = 0; step < int(occurrence.steps.size()); ++step) {
            const auto &tasks = occurrence.steps[std::size_t(step)];
            const auto exhausted
                = std::find_if(tasks.begin(), tasks.end(), [&](const task_state &task) {
                      return task.phase != task_phase::done && isExhausted(job, task);
                  });
            if (exhausted == tasks.end())
                continue;
            const int index = int(exhausted - tasks.begin());
            failJob(state, job, {job.spec.name, number, step, index},
                    int(exhausted->failedRuns.size()));
            return;
        }
    }
}

void dropTasks(scheduler_state &state, job_record &job)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (int step = 0; step < int(occurrence.steps.size()); ++step) {
            auto &tasks = occurrence.steps[std::size_t(step)];
            for (int index = 0; index < int(tasks.size()); ++index) {
                task_state &task = tasks[std::size_t(index)];
                if (mayHaveRun(task))
                    sendStop(state, {job.spec.name, number, step, index}, task);
                else if (task.phase != task_phase::done)
                    task.phase = task_phase::dropped;
            }
        }
    }
}

} // namespace crocuswind::scheduler
