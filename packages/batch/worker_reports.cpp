#include "worker_reports.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace crocuswind {

namespace {

/// A failed task is started again after this time, four times longer with each charged failure.
constexpr duration firstRetryDelay = 1s;
constexpr int maxRetryDoublings = 8;
/// A job that failed on this many workers, or on all that can hold it, is at fault itself.
constexpr std::size_t faultyJobWorkers = 3;
/// Reports without a task that was started there, before the start counts as refused.
constexpr int maxMissingReports = 5;
/// A continuous task that ended by itself is started again after this time.
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
            return session.isListed && session.isContacted && fitsInto(size, session.info.capacity);
        }));
}

void noteSuccess(shard_state &state, worker_session &session, instant startedAt)
{
    for (const task_key &key : session.health.noteSuccess(startedAt)) {
        job_entry *job = state.jobs.find(key.job);
        if (job == nullptr)
            continue;
        task_runtime &runtime = job->runtime[std::size_t(key.replica)];
        if (runtime.chargedEarly.erase(session.info.worker) == 0)
            state.charge(key);
    }
    if (!session.health.isAside())
        state.endAside(session);
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
    session.health.noteFailure(state.now, key, runtime.firstStartAt);
    const std::size_t needed
        = std::min(faultyJobWorkers, capableWorkers(state, job.record.spec.size));
    const bool isCharged = runtime.failedOn.size() >= needed && !session.health.isAside();
    if (isCharged)
        runtime.chargedEarly.insert(worker);
    const int failures = task.failures + int(session.health.failuresOf(key));
    state.giveBack(job, replica, state.now + retryDelay(std::max(failures - 1, 0)));
    if (isCharged)
        state.charge(key);
    state.putAsideIfFailing(session);
}

void noteFirstSight(shard_state &state, worker_session &session, job_entry &job,
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
    runtime.isSeen = true;
    // What a former owner started has been running for a while.
    if (runtime.isFromStore)
        state.setProven(job, reported.task.replica);
    runtime.isFromStore = false;
    runtime.startedIn = session.incarnationNumber;
    if (runtime.firstStartAt == instant())
        runtime.firstStartAt = state.now;
}

void handleRunning(shard_state &state, worker_session &session, job_entry &job, int replica)
{
    const task_record &task = job.record.tasks[std::size_t(replica)];
    task_runtime &runtime = job.runtime[std::size_t(replica)];
    runtime.missingReports = 0;
    if (!runtime.isProven && state.now - runtime.firstStartAt >= startedWellAfter) {
        state.setProven(job, replica);
        runtime.failedOn.clear();
        noteSuccess(state, session, runtime.firstStartAt);
    }
    const bool isSaved = task.lastCheckpoint.number > runtime.checkpointBefore;
    if (runtime.removal == removal_step::checkpointing
        && (isSaved || state.now >= runtime.stopAt)) {
        runtime.removal = removal_step::stopping;
        session.wantsSync = true;
    }
}

/// Handles a reported attempt that is the one claimed on this worker.
void handleClaimed(shard_state &state, worker_session &session, job_entry &job,
                   const task_report &reported)
{
    const int replica = reported.task.replica;
    task_record &task = job.record.tasks[std::size_t(replica)];
    task_runtime &runtime = job.runtime[std::size_t(replica)];
    if (!runtime.isSeen)
        noteFirstSight(state, session, job, reported);
    runtime.usage = reported.usage;
    if (reported.lastCheckpoint.number > task.lastCheckpoint.number) {
        task.lastCheckpoint = reported.lastCheckpoint;
        state.touch(job, false);
    }
    switch (reported.state) {
    case reported_state::running:
        handleRunning(state, session, job, replica);
        return;
    case reported_state::done:
        noteSuccess(state, session, runtime.firstStartAt);
        if (job.record.spec.kind == job_kind::finite) {
            state.finish(job, replica, task_state::done, reported.result);
        } else {
            task.result = reported.result;
            state.giveBack(job, replica, state.now + restartDelay);
        }
        return;
    case reported_state::failed:
        handleFailure(state, session, job, replica, reported.result);
        return;
    case reported_state::stopped:
        state.giveBack(job, replica, state.now);
        return;
    }
}

/// Handles a claimed task that the report does not name.
void handleMissing(shard_state &state, worker_session &session, const task_key &key,
                   std::int64_t sequence)
{
    job_entry &job = *state.jobs.find(key.job);
    task_runtime &runtime = job.runtime[std::size_t(key.replica)];
    // The claim of a former owner: its start never arrived, or an earlier life of the worker ran
    // it. A start that is still under way carries the former epoch and will be refused.
    const bool isLost = runtime.isFromStore
        || (runtime.startedIn != 0 && runtime.startedIn != session.incarnationNumber);
    if (isLost) {
        state.giveBack(job, key.replica, state.now);
        return;
    }
    if (runtime.startedIn == 0 || sequence < runtime.startSequence)
        return;
    ++runtime.missingReports;
    if (runtime.missingReports == maxMissingReports && runtime.removal != removal_step::stopping) {
        // The worker refuses the start. It reports an attempt that it was told to stop as stopped,
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
        state.endAside(session);
    }
    if (!session.isContacted) {
        // From now on the worker refuses a former owner, whose last renewal may just have arrived.
        session.isContacted = true;
        session.leaseSentAt = state.now;
    }
    session.info.worker = report.worker;
    session.incarnationNumber = report.incarnationNumber;
    session.basis = report.sequence;
    session.lastHeardAt = state.now;
    session.failures = 0;
    session.strays.clear();
    session.ended.clear();

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
            session.strays.push_back(reported.task);
            session.wantsSync = true;
        }
        if (reported.state != reported_state::running)
            session.ended.push_back(reported.task);
    }
    if (const worker_slot *slot = state.book.find(report.worker)) {
        const auto tasks = slot->tasks;
        for (const auto &[key, size] : tasks) {
            if (reportedTasks.count(key) == 0)
                handleMissing(state, session, key, report.sequence);
        }
    }
    state.putAsideIfFailing(session);
    state.refreshEligibility(report.worker);
}

} // namespace crocuswind
