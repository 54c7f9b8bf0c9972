#include "worker_reports.h"

#include "evacuation.h"
#include "pace_control.h"
#include "run_binding.h"
#include "task_lifecycle.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace crocuswind::scheduler {

namespace {

/// A poll of a worker that runs tasks waits this long for an end.
constexpr std::int64_t pollWaitMs = 1000;
/// Where work in idle room may interfere with serving tasks, their latency is read this often.
constexpr std::int64_t watchfulPollWaitMs = 400;

/// Ends that arrive shortly after another share one poll and one commit.
constexpr duration pollPause = 40ms;
/// A worker with nothing to tell is looked at this often, for its clock and its incarnation.
constexpr duration idlePollInterval = 10s;

/// Of workers with ends that are not durable yet, which the commit brings forward. During an outage
/// of the store these polls keep the leases of the other runs there.
constexpr duration unsettledPollInterval = 2s;
/// A worker that does not answer is asked again after this time.
constexpr duration failedPollInterval = 250ms;
/// Runs are given up only after this many polls in a row without an answer.
constexpr int minFailedPolls = 2;
/// Service discovery removes a worker that was replaced within a few seconds.
constexpr duration replacedPollInterval = 1s;

constexpr duration pollScanInterval = 5ms;

/// Stops without an answer and leases are looked at this often.
constexpr duration reviewInterval = 100ms;

/// Orders are not sent when less than this of the authority to grant leases is left.
constexpr duration minLease = 1s;

/// A worker that refuses a start for want of room or that is unwell is left alone for this time.
constexpr duration refusedStartRest = 300ms;

bool isWorthPolling(const worker_record &worker)
{
    return !worker.runs.empty() || worker.ends.settledUpTo() > worker.ackedEnds || !worker.isCurrent
        || worker.hasStrayRuns;
}

void sendPoll(scheduler_state &state, worker_record &worker)
{
    poll_order order;
    order.worker = worker.info.id;
    order.address = worker.info.address;
    order.number = ++worker.lastPoll;
    order.epoch = state.epoch;
    // A worker that may have been restarted would forget ends of its new incarnation by an old
    // number.
    const bool isSameIncarnationLikely = worker.isCurrent && worker.failedPolls == 0
        && state.now - worker.lastReportAt < sameIncarnationLimit;
    order.ackedEnds = isSameIncarnationLikely ? worker.ends.settledUpTo() : 0;
    const auto lease = leaseEnd(state);
    // A worker that does not answer may still receive this; were its lease renewed, it would never
    // be known to have lapsed.
    const bool renewsLease
        = lease && worker.lease.isClockKnown() && !worker.runs.empty() && worker.failedPolls == 0;
    if (renewsLease)
        order.leaseUntilMs = worker.lease.grantUntil(*lease, state.now);
    if (isSameIncarnationLikely && !worker.runs.empty() && !worker.ends.hasUnsettled())
        order.waitMs = needsWatchfulPolls(worker) ? watchfulPollWaitMs : pollWaitMs;
    worker.isPolled = true;
    ++state.counters.polls;
    state.ports.poll(order);
}

void adoptRun(scheduler_state &state, worker_record &worker, const running_report &row,
              task_state &task)
{
    bindRun(state, worker, row.task, task, row.run);
    task.phase = task_phase::running;
    task.pacePercent = unknownPace;
    task.runSince = state.now;
    job_record &job = *state.findJob(row.task.job);
    job.occurrences.at(row.task.occurrence).hasBegun = true;
    state.logDetail("run_adopted", [&] {
        return fmt::format("job={} task={} run={} worker={}", job.spec.name.value,
                           toString(row.task), row.run, worker.info.id.value);
    });
}

// A run that is not the task's current one must not go on.
void stopStray(scheduler_state &state, worker_record &worker, const running_report &row)
{
    worker.hasStrayRuns = true;
    ++state.counters.stops;
    state.logDetail("stray_run", [&] {
        return fmt::format("job={} task={} run={} worker={}", row.task.job.value,
                           toString(row.task), row.run, worker.info.id.value);
    });
    state.ports.stop({worker.info.id, row.task, row.run, state.epoch});
}

// Takes in a run that is not bound to the worker. Returns it if it is bound now.
bound_run *takeInRun(scheduler_state &state, worker_record &worker, const running_report &row)
{
    task_state *task = state.findTask(row.task);
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
    bound_run *bound = found != worker.runs.end() ? &found->second : takeInRun(state, worker, row);
    if (bound == nullptr) {
        stopStray(state, worker, row);
        return;
    }
    bound->shownPoll = poll;
    task_state &task = *bound->task;
    if (task.lastRun != row.run) {
        stopStray(state, worker, row);
        return;
    }
    if (task.phase == task_phase::starting || task.phase == task_phase::uncertain)
        task.phase = task_phase::running;
    if (!row.saved.empty())
        task.saved = row.saved;
    task.progressPercent = row.progressPercent;
    task.figure = row.figure;
}

// A run that a sufficiently late poll did not show does not exist.
void handleAbsent(scheduler_state &state, worker_record &worker, const task_name &name,
                  task_state &task, std::uint64_t poll)
{
    if (task.phase == task_phase::starting || poll <= task.settledPoll)
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

void handleReport(scheduler_state &state, worker_record &worker, const poll_order &order,
                  const worker_report &report)
{
    const bool isNewIncarnation = (report.bornUnixMs != 0 && worker.bornUnixMs != 0
                                   && report.bornUnixMs != worker.bornUnixMs)
        || worker.lease.isClockBack(report.clockMs, state.now);
    if (isNewIncarnation)
        restartWorker(state, worker, report.bornUnixMs);
    worker.bornUnixMs = report.bornUnixMs;
    worker.lease.noteClock(report.clockMs, state.now);
    if (!isNewIncarnation)
        worker.ackedEnds = std::max(worker.ackedEnds, order.ackedEnds);
    for (const ended_report &end : report.ended)
        handleEnd(state, worker, end);
    const bool hadStrayRuns = std::exchange(worker.hasStrayRuns, order.number <= worker.strayPoll);
    for (const running_report &row : report.running)
        handleRunning(state, worker, row, order.number);
    if (worker.hasStrayRuns != hadStrayRuns)
        state.noteRunsChanged(worker);
    for (auto next = worker.runs.begin(); next != worker.runs.end();) {
        const auto &[shownName, run] = *next++;
        if (run.shownPoll == order.number)
            continue;
        const task_name name = shownName; // The run may be unbound.
        handleAbsent(state, worker, name, *run.task, order.number);
    }
    if (!worker.isCurrent) {
        worker.isCurrent = true;
        worker.currentSince = state.now;
        state.isDispatchWanted = true;
    }
    noteReported(state, worker.info.id);
}

void scheduleNextPoll(scheduler_state &state, worker_record &worker)
{
    if (worker.ends.hasUnsettled())
        state.schedulePoll(worker, state.now + unsettledPollInterval);
    else if (isWorthPolling(worker))
        state.schedulePoll(worker, state.now + pollPause);
    else
        state.schedulePoll(worker, state.now + idlePollInterval);
}

// Another worker answers at the address: the one that we know is gone with all that ran there.
void replaceWorker(scheduler_state &state, worker_record &worker)
{
    if (worker.isCurrent || !worker.runs.empty())
        state.ports.log("worker_replaced",
                        fmt::format("worker={} runs={}", worker.info.id.value, worker.runs.size()));
    loseRuns(state, worker, "worker_replaced");
    worker.isCurrent = false;
    noteReported(state, worker.info.id);
    state.schedulePoll(worker, state.now + replacedPollInterval);
}

void scheduleFailedPoll(scheduler_state &state, worker_record &worker)
{
    state.schedulePoll(worker,
                       state.now + (worker.isListed ? failedPollInterval : 4 * failedPollInterval));
}

// The start was surely not carried out.
void undoStart(scheduler_state &state, worker_record &worker, const start_order &order,
               task_state &task)
{
    ++state.counters.startsRejected;
    worker.avoidedUntil = std::max(worker.avoidedUntil, state.now + refusedStartRest);
    unbindRun(state, order.task, task);
    requeue(state, order.task, task);
}

const char *toWord(order_outcome outcome)
{
    switch (outcome) {
    case order_outcome::done:
        return "done";
    case order_outcome::refused_fence:
        return "fence";
    case order_outcome::refused_old:
        return "old";
    case order_outcome::refused_late:
        return "late";
    case order_outcome::refused_room:
        return "room";
    case order_outcome::refused_ticket:
        return "ticket";
    case order_outcome::invalid:
        return "invalid";
    case order_outcome::not_done:
        return "not_done";
    case order_outcome::other_incarnation:
        return "other_incarnation";
    case order_outcome::connection_refused:
        return "connection_refused";
    case order_outcome::no_answer:
        return "no_answer";
    }
    return "unknown";
}

void notePollFailure(scheduler_state &state, worker_record &worker, order_outcome outcome)
{
    if (worker.failedPolls++ == 0)
        state.ports.log("worker_unresponsive",
                        fmt::format("worker={} outcome={} runs={}", worker.info.id.value,
                                    toWord(outcome), worker.runs.size()));
    scheduleFailedPoll(state, worker);
}

} // namespace

std::optional<instant> leaseEnd(const scheduler_state &state)
{
    if (state.authorityUntil < state.now + minLease)
        return std::nullopt;
    return std::min(state.now + state.settings.workerLease, state.authorityUntil);
}

void restartWorker(scheduler_state &state, worker_record &worker, std::int64_t bornUnixMs)
{
    state.ports.log("worker_restarted",
                    fmt::format("worker={} born_before={} born={}", worker.info.id.value,
                                worker.bornUnixMs, bornUnixMs));
    // The next report tells which runs exist: some may have been started in the new incarnation
    // already. An order meant for the former incarnation may be carried out by the new one, whose
    // clock starts anew.
    worker.ends = end_cursor();
    worker.lease = worker_lease();
    worker.lease.limitLapse(state.now + state.settings.longestLease);
    worker.ackedEnds = 0;
    worker.isCurrent = false;
    worker.bornUnixMs = bornUnixMs;
    worker.failuresInRow = 0;
    state.schedulePoll(worker, state.now);
}

void pollWorkers(scheduler_state &state)
{
    if (state.now < state.nextPollScanAt)
        return;
    instant next = state.now + idlePollInterval;
    for (auto &[id, worker] : state.workers) {
        if (worker.isPolled)
            continue;
        const bool isKnown = worker.isListed || !worker.runs.empty() || !worker.isCurrent;
        if (worker.nextPollAt <= state.now && isKnown)
            sendPoll(state, worker);
        else if (isKnown)
            next = std::min(next, worker.nextPollAt);
    }
    // A fleet has a poll due at almost any moment; one scan serves those of a short time.
    state.nextPollScanAt = std::max(next, state.now + pollScanInterval);
}

instant nextWorkerWake(const scheduler_state &state)
{
    return std::min(state.nextReviewAt, state.nextPollScanAt);
}

void reviewWorkers(scheduler_state &state)
{
    if (state.now < state.nextReviewAt)
        return;
    state.nextReviewAt = state.now + reviewInterval;
    for (auto &[id, worker] : state.workers) {
        const bool hasInherited = state.unreportedWorkers.contains(id);
        if (worker.runs.empty() && !hasInherited)
            continue;
        // A later owner may have found these runs and renewed the lease, so they are given up only
        // while there cannot be one. Reports that arrived before the lease lapsed are handled
        // first: a process that was held up may run its timers before it reads its input. A worker
        // that was not asked in time, by an owner short of processor time, can still tell.
        if (worker.lease.hasLapsed(state.inputReadUntil) && state.now < state.soleUntil
            && worker.failedPolls >= minFailedPolls) {
            loseRuns(state, worker, "lease_lapsed");
            worker.isCurrent = false;
            noteReported(state, id);
        }
    }
    repeatStops(state);
}

void handlePollResult(scheduler_state &state, const poll_order &order, const poll_result &result)
{
    worker_record *worker = state.findWorker(order.worker);
    if (worker == nullptr || order.number != worker->lastPoll)
        return;
    worker->isPolled = false;
    switch (result.outcome) {
    case order_outcome::done:
        if (worker->failedPolls > 0)
            state.ports.log(
                "worker_responsive",
                fmt::format("worker={} failed_polls={}", order.worker.value, worker->failedPolls));
        worker->failedPolls = 0;
        worker->lastReportAt = state.now;
        handleReport(state, *worker, order, result.report);
        controlPace(state, *worker);
        evacuateWorker(state, *worker);
        scheduleNextPoll(state, *worker);
        return;
    case order_outcome::refused_fence:
        state.ports.log("fenced",
                        fmt::format("worker={} epoch={}", order.worker.value, state.epoch));
        state.isDeposed = true;
        return;
    case order_outcome::other_incarnation:
        replaceWorker(state, *worker);
        return;
    default:
        notePollFailure(state, *worker, result.outcome);
    }
}

void handleStartResult(scheduler_state &state, const start_order &order, const order_result &result)
{
    worker_record *worker = state.findWorker(order.worker);
    task_state *task = state.findTask(order.task);
    if (worker == nullptr || task == nullptr || task->worker != order.worker
        || task->lastRun != order.run)
        return;
    if (result.clockMs) {
        // The new incarnation has answered: the outcome holds for it.
        if (worker->lease.isClockBack(*result.clockMs, state.now))
            restartWorker(state, *worker, 0);
        worker->lease.noteClock(*result.clockMs, state.now);
    }
    if (result.outcome != order_outcome::done)
        state.logDetail("start_failed", [&] {
            return fmt::format("job={} task={} run={} worker={} outcome={}", order.task.job.value,
                               toString(order.task), order.run, order.worker.value,
                               toWord(result.outcome));
        });
    task->settledPoll = worker->lastPoll;
    // A stop that overtook the answer decides what becomes of the run.
    if (task->phase != task_phase::starting)
        return;
    switch (result.outcome) {
    case order_outcome::done:
        task->phase = task_phase::running;
        onRunConfirmed(state, *worker, order.task, *task);
        if (!worker->isPolled)
            state.bringPollForward(*worker, state.now + pollPause);
        return;
    case order_outcome::refused_fence:
        state.isDeposed = true;
        return;
    case order_outcome::other_incarnation:
        replaceWorker(state, *worker);
        return;
    case order_outcome::no_answer:
        ++state.counters.startsUnanswered;
        task->phase = task_phase::uncertain;
        state.bringPollForward(*worker, state.now);
        return;
    default:
        undoStart(state, *worker, order, *task);
    }
}

void handleStopResult(scheduler_state &state, const stop_order &order, const order_result &result)
{
    worker_record *worker = state.findWorker(order.worker);
    task_state *task = state.findTask(order.task);
    if (result.outcome == order_outcome::refused_fence)
        state.isDeposed = true;
    if (worker == nullptr || task == nullptr || task->worker != order.worker
        || task->lastRun != order.run || task->phase != task_phase::stopping)
        return;
    if (result.outcome != order_outcome::done)
        return;
    task->isStopAnswered = true;
    task->settledPoll = worker->lastPoll;
    state.bringPollForward(*worker, state.now);
}

} // namespace crocuswind::scheduler
