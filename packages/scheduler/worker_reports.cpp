#include "worker_reports.h"

#include "occurrences.h"
#include "pace_control.h"
#include "run_binding.h"
#include "silent_workers.h"
#include "task_lifecycle.h"
#include "worker_incarnation.h"
#include "worker_polls.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace crocuswind::scheduler {

namespace {

/// Runs are given up only after this many consecutive polls without an answer. For a worker that is
/// stored as silent, one is enough: earlier ones have failed before.
constexpr int minFailedPolls = 2;
constexpr int minFailedPollsOfSilentWorker = 1;
/// Interval of the check for unanswered stop commands and lapsed leases.
constexpr duration reviewInterval = 100ms;

/// After a refused or failed start, no task is started on the worker for this time.
constexpr duration refusedStartBackoff = 300ms;

void adoptRun(scheduler_state &state, worker_record &worker, const running_report &row,
              task_state &task)
{
    bindRun(state, worker, row.task, task, row.run);
    task.phase = task_phase::running;
    task.pacePercent = unknownPace;
    task.runSince = state.now;
    job_record &job = *state.findJob(row.task.job);
    noteRunBegan(state, job, row.task);
    // An earlier run may have succeeded, although its owner had given it up.
    const bool isFirstRun = row.run == 1;
    if (isFirstRun)
        excludeStartsAfter(job, row.task);
    state.logDetail("run_adopted", [&] {
        return fmt::format("job={} task={} run={} worker={}", job.spec.name.value,
                           toString(row.task), row.run, worker.info.id.value);
    });
}

// Stops a run that is not the current run of its task.
void stopStrayRun(scheduler_state &state, worker_record &worker, const running_report &row)
{
    worker.hasStrayRuns = true;
    ++state.counters.stops;
    state.logDetail("stray_run", [&] {
        return fmt::format("job={} task={} run={} worker={}", row.task.job.value,
                           toString(row.task), row.run, worker.info.id.value);
    });
    state.ports.stop({worker.info.id, row.task, row.run, state.epoch});
}

// Adopts a reported run that is not bound to the worker if its task is `unlocated`. Returns the
// bound run, or null.
bound_run *adoptIfUnlocated(scheduler_state &state, worker_record &worker,
                            const running_report &row)
{
    task_state *task = findReportedTask(state, row.task);
    const bool isAdopted
        = task != nullptr && task->phase == task_phase::unlocated && row.run > task->countedRun;
    if (!isAdopted)
        return nullptr;
    adoptRun(state, worker, row, *task);
    return &worker.runs.at(row.task);
}

void handleRunning(scheduler_state &state, worker_record &worker, const running_report &row,
                   std::uint64_t poll)
{
    const auto found = worker.runs.find(row.task);
    bound_run *bound
        = found != worker.runs.end() ? &found->second : adoptIfUnlocated(state, worker, row);
    if (bound == nullptr) {
        stopStrayRun(state, worker, row);
        return;
    }
    bound->lastSeenPoll = poll;
    task_state &task = *bound->task;
    if (task.lastRun != row.run) {
        stopStrayRun(state, worker, row);
        return;
    }
    bound->isConfirmed = true;
    if (task.phase != task_phase::running)
        noteRunBegan(state, *bound->job, row.task);
    if (task.phase == task_phase::starting || task.phase == task_phase::uncertain)
        task.phase = task_phase::running;
    if (!row.checkpoint.empty())
        task.checkpoint = row.checkpoint;
    task.progressPercent = row.progressPercent;
    task.measurement = row.measurement;
}

// Handles a bound run that is missing from a report. The run does not exist if the poll is late
// enough.
void handleAbsent(scheduler_state &state, worker_record &worker, const task_name &name,
                  task_state &task, std::uint64_t poll)
{
    if (task.phase == task_phase::starting || poll <= task.lastPollBeforeAnswer)
        return;
    if (task.phase == task_phase::uncertain) {
        sendStop(state, name, task);
        return;
    }
    if (task.phase == task_phase::stopping && !task.isStopAnswered)
        return;
    const bool wasStopped = task.phase == task_phase::stopping;
    if (!wasStopped) {
        ++state.counters.runsLost;
        state.logDetail("run_lost", [&] {
            return fmt::format("job={} task={} run={} worker={} poll={}", name.job.value,
                               toString(name), task.lastRun, worker.info.id.value, poll);
        });
    }
    unbindRun(state, name, task);
    requeue(state, name, task);
}

// Handles the bound runs that the report of poll number \p poll lacks.
void handleAbsentRuns(scheduler_state &state, worker_record &worker, std::uint64_t poll)
{
    for (auto next = worker.runs.begin(); next != worker.runs.end();) {
        const auto &[boundName, run] = *next++;
        if (run.lastSeenPoll == poll)
            continue;
        const task_name name = boundName; // A copy, because unbinding the run removes the key.
        handleAbsent(state, worker, name, *run.task, poll);
    }
}

// Logs which incarnation this owner takes a worker of an earlier owner for from now on.
void logFirstReport(scheduler_state &state, const worker_record &worker)
{
    if (!state.unreportedWorkers.contains(worker.info.id))
        return;
    state.logDetail("incarnation_known", [&] {
        return fmt::format("worker={} born={} stored_born={} bound={}", worker.info.id.value,
                           worker.incarnationStartUnixMs, worker.storedIncarnationStartUnixMs,
                           toWord(worker.lease.latestSource()));
    });
}

void handleReport(scheduler_state &state, worker_record &worker, const poll_command &command,
                  const worker_report &report)
{
    const bool areStartsKnown
        = report.incarnationStartUnixMs != 0 && worker.incarnationStartUnixMs != 0;
    const bool isNewIncarnation = areStartsKnown
        ? report.incarnationStartUnixMs != worker.incarnationStartUnixMs
        : worker.lease.isClockReset(report.clockMs, state.now);
    if (isNewIncarnation)
        restartWorker(state, worker, report.incarnationStartUnixMs);
    worker.incarnationStartUnixMs = report.incarnationStartUnixMs;
    if (!isIncarnationStored(worker))
        state.isWorkerListDirty = true;
    worker.knownAliveAt = worker.pollSentAt;
    worker.lease.recordClock(report.clockMs, state.now);
    worker.clockCeiling.record(report.clockMs, worker.pollSentAt, state.now);
    limitInheritedLeases(state, worker, report.clockMs);
    if (!isNewIncarnation)
        worker.ackedCompletions = std::max(worker.ackedCompletions, command.ackedCompletions);
    if (worker.ackedCompletions >= worker.completions.settledUpTo())
        worker.unacknowledgedSince.reset();
    for (const completion_report &completion : report.completedRuns)
        handleCompletion(state, worker, completion);
    const bool hadStrayRuns
        = std::exchange(worker.hasStrayRuns, command.number <= worker.strayPoll);
    for (const running_report &row : report.running)
        handleRunning(state, worker, row, command.number);
    if (worker.hasStrayRuns != hadStrayRuns)
        state.noteRunsChanged(worker);
    // A run that a partial report lacks may be among the completions that are not listed yet.
    if (report.isWhole)
        handleAbsentRuns(state, worker, command.number);
    else
        state.logDetail("partial_report", [&] {
            return fmt::format("worker={} poll={} completions={}", worker.info.id.value,
                               command.number, report.completedRuns.size());
        });
    // Until then, a command that was meant for a former incarnation may extend the lease or start a
    // run.
    const bool isFenced = command.number > worker.lastPollBeforeFence;
    if (!worker.hasReported && isFenced) {
        logFirstReport(state, worker);
        worker.unheardUntil.reset();
        if (worker.lease.misdirectedUntil())
            worker.lease.limitMisdirectedLapse(longestRunEnd(state, state.now));
        worker.hasReported = true;
        worker.firstReportAt = state.now;
        state.isDispatchWanted = true;
    }
    if (report.isWhole)
        markReported(state, worker.info.id);
}

// Handles an answer of another incarnation at the worker's address: the known incarnation is gone,
// and so are its runs.
void replaceWorker(scheduler_state &state, worker_record &worker)
{
    if (worker.hasReported || !worker.runs.empty())
        state.ports.log("worker_replaced",
                        fmt::format("worker={} runs={}", worker.info.id.value, worker.runs.size()));
    handleLostRuns(state, worker, "worker_replaced", [](const bound_run &) { return true; });
    worker.hasReported = false;
    markReported(state, worker.info.id);
    scheduleReplacedPoll(state, worker);
}

// Handles a start that was certainly not carried out.
void undoStart(scheduler_state &state, worker_record &worker, const start_command &command,
               task_state &task, command_outcome outcome)
{
    ++state.counters.startsRejected;
    // A worker without runs may not be polled for seconds. Its process may have ended.
    if (outcome == command_outcome::connection_refused && !worker.isPollInFlight)
        state.bringPollForward(worker, state.now);
    worker.avoidedUntil = std::max(worker.avoidedUntil, state.now + refusedStartBackoff);
    unbindRun(state, command.task, task);
    requeue(state, command.task, task);
}

const char *toWord(command_outcome outcome)
{
    switch (outcome) {
    case command_outcome::done:
        return "done";
    case command_outcome::refused_stale_epoch:
        return "fence";
    case command_outcome::refused_stale_run:
        return "old";
    case command_outcome::refused_lease_expired:
        return "late";
    case command_outcome::refused_no_capacity:
        return "room";
    case command_outcome::refused_ticket:
        return "ticket";
    case command_outcome::invalid:
        return "invalid";
    case command_outcome::not_done:
        return "not_done";
    case command_outcome::other_incarnation:
        return "other_incarnation";
    case command_outcome::connection_refused:
        return "connection_refused";
    case command_outcome::no_answer:
        return "no_answer";
    }
    return "unknown";
}

// Returns true if a run that an earlier owner started may exist on an incarnation of the worker
// that has answered no owner.
bool mayHaveUnheardRuns(const scheduler_state &state, const worker_record &worker)
{
    return worker.unheardUntil && state.inputHandledUntil <= *worker.unheardUntil;
}

// Logs that tasks which an earlier owner may have started on the worker may start elsewhere.
void logGivenUp(const scheduler_state &state, const worker_record &worker)
{
    const auto since
        = std::chrono::duration_cast<std::chrono::milliseconds>(state.now - state.tookOverAt);
    state.ports.log("former_worker_given_up",
                    fmt::format("worker={} born={} bound={} last_lease_epoch={} "
                                "stored_as_silent={} failed_polls={} since_take_over_ms={}",
                                worker.info.id.value, worker.incarnationStartUnixMs,
                                toWord(worker.lease.latestSource()), worker.lastLeaseEpoch,
                                worker.isStoredAsSilent, worker.failedPolls, since.count()));
}

// Gives up the runs that earlier owners started on a worker whose lease has lapsed, apart from
// those that may be on an incarnation without an answer. Returns true if unlocated tasks may be
// free.
bool giveUpInheritedRuns(scheduler_state &state, worker_record &worker)
{
    if (!state.unreportedWorkers.contains(worker.info.id))
        return false;
    if (!mayHaveUnheardRuns(state, worker)) {
        logGivenUp(state, worker);
        return noteReported(state, worker.info.id);
    }
    if (!state.unreportedWorkers.excludeKnownIncarnation(worker.info.id))
        return false;
    const auto timeLeft
        = std::chrono::duration_cast<std::chrono::milliseconds>(*worker.unheardUntil - state.now);
    state.ports.log("known_incarnation_given_up",
                    fmt::format("worker={} born={} bound={} last_lease_epoch={} "
                                "unanswered_left_ms={}",
                                worker.info.id.value, worker.incarnationStartUnixMs,
                                toWord(worker.lease.latestSource()), worker.lastLeaseEpoch,
                                timeLeft.count()));
    return !state.unreportedWorkers.mayHaveAny(possible_incarnation::known);
}

void notePollFailure(scheduler_state &state, worker_record &worker, command_outcome outcome)
{
    if (worker.failedPolls++ == 0)
        state.ports.log("worker_unresponsive",
                        fmt::format("worker={} outcome={} runs={}", worker.info.id.value,
                                    toWord(outcome), worker.runs.size()));
    scheduleFailedPoll(state, worker);
}

} // namespace

void reviewWorkers(scheduler_state &state)
{
    if (state.now < state.nextReviewAt)
        return;
    state.nextReviewAt = state.now + reviewInterval;
    bool isReleaseDue = false;
    for (auto &[id, worker] : state.workers) {
        const bool mayHaveInheritedRuns = state.unreportedWorkers.contains(id);
        if (worker.runs.empty() && !mayHaveInheritedRuns)
            continue;
        const int neededFailures
            = worker.isStoredAsSilent ? minFailedPollsOfSilentWorker : minFailedPolls;
        // Runs are given up only while no later owner can exist, which could have found them and
        // renewed the lease. The lease is checked at the time up to which input has been handled,
        // because a process that was delayed may run its timers before it reads reports that
        // arrived before the lease lapsed. Failed polls are required because an owner short of
        // processor time may not have polled the worker in time; such a worker can still report its
        // runs.
        if (worker.lease.hasLapsed(state.inputHandledUntil) && state.now < state.exclusiveUntil
            && worker.failedPolls >= neededFailures) {
            handleLostRuns(state, worker, "lease_lapsed",
                           [&](const bound_run &run) { return !mayOutliveLease(state, run); });
            worker.hasReported = false;
            isReleaseDue = giveUpInheritedRuns(state, worker) || isReleaseDue;
        }
    }
    if (isReleaseDue)
        releaseUnlocatedTasks(state);
    reviewSilentWorkers(state);
    resendStops(state);
}

void handlePollResult(scheduler_state &state, const poll_command &command,
                      const poll_result &result)
{
    worker_record *worker = state.findWorker(command.worker);
    if (worker == nullptr || command.number != worker->lastPoll)
        return;
    notePollEnded(state, *worker);
    if (std::exchange(worker->isAcknowledgementInFlight, false)) {
        state.noteWorkerChanged(*worker);
        state.isDispatchWanted = true;
    }
    switch (result.outcome) {
    case command_outcome::done:
        if (worker->failedPolls > 0)
            state.ports.log("worker_responsive",
                            fmt::format("worker={} failed_polls={}", command.worker.value,
                                        worker->failedPolls));
        worker->failedPolls = 0;
        worker->lastReportAt = state.now;
        handleReport(state, *worker, command, result.report);
        controlPace(state, *worker);
        state.noteWorkerChanged(*worker);
        scheduleNextPoll(state, *worker);
        return;
    case command_outcome::refused_stale_epoch:
        state.ports.log("fenced",
                        fmt::format("worker={} epoch={}", command.worker.value, state.epoch));
        state.isDeposed = true;
        return;
    case command_outcome::other_incarnation:
        replaceWorker(state, *worker);
        return;
    default:
        notePollFailure(state, *worker, result.outcome);
    }
}

void handleStartResult(scheduler_state &state, const start_command &command,
                       const command_result &result)
{
    worker_record *worker = state.findWorker(command.worker);
    task_state *task = state.findTask(command.task);
    if (worker == nullptr || task == nullptr || task->worker != command.worker
        || task->lastRun != command.run)
        return;
    if (result.clockMs) {
        // If the clock shows a restart, the new incarnation has answered and the outcome applies to
        // it.
        if (worker->lease.isClockReset(*result.clockMs, state.now))
            restartWorker(state, *worker, 0);
        worker->lease.recordClock(*result.clockMs, state.now);
    }
    if (result.outcome != command_outcome::done)
        state.logDetail("start_failed", [&] {
            return fmt::format("job={} task={} run={} worker={} outcome={}", command.task.job.value,
                               toString(command.task), command.run, command.worker.value,
                               toWord(result.outcome));
        });
    task->lastPollBeforeAnswer = worker->lastPoll;
    // If a stop was sent before this answer arrived, the result of the stop decides about the run.
    if (task->phase != task_phase::starting)
        return;
    switch (result.outcome) {
    case command_outcome::done:
        task->phase = task_phase::running;
        if (result.clockMs && isFromKnownIncarnation(state, *worker, *result.clockMs)) {
            worker->runs.at(command.task).isConfirmed = true;
            worker->knownAliveAt = std::max(worker->knownAliveAt, command.sentAt);
        }
        noteRunBegan(state, *state.findJob(command.task.job), command.task);
        onRunConfirmed(state, *worker, command.task, *task);
        if (!worker->isPollInFlight)
            state.bringPollForward(*worker, state.now + pollPause);
        return;
    case command_outcome::refused_stale_epoch:
        state.isDeposed = true;
        return;
    case command_outcome::other_incarnation:
        replaceWorker(state, *worker);
        return;
    case command_outcome::no_answer:
        ++state.counters.startsUnanswered;
        task->phase = task_phase::uncertain;
        state.bringPollForward(*worker, state.now);
        return;
    default:
        undoStart(state, *worker, command, *task, result.outcome);
    }
}

void handleStopResult(scheduler_state &state, const stop_command &command,
                      const command_result &result)
{
    worker_record *worker = state.findWorker(command.worker);
    task_state *task = state.findTask(command.task);
    if (result.outcome == command_outcome::refused_stale_epoch)
        state.isDeposed = true;
    if (worker == nullptr || task == nullptr || task->worker != command.worker
        || task->lastRun != command.run || task->phase != task_phase::stopping)
        return;
    if (result.outcome != command_outcome::done)
        return;
    task->isStopAnswered = true;
    task->lastPollBeforeAnswer = worker->lastPoll;
    state.bringPollForward(*worker, state.now);
}

} // namespace crocuswind::scheduler
