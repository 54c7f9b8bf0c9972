#include "worker_reports.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace crocuswind {

namespace {

/// Delay before a failed task is retried; quadrupled with each further failure, up to the limit
/// below.
constexpr duration firstRetryDelay = 1s;
constexpr int maxRetryDoublings = 8;
/// A job that failed on this many workers, or on all workers that can hold it, is considered
/// faulty.
constexpr std::size_t faultyJobWorkers = 3;
/// A start counts as refused after this many reports that do not list the task.
constexpr int maxMissingReports = 5;
/// Delay before a continuous task or a service that ended by itself is restarted.
constexpr duration restartDelay = 5s;

duration retryDelay(int failures)
{
    return firstRetryDelay * (1 << std::min(2 * failures, maxRetryDoublings));
}

std::size_t capableWorkers(const shard_state &state, const resources &size)
{
    return std::size_t(
        std::count_if(state.sessions.begin(), state.sessions.end(), [&](const auto &entry) {
            const worker_session &session = entry.second;
            return session.isListed && session.hasReported && fitsInto(size, session.info.capacity);
        }));
}

void recordSuccess(shard_state &state, worker_session &session, instant startedAt)
{
    for (const task_key &key : session.health.recordSuccess(startedAt)) {
        job_entry *job = state.jobs.find(key.job);
        if (job == nullptr)
            continue;
        task_runtime &runtime = job->runtime[std::size_t(key.replica)];
        if (runtime.chargedOn.erase(session.info.worker) == 0)
            state.chargeFailure(key);
    }
    if (!session.health.isQuarantined())
        state.endQuarantine(session);
}

void handleFailure(shard_state &state, worker_session &session, job_entry &job, int replica,
                   const std::string &reason)
{
    const worker_id worker = session.info.worker;
    const task_key key{job.record.spec.id, replica};
    task_record &task = job.record.tasks[std::size_t(replica)];
    task_runtime &runtime = job.runtime[std::size_t(replica)];
    runtime.failedOn.insert(worker);
    task.result = reason;
    session.health.recordFailure(state.now, key, runtime.firstStartAt);
    const std::size_t needed
        = std::min(faultyJobWorkers, capableWorkers(state, job.record.spec.size));
    const bool isCharged = runtime.failedOn.size() >= needed && !session.health.isQuarantined();
    if (isCharged)
        runtime.chargedOn.insert(worker);
    const int failures = task.failures + int(session.health.failuresOf(key));
    state.requeue(job, replica, state.now + retryDelay(std::max(failures - 1, 0)));
    if (isCharged)
        state.chargeFailure(key);
    state.quarantineIfFailing(session);
}

void handleFirstReport(shard_state &state, worker_session &session, job_entry &job,
                       const task_report &reported)
{
    task_runtime &runtime = job.runtime[std::size_t(reported.task.replica)];
    if (job.trace && runtime.firstStartAt != instant()) {
        state.actions.push_back(
            shard_span{"job.start",
                       *job.trace,
                       runtime.firstStartAt,
                       state.now,
                       {{"task", toString(reported.task)}, {"worker", session.info.worker.value}}});
    }
    runtime.isReported = true;
    // A task started by a former owner has already been running for a while.
    if (runtime.isRestored)
        state.confirmStart(job, reported.task.replica);
    runtime.isRestored = false;
    runtime.startIncarnation = session.incarnationNumber;
    if (runtime.firstStartAt == instant())
        runtime.firstStartAt = state.now;
}

void handleRunning(shard_state &state, worker_session &session, job_entry &job, int replica)
{
    const task_record &task = job.record.tasks[std::size_t(replica)];
    task_runtime &runtime = job.runtime[std::size_t(replica)];
    runtime.missingReports = 0;
    if (!runtime.isStartConfirmed && state.now - runtime.firstStartAt >= startConfirmedAfter) {
        state.confirmStart(job, replica);
        runtime.failedOn.clear();
        recordSuccess(state, session, runtime.firstStartAt);
    }
    const bool isCheckpointed = task.lastCheckpoint.number > runtime.checkpointBefore;
    if (runtime.removal == removal_step::checkpointing
        && (isCheckpointed || state.now >= runtime.stopAt)) {
        runtime.removal = removal_step::stopping;
        session.wantsSync = true;
    }
}

/// Handles the report of an attempt that is claimed on this worker.
void handleClaimed(shard_state &state, worker_session &session, job_entry &job,
                   const task_report &reported)
{
    const int replica = reported.task.replica;
    task_record &task = job.record.tasks[std::size_t(replica)];
    task_runtime &runtime = job.runtime[std::size_t(replica)];
    if (!runtime.isReported)
        handleFirstReport(state, session, job, reported);
    runtime.usage = reported.usage;
    if (reported.lastCheckpoint.number > task.lastCheckpoint.number) {
        task.lastCheckpoint = reported.lastCheckpoint;
        state.markChanged(job, false);
    }
    switch (reported.state) {
    case reported_state::running:
        handleRunning(state, session, job, replica);
        return;
    case reported_state::done:
        recordSuccess(state, session, runtime.firstStartAt);
        if (job.record.spec.kind == job_kind::finite) {
            state.finish(job, replica, task_state::done, reported.result);
        } else {
            task.result = reported.result;
            state.requeue(job, replica, state.now + restartDelay);
        }
        return;
    case reported_state::failed:
        handleFailure(state, session, job, replica, reported.result);
        return;
    case reported_state::stopped:
        state.requeue(job, replica, state.now);
        return;
    }
}

/// Handles a claimed task that is missing from the report.
void handleMissing(shard_state &state, worker_session &session, const task_key &key,
                   std::int64_t sequence)
{
    job_entry &job = *state.jobs.find(key.job);
    task_runtime &runtime = job.runtime[std::size_t(key.replica)];
    // Either a former owner made the claim and its start never arrived, or an earlier incarnation
    // of the worker ran the task. A start still in transit carries the former epoch and will be
    // refused.
    const bool isLost = runtime.isRestored
        || (runtime.startIncarnation != 0 && runtime.startIncarnation != session.incarnationNumber);
    if (isLost) {
        state.requeue(job, key.replica, state.now);
        return;
    }
    if (runtime.startIncarnation == 0 || sequence < runtime.startSequence)
        return;
    ++runtime.missingReports;
    if (runtime.missingReports == maxMissingReports && runtime.removal != removal_step::stopping) {
        // The worker refuses the start. When told to stop the attempt it reports it as stopped,
        // which proves that no delayed start can run it.
        runtime.failedOn.insert(session.info.worker);
        state.remove(job, key.replica, false, "the worker does not start it");
    }
}

} // namespace

void applyReport(shard_state &state, const sync_report &report)
{
    const auto at = state.sessions.find(report.worker);
    if (at == state.sessions.end())
        return;
    worker_session &session = at->second;
    const bool isCurrent = report.epoch == state.owner.epoch() && report.sequence > session.basis
        && report.sequence <= session.sequence
        && report.incarnationNumber >= session.incarnationNumber;
    if (!isCurrent)
        return;
    if (session.incarnationNumber != 0 && report.incarnationNumber != session.incarnationNumber) {
        session.health = worker_health();
        state.endQuarantine(session);
    }
    if (!session.hasReported) {
        // From now on the worker refuses commands of a former owner. The former owner's last
        // renewal may have arrived just before, so the lease is counted from now.
        session.hasReported = true;
        session.leaseSentAt = state.now;
    }
    session.info.worker = report.worker;
    session.incarnationNumber = report.incarnationNumber;
    session.basis = report.sequence;
    session.lastReportAt = state.now;
    session.failures = 0;
    session.unclaimedTasks.clear();
    session.endedAttempts.clear();

    std::set<task_key> reportedTasks;
    for (const task_report &reported : report.tasks) {
        const task_key key{reported.task.job, reported.task.replica};
        job_entry *job = state.jobs.find(key.job);
        const bool isKnown = job != nullptr && std::size_t(key.replica) < job->record.tasks.size();
        const task_record *task = isKnown ? &job->record.tasks[std::size_t(key.replica)] : nullptr;
        const bool isClaimed = task != nullptr && task->state == task_state::claimed
            && task->worker == report.worker && task->attempt == reported.task.attempt;
        if (isClaimed) {
            reportedTasks.insert(key);
            handleClaimed(state, session, *job, reported);
        } else if (reported.state == reported_state::running) {
            session.unclaimedTasks.push_back(reported.task);
            session.wantsSync = true;
        }
        if (reported.state != reported_state::running)
            session.endedAttempts.push_back(reported.task);
    }
    if (const worker_slot *slot = state.accounting.find(report.worker)) {
        const auto tasks = slot->tasks;
        for (const auto &[key, size] : tasks) {
            if (reportedTasks.count(key) == 0)
                handleMissing(state, session, key, report.sequence);
        }
    }
    state.quarantineIfFailing(session);
    state.refreshEligibility(report.worker);
}

} // namespace crocuswind
